//! Moving a service's traffic to another version: the share of the new version, evidence and verdict.
//!
//! Every node counts what its own target answers and tells the others, so all nodes judge the same counts. A bad
//! version stops receiving requests at each node that sees the evidence; one node records the outcome.

mod evidence;

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::time::Time;

use self::evidence::Evidence;
pub(crate) use self::evidence::{Part, Tallies, Verdict};

/// The part of the exposure bound that the trial of a new version uses.
const TRIAL_PART: f64 = 0.6;

/// The part of the time for a rollout after which a version without faults receives all requests.
const TRIAL_TIME: f64 = 0.4;

/// The part of the time after which the trial ends even if the version has had few requests.
const LONGEST_TRIAL: f64 = 0.6;

/// The answers of the new version that are enough to end the trial.
const TRIAL_ANSWERS: u32 = 25;

/// The time after the trial for which one target of the new version is kept full, so that faults that show only under
/// load show before many requests have met them.
const LOAD_TEST_TIME: Duration = Duration::from_millis(800);

/// The pause behind the load test, for its answers to arrive.
const PAUSE_TIME: Duration = Duration::from_millis(700);

/// The share of requests after the load test.
const SHIFT_SHARE: f64 = 0.35;

/// The time for which the version gets that share.
const SHIFT_SHARE_TIME: Duration = Duration::from_millis(800);

/// The time over which the share rises from there to all requests.
const RISE_TIME: Duration = Duration::from_millis(500);

/// The time from the end of the trial to that at which the version gets all requests.
const SHIFT_TIME: Duration = LOAD_TEST_TIME
    .saturating_add(PAUSE_TIME)
    .saturating_add(SHIFT_SHARE_TIME)
    .saturating_add(RISE_TIME);

/// The shortest time after the shift in which the new version carries all requests before the rollout is completed,
/// because completing it ends the old targets at once.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// The part of the time from which the old targets receive nothing more. Before it, both versions carry requests once
/// the new one has proved itself, because the old targets are capacity as long as they run.
const FINAL_PART: f64 = 0.75;

/// The part of the time after which a rollout is completed although old targets still run requests.
const LATEST_COMPLETION: f64 = 0.9;

/// The difference of two nodes' ages of an order that is not corrected.
const AGE_SLACK: Duration = Duration::from_millis(200);

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

/// One rollout as this node sees it.
#[derive(Clone, Debug)]
pub(crate) struct Rollout {
    pub(crate) order: RolloutOrder,
    seen: Time,
    /// How old the order was when this node saw it, as other nodes tell.
    age: Duration,
    /// The age of the order at which the trial ended, if it has.
    shift: Option<Duration>,
    pub(crate) state: Option<RolloutState>,
    /// Whether the version has carried all requests without a fault.
    is_proven: bool,
    /// Whether enough was seen to stop using the version.
    pub(crate) is_stopped: bool,
    /// When the outcome was found, which orders the nodes that may record it.
    pub(crate) decided: Option<(Time, RolloutState)>,
    evidence: Evidence,
}

/// What nodes tell each other about a rollout, so that one that starts in its midst goes on where the others are.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RolloutNote {
    /// Stands for the service and the version.
    pub(crate) order: u32,
    /// The age of the order in milliseconds.
    pub(crate) age: u32,
    /// The age in milliseconds at which the trial ended, if it has.
    pub(crate) shift: Option<u32>,
    pub(crate) is_stopped: bool,
}

/// What all members of a service with one kind of version report at this moment.
#[derive(Copy, Clone, Debug, Default, PartialEq)]
pub(crate) struct Side {
    pub(crate) running: u32,
    pub(crate) open: u32,
}

impl Rollout {
    pub(crate) fn new(now: Time, order: RolloutOrder) -> Rollout {
        Rollout {
            order,
            seen: now,
            age: Duration::ZERO,
            shift: None,
            state: None,
            is_proven: false,
            is_stopped: false,
            decided: None,
            evidence: Evidence::default(),
        }
    }

    /// Takes the recorded state of the rollout.
    pub(crate) fn recorded(&mut self, record: &RolloutRecord) {
        if record.version == self.order.version {
            self.state = Some(record.state);
            match record.state {
                RolloutState::Running => {}
                // The old targets have ended, so the version is all that is left, whatever was found here.
                RolloutState::Completed => self.is_stopped = false,
                RolloutState::RolledBack => self.is_stopped = true,
            }
        }
    }

    /// Returns what other nodes are told.
    pub(crate) fn note(&self, now: Time) -> RolloutNote {
        let ms = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        RolloutNote {
            order: self.hash(),
            age: ms(self.elapsed(now)),
            shift: self.shift.map(ms),
            is_stopped: self.is_stopped,
        }
    }

    /// Takes what another node tells.
    pub(crate) fn noted(&mut self, now: Time, note: &RolloutNote) {
        if note.order != self.hash() {
            return;
        }
        let age = Duration::from_millis(note.age.into());
        if let Some(more) = age.checked_sub(self.elapsed(now)).filter(|more| *more > AGE_SLACK) {
            self.age += more;
        }
        let shift = note.shift.map(|ms| Duration::from_millis(ms.into()));
        self.shift = match (self.shift, shift) {
            (Some(own), Some(other)) => Some(own.min(other)),
            (own, other) => own.or(other),
        };
        if note.is_stopped && !self.is_stopped {
            self.is_stopped = true;
            self.decide(now, RolloutState::RolledBack);
        }
    }

    /// Looks at the evidence; the outcome, if there is one, is to be recorded.
    pub(crate) fn judge(&mut self, now: Time, parts: &[Part]) -> Verdict {
        if self.is_over() {
            return Verdict::NoFault;
        }
        self.evidence.gather(now, parts);
        let verdict = self.evidence.judge(self.is_proven);
        if verdict != Verdict::NoFault {
            self.is_stopped = true;
            self.decide(now, RolloutState::RolledBack);
            return verdict;
        }
        let (new, old) = sides(parts);
        let elapsed = self.elapsed(now);
        let part = elapsed.as_secs_f64() / self.order.duration.as_secs_f64().max(0.1);
        let is_known = self.evidence.total.new.good >= TRIAL_ANSWERS && part >= TRIAL_TIME;
        if self.shift.is_none() && new.open > 0 && (is_known || part >= LONGEST_TRIAL) {
            self.shift = Some(elapsed);
        }
        if let Some(shift) = self.shift {
            let is_settled = elapsed >= shift + SHIFT_TIME + SETTLE_TIME;
            let is_doubtful = self.evidence.is_doubtful(self.is_proven);
            self.is_proven |= is_settled && !is_doubtful;
            let is_latest = part >= LATEST_COMPLETION;
            let is_empty = part >= FINAL_PART && old.running == 0;
            if new.open > 0 && self.is_proven && !is_doubtful && (is_empty || is_latest) {
                self.decide(now, RolloutState::Completed);
            } else if is_latest && is_doubtful {
                self.is_stopped = true;
                self.decide(now, RolloutState::RolledBack);
                return Verdict::Failing;
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
        if self.is_load_test(now) {
            return 1.0;
        }
        let since = self.elapsed(now).saturating_sub(shift + LOAD_TEST_TIME);
        let Some(since) = since.checked_sub(PAUSE_TIME) else { return trial };
        let Some(rising) = since.checked_sub(SHIFT_SHARE_TIME) else {
            return SHIFT_SHARE.max(trial);
        };
        let part = (rising.as_secs_f64() / RISE_TIME.as_secs_f64()).min(1.0);
        SHIFT_SHARE + (1.0 - SHIFT_SHARE) * part
    }

    /// Returns whether one target of the new version is kept full, and only that one.
    pub(crate) fn is_load_test(&self, now: Time) -> bool {
        let since = self.shift.and_then(|shift| self.elapsed(now).checked_sub(shift));
        !self.is_stopped && since.is_some_and(|since| since < LOAD_TEST_TIME)
    }

    /// Returns whether both versions carry requests, since the new one has shown that it bears all of them.
    pub(crate) fn is_shared(&self, now: Time) -> bool {
        let part = self.elapsed(now).as_secs_f64() / self.order.duration.as_secs_f64().max(0.1);
        self.is_proven && !self.is_stopped && part < FINAL_PART
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
            None if self.state.is_none() => Some((self.seen, RolloutState::Running)),
            None => None,
        }
    }

    /// Returns all answers counted so far.
    pub(crate) fn tallies(&self) -> &Tallies {
        &self.evidence.total
    }

    fn elapsed(&self, now: Time) -> Duration {
        self.age + now.since(self.seen)
    }

    fn hash(&self) -> u32 {
        let mut hasher = DefaultHasher::new();
        (&self.order.service, &self.order.version).hash(&mut hasher);
        hasher.finish() as u32
    }

    fn decide(&mut self, now: Time, state: RolloutState) {
        // A fault found later outweighs a completion that is not recorded yet.
        match self.decided {
            Some((_, known)) if known == state || known == RolloutState::RolledBack => {}
            _ => self.decided = Some((now, state)),
        }
    }
}

fn sides(parts: &[Part]) -> (Side, Side) {
    let (mut new, mut old) = (Side::default(), Side::default());
    for part in parts {
        let side = if part.is_new { &mut new } else { &mut old };
        side.running += part.running;
        side.open += u32::from(part.is_open);
    }
    (new, old)
}

#[cfg(test)]
mod tests;
