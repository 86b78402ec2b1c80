//! The clocks of the duty: one that includes suspension, and a time of day that withstands jumps.

use std::{
    fs,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicI64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use super::duty::Now;

/// The time since the start of the machine, suspension included (`CLOCK_BOOTTIME`), in steps of 10 ms. The crate has no
/// safe binding of `clock_gettime`.
const UPTIME_FILE: &str = "/proc/uptime";

/// The difference between the time of day and the other clocks from which on the time of day has jumped.
const JUMP_THRESHOLD: Duration = Duration::from_millis(250);

/// The time for which the time of day must keep a new offset before the windows follow it. A jump that is taken back
/// before does not move them.
const ADOPT_AFTER: Duration = Duration::from_secs(20);

/// Readings of the three clocks at one moment.
#[derive(Copy, Clone, Debug)]
pub(super) struct Reading {
    /// The monotonic clock, which may not count suspension.
    pub(super) steady: Duration,
    /// The time since the start of the machine, if it is known.
    pub(super) uptime: Option<Duration>,
    /// The time of day.
    pub(super) wall: Duration,
}

/// Combines readings into an elapsed time and a time of day.
#[derive(Debug)]
pub(super) struct Discipline {
    last: Reading,
    /// The time since the first reading, with suspensions that both the uptime and the time of day show. The windows follow
    /// it: an uptime that runs faster than the other clocks must not move them.
    basis: Duration,
    /// The time since the first reading by the clock that shows most, by which a lease counts.
    lease: Duration,
    /// The jumps of the time of day ahead so far. They may be suspensions that no other clock shows.
    leaps: Duration,
    /// The offset of the time of day from `basis` that the windows follow, in microseconds.
    offset: i64,
    /// Another offset that the time of day has had, and since when.
    jump: Option<(Duration, i64)>,
}

impl Discipline {
    pub(super) fn new(first: Reading) -> Discipline {
        let (basis, lease, leaps) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
        Discipline { last: first, basis, lease, leaps, offset: micros(first.wall), jump: None }
    }

    /// Applies a reading and returns by how many microseconds the time of day is ahead of the one that the windows follow.
    pub(super) fn observe(&mut self, reading: Reading) -> i64 {
        let last = std::mem::replace(&mut self.last, reading);
        let steady = reading.steady.saturating_sub(last.steady);
        let uptime = reading.uptime.zip(last.uptime).map(|(now, then)| now.saturating_sub(then));
        let uptime = uptime.unwrap_or_default();
        let wall = reading.wall.saturating_sub(last.wall);
        let longest = steady.max(uptime);
        let leap = wall.saturating_sub(longest);
        self.basis += steady.max(uptime.min(wall));
        self.lease += longest;
        if leap > JUMP_THRESHOLD {
            self.leaps += leap;
        }
        let offset = micros(reading.wall) - micros(self.basis);
        let is_near = |known: i64| (known - offset).abs() <= micros(JUMP_THRESHOLD);
        if is_near(self.offset) {
            (self.offset, self.jump) = (offset, None);
            return 0;
        }
        let since = match self.jump {
            Some((since, known)) if is_near(known) => since,
            _ => self.basis,
        };
        self.jump = Some((since, offset));
        if self.basis - since >= ADOPT_AFTER {
            (self.offset, self.jump) = (offset, None);
        }
        offset - self.offset
    }

    /// Returns the elapsed time that a lease counts by: no clock shows more.
    pub(super) fn elapsed(&self) -> Duration {
        self.lease + self.leaps
    }
}

/// The clocks of this process.
pub(super) struct UsageClock {
    started: Instant,
    discipline: Mutex<Discipline>,
    /// By how many microseconds the time of day is ahead of the one that the windows follow.
    skew: AtomicI64,
}

impl UsageClock {
    pub(super) fn new() -> UsageClock {
        let started = Instant::now();
        let discipline = Mutex::new(Discipline::new(read(started)));
        UsageClock { started, discipline, skew: AtomicI64::new(0) }
    }

    /// Reads all clocks.
    pub(super) fn now(&self) -> Now {
        let reading = read(self.started);
        let mut discipline = self.discipline.lock().unwrap_or_else(PoisonError::into_inner);
        let skew = discipline.observe(reading);
        self.skew.store(skew, Ordering::Relaxed);
        Now {
            clock: discipline.elapsed(),
            steady: reading.steady,
            unix: shift(reading.wall, skew),
            jitter: rand::random(),
        }
    }

    /// Returns the time of day for counting, without a call to the operating system's files.
    pub(super) fn unix(&self) -> Duration {
        shift(wall(), self.skew.load(Ordering::Relaxed))
    }
}

fn read(started: Instant) -> Reading {
    let uptime = fs::read_to_string(UPTIME_FILE).ok();
    let seconds = uptime.as_deref().and_then(|text| text.split(' ').next()?.parse().ok());
    let uptime = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    Reading { steady: started.elapsed(), uptime, wall: wall() }
}

fn wall() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

fn shift(wall: Duration, skew: i64) -> Duration {
    let micros = micros(wall).saturating_sub(skew);
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests;
