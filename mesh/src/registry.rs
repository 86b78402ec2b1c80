//! This node's record in the store, and the records of the others.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use tokio::{sync::watch, time};

use crate::{
    directory::MemberRecord,
    driver::Driver,
    event::Event,
    store::{self, Change, Item, Lease, Pause, Result, Store, StoreError, Transaction, Update},
};

/// The start of the keys of all members.
pub(crate) const PREFIX: &str = "poplarbarrow/members/";

/// The time after which the record of a node that does not renew its lease ends.
const TTL: Duration = Duration::from_secs(6);

/// The interval at which the lease is renewed: one call may fail without consequence.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Follows the records of all members.
pub(crate) async fn follow<S: Store>(store: S, driver: Arc<Driver>) {
    let log = driver.log().clone();
    let on_update = |update| match update {
        Update::Listed(items) => {
            driver.dispatch(Event::Store { is_reachable: true });
            driver.dispatch(Event::Members(items.iter().filter_map(read).collect()));
        }
        Update::Changed(changes) => {
            for change in changes {
                match change {
                    Change::Put(item) => {
                        if let Some(record) = read(&item) {
                            driver.dispatch(Event::MemberPut(record));
                        }
                    }
                    Change::Removed(key) => {
                        if let Some(id) = member_id(&key) {
                            driver.dispatch(Event::MemberGone(id));
                        }
                    }
                }
            }
        }
        Update::Lost => driver.dispatch(Event::Store { is_reachable: false }),
    };
    store::follow(&store, PREFIX, &log, on_update).await;
}

/// Keeps this node's record in the store under a lease until the node ends.
pub(crate) async fn publish<S: Store>(
    store: S,
    mut wanted: watch::Receiver<Option<MemberRecord>>,
    driver: Arc<Driver>,
) {
    let mut pause = Pause::new();
    let mut held: Option<Lease> = None;
    loop {
        let Ok(record) = wanted.wait_for(Option::is_some).await.map(|record| record.clone()) else {
            return;
        };
        wanted.mark_unchanged();
        let Some(record) = record else { continue };
        let written = write(&store, &record, &mut held).await;
        if let Err(error) = written {
            slog::warn!(driver.log(), "record-unwritten"; "error" => %error);
            held = None;
            pause.wait().await;
            wanted.mark_changed();
            continue;
        }
        pause = Pause::new();
        keep(&store, &mut held, &mut wanted, &driver).await;
    }
}

/// Renews the lease until the record changes or the lease has ended.
async fn keep<S: Store>(
    store: &S,
    held: &mut Option<Lease>,
    wanted: &mut watch::Receiver<Option<MemberRecord>>,
    driver: &Driver,
) {
    while let Some(lease) = *held {
        let changed = time::timeout(RENEW_INTERVAL, wanted.changed()).await;
        if changed.is_ok() {
            return;
        }
        match store.renew(lease).await {
            Ok(()) => {}
            Err(StoreError::NoLease) => {
                slog::warn!(driver.log(), "lease-lost"; "lease" => lease.id);
                *held = None;
            }
            Err(error) => slog::warn!(driver.log(), "lease-unrenewed"; "error" => %error),
        }
    }
}

async fn write<S: Store>(
    store: &S,
    record: &MemberRecord,
    held: &mut Option<Lease>,
) -> Result<()> {
    let lease = match *held {
        Some(lease) => lease,
        None => store.grant(TTL).await?,
    };
    *held = Some(lease);
    let value = serde_json::to_vec(record).map(Bytes::from);
    let value = value.map_err(|error| StoreError::Unreadable { reason: format_compact!("{error}") })?;
    let writes = vec![(key(record), value, Some(lease))];
    store.commit(Transaction { writes, ..Transaction::default() }).await?;
    Ok(())
}

fn key(record: &MemberRecord) -> CompactString {
    format_compact!("{PREFIX}{}/{}", record.service, record.id)
}

fn member_id(key: &str) -> Option<crate::keys::MemberId> {
    key.rsplit('/').next()?.parse().ok()
}

/// Reads a record; one that cannot be read names no member and hides no other.
fn read(item: &Item) -> Option<MemberRecord> {
    serde_json::from_slice(&item.value).ok()
}
