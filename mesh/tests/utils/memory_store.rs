//! A store in memory that can be silent: calls are then never answered, and neither are those that wait.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use compact_str::CompactString;
use poplarbarrow_mesh::store::{
    Change, Freshness, Item, Lease, Position, Result, Store, StoreError, Transaction,
};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

/// The time after which a client gives up a call that is not answered, in addition to what it asked to wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

const ERA: u64 = 1;

#[derive(Clone)]
pub(crate) struct MemoryStore {
    data: Arc<Mutex<Data>>,
    /// The number of silences that have begun; odd while there is one.
    silences: watch::Sender<u64>,
    revision: watch::Sender<u64>,
}

#[derive(Default)]
struct Data {
    items: BTreeMap<CompactString, Item>,
    changes: Vec<Change>,
    leases: u64,
}

impl MemoryStore {
    pub(crate) fn new() -> MemoryStore {
        MemoryStore {
            data: Arc::default(),
            silences: watch::Sender::new(0),
            revision: watch::Sender::new(100),
        }
    }

    pub(crate) fn set_silent(&self, is_silent: bool) {
        self.silences.send_if_modified(|count| {
            let is_change = (*count % 2 == 1) != is_silent;
            *count += u64::from(is_change);
            is_change
        });
    }

    pub(crate) fn put(&self, key: &str, value: &str) {
        self.write(key.into(), Bytes::copy_from_slice(value.as_bytes()));
    }

    fn write(&self, key: CompactString, value: Bytes) {
        let revision = *self.revision.borrow() + 1;
        let item = Item { key: key.clone(), value, revision };
        let mut data = self.lock();
        data.items.insert(key, item.clone());
        data.changes.push(Change::Put(item));
        drop(data);
        self.revision.send_replace(revision);
    }

    fn remove(&self, key: CompactString) {
        let revision = *self.revision.borrow() + 1;
        let mut data = self.lock();
        if data.items.remove(&key).is_some() {
            data.changes.push(Change::Removed { key, revision });
        }
        drop(data);
        self.revision.send_replace(revision);
    }

    fn position(&self) -> Position {
        Position { era: ERA, revision: *self.revision.borrow() }
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().expect("mutex is not poisoned")
    }

    /// Returns an answer, unless the store is silent when the call begins or becomes so before `answer` is ready.
    async fn call<T>(&self, wait: Duration, answer: impl Future<Output = T>) -> Result<T> {
        let give_up_at = Instant::now() + wait + CALL_TIMEOUT;
        let mut silences = self.silences.subscribe();
        let is_silent = *silences.borrow_and_update() % 2 == 1;
        if !is_silent {
            tokio::select! {
                answer = answer => return Ok(answer),
                _ = silences.changed() => {}
            }
        }
        sleep(give_up_at.saturating_duration_since(Instant::now())).await;
        Err(StoreError::Unanswered { reason: "silence".into() })
    }
}

fn revision_of(change: &Change) -> u64 {
    match change {
        Change::Put(item) => item.revision,
        Change::Removed { revision, .. } => *revision,
    }
}

fn key_of(change: &Change) -> &str {
    match change {
        Change::Put(item) => &item.key,
        Change::Removed { key, .. } => key,
    }
}

impl Store for MemoryStore {
    async fn ping(&self) -> Result<()> {
        self.call(Duration::ZERO, async {}).await
    }

    async fn get(&self, key: &str) -> Result<(Option<Item>, u64)> {
        let item = async { self.lock().items.get(key).cloned() };
        Ok((self.call(Duration::ZERO, item).await?, ERA))
    }

    async fn list(&self, prefix: &str, _freshness: Freshness) -> Result<(Vec<Item>, Position)> {
        let list = async {
            let data = self.lock();
            let items = data.items.values().filter(|item| item.key.starts_with(prefix));
            (items.cloned().collect(), self.position())
        };
        self.call(Duration::ZERO, list).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<(Vec<Change>, Position)> {
        let changes = || {
            let data = self.lock();
            let changes = data.changes.iter();
            let is_new = |change: &&Change| {
                revision_of(change) > after && key_of(change).starts_with(prefix)
            };
            changes.filter(is_new).cloned().collect::<Vec<_>>()
        };
        let mut revision = self.revision.subscribe();
        let answer = async {
            let _ = timeout(wait, async {
                while changes().is_empty() && revision.changed().await.is_ok() {}
            })
            .await;
            (changes(), self.position())
        };
        self.call(wait, answer).await
    }

    async fn commit(&self, transaction: Transaction) -> Result<Position> {
        let answer = async {
            for (key, value, _) in transaction.writes {
                self.write(key, value);
            }
            for key in transaction.removes {
                self.remove(key);
            }
            self.position()
        };
        self.call(Duration::ZERO, answer).await
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease> {
        let answer = async {
            let mut data = self.lock();
            data.leases += 1;
            Lease { id: data.leases, ttl, era: ERA }
        };
        self.call(Duration::ZERO, answer).await
    }

    async fn renew(&self, _lease: Lease) -> Result<u64> {
        self.call(Duration::ZERO, async { ERA }).await
    }

    async fn revoke(&self, _lease: Lease) -> Result<()> {
        self.call(Duration::ZERO, async {}).await
    }
}
