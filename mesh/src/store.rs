//! The interface to the store that holds the deployment's persistent state, which an adapter
//! implements.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use rand::Rng as _;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use tokio::time;

/// The delay after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);

/// The maximum delay after a failure, short enough to notice within a second that the store is
/// back.
const MAX_BACKOFF: Duration = Duration::from_millis(900);

/// A point in the history of the store.
///
/// The store may return from an earlier copy of its state. Then its era rises by one, and revisions
/// that were lost are assigned again to other changes, so a revision alone does not order changes.
#[derive(
    Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The number of returns from a copy so far; 0 if the store does not count them.
    pub era: u64,
    /// The revision within the era.
    pub revision: u64,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: CompactString,
    /// The value.
    pub value: Bytes,
    /// The revision of the last change.
    pub revision: u64,
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Item),
    /// The key was removed, or its lease ended.
    Removed {
        /// The key.
        key: CompactString,
        /// The revision of the removal.
        revision: u64,
    },
}

/// How recent the result of a read must be.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The result includes all earlier writes.
    Latest,
    /// The result may be seconds old; such a read costs less.
    AllowStale,
}

/// A lease, which removes the keys written under it when it ends.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The id that the store assigned.
    pub id: u64,
    /// The time after which the lease ends unless it is renewed.
    pub ttl: Duration,
    /// The era in which it was granted. In a later era the id may denote another lease.
    pub era: u64,
}

/// A set of writes and removals under conditions, applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys with the revisions that they must have; 0 means that the key must not exist.
    pub expected: Vec<(CompactString, u64)>,
    /// Keys to write, with their values and an optional lease.
    pub writes: Vec<(CompactString, Bytes, Option<Lease>)>,
    /// Keys to remove.
    pub removes: Vec<CompactString>,
}

/// A call to the store failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The store did not answer; the call may have been carried out, or may still be.
    #[snafu(display("the store did not answer: {reason}"))]
    Unanswered {
        /// The cause.
        reason: CompactString,
    },
    /// The store refused the call and did not carry it out.
    #[snafu(display("the store refused the call with status {status}"))]
    Refused {
        /// The status code.
        status: u16,
    },
    /// A condition of a transaction did not hold.
    #[snafu(display("a condition of the transaction does not hold"))]
    Conflict,
    /// The changes since the revision were compacted.
    #[snafu(display("the changes since this revision have been compacted"))]
    Compacted,
    /// The lease has ended.
    #[snafu(display("the lease has ended"))]
    NoLease,
    /// The store's answer cannot be parsed.
    #[snafu(display("the answer of the store cannot be read: {reason}"))]
    Unreadable {
        /// The error in the answer.
        reason: CompactString,
    },
}

/// The result of a call to the store.
pub type Result<T> = std::result::Result<T, StoreError>;

/// A client of the store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Makes the cheapest call there is, to find out whether the store answers. Its answer may be stale.
    fn ping(&self) -> impl Future<Output = Result<()>> + Send;

    /// Reads one key, and returns it with the era of the answer.
    fn get(&self, key: &str) -> impl Future<Output = Result<(Option<Item>, u64)>> + Send;

    /// Lists all keys below a prefix, and returns a position from which to watch them.
    fn list(
        &self,
        prefix: &str,
        freshness: Freshness,
    ) -> impl Future<Output = Result<(Vec<Item>, Position)>> + Send;

    /// Waits up to `wait` for changes below a prefix since a revision, and returns them with the
    /// position from which to continue. If its era is not that of the revision, the changes are not
    /// those since the revision.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<(Vec<Change>, Position)>> + Send;

    /// Applies a transaction as a whole or not at all, and returns the position of the write.
    fn commit(&self, transaction: Transaction) -> impl Future<Output = Result<Position>> + Send;

    /// Creates a lease.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease>> + Send;

    /// Renews a lease, and returns the era of the answer. If it is not that of the lease, the lease
    /// is lost.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<u64>> + Send;

    /// Ends a lease and removes its keys.
    fn revoke(&self, lease: Lease) -> impl Future<Output = Result<()>> + Send;
}

/// An update of the keys below a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// A complete list; keys that are not in it do not exist.
    Listed(Vec<Item>),
    /// Changes of single keys.
    Changed(Vec<Change>),
}

/// Delays between attempts that double up to [`MAX_BACKOFF`], randomised so that nodes do not retry
/// at the same time.
pub(crate) struct Backoff {
    next: Duration,
}

impl Backoff {
    pub(crate) const fn new() -> Backoff {
        Backoff { next: INITIAL_BACKOFF }
    }

    pub(crate) async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.6..1.0);
        time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(MAX_BACKOFF);
    }
}
