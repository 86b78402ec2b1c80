//! Counts of a target's answers, by which the versions of a service are compared.

use serde::{Deserialize, Serialize};

use crate::statistics::Proportion;

/// Counts of the answers in one lifetime of a target, kept by its node.
#[derive(Copy, Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Tally {
    /// Successful answers.
    pub(crate) good: u32,
    /// Answers with a failure.
    pub(crate) bad: u32,
    /// The sum of the nominal service times in milliseconds of successful answers outside cold start.
    pub(crate) service_ms: u32,
    /// The number of answers in that sum.
    pub(crate) timed: u32,
    /// Requests sent to the target.
    pub(crate) sent: u32,
    /// Successful answers to requests that started with at least half of the slots taken.
    pub(crate) loaded_good: u32,
    /// Failures of requests that started with at least half of the slots taken.
    pub(crate) loaded_bad: u32,
}

impl Tally {
    /// Adds the counts of another tally.
    pub(crate) fn add(&mut self, other: &Tally) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
        self.service_ms = self.service_ms.saturating_add(other.service_ms);
        self.timed = self.timed.saturating_add(other.timed);
        self.sent = self.sent.saturating_add(other.sent);
        self.loaded_good = self.loaded_good.saturating_add(other.loaded_good);
        self.loaded_bad = self.loaded_bad.saturating_add(other.loaded_bad);
    }

    /// Returns the share of failures among requests that started at a busy target.
    pub(crate) fn at_load(&self) -> Proportion {
        let trials = u64::from(self.loaded_good) + u64::from(self.loaded_bad);
        Proportion { hits: self.loaded_bad.into(), trials }
    }

    /// Returns the share of failures among the other requests.
    pub(crate) fn at_light_load(&self) -> Proportion {
        let Proportion { hits, trials } = self.at_load();
        let all = u64::from(self.good) + u64::from(self.bad);
        Proportion {
            hits: u64::from(self.bad).saturating_sub(hits),
            trials: all.saturating_sub(trials),
        }
    }

    /// Returns the difference to an earlier tally, or the whole tally if the counters were reset in between.
    pub(crate) fn since(&self, earlier: &Tally) -> Tally {
        if self.sent < earlier.sent || self.good < earlier.good || self.bad < earlier.bad {
            return *self;
        }
        Tally {
            good: self.good - earlier.good,
            bad: self.bad - earlier.bad,
            service_ms: self.service_ms.saturating_sub(earlier.service_ms),
            timed: self.timed.saturating_sub(earlier.timed),
            sent: self.sent - earlier.sent,
            loaded_good: self.loaded_good.saturating_sub(earlier.loaded_good),
            loaded_bad: self.loaded_bad.saturating_sub(earlier.loaded_bad),
        }
    }
}

#[cfg(test)]
mod tests;
