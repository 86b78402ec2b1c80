//! How long work takes at a target: its pace at this moment, and the service time of each route at the usual pace.
//!
//! Neighbours on a shared host slow a target down for some hundred milliseconds at a time. A service time that is
//! divided by the pace at which the work ran says what the work costs, whatever the neighbours did.

use std::{collections::HashMap, time::Duration};

use compact_str::CompactString;

use crate::time::Time;

/// The age at which a reading of the pace counts half against the long-term mean.
const HALF_AGE: f64 = 0.4;

/// The weight of a reading in the long-term mean of the pace.
const MEAN_WEIGHT: f64 = 0.02;

/// The weight of a new service time.
const SERVICE_WEIGHT: f64 = 0.1;

/// The service time assumed before any was measured, in seconds.
const ASSUMED_SERVICE: f64 = 0.1;

/// The most routes with a service time of their own; others share the mean of all.
const MAX_ROUTES: usize = 256;

/// The pace of a target: 1 is usual, 4 means that work takes four times as long.
#[derive(Copy, Clone, Debug)]
pub(crate) struct Pace {
    last: f64,
    at: Time,
    mean: f64,
}

impl Pace {
    pub(crate) const fn new() -> Pace {
        Pace { last: 1.0, at: Time::ZERO, mean: 1.0 }
    }

    /// Notes a reading in per cent of the usual time.
    pub(crate) fn read(&mut self, now: Time, percent: u32) {
        let pace = f64::from(percent.clamp(10, 10_000)) / 100.0;
        self.last = pace;
        self.at = now;
        self.mean += (pace - self.mean) * MEAN_WEIGHT;
    }

    /// Returns the expected pace, which returns to the long-term mean as the last reading ages.
    pub(crate) fn get(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        let trust = 0.5_f64.powf(age / HALF_AGE);
        self.last * trust + self.mean * (1.0 - trust)
    }
}

/// Service times at the usual pace, by route.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTimes {
    routes: HashMap<CompactString, f64>,
    mean: Option<f64>,
}

impl ServiceTimes {
    /// Notes how long a request took at the given pace.
    pub(crate) fn measured(&mut self, route: &CompactString, took: Duration, pace: f64) {
        let usual = took.as_secs_f64() / pace.max(0.1);
        let mean = self.mean.get_or_insert(usual);
        *mean += (usual - *mean) * SERVICE_WEIGHT;
        if let Some(known) = self.routes.get_mut(route) {
            *known += (usual - *known) * SERVICE_WEIGHT;
        } else if self.routes.len() < MAX_ROUTES {
            self.routes.insert(route.clone(), usual);
        }
    }

    /// Returns the expected service time of a route at the usual pace.
    pub(crate) fn get(&self, route: &str) -> Duration {
        let known = self.routes.get(route).copied().or(self.mean);
        Duration::from_secs_f64(known.unwrap_or(ASSUMED_SERVICE))
    }

    /// Returns the mean over all requests at the usual pace.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean.unwrap_or(ASSUMED_SERVICE))
    }
}

#[cfg(any())]
mod tests;
