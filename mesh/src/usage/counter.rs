//! Counts of requests by team and window.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use compact_str::CompactString;

/// The maximum number of windows that are kept. A report is due two windows after its own in all known deployments; the
/// others are for a jump of the time of day.
const MAX_WINDOWS: usize = 8;

/// The maximum number of teams in a window. Requests of further teams are not counted.
pub(crate) const MAX_TEAMS: usize = 1_024;

/// The maximum length of a team's name in bytes. Requests of teams with longer names are not counted.
pub(crate) const MAX_TEAM_BYTES: usize = 128;

/// The number of requests of each team.
pub(crate) type Counts = BTreeMap<CompactString, u64>;

/// Returns the window that contains a time of day.
pub(crate) fn window_at(unix: Duration, window: Duration) -> u64 {
    let index = unix.as_micros() / window.as_micros().max(1);
    u64::try_from(index).unwrap_or(u64::MAX)
}

/// Returns the time of day at which a window ends.
pub(crate) fn window_end(index: u64, window: Duration) -> Duration {
    let micros = (u128::from(index) + 1) * window.as_micros();
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}

/// The counts of the last windows. Each request is counted in one window, also if the time of day jumps.
#[derive(Debug)]
pub(crate) struct Counter {
    window: Duration,
    /// The windows in the order in which their first requests came, which after a jump is not that of their numbers.
    windows: VecDeque<(u64, Counts)>,
    uncounted: u64,
}

impl Counter {
    pub(crate) fn new(window: Duration) -> Counter {
        Counter { window, windows: VecDeque::new(), uncounted: 0 }
    }

    /// Counts a request and returns its window, or `None` beyond the bounds.
    pub(crate) fn begin(&mut self, unix: Duration, team: &str) -> Option<u64> {
        let index = window_at(unix, self.window);
        let position = self.windows.iter().position(|(known, _)| *known == index);
        let position = position.unwrap_or_else(|| {
            if self.windows.len() >= MAX_WINDOWS {
                self.windows.pop_front();
            }
            self.windows.push_back((index, Counts::new()));
            self.windows.len() - 1
        });
        let counts = &mut self.windows[position].1;
        let is_new = !counts.contains_key(team);
        if team.len() > MAX_TEAM_BYTES || (is_new && counts.len() >= MAX_TEAMS) {
            self.uncounted += 1;
            return None;
        }
        *counts.entry(team.into()).or_default() += 1;
        Some(index)
    }

    /// Takes back a request that did not begin to run.
    pub(crate) fn undo(&mut self, index: u64, team: &str) {
        let counts = self.windows.iter_mut().find(|(known, _)| *known == index);
        let Some((_, counts)) = counts else { return };
        let Some(count) = counts.get_mut(team) else { return };
        *count = count.saturating_sub(1);
        if *count == 0 {
            counts.remove(team);
        }
    }

    pub(crate) fn counts(&self, index: u64) -> Counts {
        let counts = self.windows.iter().find(|(known, _)| *known == index);
        counts.map(|(_, counts)| counts.clone()).unwrap_or_default()
    }

    /// Returns the counts of all windows.
    pub(crate) fn all(&self) -> Vec<(u64, Counts)> {
        self.windows.iter().cloned().collect()
    }

    /// Returns and resets the number of requests that were not counted because of the bounds.
    pub(crate) fn take_uncounted(&mut self) -> u64 {
        std::mem::take(&mut self.uncounted)
    }
}

#[cfg(test)]
mod tests;
