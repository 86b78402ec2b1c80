//! Tasks of the few nodes in each data centre that talk to the platform on behalf of all others.
//!
//! A watcher maintains a contact key, by which starting nodes find the others, and watches the index of the
//! configuration document. The number of platform calls therefore grows with the number of data centres, not of nodes.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::format_compact;
use slog::Logger;
use tokio::{sync::watch, time};

use crate::{
    config::Replica,
    driver::Driver,
    event::Event,
    membership::Contact,
    platform::{Expect, LeaseId, Platform, PlatformError},
    store::{self, StoreError},
};

/// The prefix of contact keys.
const CONTACT_PREFIX: &str = "contact/";

/// The lease of a contact key. A node that starts while one key has expired finds the other watchers.
const CONTACT_LEASE: Duration = Duration::from_secs(15);

/// The interval at which a watcher renews its lease and reads the contacts: a third of the lease, so that the key
/// survives two lost renewals. 60 watchers make 24 calls a second.
pub(crate) const CONTACT_INTERVAL: Duration = Duration::from_secs(5);

/// The maximum time for which one watch call on the index waits for a change.
pub(crate) const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// The delay after a failed platform call, doubled with each further failure up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// The maximum delay after failed platform calls. It bounds how late a change arrives after an outage.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// The platform tasks of one node.
pub(crate) struct PlatformWatcher<P> {
    pub(crate) platform: Arc<P>,
    pub(crate) driver: Arc<Driver>,
    pub(crate) replica: Replica,
    pub(crate) local: Contact,
    /// Whether the settings list contacts.
    pub(crate) has_contacts: bool,
    /// The rank of this node among the watchers of its data centre, if it is one.
    pub(crate) rank: watch::Receiver<Option<usize>>,
    pub(crate) log: Logger,
}

impl<P: Platform> PlatformWatcher<P> {
    /// Joins the contacts that the platform lists, then maintains the contact key while this node is a watcher.
    pub(crate) async fn maintain_contact_key(self: Arc<Self>) {
        let mut backoff = Backoff::default();
        let mut has_tried = false;
        while let Err(error) = self.join_contacts().await {
            self.warn("contacts-unread", &error);
            if self.has_contacts && !has_tried {
                // The nodes named in the settings can be joined without the platform.
                self.driver.dispatch(Event::Contacts(Vec::new()));
                has_tried = true;
            }
            backoff.wait().await;
        }
        let mut ranks = self.rank.clone();
        let mut lease: Option<(LeaseId, usize)> = None;
        loop {
            let rank = *ranks.borrow_and_update();
            if let Err(error) = self.update_contact_key(&mut lease, rank).await {
                self.warn("contact-not-kept", &error);
                lease = None;
            }
            if rank.is_some()
                && let Err(error) = self.join_contacts().await
            {
                self.warn("contacts-unread", &error);
            }
            let _ = time::timeout(CONTACT_INTERVAL, ranks.changed()).await;
        }
    }

    /// Watches the index while this node is a watcher, and installs new revisions.
    pub(crate) async fn watch_index(self: Arc<Self>) {
        let mut ranks = self.rank.clone();
        let mut backoff = Backoff::default();
        let mut last_seen = 0;
        loop {
            // The node ends this task when it stops, so the channel does not close before.
            if ranks.wait_for(Option::is_some).await.is_err() {
                return;
            }
            match self.follow_index(&mut last_seen).await {
                Ok(()) => backoff = Backoff::default(),
                Err(error) => {
                    self.warn("index-unread", &error);
                    backoff.wait().await;
                }
            }
        }
    }

    /// Reads the contact keys and dispatches the contacts except for this node itself.
    async fn join_contacts(&self) -> Result<(), PlatformError> {
        let listing = self.platform.list(CONTACT_PREFIX).await?;
        let contacts =
            listing.entries.iter().filter_map(|(_, e)| serde_json::from_slice(&e.value).ok());
        let contacts: Vec<Contact> =
            contacts.filter(|contact: &Contact| contact.id != self.local.id).collect();
        self.driver.dispatch(Event::Contacts(contacts));
        Ok(())
    }

    /// Renews the lease of the contact key, or moves the key when the rank has changed.
    async fn update_contact_key(
        &self,
        lease: &mut Option<(LeaseId, usize)>,
        rank: Option<usize>,
    ) -> Result<(), PlatformError> {
        if let Some((id, held_rank)) = *lease {
            if rank == Some(held_rank) {
                return self.platform.renew(id).await;
            }
            *lease = None;
            self.platform.revoke(id).await?;
        }
        let Some(rank) = rank else { return Ok(()) };
        let id = self.platform.lease(CONTACT_LEASE).await?;
        let key = format_compact!("{CONTACT_PREFIX}{}/{rank}", self.local.centre);
        let value = serde_json::to_vec(&self.local).unwrap_or_default();
        let put = self.platform.put(&key, Bytes::from(value), Expect::Absent, Some(id)).await;
        if let Err(error) = put {
            // The key may belong to a member that this node has not joined yet. Overwriting it would hide that member.
            self.platform.revoke(id).await?;
            return Err(error);
        }
        *lease = Some((id, rank));
        slog::info!(self.log, "contact"; "key" => key.as_str());
        Ok(())
    }

    /// Installs the current revision if it is new, then waits for the next change.
    async fn follow_index(&self, last_seen: &mut u64) -> Result<(), StoreError> {
        if let Some((index, revision)) = store::read_index(&*self.platform).await? {
            self.install(index).await?;
            *last_seen = revision.max(*last_seen);
        }
        loop {
            let watched = self.platform.watch(store::INDEX_KEY, *last_seen, WATCH_TIMEOUT).await;
            let watched = watched.map_err(|source| StoreError::Platform { source })?;
            *last_seen = watched.revision;
            if !watched.changes.is_empty() || self.rank.borrow().is_none() {
                return Ok(());
            }
        }
    }

    async fn install(&self, index: store::Index) -> Result<(), StoreError> {
        let revision = index.revision;
        if revision <= self.replica.revision() {
            return Ok(());
        }
        let mut parts = std::collections::BTreeMap::new();
        for digest in self.replica.missing(&index) {
            let entry = self.platform.get(&digest.key()).await;
            let entry = entry.map_err(|source| StoreError::Platform { source })?;
            // A missing part belongs to an index that has been replaced in the meantime.
            let Some(entry) = entry else { return Err(StoreError::Missing { digest }) };
            parts.insert(digest, entry.value);
        }
        if let Some(document) = self.replica.install(index, parts)? {
            self.driver.dispatch(Event::Document { revision, document });
        }
        Ok(())
    }

    fn warn(&self, event: &str, error: &dyn std::error::Error) {
        slog::warn!(self.log, "platform"; "failure" => event, "error" => %error);
    }
}

/// Delays between platform calls, doubled with each failure.
#[derive(Default)]
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    pub(crate) async fn wait(&mut self) {
        let delay = MIN_BACKOFF * (1 << self.failures.min(4));
        self.failures += 1;
        // The jitter keeps nodes that failed at the same time from retrying at the same time.
        time::sleep(delay.min(MAX_BACKOFF).mul_f64(rand::random_range(0.5..1.0))).await;
    }
}
