//! The operators' key-value store, behind the [`Platform`] trait.
//!
//! `docs/design.md` section 4.3 lists the keys. All keys share one revision, which every write
//! increments.

pub mod http;
pub mod memory;

use std::{future::Future, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use snafu::Snafu;

pub use self::{http::Http, memory::Memory};

/// The maximum size of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The maximum size of a key in bytes. The longest keys consist of two names and a digest.
pub const MAX_KEY_BYTES: usize = 512;

/// The most entries that one list or watch returns.
pub const MAX_ENTRIES: usize = 1_024;

/// The most bytes of values that one list or watch returns, unless its first entry alone is larger.
pub const MAX_RESULT_BYTES: usize = 4_000_000;

/// The longest time that one watch waits for a change; a longer wait is cut to it.
pub const MAX_WAIT: Duration = Duration::from_secs(30);

/// The result of a platform call.
pub type Result<T, E = PlatformError> = std::result::Result<T, E>;

/// The platform as a node sees it.
///
/// It is a trait because the platform is an external service. A read fails with [`PlatformError::Unavailable`] only;
/// a write whose answer is lost fails with [`PlatformError::Unknown`].
pub trait Platform: Send + Sync + 'static {
    /// Reads the entry of a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>>> + Send;

    /// Writes a key if its entry is as expected, and returns the revision of the write.
    ///
    /// With a lease, the entry is deleted when the lease ends.
    fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<u64>> + Send;

    /// Deletes a key if its entry is as expected, and returns the shared revision afterwards.
    ///
    /// Deleting an absent key with [`Expect::Any`] changes nothing.
    fn delete(&self, key: &str, expect: Expect) -> impl Future<Output = Result<u64>> + Send;

    /// Reads the entries whose keys start with a prefix, in the order of their keys.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing>> + Send;

    /// Waits until a key that starts with a prefix has changed after a revision, at most for `wait`.
    ///
    /// If nothing has changed by then, the result has no changes.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched>> + Send;

    /// Opens a lease that ends `ttl` after its last renewal.
    fn lease(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId>> + Send;

    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<()>> + Send;

    /// Ends a lease and deletes its entries; a lease that has already ended is no error.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<()>> + Send;
}

/// The precondition of a write on the current entry.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Expect {
    /// Any entry or none.
    Any,
    /// No entry.
    Absent,
    /// An entry last written at this revision.
    Revision(u64),
}

/// Identifies a lease.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The value.
    #[serde(serialize_with = "write_bytes", deserialize_with = "read_bytes")]
    pub value: Bytes,
    /// The revision of the write.
    pub revision: u64,
    /// The lease with which the entry ends.
    pub lease: Option<LeaseId>,
}

/// The entries below a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The shared revision at which the entries were read; a watch continues from here.
    pub revision: u64,
    /// The entries in the order of their keys.
    pub entries: Vec<(CompactString, Entry)>,
    /// Whether entries are missing because [`MAX_ENTRIES`] or [`MAX_RESULT_BYTES`] was reached.
    pub more: bool,
}

/// The result of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watched {
    /// The revision up to which `changes` is complete; the next watch continues from here.
    pub revision: u64,
    /// The changed keys in the order of their revisions; a deleted key has no entry.
    pub changes: Vec<(CompactString, Option<Entry>)>,
    /// Whether `changes` lists the present entries instead of a difference, because the platform no longer
    /// knows what was deleted after the given revision.
    pub snapshot: bool,
}

/// A platform call failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// The entry is not as expected; nothing took effect.
    #[snafu(display("the entry is not as expected; its revision is {current:?}"))]
    Conflict {
        /// The revision of the present entry, if there is one.
        current: Option<u64>,
    },
    /// The value exceeds [`MAX_VALUE_BYTES`]; nothing took effect.
    #[snafu(display("a value of {size} bytes exceeds the limit of {MAX_VALUE_BYTES} bytes"))]
    TooLarge {
        /// The size of the value in bytes.
        size: usize,
    },
    /// The key is empty, longer than [`MAX_KEY_BYTES`] or has characters other than `a-z A-Z 0-9 . _ - /`.
    #[snafu(display("the key has an invalid form"))]
    InvalidKey,
    /// The lease has ended; nothing took effect.
    #[snafu(display("the lease has ended"))]
    LeaseLost,
    /// The platform could not be reached or rejected the call; nothing took effect.
    #[snafu(display("the platform is unavailable: {reason}"))]
    Unavailable {
        /// The cause.
        reason: CompactString,
    },
    /// The answer to a write was lost; the write may have taken effect or may still take effect.
    #[snafu(display("the outcome of the write is unknown: {reason}"))]
    Unknown {
        /// The cause.
        reason: CompactString,
    },
}

/// The platform implementation that the settings select.
#[derive(Clone, Debug)]
pub enum AnyPlatform {
    /// A platform reached over HTTP.
    Http(Http),
    /// A platform in this process's memory.
    Memory(Memory),
}

macro_rules! delegate {
    ($self:ident, $p:ident => $call:expr) => {
        match $self {
            AnyPlatform::Http($p) => $call.await,
            AnyPlatform::Memory($p) => $call.await,
        }
    };
}

impl Platform for AnyPlatform {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        delegate!(self, p => p.get(key))
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<u64> {
        delegate!(self, p => p.put(key, value, expect, lease))
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<u64> {
        delegate!(self, p => p.delete(key, expect))
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        delegate!(self, p => p.list(prefix))
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Watched> {
        delegate!(self, p => p.watch(prefix, after, wait))
    }

    async fn lease(&self, ttl: Duration) -> Result<LeaseId> {
        delegate!(self, p => p.lease(ttl))
    }

    async fn renew(&self, lease: LeaseId) -> Result<()> {
        delegate!(self, p => p.renew(lease))
    }

    async fn revoke(&self, lease: LeaseId) -> Result<()> {
        delegate!(self, p => p.revoke(lease))
    }
}

/// Checks the form of a key, so that it needs no escaping in any adapter.
fn check_key(key: &str) -> Result<()> {
    if key.is_empty() {
        return InvalidKeySnafu.fail();
    }
    check_prefix(key)
}

/// Checks the form of a prefix, which unlike a key may be empty.
fn check_prefix(prefix: &str) -> Result<()> {
    let valid = |b: u8| b.is_ascii_alphanumeric() || b"._-/".contains(&b);
    if prefix.len() > MAX_KEY_BYTES || !prefix.bytes().all(valid) {
        return InvalidKeySnafu.fail();
    }
    Ok(())
}

fn write_bytes<S: Serializer>(bytes: &Bytes, s: S) -> std::result::Result<S::Ok, S::Error> {
    bytes.as_ref().serialize(s)
}

fn read_bytes<'de, D: Deserializer<'de>>(d: D) -> std::result::Result<Bytes, D::Error> {
    Vec::<u8>::deserialize(d).map(Bytes::from)
}
