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

/// The maximum length of the description of an error in characters.
const MAX_ERROR_CHARS: usize = 200;

/// Dispatches an update of the member records to the reducer.
pub(crate) fn apply_update(driver: &Driver, update: Update) {
    match update {
        Update::Listed(items) => {
            let records = items.iter().filter_map(|item| read_record(driver, item));
            driver.dispatch(Event::Members(records.collect()));
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
            Ok(()) => {
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
