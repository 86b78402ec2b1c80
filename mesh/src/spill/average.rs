//! A moving average that follows small variations slowly and large ones fast.

/// The time constant in seconds of the fast average.
const FAST_S: f64 = 0.5;

/// The time constant in seconds of the slow average. Reports of single moments vary by several requests, and near its
/// limit a target stays busier or less busy than on average for a second or more.
const SLOW_S: f64 = 3.0;

/// The difference between both averages, as a part of the scale, above which the fast one counts.
const JUMP: f64 = 0.25;

/// A moving average.
#[derive(Copy, Clone, Debug, Default)]
pub(super) struct Average {
    /// The fast and the slow average, once there was a value.
    values: Option<(f64, f64)>,
}

impl Average {
    /// Adds a value after `interval` seconds and returns the average.
    pub(super) fn update(&mut self, new: f64, scale: f64, interval: f64) -> f64 {
        let (fast, slow) = self.values.unwrap_or((new, new));
        let follow = |known: f64, constant: f64| {
            let keep = (-interval / constant).exp();
            known * keep + new * (1.0 - keep)
        };
        let (fast, slow) = (follow(fast, FAST_S), follow(slow, SLOW_S));
        let slow = if (fast - slow).abs() > JUMP * scale { fast } else { slow };
        self.values = Some((fast, slow));
        slow
    }

    pub(super) fn get(&self) -> f64 {
        self.values.map_or(0.0, |(_, slow)| slow)
    }
}
