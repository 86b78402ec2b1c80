//! Time as plain data: the reducer receives the current time with each event and never reads a clock.

use std::{
    ops::{Add, AddAssign},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Monotonic time in microseconds since the process started.
///
/// It is never compared between processes, because no safety property may depend on synchronised clocks.
#[derive(
    Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// The start of the process.
    pub const ZERO: Time = Time(0);

    /// Creates a time from microseconds since the process started.
    pub const fn from_micros(us: u64) -> Time {
        Time(us)
    }

    /// Returns the microseconds since the process started.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time `duration` earlier, or zero if that is before it.
    pub const fn saturating_sub(self, duration: Duration) -> Time {
        Time(self.0.saturating_sub(duration.as_micros() as u64))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` lies in the future.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, d: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(d.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, d: Duration) {
        *self = *self + d;
    }
}

/// Wall-clock time in milliseconds since the Unix epoch; used for rollout schedules only.
#[derive(
    Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(u64);

impl WallTime {
    /// Creates a wall-clock time from milliseconds since the Unix epoch.
    pub const fn from_millis(ms: u64) -> WallTime {
        WallTime(ms)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}
