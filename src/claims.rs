//! Platform calls that write and read the claims of idempotency keys.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use tokio::{
    sync::{Mutex, mpsc},
    time::Instant,
};

use crate::{
    driver::Driver,
    effect::ClaimIo,
    event::{CallEvent, Event},
    identity::{CLAIM_LEASE, ClaimEvent, Identity},
    keys::CallKey,
    platform::{Expect, LeaseId, Platform, PlatformError},
};

/// The time for which new claims share one lease. With a lease of its own, each claim would cost two writes.
const LEASE_SHARING_TIME: Duration = Duration::from_secs(600);

/// Executes the platform calls of claims.
pub(crate) struct ClaimStore<P> {
    pub(crate) platform: Arc<P>,
    pub(crate) driver: Arc<Driver>,
    /// The lease of new claims, and the time from which another lease is requested.
    pub(crate) lease: Mutex<Option<(LeaseId, Instant)>>,
}

impl<P: Platform> ClaimStore<P> {
    /// Executes each requested call in a task of its own. The reducer's rate limit bounds how many wait.
    pub(crate) async fn run(
        self: Arc<Self>,
        mut requests: mpsc::UnboundedReceiver<(CallKey, ClaimIo)>,
    ) {
        while let Some((call, io)) = requests.recv().await {
            let this = self.clone();
            tokio::spawn(async move {
                let event = match io {
                    ClaimIo::Write { key, identity } => this.write(&key, identity).await,
                    ClaimIo::Read { key } => this.read(&key).await,
                };
                this.driver.dispatch(Event::Call(call, CallEvent::Claim(event)));
            });
        }
    }

    async fn write(&self, key: &str, identity: Identity) -> ClaimEvent {
        let Ok(lease) = self.shared_lease().await else { return ClaimEvent::Unavailable };
        let value = Bytes::from(identity.to_string());
        match self.platform.put(key, value, Expect::Absent, Some(lease)).await {
            Ok(_) => ClaimEvent::Written,
            Err(PlatformError::Conflict { .. }) => ClaimEvent::Conflict,
            Err(PlatformError::Unknown { .. }) => ClaimEvent::WriteUnknown,
            Err(PlatformError::LeaseLost) => {
                *self.lease.lock().await = None;
                ClaimEvent::Unavailable
            }
            Err(_) => ClaimEvent::Unavailable,
        }
    }

    async fn read(&self, key: &str) -> ClaimEvent {
        match self.platform.get(key).await {
            Ok(entry) => ClaimEvent::Read(entry.and_then(|entry| parse(&entry.value))),
            Err(_) => ClaimEvent::Unavailable,
        }
    }

    /// Returns the lease of new claims, and requests another one if it has been shared for [`LEASE_SHARING_TIME`].
    ///
    /// Every claim that shares a lease is held for at least [`CLAIM_LEASE`].
    async fn shared_lease(&self) -> Result<LeaseId, PlatformError> {
        let mut lease = self.lease.lock().await;
        if let Some((id, _)) = lease.filter(|(_, until)| Instant::now() < *until) {
            return Ok(id);
        }
        let id = self.platform.lease(CLAIM_LEASE + LEASE_SHARING_TIME).await?;
        *lease = Some((id, Instant::now() + LEASE_SHARING_TIME));
        Ok(id)
    }
}

fn parse(value: &[u8]) -> Option<Identity> {
    CompactString::from_utf8(value).ok()?.parse().ok()
}
