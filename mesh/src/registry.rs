//! The record of this node in the store, and updates of the other members' records.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use tokio::time;

use crate::{
    directory::MemberRecord,
    driver::Driver,
    event::Event,
    keys::MemberId,
    store::{Backoff, Change, Item, Lease, Result, Store, StoreError, Transaction, Update},
};

/// The prefix of the keys of all members.
pub(crate) const PREFIX: &str = "poplarbarrow/members/";

/// The time-to-live of the lease of a member record. Members detect within two seconds that a node
/// is gone; the record only serves nodes that start later.
const LEASE_TTL: Duration = Duration::from_secs(20);

/// The interval of lease renewal, with which two calls may fail without consequence.
const RENEW_INTERVAL: Duration = Duration::from_secs(6);

/// The interval of lease renewal after a failure.
const RENEW_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Dispatches an update of the member records to the reducer.
pub(crate) fn apply_update(driver: &Driver, update: Update) {
    match update {
        Update::Listed(items) => {
            driver.dispatch(Event::Members(items.iter().filter_map(parse_record).collect()));
        }
        Update::Changed(changes) => {
            for change in changes {
                match change {
                    Change::Put(item) => {
                        if let Some(record) = parse_record(&item) {
                            driver.dispatch(Event::MemberPut(record));
                        }
                    }
                    Change::Removed { key, .. } => {
                        if let Some(id) = member_id(&key) {
                            driver.dispatch(Event::MemberRemoved(id));
                        }
                    }
                }
            }
        }
    }
}

/// Keeps this node's record in the store under a lease until the task is cancelled.
pub(crate) async fn publish<S: Store>(store: S, record: MemberRecord, driver: Arc<Driver>) {
    let mut backoff = Backoff::new();
    loop {
        match write_record(&store, &record).await {
            Ok(lease) => {
                backoff = Backoff::new();
                driver.dispatch(Event::Store { is_reachable: true });
                renew_until_lost(&store, lease, &driver).await;
            }
            Err(error) => {
                slog::warn!(driver.log(), "record-unwritten"; "error" => %error);
                driver.dispatch(Event::Store { is_reachable: false });
                backoff.wait().await;
            }
        }
    }
}

/// Renews the lease until the store reports that it has ended.
async fn renew_until_lost<S: Store>(store: &S, lease: Lease, driver: &Driver) {
    let mut interval = RENEW_INTERVAL;
    loop {
        time::sleep(interval).await;
        interval = match store.renew(lease).await {
            Ok(_) => {
                driver.dispatch(Event::Store { is_reachable: true });
                RENEW_INTERVAL
            }
            Err(StoreError::NoLease) => {
                slog::warn!(driver.log(), "lease-lost"; "lease" => lease.id);
                return;
            }
            Err(error) => {
                slog::warn!(driver.log(), "lease-unrenewed"; "error" => %error);
                driver.dispatch(Event::Store { is_reachable: false });
                RENEW_RETRY_INTERVAL
            }
        };
    }
}

async fn write_record<S: Store>(store: &S, record: &MemberRecord) -> Result<Lease> {
    let encode_error = |error| StoreError::Unreadable { reason: format_compact!("{error}") };
    let value = serde_json::to_vec(record).map(Bytes::from).map_err(encode_error)?;
    let lease = store.grant(LEASE_TTL).await?;
    let writes = vec![(record_key(record), value, Some(lease))];
    store.commit(Transaction { writes, ..Transaction::default() }).await?;
    Ok(lease)
}

fn record_key(record: &MemberRecord) -> CompactString {
    format_compact!("{PREFIX}{}/{}", record.service, record.id)
}

fn member_id(key: &str) -> Option<MemberId> {
    key.rsplit('/').next()?.parse().ok()
}

/// Parses a member record. An unreadable record is skipped, so that it hides no other member.
fn parse_record(item: &Item) -> Option<MemberRecord> {
    serde_json::from_slice(&item.value).ok()
}
