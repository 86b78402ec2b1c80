//! Lifetimes that have ended or are leaving, and proof that a heartbeat is none of theirs.

use std::time::Duration;

use crate::time::Time;

use super::Lifetime;

/// The most ended lifetimes that are remembered, so that a delayed heartbeat does not revive one.
const MAX_ENDED: usize = 16;

/// The shortest time over which heartbeats prove that their sender runs and stays. Heartbeats that were delayed arrive
/// within a shorter time.
const STEADY_TIME: Duration = Duration::from_secs(5);

/// The fewest heartbeats of such a series.
const MIN_STEADY_HEARTBEATS: u32 = 3;

/// Heartbeats of one lifetime that were received in the order in which they were sent.
#[derive(Clone, Debug)]
pub(super) struct HeartbeatSeries {
    since: Time,
    sequence: u64,
    count: u32,
}

impl HeartbeatSeries {
    pub(super) fn new(now: Time, sequence: u64) -> HeartbeatSeries {
        HeartbeatSeries { since: now, sequence, count: 1 }
    }

    pub(super) fn record(&mut self, sequence: u64) {
        if sequence > self.sequence {
            self.sequence = sequence;
            self.count += 1;
        }
    }

    /// Returns whether the sender goes on, so that its heartbeats are not delayed ones.
    pub(super) fn is_steady(&self, now: Time) -> bool {
        self.count >= MIN_STEADY_HEARTBEATS && now.since(self.since) >= STEADY_TIME
    }
}

/// Whether a lifetime can be one that has ended.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum Judgement {
    /// It is none of those that have ended.
    Other,
    /// It has left.
    Ended,
    /// It has ended, started before one that has ended, or is a later one under the same id.
    Doubtful,
}

/// The lifetimes that ended last, or deregistered before they were known.
#[derive(Clone, Debug, Default)]
pub(super) struct EndedLifetimes {
    entries: Vec<EndedLifetime>,
}

#[derive(Clone, Debug)]
struct EndedLifetime {
    lifetime: Lifetime,
    at: Time,
    /// Whether it said itself that it leaves. Otherwise another one spoke in its place.
    has_left: bool,
}

impl EndedLifetimes {
    pub(super) fn push(&mut self, now: Time, lifetime: Lifetime, has_left: bool) {
        let is_same = |entry: &EndedLifetime| entry.lifetime == lifetime;
        let has_left =
            has_left || self.entries.iter().any(|entry| is_same(entry) && entry.has_left);
        self.entries.retain(|entry| !is_same(entry));
        if self.entries.len() >= MAX_ENDED {
            self.entries.remove(0);
        }
        self.entries.push(EndedLifetime { lifetime, at: now, has_left });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Judges the lifetime of a heartbeat. `absent_at` is when the target was last found not to run, which a restart under
    /// the same id requires.
    pub(super) fn judge(&self, lifetime: &Lifetime, absent_at: Option<Time>) -> Judgement {
        let mut judgement = Judgement::Other;
        for EndedLifetime { lifetime: ended, at, has_left } in &self.entries {
            let has_restarted = match (ended.started_ms, lifetime.started_ms) {
                _ if ended.id != lifetime.id => continue,
                (Some(before), Some(started)) if before == started && *has_left => {
                    return Judgement::Ended;
                }
                (Some(before), Some(started)) => before < started,
                // A deregistration need not state the start.
                _ => absent_at > Some(*at),
            };
            if !has_restarted {
                judgement = Judgement::Doubtful;
            }
        }
        judgement
    }
}
