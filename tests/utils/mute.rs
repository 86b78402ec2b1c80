//! A platform that loses the answers about one key, for tests.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use poplarbarrow::platform::{
    Entry, Expect, LeaseId, Listing, Memory, Platform, PlatformError, Result, Watched,
};
use poplarbarrow::store::INDEX_KEY;

/// A platform that, while it is mute, answers no write of the index, and no read of it after such a write.
#[derive(Clone)]
pub(crate) struct Mute {
    pub(crate) inner: Memory,
    /// Whether writes that are not answered take effect.
    pub(crate) takes_effect: bool,
    is_mute: Arc<AtomicBool>,
    has_lost: Arc<AtomicBool>,
}

impl Mute {
    pub(crate) fn new(inner: Memory, takes_effect: bool) -> Mute {
        Mute { inner, takes_effect, is_mute: Arc::default(), has_lost: Arc::default() }
    }

    pub(crate) fn set(&self, is_mute: bool) {
        self.has_lost.store(false, Ordering::SeqCst);
        self.is_mute.store(is_mute, Ordering::SeqCst);
    }
}

impl Platform for Mute {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        if key == INDEX_KEY && self.has_lost.load(Ordering::SeqCst) {
            return Err(PlatformError::Unavailable { reason: "mute".into() });
        }
        self.inner.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<u64> {
        if key != INDEX_KEY || !self.is_mute.load(Ordering::SeqCst) {
            return self.inner.put(key, value, expect, lease).await;
        }
        if self.takes_effect {
            // A repeated write conflicts with the first, which must stay hidden too.
            let _ = self.inner.put(key, value, expect, lease).await;
        }
        self.has_lost.store(true, Ordering::SeqCst);
        Err(PlatformError::Unknown { reason: "mute".into() })
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<u64> {
        self.inner.delete(key, expect).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        self.inner.list(prefix).await
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Watched> {
        self.inner.watch(prefix, after, wait).await
    }

    async fn lease(&self, ttl: Duration) -> Result<LeaseId> {
        self.inner.lease(ttl).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<()> {
        self.inner.renew(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<()> {
        self.inner.revoke(lease).await
    }
}
