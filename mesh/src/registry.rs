//! The record of this node in the store, and updates of the other members' records.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use rand::Rng as _;
use tokio::{sync::watch, time};

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

/// The maximum delay before the record is written again after the store has returned from an earlier
/// copy of its state, so that the writes of all nodes do not exceed the store's rate limit.
const MAX_REWRITE_DELAY: Duration = Duration::from_secs(1);

/// The maximum length of the description of an error in characters.
const MAX_ERROR_CHARS: usize = 200;

/// Dispatches an update of the member records to the reducer. `is_restored` tells whether the store
/// has returned from an earlier copy of its state since the last update.
pub(crate) fn apply_update(driver: &Driver, update: Update, is_restored: bool) {
    match update {
        Update::Listed(items) => {
            let records = items.iter().filter_map(|item| read_record(driver, item)).collect();
            driver.dispatch(if is_restored {
                Event::MembersRestored(records)
            } else {
                Event::Members(records)
            });
        }
        Update::Changed(changes) => {
            for change in changes {
                match change {
                    Change::Put(item) => {
                        if let Some(record) = read_record(driver, &item) {
                            driver.dispatch(Event::MemberPut(record));
                        } else if let Some(id) = member_id(&item.key) {
                            driver.dispatch(Event::MemberRemoved(id));
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

/// Keeps this node's record in the store under a lease until the task is cancelled. `store_era` is the
/// era of the last return of the store from an earlier copy of its state.
pub(crate) async fn publish<S: Store>(
    store: S,
    record: MemberRecord,
    driver: Arc<Driver>,
    mut store_era: watch::Receiver<u64>,
) {
    let mut backoff = Backoff::new();
    loop {
        match write_record(&store, &record).await {
            Ok(lease) => {
                backoff = Backoff::new();
                driver.dispatch(Event::Store { is_reachable: true });
                driver.dispatch(Event::StoreEra(lease.era));
                renew_until_lost(&store, lease, &mut store_era, &driver).await;
            }
            Err(error) => {
                slog::warn!(driver.log(), "record-unwritten"; "error" => %error);
                driver.dispatch(Event::Store { is_reachable: false });
                backoff.wait().await;
            }
        }
    }
}

/// Renews the lease until the store reports that it has ended, or has lost it.
async fn renew_until_lost<S: Store>(
    store: &S,
    lease: Lease,
    store_era: &mut watch::Receiver<u64>,
    driver: &Driver,
) {
    let mut interval = RENEW_INTERVAL;
    loop {
        let is_era_over = async { store_era.wait_for(|era| *era > lease.era).await.is_ok() };
        tokio::select! {
            () = time::sleep(interval) => {}
            true = is_era_over => {
                // The id may denote another node's lease by now, so a renewal would prove nothing.
                slog::warn!(driver.log(), "lease-lost"; "lease" => lease.id, "era" => lease.era);
                let delay = MAX_REWRITE_DELAY.mul_f64(rand::rng().random());
                time::sleep(delay).await;
                return;
            }
        }
        interval = match store.renew(lease).await {
            Ok(era) => {
                driver.dispatch(Event::StoreEra(era));
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
    let position = store.commit(Transaction { writes, ..Transaction::default() }).await?;
    if position.era != lease.era {
        return Err(StoreError::NoLease);
    }
    Ok(lease)
}

fn record_key(record: &MemberRecord) -> CompactString {
    format_compact!("{PREFIX}{}/{}", record.service, record.id)
}

/// Returns the member that a key names.
fn member_id(key: &str) -> Option<MemberId> {
    let (_service, id) = key.strip_prefix(PREFIX)?.split_once('/')?;
    id.parse().ok()
}

/// Reads a member record. An unreadable record is logged and skipped, so that it hides no other member.
fn read_record(driver: &Driver, item: &Item) -> Option<MemberRecord> {
    let result = parse_record(item);
    let log_unreadable = |error: &CompactString| {
        slog::warn!(driver.log(), "record-unreadable"; "key" => item.key.as_str(),
            "revision" => item.revision, "error" => error.as_str());
    };
    result.inspect_err(log_unreadable).ok()
}

/// Parses a member record, which must belong to its key: a copy under another key would replace the member.
fn parse_record(item: &Item) -> std::result::Result<MemberRecord, CompactString> {
    let record: MemberRecord = serde_json::from_slice(&item.value).map_err(|error| {
        // The error may quote the text that could not be read.
        let text = error.to_string();
        format_compact!("{text:.MAX_ERROR_CHARS$}")
    })?;
    if item.key != record_key(&record) {
        return Err("the record belongs to another key".into());
    }
    if record.address.port() == 0 {
        return Err("port 0 is not an address".into());
    }
    Ok(record)
}
