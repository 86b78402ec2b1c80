use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// The most states kept for lagging endpoints; older ones are dropped, which shortens the lag under high rates.
const MAX_STATES: usize = 65_536;

/// The load as the load endpoint shows it.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadView {
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Slots available now.
    pub slots: u32,
    /// Whether the target is in cold start.
    pub cold: bool,
    /// Whether the target refuses new requests.
    pub draining: bool,
}

/// Recent states with the time at which each began.
#[derive(Debug, Default)]
pub(super) struct History {
    states: VecDeque<(Instant, LoadView)>,
}

impl History {
    /// Adds the state that begins `now`, and forgets those that ended more than `keep` ago.
    pub(super) fn push(&mut self, now: Instant, view: LoadView, keep: Duration) {
        if self.states.back().is_some_and(|(_, last)| *last == view) {
            return;
        }
        self.states.push_back((now, view));
        while self.states.len() > 1
            && (self.states.len() > MAX_STATES || now.duration_since(self.states[1].0) >= keep)
        {
            self.states.pop_front();
        }
    }

    /// Returns the state in force `lag` before `now`, or the oldest known.
    pub(super) fn at(&self, now: Instant, lag: Duration) -> LoadView {
        let past = self.states.iter().rev().find(|(t, _)| now.duration_since(*t) >= lag);
        past.or(self.states.front()).map(|(_, v)| *v).unwrap_or_default()
    }
}
