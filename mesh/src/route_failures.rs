//! The failure rate of each route at the target, which distinguishes a failing route from a failing target.
//!
//! A request fails without a fault of its target if it needs a nested call for which no target is available. Such
//! requests take slots from requests that would succeed.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::time::Time;

/// The weight of a new outcome in the moving average of a failure rate.
const OUTCOME_WEIGHT: f64 = 0.1;

/// The half-life of a failure rate in seconds. It decays so that the route is tried again.
const HALF_LIFE_S: f64 = 2.0;

/// The failure rate from which a route counts as mostly failing.
const MOSTLY_FAILING_RATE: f64 = 0.5;

/// The highest failure rate of a healthy route, as a share of that of a mostly failing one. If no other route is
/// healthy, the fault is the target's.
const HEALTHY_SHARE: f64 = 0.5;

/// The most routes whose failure rate is tracked.
const MAX_ROUTES: usize = 256;

/// A failure rate that decays with time.
#[derive(Copy, Clone, Debug, Default)]
struct FailureRate {
    rate: f64,
    updated_at: Time,
}

impl FailureRate {
    fn get(&self, now: Time) -> f64 {
        self.rate * 0.5_f64.powf(now.since(self.updated_at).as_secs_f64() / HALF_LIFE_S)
    }

    fn record(&mut self, now: Time, is_failure: bool) {
        let rate = self.get(now);
        self.rate = rate + (f64::from(u8::from(is_failure)) - rate) * OUTCOME_WEIGHT;
        self.updated_at = now;
    }
}

/// Failure rates at one target, by route.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteFailures {
    routes: HashMap<CompactString, FailureRate>,
}

impl RouteFailures {
    /// Records the outcome of a request of a route.
    pub(crate) fn record(&mut self, now: Time, route: &CompactString, is_failure: bool) {
        if let Some(rate) = self.routes.get_mut(route) {
            rate.record(now, is_failure);
        } else if self.routes.len() < MAX_ROUTES {
            let mut rate = FailureRate::default();
            rate.record(now, is_failure);
            self.routes.insert(route.clone(), rate);
        }
    }

    /// Returns whether most requests of a route fail at this target while another route is healthy.
    pub(crate) fn mostly_fails(&self, now: Time, route: &str) -> bool {
        let Some(rate) = self.routes.get(route).map(|rate| rate.get(now)) else { return false };
        let is_healthy = |(other, other_rate): (&CompactString, &FailureRate)| {
            other != route && other_rate.get(now) <= rate * HEALTHY_SHARE
        };
        rate >= MOSTLY_FAILING_RATE && self.routes.iter().any(is_healthy)
    }

    /// Clears all rates, which belong to an earlier lifetime of the target.
    pub(crate) fn clear(&mut self) {
        self.routes.clear();
    }
}

#[cfg(test)]
mod tests;
