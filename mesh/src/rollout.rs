//! Moving a service's traffic to another version: the share of the new version, evidence and verdict.
//!
//! Every node counts what its own target answers and tells the others, so all nodes judge the same counts. A bad
//! version stops receiving requests at each node that sees the evidence; one node records the outcome.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{directory::Tally, time::Time};

/// The part of the exposure bound that the trial of a new version uses.
const TRIAL_PART: f64 = 0.6;

/// The part of the time for a rollout after which a version without faults receives all requests.
const TRIAL_TIME: f64 = 0.4;

/// The part of the time after which the trial ends even if the version has had few requests.
const LONGEST_TRIAL: f64 = 0.6;

/// The answers of the new version that are enough to end the trial.
const TRIAL_ANSWERS: u32 = 25;

/// The time over which the share rises from the trial's to all requests. Faults that show only under load must show
/// before many requests have met them.
const SHIFT_TIME: Duration = Duration::from_millis(1_500);

/// The shortest time after the shift in which the new version carries all requests before the rollout is completed,
/// because completing it ends the old targets at once.
const SETTLE_TIME: Duration = Duration::from_millis(800);

/// The part of the time after which a rollout is completed although old targets still run requests.
const LATEST_COMPLETION: f64 = 0.85;

/// The fewest failures that count as evidence.
const MIN_FAILURES: u32 = 4;

/// The excess of the new version's share of failures over that of the old one.
const FAILURE_EXCESS: f64 = 0.12;

/// The fewest answers of each version whose service times are compared.
const MIN_ANSWERS: u32 = 12;

/// The ratio of mean service times from which a version counts as slow.
const SLOW_RATIO: f64 = 2.2;

/// An operators' order to move a service's traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: CompactString,
    /// The version to which its traffic moves.
    pub version: CompactString,
    /// The time within which the move must be done or undone.
    pub duration: Duration,
}

/// How far a rollout is.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// Traffic is moving.
    Running,
    /// The new version carries all traffic; the old targets end at once.
    Completed,
    /// The new version receives nothing any more.
    RolledBack,
}

/// The recorded state of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The service.
    pub service: CompactString,
    /// The version that the record is about.
    pub version: CompactString,
    /// The state.
    pub state: RolloutState,
}

/// What the evidence says of a version.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Too little is known, or nothing is wrong.
    NoFault,
    /// It fails more often than the old version.
    Failing,
    /// It is slower than the old version.
    Slow,
}

/// One rollout as this node sees it.
#[derive(Clone, Debug)]
pub(crate) struct Rollout {
    pub(crate) order: RolloutOrder,
    since: Time,
    /// When the trial ended, if it has.
    shift: Option<Time>,
    pub(crate) state: Option<RolloutState>,
    /// Whether this node has seen enough to stop using the version.
    pub(crate) is_stopped: bool,
    /// When the outcome was found, which orders the nodes that may record it.
    pub(crate) decided: Option<(Time, RolloutState)>,
}

/// What all members of a service with one kind of version report.
#[derive(Copy, Clone, Debug, Default, PartialEq)]
pub(crate) struct Side {
    pub(crate) tally: Tally,
    pub(crate) running: u32,
    pub(crate) open: u32,
}

impl Side {
    pub(crate) fn add(&mut self, tally: &Tally, running: u16, is_open: bool) {
        self.tally.good += tally.good;
        self.tally.bad += tally.bad;
        self.tally.slowness = self.tally.slowness.saturating_add(tally.slowness);
        self.tally.timed += tally.timed;
        self.tally.sent += tally.sent;
        self.running += u32::from(running);
        self.open += u32::from(is_open);
    }
}

impl Rollout {
    pub(crate) fn new(now: Time, order: RolloutOrder) -> Rollout {
        Rollout { order, since: now, shift: None, state: None, is_stopped: false, decided: None }
    }

    /// Takes the recorded state of the rollout.
    pub(crate) fn recorded(&mut self, record: &RolloutRecord) {
        if record.version == self.order.version {
            self.state = Some(record.state);
            self.is_stopped |= record.state == RolloutState::RolledBack;
        }
    }

    /// Looks at the evidence; the outcome, if there is one, is to be recorded.
    pub(crate) fn judge(&mut self, now: Time, new: &Side, old: &Side) -> Verdict {
        if self.is_over() {
            return Verdict::NoFault;
        }
        let verdict = compare(&new.tally, &old.tally);
        if verdict != Verdict::NoFault {
            self.is_stopped = true;
            self.decide(now, RolloutState::RolledBack);
            return verdict;
        }
        let part = now.since(self.since).as_secs_f64() / self.order.duration.as_secs_f64().max(0.1);
        let is_known = new.tally.good >= TRIAL_ANSWERS && part >= TRIAL_TIME;
        if self.shift.is_none() && new.open > 0 && (is_known || part >= LONGEST_TRIAL) {
            self.shift = Some(now);
        }
        if let Some(shift) = self.shift {
            let is_settled = now.since(shift) >= SHIFT_TIME + SETTLE_TIME;
            let is_empty = old.running == 0;
            if new.open > 0 && is_settled && (is_empty || part >= LATEST_COMPLETION) {
                self.decide(now, RolloutState::Completed);
            }
        }
        verdict
    }

    /// Returns the share of requests for the new version; `exposure` is the bound while it may be bad.
    pub(crate) fn share(&self, now: Time, exposure: f64) -> f64 {
        if self.is_stopped {
            return 0.0;
        }
        if self.state == Some(RolloutState::Completed) {
            return 1.0;
        }
        let trial = exposure * TRIAL_PART;
        let Some(shift) = self.shift else { return trial };
        let part = now.since(shift).as_secs_f64() / SHIFT_TIME.as_secs_f64();
        (trial + (1.0 - trial) * part * part).min(1.0)
    }

    /// Returns whether nothing remains to be decided.
    pub(crate) fn is_over(&self) -> bool {
        matches!(self.state, Some(RolloutState::Completed | RolloutState::RolledBack))
    }

    /// Returns the state to record and since when, if the record does not show it yet.
    pub(crate) fn due(&self) -> Option<(Time, RolloutState)> {
        if self.is_over() {
            return None;
        }
        match self.decided {
            Some(decided) => Some(decided),
            None if self.state.is_none() => Some((self.since, RolloutState::Running)),
            None => None,
        }
    }

    fn decide(&mut self, now: Time, state: RolloutState) {
        // A fault found later outweighs a completion that is not recorded yet.
        match self.decided {
            Some((_, known)) if known == state || known == RolloutState::RolledBack => {}
            _ => self.decided = Some((now, state)),
        }
    }
}

/// Compares the answers of the new version with those of the old one over the same time.
pub(crate) fn compare(new: &Tally, old: &Tally) -> Verdict {
    let share = |tally: &Tally| f64::from(tally.bad) / f64::from((tally.good + tally.bad).max(1));
    let excess = share(new) - share(old);
    if new.bad >= MIN_FAILURES && excess >= FAILURE_EXCESS && share(new) >= 2.0 * share(old) {
        return Verdict::Failing;
    }
    let mean = |tally: &Tally| f64::from(tally.slowness) / f64::from(tally.timed.max(1));
    let enough = new.timed >= MIN_ANSWERS && old.timed >= MIN_ANSWERS;
    if enough && mean(new) > SLOW_RATIO * mean(old) {
        return Verdict::Slow;
    }
    Verdict::NoFault
}

#[cfg(any())]
mod tests;
