//! The member records in the store: writes of those for which this node is responsible, and updates of all.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use tokio::{
    sync::{mpsc, watch},
    time::{self, Instant},
};

use crate::{
    directory::{MemberRecord, RecordBatch},
    driver::Driver,
    event::Event,
    keys::MemberId,
    store::{Change, Item, Lease, Result, Store, StoreError, Transaction, Update},
};

/// The prefix of the keys of all members.
pub(crate) const PREFIX: &str = "poplarbarrow/members/";

/// The time-to-live of the lease of member records. Members detect within two seconds that a node is gone; the records
/// only serve nodes that start later.
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
            let records = items.iter().filter_map(|item| read_record(driver, item)).collect();
            driver.dispatch(Event::Members(records));
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

/// Writes batches of records under a lease, and renews it, until the task is cancelled.
///
/// The lease is granted with the first record. Once granted it is renewed as long as this process runs, because a node
/// that becomes the recorder later writes only the records that the store lacks. `store_era` is the era of the last return
/// of the store from an earlier copy of its state.
pub(crate) async fn write_records<S: Store>(
    store: S,
    mut batches: mpsc::UnboundedReceiver<RecordBatch>,
    driver: Arc<Driver>,
    mut store_era: watch::Receiver<u64>,
) {
    let mut recorder = Recorder { store, driver, lease: None, renew_at: Instant::now() };
    loop {
        let lease = recorder.lease;
        let renewal = async {
            match lease {
                Some(_) => time::sleep_until(recorder.renew_at).await,
                None => std::future::pending().await,
            }
        };
        let era_end = async {
            let Some(lease) = lease else { return std::future::pending().await };
            if store_era.wait_for(|era| *era > lease.era).await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            batch = batches.recv() => match batch {
                Some(batch) => recorder.write(batch).await,
                None => return,
            },
            () = renewal => recorder.renew().await,
            // The id may denote another node's lease by now, so a renewal would prove nothing.
            () = era_end => recorder.lose_lease(),
        }
    }
}

/// The lease of this node and the store in which it is held.
struct Recorder<S> {
    store: S,
    driver: Arc<Driver>,
    lease: Option<Lease>,
    renew_at: Instant,
}

impl<S: Store> Recorder<S> {
    async fn write(&mut self, batch: RecordBatch) {
        match self.commit(&batch).await {
            Ok(era) => {
                slog::info!(self.driver.log(), "records-written";
                    "put" => batch.puts.len(), "removed" => batch.removes.len());
                self.driver.dispatch(Event::Store { is_reachable: true });
                self.driver.dispatch(Event::StoreEra(era));
                self.driver.dispatch(Event::RecordsWritten(batch));
            }
            Err(error) => {
                slog::warn!(self.driver.log(), "records-unwritten"; "error" => %error);
                if matches!(error, StoreError::NoLease) {
                    self.lose_lease();
                } else {
                    self.driver.dispatch(Event::Store { is_reachable: false });
                }
                self.driver.dispatch(Event::RecordsUnwritten);
            }
        }
    }

    /// Writes a batch and returns the era of the store.
    async fn commit(&mut self, batch: &RecordBatch) -> Result<u64> {
        let mut transaction = Transaction {
            removes: batch.removes.iter().map(record_key).collect(),
            ..Transaction::default()
        };
        if batch.puts.is_empty() {
            return Ok(self.store.commit(transaction).await?.era);
        }
        let lease = match self.lease {
            Some(lease) => lease,
            None => self.store.grant(LEASE_TTL).await?,
        };
        if self.lease.is_none() {
            (self.lease, self.renew_at) = (Some(lease), Instant::now() + RENEW_INTERVAL);
        }
        for record in &batch.puts {
            transaction.writes.push((record_key(record), encode(record)?, Some(lease)));
        }
        let position = self.store.commit(transaction).await?;
        if position.era != lease.era {
            return Err(StoreError::NoLease);
        }
        Ok(position.era)
    }

    async fn renew(&mut self) {
        let Some(lease) = self.lease else { return };
        let interval = match self.store.renew(lease).await {
            Ok(era) => {
                self.driver.dispatch(Event::StoreEra(era));
                self.driver.dispatch(Event::Store { is_reachable: true });
                RENEW_INTERVAL
            }
            Err(StoreError::NoLease) => return self.lose_lease(),
            Err(error) => {
                slog::warn!(self.driver.log(), "lease-unrenewed"; "error" => %error);
                self.driver.dispatch(Event::Store { is_reachable: false });
                RENEW_RETRY_INTERVAL
            }
        };
        self.renew_at = Instant::now() + interval;
    }

    fn lose_lease(&mut self) {
        if let Some(lease) = self.lease.take() {
            slog::warn!(self.driver.log(), "lease-lost"; "lease" => lease.id, "era" => lease.era);
        }
        self.driver.dispatch(Event::RecordLeaseLost);
    }
}

fn encode(record: &MemberRecord) -> Result<Bytes> {
    let encode_error = |error| StoreError::Unreadable { reason: format_compact!("{error}") };
    serde_json::to_vec(record).map(Bytes::from).map_err(encode_error)
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
