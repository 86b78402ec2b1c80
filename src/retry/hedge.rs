//! The delay after which an idempotent request is hedged: sent to a second target as well.

use std::time::Duration;

/// The share of requests that are answered within the delay. Hedging the slowest 5% adds at most 5% of requests.
const QUANTILE: f64 = 0.95;

/// The step by which one answer moves the estimate, as a share of it.
const STEP: f64 = 0.05;

/// Answers that the estimate needs before it is used.
const MIN_SAMPLES: u32 = 20;

/// The minimum delay. A hedge that is sent within one round trip between nodes cannot know of an answer that is already
/// on its way.
const MIN_DELAY: Duration = Duration::from_millis(2);

/// Estimates the 95th percentile of a service's response times without storing samples.
///
/// Each answer slower than the estimate raises it by 95% of a step, and each faster one lowers it by 5% of a step. In
/// balance, 5% of the answers are slower.
#[derive(Copy, Clone, Debug, Default)]
pub(crate) struct HedgeDelay {
    estimate_us: f64,
    answers: u32,
}

impl HedgeDelay {
    /// Records the response time of an answer.
    pub(crate) fn answered(&mut self, response: Duration) {
        let us = response.as_micros() as f64;
        self.answers = self.answers.saturating_add(1);
        if self.answers <= MIN_SAMPLES {
            self.estimate_us = self.estimate_us.max(us);
        } else if us > self.estimate_us {
            self.estimate_us *= 1.0 + STEP * QUANTILE;
        } else {
            self.estimate_us *= 1.0 - STEP * (1.0 - QUANTILE);
        }
    }

    /// Returns the delay, or `None` while there are too few answers.
    pub(crate) fn get(&self) -> Option<Duration> {
        let delay = Duration::from_micros(self.estimate_us as u64).max(MIN_DELAY);
        (self.answers >= MIN_SAMPLES).then_some(delay)
    }
}
