//! The concurrency limit of one target.

use std::time::Duration;

use crate::time::Time;

/// The limit of a target in cold start, which has little capacity and fails under full load.
const INITIAL_LIMIT: f64 = 2.0;

/// Slots that stay free for the target's own endpoints.
const SPARE_SLOTS: u16 = 1;

/// Answers compared at once in cold start.
const COLD_WINDOW: u32 = 8;

/// Answers compared at once after cold start. With exponential service times, the mean of 16 answers exceeds
/// twice the true mean in fewer than 1 of 1,000 windows.
const WARM_WINDOW: u32 = 16;

/// The rise of the mean latency after a doubling that shows that the target does not cope.
const COLD_RISE: f64 = 1.5;

/// The multiple of the baseline at which the limit shrinks.
const RISE: f64 = 2.0;

/// The multiple of the baseline that shows a return to cold start.
const COLD_JUMP: f64 = 4.0;

/// The factor by which the limit shrinks.
const SHRINK: f64 = 0.7;

/// Failures in one window at which the limit shrinks: a quarter of a window after cold start. A few failed
/// requests are the fault of the requests.
const WARM_FAILURES: u32 = 4;

/// Failures in one window in cold start at which the limit returns to its initial value.
const COLD_FAILURES: u32 = 2;

/// Windows over which the first baseline is averaged. A single window is a poor baseline: the first answers after
/// a start are the short ones.
const BASE_WINDOWS: u32 = 32;

/// Windows before the baseline is used.
const BASE_MIN_WINDOWS: u32 = 4;

/// The largest rise of the baseline per second, as a share. The baseline is long-term: it must not follow a
/// slowdown of a few seconds.
const BASE_RISE: f64 = 0.1;

/// The largest fall of the baseline per second, as a share. It is higher than the rise because a baseline that
/// is too high hides faults.
const BASE_FALL: f64 = 0.2;

/// The weight of a new service time in the recent mean.
const RECENT_WEIGHT: f64 = 0.1;

/// Adjusts the number of requests that may run at once from latency and failures.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    /// The largest limit.
    max: f64,
    limit: f64,
    cold: bool,
    window: Window,
    /// The mean latency before the last doubling in cold start; zero if there was none.
    step_us: f64,
    /// The long-term latency; zero before the end of the first cold start.
    base_us: f64,
    base_windows: u32,
    based: Time,
    /// The recent mean latency; zero before the first answer.
    recent_us: f64,
}

/// Observations since the last adjustment.
#[derive(Copy, Clone, Debug, Default)]
struct Window {
    answers: u32,
    failures: u32,
    sum_us: f64,
    /// The most requests running at once.
    peak: usize,
}

impl Limit {
    /// Creates the limit of a target that has just started.
    pub(super) fn new(slots: u16, now: Time) -> Limit {
        let max = f64::from(slots.saturating_sub(SPARE_SLOTS).max(1));
        Limit {
            max,
            limit: INITIAL_LIMIT.min(max),
            cold: true,
            window: Window::default(),
            step_us: 0.0,
            base_us: 0.0,
            base_windows: 0,
            based: now,
            recent_us: 0.0,
        }
    }

    pub(super) fn get(&self) -> u16 {
        self.limit as u16
    }

    pub(super) fn is_cold(&self) -> bool {
        self.cold
    }

    /// Returns the recent mean service time in microseconds.
    pub(super) fn service_us(&self) -> f64 {
        self.recent_us
    }

    pub(super) fn started(&mut self, running: usize) {
        self.window.peak = self.window.peak.max(running);
    }

    pub(super) fn answered(&mut self, now: Time, latency: Duration) {
        let us = latency.as_micros() as f64;
        let first = self.recent_us == 0.0;
        self.recent_us =
            if first { us } else { self.recent_us + (us - self.recent_us) * RECENT_WEIGHT };
        self.window.answers += 1;
        self.window.sum_us += us;
        let size = if self.cold { COLD_WINDOW } else { WARM_WINDOW };
        if self.window.answers < size {
            return;
        }
        let window = std::mem::take(&mut self.window);
        let mean = window.sum_us / f64::from(window.answers);
        if self.cold {
            self.adjust_cold(mean, window.peak);
        } else {
            self.adjust_warm(mean, window.peak);
        }
        self.update_base(now, mean);
    }

    pub(super) fn failed(&mut self) {
        self.window.failures += 1;
        if self.cold && self.window.failures >= COLD_FAILURES {
            self.restart();
        } else if !self.cold && self.window.failures >= WARM_FAILURES {
            self.shrink();
            self.window = Window::default();
        }
    }

    fn adjust_cold(&mut self, mean: f64, peak: usize) {
        let copes = (self.step_us == 0.0 || mean <= self.step_us * COLD_RISE)
            && mean <= self.base() * COLD_JUMP;
        if !copes {
            self.limit = (self.limit / 2.0).max(INITIAL_LIMIT).min(self.max);
            self.step_us = 0.0;
        } else if mean <= self.base() * RISE && peak as f64 * 2.0 >= self.limit {
            self.limit = (self.limit * 2.0).min(self.max);
            self.step_us = mean;
            self.cold = self.limit < self.max / 2.0;
        }
    }

    fn adjust_warm(&mut self, mean: f64, peak: usize) {
        if mean > self.base() * COLD_JUMP {
            self.restart();
        } else if mean > self.base() * RISE {
            self.shrink();
        } else if peak as f64 >= self.limit.floor() {
            // A limit that was not reached has not been shown to be safe, so it does not grow.
            self.limit = (self.limit + 1.0).min(self.max);
        }
    }

    /// Shrinks the limit. Below half of the largest limit, the target returns to cold start: callers then send it
    /// its small share, whereas they would avoid a slow target entirely and it would stay cold.
    fn shrink(&mut self) {
        self.limit *= SHRINK;
        if self.limit < self.max / 2.0 {
            self.restart();
        }
    }

    /// Returns to cold start. The baseline stays, so that the latency of the cold target does not become it.
    fn restart(&mut self) {
        self.limit = INITIAL_LIMIT.min(self.max);
        self.cold = true;
        self.step_us = 0.0;
        self.window = Window::default();
    }

    /// Returns the long-term latency, or infinity while it is not known.
    fn base(&self) -> f64 {
        if self.base_windows < BASE_MIN_WINDOWS { f64::INFINITY } else { self.base_us }
    }

    fn update_base(&mut self, now: Time, mean: f64) {
        // The bound on the time keeps the first window after an idle period from replacing the baseline.
        let seconds = now.since(self.based).as_secs_f64().min(1.0);
        self.based = now;
        if self.base_windows < BASE_WINDOWS {
            // The first cold start is no baseline.
            if !self.cold {
                self.base_windows += 1;
                self.base_us += (mean - self.base_us) / f64::from(self.base_windows);
            }
            return;
        }
        let rise = self.base_us * BASE_RISE * seconds;
        let fall = self.base_us * BASE_FALL * seconds;
        self.base_us += (mean - self.base_us).clamp(-fall, rise);
    }
}
