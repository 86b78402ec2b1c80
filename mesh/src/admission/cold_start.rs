//! The rate limit of a target in cold start.

use std::time::Duration;

use crate::time::Time;

/// The burst that a cold target may get, as a share of its rate.
const COLD_BURST_SHARE: f64 = 0.05;

/// The lowest rate in requests per second, so that every cold target warms up.
const MIN_COLD_RATE: f64 = 0.5;

/// The share of the permitted request rate that a cold target gets. A cold target is slow: at a higher rate all of its
/// slots are taken, and its answers to nested calls are late.
const COLD_RATE_SHARE: f64 = 0.78;

/// A token bucket that limits the request rate of a target in cold start.
#[derive(Copy, Clone, Debug)]
pub(super) struct ColdStartLimiter {
    /// The most requests in any second: the tokens refilled within it plus a full burst.
    max_rate: f64,
    tokens: f64,
    refilled_at: Time,
}

impl ColdStartLimiter {
    /// Creates a limiter for a target that tolerates `bound` requests in any second.
    pub(super) fn new(now: Time, bound: f64) -> ColdStartLimiter {
        ColdStartLimiter { max_rate: bound * COLD_RATE_SHARE, tokens: 1.0, refilled_at: now }
    }

    pub(super) fn set_bound(&mut self, bound: f64) {
        self.max_rate = bound * COLD_RATE_SHARE;
    }

    /// Records that a request starts.
    pub(super) fn take(&mut self) {
        self.tokens -= 1.0;
    }

    fn burst(&self) -> f64 {
        (self.max_rate * COLD_BURST_SHARE).max(1.0)
    }

    pub(super) fn rate(&self) -> f64 {
        (self.max_rate - self.burst()).max(MIN_COLD_RATE)
    }

    fn refill(&mut self, now: Time) {
        let refilled = now.since(self.refilled_at).as_secs_f64() * self.rate();
        self.tokens = (self.tokens + refilled).min(self.burst());
        self.refilled_at = now;
    }

    /// Returns the time until the next request may start.
    pub(super) fn wait(&mut self, now: Time) -> Duration {
        self.refill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / self.rate())
    }
}
