//! Stores rollout verdicts in the platform, from which the platform watchers of all regions read them.
//!
//! A verdict is the decision that a version of a service receives no more traffic.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use slog::Logger;
use tokio::sync::{mpsc, watch};

use crate::{
    driver::Driver,
    event::Event,
    platform::{Entry, Expect, Platform, PlatformError},
    platform_watcher::Backoff,
    rollout::VerdictRecord,
};

/// The prefix of the keys under which verdicts are stored.
const KEY_PREFIX: &str = "verdict/";

/// The time for which one watch call on the verdicts waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// A change to the verdicts stored in the platform.
#[derive(Clone, Debug)]
pub(crate) enum VerdictChange {
    /// Writes a verdict unless the stored one has the same or a newer revision.
    Write(VerdictRecord),
    /// Deletes a verdict whose rollout schedule has ended, if the stored one is still equal to it.
    Delete(VerdictRecord),
}

/// Writes this node's verdicts to the platform and dispatches those of all nodes as events.
pub(crate) struct VerdictStore<P> {
    pub(crate) platform: Arc<P>,
    pub(crate) driver: Arc<Driver>,
    /// The rank of this node among the platform watchers of its data centre, if it is one.
    pub(crate) rank: watch::Receiver<Option<usize>>,
    pub(crate) log: Logger,
}

impl<P: Platform> VerdictStore<P> {
    /// Writes changes to the platform one after the other.
    ///
    /// A change is retried until it succeeds, so that it outlasts an outage of the platform. It is dropped if its key
    /// is invalid or its value too large.
    pub(crate) async fn run_writer(
        self: Arc<Self>,
        mut changes: mpsc::UnboundedReceiver<VerdictChange>,
    ) {
        while let Some(change) = changes.recv().await {
            let mut backoff = Backoff::default();
            while let Err(error) = self.execute(&change).await {
                slog::warn!(self.log, "platform"; "failure" => "verdict-unwritten", "error" => %error);
                if matches!(error, PlatformError::InvalidKey | PlatformError::TooLarge { .. }) {
                    break;
                }
                backoff.wait().await;
            }
        }
    }

    /// Lists all verdicts and then watches for their changes, as long as this node is a platform watcher.
    pub(crate) async fn run_watcher(self: Arc<Self>) {
        let mut rank = self.rank.clone();
        let mut backoff = Backoff::default();
        // The node ends this task when it leaves, so the channel stays open while the task runs.
        while rank.wait_for(Option::is_some).await.is_ok() {
            match self.list_and_watch().await {
                Ok(()) => backoff = Backoff::default(),
                Err(error) => {
                    slog::warn!(self.log, "platform"; "failure" => "verdicts-unread", "error" => %error);
                    backoff.wait().await;
                }
            }
        }
    }

    async fn list_and_watch(&self) -> Result<(), PlatformError> {
        let listing = self.platform.list(KEY_PREFIX).await?;
        self.dispatch_verdicts(listing.entries.iter().map(|(_, entry)| entry));
        let mut revision = listing.revision;
        while self.rank.borrow().is_some() {
            let watched = self.platform.watch(KEY_PREFIX, revision, WATCH_TIMEOUT).await?;
            revision = watched.revision;
            self.dispatch_verdicts(watched.changes.iter().filter_map(|(_, entry)| entry.as_ref()));
        }
        Ok(())
    }

    fn dispatch_verdicts<'a>(&self, entries: impl Iterator<Item = &'a Entry>) {
        let records: Vec<_> = entries.filter_map(parse).collect();
        if !records.is_empty() {
            self.driver.dispatch(Event::Verdicts(records));
        }
    }

    async fn execute(&self, change: &VerdictChange) -> Result<(), PlatformError> {
        let (VerdictChange::Write(record) | VerdictChange::Delete(record)) = change;
        let key = storage_key(record);
        let entry = self.platform.get(&key).await?;
        let stored = entry.as_ref().and_then(parse);
        let result = match (change, entry) {
            (VerdictChange::Delete(_), Some(entry)) if stored.as_ref() == Some(record) => {
                self.platform.delete(&key, Expect::Revision(entry.revision)).await
            }
            (VerdictChange::Delete(_), _) => return Ok(()),
            (VerdictChange::Write(_), _)
                if stored.is_some_and(|stored| stored.revision >= record.revision) =>
            {
                return Ok(());
            }
            (VerdictChange::Write(_), entry) => {
                let expect = entry.map_or(Expect::Absent, |e| Expect::Revision(e.revision));
                let value = serde_json::to_vec(record).unwrap_or_default();
                self.platform.put(&key, Bytes::from(value), expect, None).await
            }
        };
        result?;
        let action = if matches!(change, VerdictChange::Write(_)) { "recorded" } else { "dropped" };
        slog::info!(self.log, "verdict"; "change" => action, "key" => key.as_str());
        Ok(())
    }
}

fn storage_key(record: &VerdictRecord) -> CompactString {
    format_compact!("{KEY_PREFIX}{}/{}", record.service, record.version.name)
}

fn parse(entry: &Entry) -> Option<VerdictRecord> {
    serde_json::from_slice(&entry.value).ok()
}
