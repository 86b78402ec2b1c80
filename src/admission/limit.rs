//! The concurrency limit of one target.

use std::time::Duration;

use crate::time::Time;

/// The limit at the beginning of cold start, when the target has little capacity and fails under full load.
const INITIAL_LIMIT: f64 = 2.0;

/// Slots reserved for requests to the target's own endpoints.
const RESERVED_SLOTS: u16 = 1;

/// Answers per window in cold start. The limit is adjusted once per window.
const COLD_WINDOW_ANSWERS: u32 = 8;

/// Answers per window after cold start. With exponential service times, the mean of 16 answers exceeds
/// twice the true mean in fewer than 1 of 1,000 windows.
const WARM_WINDOW_ANSWERS: u32 = 16;

/// The ratio of the mean latency to that before the last doubling above which a cold target counts as overloaded.
const COLD_OVERLOAD_RATIO: f64 = 1.5;

/// The ratio of the mean latency to the baseline above which the limit shrinks.
const SHRINK_RATIO: f64 = 2.0;

/// The ratio of the mean latency to the baseline above which the target is taken to be cold again.
const COLD_START_RATIO: f64 = 4.0;

/// The factor applied to the limit when it shrinks.
const SHRINK_FACTOR: f64 = 0.7;

/// Failures in one window after cold start at which the limit shrinks: a quarter of the window. Fewer failures are
/// attributed to the requests, not to the target.
const WARM_FAILURES: u32 = 4;

/// Failures in one window of cold start at which the limit returns to its initial value.
const COLD_FAILURES: u32 = 2;

/// Windows averaged for the first baseline. A single window would give a baseline that is too low, because the
/// shortest requests are answered first after a start.
const BASELINE_WINDOWS: u32 = 32;

/// Windows that the baseline needs before it is used.
const MIN_BASELINE_WINDOWS: u32 = 4;

/// The largest rise of the baseline per second, as a share of it. The baseline is a long-term value and must not
/// follow a slowdown of a few seconds.
const MAX_BASELINE_RISE: f64 = 0.1;

/// The largest fall of the baseline per second, as a share of it. It is larger than the rise because a baseline
/// that is too high hides faults.
const MAX_BASELINE_FALL: f64 = 0.2;

/// The weight of a new service time in the moving average.
const RECENT_WEIGHT: f64 = 0.1;

/// The number of requests that may run at once, adapted to the observed latency and failures.
#[derive(Clone, Debug)]
pub(super) struct ConcurrencyLimit {
    /// The upper bound of the limit.
    max: f64,
    limit: f64,
    is_cold: bool,
    window: Window,
    /// The mean latency before the last doubling in cold start, or zero if there was none.
    before_doubling_us: f64,
    /// The long-term mean latency, or zero before the end of the first cold start.
    baseline_us: f64,
    baseline_windows: u32,
    baseline_updated: Time,
    /// The moving average of the latency, or zero before the first answer.
    recent_us: f64,
}

/// Observations since the last adjustment of the limit.
#[derive(Copy, Clone, Debug, Default)]
struct Window {
    answers: u32,
    failures: u32,
    sum_us: f64,
    /// The largest number of requests that ran at once.
    peak: usize,
}

impl ConcurrencyLimit {
    /// Creates the limit of a target that has just started.
    pub(super) fn new(slots: u16, now: Time) -> ConcurrencyLimit {
        let max = f64::from(slots.saturating_sub(RESERVED_SLOTS).max(1));
        ConcurrencyLimit {
            max,
            limit: INITIAL_LIMIT.min(max),
            is_cold: true,
            window: Window::default(),
            before_doubling_us: 0.0,
            baseline_us: 0.0,
            baseline_windows: 0,
            baseline_updated: now,
            recent_us: 0.0,
        }
    }

    pub(super) fn get(&self) -> u16 {
        self.limit as u16
    }

    pub(super) fn is_cold(&self) -> bool {
        self.is_cold
    }

    /// Returns the moving average of the service time in microseconds.
    pub(super) fn service_us(&self) -> f64 {
        self.recent_us
    }

    pub(super) fn request_started(&mut self, running: usize) {
        self.window.peak = self.window.peak.max(running);
    }

    pub(super) fn request_answered(&mut self, now: Time, latency: Duration) {
        let us = latency.as_micros() as f64;
        let is_first = self.recent_us == 0.0;
        self.recent_us =
            if is_first { us } else { self.recent_us + (us - self.recent_us) * RECENT_WEIGHT };
        self.window.answers += 1;
        self.window.sum_us += us;
        let size = if self.is_cold { COLD_WINDOW_ANSWERS } else { WARM_WINDOW_ANSWERS };
        if self.window.answers < size {
            return;
        }
        let window = std::mem::take(&mut self.window);
        let mean = window.sum_us / f64::from(window.answers);
        if self.is_cold {
            self.adjust_cold(mean, window.peak);
        } else {
            self.adjust_warm(mean, window.peak);
        }
        self.update_baseline(now, mean);
    }

    pub(super) fn request_failed(&mut self) {
        self.window.failures += 1;
        if self.is_cold && self.window.failures >= COLD_FAILURES {
            self.enter_cold_start();
        } else if !self.is_cold && self.window.failures >= WARM_FAILURES {
            self.shrink();
            self.window = Window::default();
        }
    }

    fn adjust_cold(&mut self, mean: f64, peak: usize) {
        let is_within_capacity = (self.before_doubling_us == 0.0
            || mean <= self.before_doubling_us * COLD_OVERLOAD_RATIO)
            && mean <= self.baseline() * COLD_START_RATIO;
        if !is_within_capacity {
            self.limit = (self.limit / 2.0).max(INITIAL_LIMIT).min(self.max);
            self.before_doubling_us = 0.0;
        } else if mean <= self.baseline() * SHRINK_RATIO && peak as f64 * 2.0 >= self.limit {
            self.limit = (self.limit * 2.0).min(self.max);
            self.before_doubling_us = mean;
            self.is_cold = self.limit < self.max / 2.0;
        }
    }

    fn adjust_warm(&mut self, mean: f64, peak: usize) {
        if mean > self.baseline() * COLD_START_RATIO {
            self.enter_cold_start();
        } else if mean > self.baseline() * SHRINK_RATIO {
            self.shrink();
        } else if peak as f64 >= self.limit.floor() {
            // A limit that was not reached is not proven to be safe, so it does not grow.
            self.limit = (self.limit + 1.0).min(self.max);
        }
    }

    /// Shrinks the limit, and enters cold start if it falls below half of its upper bound. Callers give a cold target a
    /// small share of their requests, whereas they would avoid a slow target entirely and it would stay cold.
    fn shrink(&mut self) {
        self.limit *= SHRINK_FACTOR;
        if self.limit < self.max / 2.0 {
            self.enter_cold_start();
        }
    }

    /// Returns to cold start. The baseline is kept, so that it does not adopt the latency of the cold target.
    fn enter_cold_start(&mut self) {
        self.limit = INITIAL_LIMIT.min(self.max);
        self.is_cold = true;
        self.before_doubling_us = 0.0;
        self.window = Window::default();
    }

    /// Returns the long-term mean latency, or infinity while too few windows are known.
    fn baseline(&self) -> f64 {
        if self.baseline_windows < MIN_BASELINE_WINDOWS { f64::INFINITY } else { self.baseline_us }
    }

    fn update_baseline(&mut self, now: Time, mean: f64) {
        // Limited to one second, so that the first window after an idle period cannot replace the baseline.
        let seconds = now.since(self.baseline_updated).as_secs_f64().min(1.0);
        self.baseline_updated = now;
        if self.baseline_windows < BASELINE_WINDOWS {
            // Windows of the first cold start do not count towards the baseline.
            if !self.is_cold {
                self.baseline_windows += 1;
                self.baseline_us += (mean - self.baseline_us) / f64::from(self.baseline_windows);
            }
            return;
        }
        let rise = self.baseline_us * MAX_BASELINE_RISE * seconds;
        let fall = self.baseline_us * MAX_BASELINE_FALL * seconds;
        self.baseline_us += (mean - self.baseline_us).clamp(-fall, rise);
    }
}
