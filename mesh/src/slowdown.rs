//! The current slowdown of a target, and the nominal service time of each route.
//!
//! Other processes on a shared instance slow a target down for some hundred milliseconds at a time. Dividing a measured
//! service time by the slowdown at its start gives the nominal service time: the cost of the request at normal speed.

use std::{collections::HashMap, time::Duration};

use compact_str::CompactString;

/// The weight of a new measurement in a mean service time.
const SERVICE_WEIGHT: f64 = 0.1;

/// The nominal service time in seconds that is assumed before one has been measured.
const DEFAULT_SERVICE_S: f64 = 0.1;

/// The most routes whose service time is tracked; further ones count only in the mean of all routes.
const MAX_ROUTES: usize = 256;

/// The slowdown of a target relative to its normal speed: 1 is normal, at 4 requests take four times as long.
///
/// A request keeps the slowdown of its start, also if the target is fast again before it ends. So a target that is slow
/// for a moment makes a long request late.
#[derive(Copy, Clone, Debug)]
pub(crate) struct Slowdown {
    current: f64,
}

impl Slowdown {
    pub(crate) const fn new() -> Slowdown {
        Slowdown { current: 1.0 }
    }

    /// Records the current slowdown, as a percentage of the nominal service time.
    pub(crate) fn update(&mut self, percent: u32) {
        self.current = f64::from(percent.clamp(10, 10_000)) / 100.0;
    }

    /// Returns the current slowdown.
    pub(crate) fn get(&self) -> f64 {
        self.current
    }

    /// Returns the expected service time of a request that starts now and would take `nominal` at normal speed.
    pub(crate) fn service_time(&self, nominal: Duration) -> Duration {
        nominal.mul_f64(self.current)
    }
}

/// Mean nominal service times, by route and over all routes.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTimes {
    routes: HashMap<CompactString, f64>,
    mean: Option<f64>,
}

impl ServiceTimes {
    /// Records the service time of a request that ran at the given slowdown.
    pub(crate) fn record(&mut self, route: &CompactString, took: Duration, slowdown: f64) {
        let nominal = took.as_secs_f64() / slowdown.max(0.1);
        let mean = self.mean.get_or_insert(nominal);
        *mean += (nominal - *mean) * SERVICE_WEIGHT;
        if let Some(known) = self.routes.get_mut(route) {
            *known += (nominal - *known) * SERVICE_WEIGHT;
        } else if self.routes.len() < MAX_ROUTES {
            self.routes.insert(route.clone(), nominal);
        }
    }

    /// Returns the mean nominal service time of a route, if any of its requests was measured.
    pub(crate) fn get(&self, route: &str) -> Option<Duration> {
        self.routes.get(route).copied().map(Duration::from_secs_f64)
    }

    /// Returns the mean nominal service time over all routes.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean.unwrap_or(DEFAULT_SERVICE_S))
    }
}

#[cfg(test)]
mod tests;
