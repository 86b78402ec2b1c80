//! Progressive rollout of a new version of a service: the share of traffic that the version
//! receives, the evidence about it, and the verdict.
//!
//! Every node counts the responses of its own target and sends the counts to the other nodes, so
//! all nodes judge the same counts. Each node that sees evidence against a version stops sending
//! requests to it; one node records the outcome.

mod evidence;

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::time::Time;

use self::evidence::Evidence;
pub(crate) use self::evidence::{MemberSample, Tallies, Verdict};

/// The fraction of the exposure bound that a new version receives during its trial.
const TRIAL_EXPOSURE: f64 = 0.6;

/// The fraction of the rollout's duration after which the trial may end if no fault was found.
const MIN_TRIAL_FRACTION: f64 = 0.4;

/// The fraction of the rollout's duration after which the trial ends even if the version has served
/// few requests.
const MAX_TRIAL_FRACTION: f64 = 0.6;

/// The number of successful responses of the new version with which the trial may end.
const MIN_TRIAL_RESPONSES: u32 = 25;

/// The load test after the trial: one target of the new version is kept at its limit, so that
/// faults that occur only under load show before many requests are exposed to them.
const LOAD_TEST_DURATION: Duration = Duration::from_millis(800);

/// The pause after the load test, in which its responses arrive.
const LOAD_TEST_PAUSE: Duration = Duration::from_millis(700);

/// The share of requests that the new version receives after the load test.
const PARTIAL_SHARE: f64 = 0.35;

/// The time for which the new version receives [`PARTIAL_SHARE`].
const PARTIAL_SHARE_DURATION: Duration = Duration::from_millis(800);

/// The time over which the share rises from [`PARTIAL_SHARE`] to all requests.
const RAMP_DURATION: Duration = Duration::from_millis(500);

/// The time from the end of the trial until the new version receives all requests.
const SHIFT_DURATION: Duration = LOAD_TEST_DURATION
    .saturating_add(LOAD_TEST_PAUSE)
    .saturating_add(PARTIAL_SHARE_DURATION)
    .saturating_add(RAMP_DURATION);

/// The minimum time for which the new version carries all requests before the rollout is completed,
/// because completion ends the old targets at once.
const SETTLE_DURATION: Duration = Duration::from_millis(1_000);

/// The fraction of the rollout's duration from which the old targets receive no requests. Before
/// it, both versions carry requests once the new one is proven, because the old targets still add
/// capacity.
const NEW_ONLY_FRACTION: f64 = 0.75;

/// The fraction of the rollout's duration after which a rollout is completed even if old targets
/// still run requests.
const FORCED_COMPLETION_FRACTION: f64 = 0.9;

/// Differences up to this bound between two nodes' ages of an order are not corrected.
const AGE_TOLERANCE: Duration = Duration::from_millis(200);

/// An operator's order to move a service's traffic to another version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: CompactString,
    /// The version that receives the traffic.
    pub version: CompactString,
    /// The time within which the rollout must be completed or rolled back.
    pub duration: Duration,
}

/// The state of a rollout.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// Traffic is moving.
    Running,
    /// The new version carries all traffic; the old targets are stopped.
    Completed,
    /// The new version receives no more requests.
    RolledBack,
}

impl RolloutState {
    pub(crate) const fn is_final(self) -> bool {
        !matches!(self, RolloutState::Running)
    }
}

/// The state of a rollout as it is recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The service.
    pub service: CompactString,
    /// The version that the rollout introduces.
    pub version: CompactString,
    /// The state.
    pub state: RolloutState,
}

/// A rollout as this node sees it.
#[derive(Clone, Debug)]
pub(crate) struct Rollout {
    pub(crate) order: RolloutOrder,
    first_seen: Time,
    /// The age of the order when this node first saw it, as reported by other nodes.
    initial_age: Duration,
    /// The age of the order at which the trial ended and traffic began to shift.
    shift_age: Option<Duration>,
    pub(crate) state: Option<RolloutState>,
    /// Whether the version has carried all requests without a fault.
    is_proven: bool,
    /// Whether the evidence suffices to stop sending requests to the version.
    pub(crate) is_stopped: bool,
    /// The outcome and when this node found it. The time determines when each node may record it.
    pub(crate) decision: Option<(Time, RolloutState)>,
    evidence: Evidence,
}

/// The progress of a rollout, exchanged between nodes so that a node that starts during a rollout
/// continues at the same phase as the others.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RolloutProgress {
    /// The hash of the service and the version.
    pub(crate) order_hash: u32,
    /// The age of the order in milliseconds.
    pub(crate) age_ms: u32,
    /// The age of the order in milliseconds at which the trial ended.
    pub(crate) shift_age_ms: Option<u32>,
    pub(crate) is_stopped: bool,
}

/// The sums over all targets of a service that run the new version, or over those that run another
/// one.
#[derive(Copy, Clone, Debug, Default, PartialEq)]
pub(crate) struct VersionTotals {
    pub(crate) running: u32,
    pub(crate) open_targets: u32,
}

impl Rollout {
    pub(crate) fn new(now: Time, order: RolloutOrder) -> Rollout {
        Rollout {
            order,
            first_seen: now,
            initial_age: Duration::ZERO,
            shift_age: None,
            state: None,
            is_proven: false,
            is_stopped: false,
            decision: None,
            evidence: Evidence::default(),
        }
    }

    /// Applies the state that the store holds for this rollout. A final state stays, because a store that has returned
    /// from an earlier copy of its state may hold the state before it.
    pub(crate) fn apply_record(&mut self, record: &RolloutRecord) {
        let is_outdated = self.is_over() && !record.state.is_final();
        if record.version == self.order.version && !is_outdated {
            self.state = Some(record.state);
            match record.state {
                RolloutState::Running => {}
                // The old targets have stopped and only this version is left, so findings of this
                // node no longer count.
                RolloutState::Completed => self.is_stopped = false,
                RolloutState::RolledBack => self.is_stopped = true,
            }
        }
    }

    /// Returns the progress to send to other nodes.
    pub(crate) fn progress(&self, now: Time) -> RolloutProgress {
        let ms = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        RolloutProgress {
            order_hash: self.order_hash(),
            age_ms: ms(self.elapsed(now)),
            shift_age_ms: self.shift_age.map(ms),
            is_stopped: self.is_stopped,
        }
    }

    /// Merges the progress that another node reports.
    pub(crate) fn merge_progress(&mut self, now: Time, progress: &RolloutProgress) {
        if progress.order_hash != self.order_hash() {
            return;
        }
        let age = Duration::from_millis(progress.age_ms.into());
        if let Some(more) = age.checked_sub(self.elapsed(now)).filter(|more| *more > AGE_TOLERANCE)
        {
            self.initial_age += more;
        }
        let shift = progress.shift_age_ms.map(|ms| Duration::from_millis(ms.into()));
        self.shift_age = match (self.shift_age, shift) {
            (Some(own), Some(other)) => Some(own.min(other)),
            (own, other) => own.or(other),
        };
        if progress.is_stopped && !self.is_stopped {
            self.is_stopped = true;
            self.decide(now, RolloutState::RolledBack);
        }
    }

    /// Updates the evidence and judges the version. An outcome is left in `decision`, to be
    /// recorded.
    pub(crate) fn judge(&mut self, now: Time, samples: &[MemberSample]) -> Verdict {
        if self.is_over() {
            return Verdict::NoFault;
        }
        self.evidence.update(now, samples);
        let verdict = self.evidence.judge(self.is_proven);
        if verdict != Verdict::NoFault {
            self.is_stopped = true;
            self.decide(now, RolloutState::RolledBack);
            return verdict;
        }
        let (new, old) = version_totals(samples);
        let elapsed = self.elapsed(now);
        let fraction = elapsed.as_secs_f64() / self.order.duration.as_secs_f64().max(0.1);
        let is_sampled =
            self.evidence.total.new.good >= MIN_TRIAL_RESPONSES && fraction >= MIN_TRIAL_FRACTION;
        if self.shift_age.is_none()
            && new.open_targets > 0
            && (is_sampled || fraction >= MAX_TRIAL_FRACTION)
        {
            self.shift_age = Some(elapsed);
        }
        if let Some(shift) = self.shift_age {
            let is_settled = elapsed >= shift + SHIFT_DURATION + SETTLE_DURATION;
            let is_doubtful = self.evidence.is_doubtful(self.is_proven);
            self.is_proven |= is_settled && !is_doubtful;
            let is_due = fraction >= FORCED_COMPLETION_FRACTION;
            let is_old_idle = fraction >= NEW_ONLY_FRACTION && old.running == 0;
            if new.open_targets > 0 && self.is_proven && !is_doubtful && (is_old_idle || is_due) {
                self.decide(now, RolloutState::Completed);
            } else if is_due && is_doubtful {
                self.is_stopped = true;
                self.decide(now, RolloutState::RolledBack);
                return Verdict::Failing;
            }
        }
        verdict
    }

    /// Returns the share of requests that the new version receives. `max_exposure` bounds it while the
    /// version may be faulty.
    pub(crate) fn share(&self, now: Time, max_exposure: f64) -> f64 {
        if self.is_stopped {
            return 0.0;
        }
        if self.state == Some(RolloutState::Completed) {
            return 1.0;
        }
        let trial = max_exposure * TRIAL_EXPOSURE;
        let Some(shift) = self.shift_age else { return trial };
        if self.is_load_test(now) {
            return 1.0;
        }
        let since = self.elapsed(now).saturating_sub(shift + LOAD_TEST_DURATION);
        let Some(since) = since.checked_sub(LOAD_TEST_PAUSE) else { return trial };
        let Some(rising) = since.checked_sub(PARTIAL_SHARE_DURATION) else {
            return PARTIAL_SHARE.max(trial);
        };
        let fraction = (rising.as_secs_f64() / RAMP_DURATION.as_secs_f64()).min(1.0);
        PARTIAL_SHARE + (1.0 - PARTIAL_SHARE) * fraction
    }

    /// Returns whether the load test is running, in which exactly one target of the new version is
    /// kept at its limit.
    pub(crate) fn is_load_test(&self, now: Time) -> bool {
        let since = self.shift_age.and_then(|shift| self.elapsed(now).checked_sub(shift));
        !self.is_stopped && since.is_some_and(|since| since < LOAD_TEST_DURATION)
    }

    /// Returns whether both versions carry requests, because the new one has proven that it can
    /// serve all of them.
    pub(crate) fn uses_both_versions(&self, now: Time) -> bool {
        let fraction = self.elapsed(now).as_secs_f64() / self.order.duration.as_secs_f64().max(0.1);
        self.is_proven && !self.is_stopped && fraction < NEW_ONLY_FRACTION
    }

    /// Returns whether the rollout is completed or rolled back.
    pub(crate) fn is_over(&self) -> bool {
        self.state.is_some_and(RolloutState::is_final)
    }

    /// Returns the state to record and since when it is pending, unless the record already shows
    /// it.
    pub(crate) fn pending_record(&self) -> Option<(Time, RolloutState)> {
        if self.is_over() {
            return None;
        }
        match self.decision {
            Some(decision) => Some(decision),
            None if self.state.is_none() => Some((self.first_seen, RolloutState::Running)),
            None => None,
        }
    }

    /// Returns the counts of all responses so far.
    pub(crate) fn tallies(&self) -> &Tallies {
        &self.evidence.total
    }

    fn elapsed(&self, now: Time) -> Duration {
        self.initial_age + now.since(self.first_seen)
    }

    fn order_hash(&self) -> u32 {
        let mut hasher = DefaultHasher::new();
        (&self.order.service, &self.order.version).hash(&mut hasher);
        hasher.finish() as u32
    }

    fn decide(&mut self, now: Time, state: RolloutState) {
        // A fault found later overrides a completion that is not recorded yet.
        match self.decision {
            Some((_, known)) if known == state || known == RolloutState::RolledBack => {}
            _ => self.decision = Some((now, state)),
        }
    }
}

fn version_totals(samples: &[MemberSample]) -> (VersionTotals, VersionTotals) {
    let (mut new, mut old) = (VersionTotals::default(), VersionTotals::default());
    for sample in samples {
        let totals = if sample.is_new { &mut new } else { &mut old };
        totals.running += sample.running;
        totals.open_targets += u32::from(sample.is_open);
    }
    (new, old)
}

#[cfg(test)]
mod tests;
