//! The delay after which an idempotent request is also sent to another target.

use std::time::Duration;

/// The share of requests that end before the delay. Hedging the slowest 5% costs at most 5% more requests.
const QUANTILE: f64 = 0.95;

/// The largest change of the estimate by one answer, as a share.
const STEP: f64 = 0.05;

/// Answers before the estimate is used.
const MIN_ANSWERS: u32 = 20;

/// The smallest delay. A hedge within the time of one exchange between nodes cannot know of an answer that is
/// on its way.
const MIN_DELAY: Duration = Duration::from_millis(2);

/// Tracks the 95th percentile of the response times of a service.
///
/// The estimate moves up by 95% of a step for each slower answer and down by 5% for each faster one, so it needs
/// no samples in memory.
#[derive(Copy, Clone, Debug, Default)]
pub(crate) struct HedgeDelay {
    us: f64,
    answers: u32,
}

impl HedgeDelay {
    /// Notes the response time of an answer.
    pub(crate) fn answered(&mut self, response: Duration) {
        let us = response.as_micros() as f64;
        self.answers = self.answers.saturating_add(1);
        if self.answers <= MIN_ANSWERS {
            self.us = self.us.max(us);
        } else if us > self.us {
            self.us *= 1.0 + STEP * QUANTILE;
        } else {
            self.us *= 1.0 - STEP * (1.0 - QUANTILE);
        }
    }

    /// Returns the delay, or `None` before enough answers are known.
    pub(crate) fn get(&self) -> Option<Duration> {
        let delay = Duration::from_micros(self.us as u64).max(MIN_DELAY);
        (self.answers >= MIN_ANSWERS).then_some(delay)
    }
}
