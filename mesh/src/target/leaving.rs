//! Notices that a lifetime leaves, and proof that one was not of the lifetime that runs.

use crate::time::Time;

use super::{Heartbeat, Lifetime, ended::HeartbeatSeries};

/// A notice that a lifetime leaves.
#[derive(Clone, Debug)]
pub(super) struct Leaving {
    pub(super) at: Time,
    /// Whether the notice stated the start of the lifetime. Otherwise it may be a late one of an earlier lifetime.
    states_start: bool,
    /// The heartbeats since then that contradict a notice without a start.
    heartbeats: Option<HeartbeatSeries>,
}

impl Leaving {
    pub(super) fn new(at: Time, lifetime: &Lifetime) -> Leaving {
        Leaving { at, states_start: lifetime.started_ms.is_some(), heartbeats: None }
    }

    /// Handles another notice, against which the proof begins anew.
    pub(super) fn repeat(&mut self, lifetime: &Lifetime) {
        self.states_start |= lifetime.started_ms.is_some();
        self.heartbeats = None;
    }

    /// Records a heartbeat that says that its sender is ready, and returns whether the sender has proved that the notice was not
    /// its own: a target that leaves sends no such series.
    pub(super) fn is_refuted(&mut self, now: Time, heartbeat: &Heartbeat) -> bool {
        if self.states_start || heartbeat.lifetime.started_ms.is_none() {
            return false;
        }
        let sequence = heartbeat.sequence;
        let heartbeats = self.heartbeats.get_or_insert_with(|| HeartbeatSeries::new(now, sequence));
        heartbeats.record(sequence);
        heartbeats.is_steady(now)
    }
}
