//! An in-memory platform with fault injection, for tests and for the stand-in server.

mod state;

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, sleep_until, timeout},
};

pub use self::state::MAX_DELETIONS;

use self::state::State;
use super::{
    Entry, Expect, LeaseId, Listing, MAX_WAIT, Platform, Result, UnavailableSnafu, UnknownSnafu,
    Watched, check_key, check_prefix,
};

/// An in-memory platform. Clones share their content.
#[derive(Clone, Default)]
pub struct Memory {
    shared: Arc<Shared>,
    timeout: Option<Duration>,
}

/// The injected faults; the default injects none.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every call fails without effect.
    pub outage: bool,
    /// The time in milliseconds added to each call, one half before it takes effect and one half after.
    pub slow_ms: u64,
    /// The number of writes that still take effect but whose answers are lost.
    pub lose: u32,
}

/// The number of calls by kind, including failed ones. A watch counts once, however long it waits.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stats {
    /// Reads of one key.
    pub get: u64,
    /// Writes of one key.
    pub put: u64,
    /// Deletions of one key.
    pub delete: u64,
    /// Reads of a prefix.
    pub list: u64,
    /// Watches.
    pub watch: u64,
    /// Leases opened.
    pub lease: u64,
    /// Lease renewals.
    pub renew: u64,
    /// Leases revoked.
    pub revoke: u64,
}

impl Stats {
    /// Returns the number of calls that change the platform's state.
    pub fn writes(&self) -> u64 {
        self.put + self.delete + self.lease + self.renew + self.revoke
    }

    /// Returns the number of calls that only read.
    pub fn reads(&self) -> u64 {
        self.get + self.list + self.watch
    }
}

impl Memory {
    /// Creates an empty platform without faults.
    pub fn new() -> Memory {
        Memory::default()
    }

    /// Returns a handle whose calls time out after `limit`.
    pub fn with_timeout(mut self, limit: Duration) -> Memory {
        self.timeout = Some(limit);
        self
    }

    /// Replaces the faults. An outage ends the watches that wait.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
        self.shared.changed.notify_waiters();
    }

    /// Returns the present faults.
    pub fn faults(&self) -> Faults {
        self.state().faults
    }

    /// Returns the number of calls so far.
    pub fn stats(&self) -> Stats {
        self.state().stats
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // Each operation leaves the state consistent before it can panic.
        let mut state = self.shared.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.expire(Instant::now()) {
            self.shared.changed.notify_waiters();
        }
        state
    }

    /// Counts a call, fails it during an outage and returns half of the added time.
    fn begin(&self, count: impl FnOnce(&mut Stats)) -> Result<Duration> {
        let mut state = self.state();
        count(&mut state.stats);
        if state.faults.outage {
            return UnavailableSnafu { reason: "outage" }.fail();
        }
        Ok(Duration::from_millis(state.faults.slow_ms) / 2)
    }

    async fn read<T>(
        &self,
        count: impl FnOnce(&mut Stats),
        f: impl FnOnce(&mut State) -> Result<T>,
    ) -> Result<T> {
        let call = async {
            let half_delay = self.begin(count)?;
            pause(half_delay).await;
            let result = f(&mut self.state());
            pause(half_delay).await;
            result
        };
        match self.timeout {
            None => call.await,
            Some(limit) => timeout(limit, call)
                .await
                .unwrap_or_else(|_| UnavailableSnafu { reason: "timeout" }.fail()),
        }
    }

    async fn write<T>(
        &self,
        count: impl FnOnce(&mut Stats),
        f: impl FnOnce(&mut State) -> Result<T>,
    ) -> Result<T> {
        let call = async {
            let half_delay = self.begin(count)?;
            pause(half_delay).await;
            let (result, lost) = {
                let mut state = self.state();
                let result = f(&mut state);
                let lost = state.faults.lose > 0;
                state.faults.lose = state.faults.lose.saturating_sub(1);
                (result, lost)
            };
            self.shared.changed.notify_waiters();
            pause(half_delay).await;
            if lost { UnknownSnafu { reason: "answer lost" }.fail() } else { result }
        };
        match self.timeout {
            None => call.await,
            Some(limit) => timeout(limit, call)
                .await
                .unwrap_or_else(|_| UnknownSnafu { reason: "timeout" }.fail()),
        }
    }

    async fn wait(&self, prefix: &str, after: u64, wait: Duration) -> Result<Watched> {
        let half_delay = self.begin(|s| s.watch += 1)?;
        pause(half_delay).await;
        let end = Instant::now() + wait;
        let watched = loop {
            let notified = self.shared.changed.notified();
            tokio::pin!(notified);
            // Register before reading the state, so that a change in between is not missed.
            notified.as_mut().enable();
            let (watched, expiry) = {
                let state = self.state();
                if state.faults.outage {
                    return UnavailableSnafu { reason: "outage" }.fail();
                }
                (state.changes(prefix, after), state.expiries.first().map(|(at, _)| *at))
            };
            if watched.snapshot || !watched.changes.is_empty() || Instant::now() >= end {
                break watched;
            }
            tokio::select! {
                () = notified => {}
                () = sleep_until(expiry.map_or(end, |at| at.min(end))) => {}
            }
        };
        pause(half_delay).await;
        Ok(watched)
    }
}

impl fmt::Debug for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Memory").field("timeout", &self.timeout).finish_non_exhaustive()
    }
}

impl Platform for Memory {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        check_key(key)?;
        self.read(|s| s.get += 1, |state| Ok(state.entries.get(key).cloned())).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<u64> {
        check_key(key)?;
        self.write(|s| s.put += 1, |state| state.put(key, value, expect, lease)).await
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<u64> {
        check_key(key)?;
        self.write(|s| s.delete += 1, |state| state.delete(key, expect)).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        check_prefix(prefix)?;
        self.read(|s| s.list += 1, |state| Ok(state.list(prefix))).await
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Watched> {
        check_prefix(prefix)?;
        let wait = wait.min(MAX_WAIT);
        let call = self.wait(prefix, after, wait);
        match self.timeout {
            None => call.await,
            Some(limit) => timeout(limit + wait, call)
                .await
                .unwrap_or_else(|_| UnavailableSnafu { reason: "timeout" }.fail()),
        }
    }

    async fn lease(&self, ttl: Duration) -> Result<LeaseId> {
        self.write(|s| s.lease += 1, |state| Ok(state.lease(Instant::now(), ttl))).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<()> {
        self.write(|s| s.renew += 1, |state| state.renew(Instant::now(), lease)).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<()> {
        let end_lease = |state: &mut State| {
            state.end(lease);
            Ok(())
        };
        self.write(|s| s.revoke += 1, end_lease).await
    }
}

async fn pause(d: Duration) {
    if !d.is_zero() {
        sleep(d).await;
    }
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}
