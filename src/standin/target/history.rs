use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Bounds the history for delayed endpoints. Older states are dropped, so the lag is shorter than configured at
/// high request rates.
const MAX_STATES: usize = 65_536;

/// The load as the load endpoint reports it.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadView {
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that are queued for a slot.
    pub queued: u32,
    /// Current number of slots.
    pub slots: u32,
    /// Whether the target is in cold start.
    pub cold: bool,
    /// Whether the target refuses new requests.
    pub draining: bool,
}

/// Recent load states, each with the time from which it applied.
#[derive(Debug, Default)]
pub(super) struct History {
    states: VecDeque<(Instant, LoadView)>,
}

impl History {
    /// Adds the state that applies from `now`, and drops states that ended `retention` ago or earlier.
    pub(super) fn push(&mut self, now: Instant, view: LoadView, retention: Duration) {
        if self.states.back().is_some_and(|(_, last)| *last == view) {
            return;
        }
        self.states.push_back((now, view));
        while self.states.len() > 1
            && (self.states.len() > MAX_STATES || now.duration_since(self.states[1].0) >= retention)
        {
            self.states.pop_front();
        }
    }

    /// Returns the state at `lag` before `now`, or the oldest recorded one.
    pub(super) fn at(&self, now: Instant, lag: Duration) -> LoadView {
        let past = self.states.iter().rev().find(|(t, _)| now.duration_since(*t) >= lag);
        past.or(self.states.front()).map(|(_, v)| *v).unwrap_or_default()
    }
}
