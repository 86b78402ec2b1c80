//! Rollouts: the version that serves a request, and recording of outcomes.

use std::time::Duration;

use compact_str::CompactString;
use rand::Rng as _;

use crate::{
    directory::Member,
    effect::{Effect, Record},
    rollout::{
        MemberSample, Rollout, RolloutOrder, RolloutProgress, RolloutRecord, RolloutState, Tallies,
    },
    time::Time,
};

use super::Reducer;

/// The time by which each further node delays its turn to record an outcome that the nodes before it have not recorded.
const RECORDER_DELAY: Duration = Duration::from_millis(700);

/// The maximum number of nodes that take turns at recording an outcome.
const MAX_RECORDERS: usize = 5;

/// The maximum number of rollouts in one status datagram.
const MAX_ROLLOUTS_PER_STATUS: usize = 4;

/// The interval at which a node retries to record the same outcome.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The versions that may serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum VersionFilter {
    /// All versions.
    Any,
    /// Only this version.
    Only(CompactString),
    /// All known versions but this one.
    Except(CompactString),
}

impl VersionFilter {
    pub(super) fn allows(&self, member: &Member) -> bool {
        let version = &member.version;
        match self {
            VersionFilter::Any => true,
            VersionFilter::Only(only) => version == only,
            // A target whose version is not known yet may have the excluded one.
            VersionFilter::Except(except) => !version.is_empty() && version != except,
        }
    }
}

impl Reducer {
    pub(super) fn rollout_ordered(
        &mut self,
        now: Time,
        service: CompactString,
        order: Option<RolloutOrder>,
        out: &mut Vec<Effect>,
    ) {
        match order {
            None => {
                self.rollouts.remove(&service);
            }
            Some(order) if self.local.limits.max_exposure.is_none() => {
                self.log_rollout(&Rollout::new(now, order), "ignored", out);
            }
            Some(order) => {
                let is_known = self.rollouts.get(&service).is_some_and(|known| {
                    known.order.version == order.version && known.order.duration == order.duration
                });
                if !is_known {
                    let mut rollout = Rollout::new(now, order);
                    if let Some(record) = self.rollout_records.get(&service) {
                        rollout.apply_record(record);
                    }
                    self.log_rollout(&rollout, "ordered", out);
                    self.rollouts.insert(service, rollout);
                }
            }
        }
        self.update_admission(now, out);
    }

    pub(super) fn rollout_recorded(
        &mut self,
        now: Time,
        record: &RolloutRecord,
        out: &mut Vec<Effect>,
    ) {
        if self.note_recorded_state(now, record) {
            return;
        }
        self.rollout_records.insert(record.service.clone(), record.clone());
        let Some(rollout) = self.rollouts.get_mut(&record.service) else { return };
        let before = rollout.state;
        rollout.apply_record(record);
        if before != rollout.state {
            let rollout = rollout.clone();
            let stage = match record.state {
                RolloutState::Running => "running",
                RolloutState::Completed => "completed",
                RolloutState::RolledBack => "rolled-back",
            };
            self.log_rollout(&rollout, stage, out);
        }
        self.update_admission(now, out);
    }

    /// Evaluates all rollouts and records their states when it is this node's turn.
    pub(super) fn evaluate_rollouts(&mut self, now: Time, out: &mut Vec<Effect>) {
        let services: Vec<CompactString> =
            self.rollouts.iter().filter(|(_, r)| !r.is_over()).map(|(s, _)| s.clone()).collect();
        for service in services {
            let Some(mut rollout) = self.rollouts.get(&service).cloned() else { continue };
            let samples = self.samples(&rollout.order);
            let was_stopped = rollout.is_stopped;
            let verdict = rollout.judge(now, &samples);
            if rollout.is_stopped && !was_stopped {
                self.log_rollout(&rollout, verdict.as_str(), out);
            }
            if let Some((since, state)) = rollout.pending_record()
                && self.is_turn_to_record(now, since)
            {
                let version = rollout.order.version.clone();
                out.push(Effect::SaveRollout(RolloutRecord {
                    service: service.clone(),
                    version,
                    state,
                }));
            }
            self.rollouts.insert(service, rollout);
        }
    }

    /// Returns whether the version of the local target has been stopped and receives no more requests.
    pub(super) fn is_version_stopped(&self) -> bool {
        let Some(rollout) = self.rollouts.get(&self.local.service) else { return false };
        let version = self.target.version();
        rollout.is_stopped && version == Some(&rollout.order.version)
    }

    /// Picks the versions that may serve a request, at random by the current share of the new version.
    pub(super) fn pick_versions(&mut self, now: Time, service: &str) -> VersionFilter {
        let Some(rollout) = self.rollouts.get(service) else { return VersionFilter::Any };
        let version = rollout.order.version.clone();
        let share = rollout.share(now, self.local.limits.max_exposure.unwrap_or(0.0));
        if rollout.state == Some(RolloutState::Completed) || rollout.uses_both_versions(now) {
            return VersionFilter::Any;
        }
        if self.rng.random_bool(share.clamp(0.0, 1.0)) {
            VersionFilter::Only(version)
        } else {
            VersionFilter::Except(version)
        }
    }

    pub(super) fn rollout_progress(&self, now: Time) -> Vec<RolloutProgress> {
        let active = self.rollouts.values().filter(|rollout| !rollout.is_over());
        active.take(MAX_ROLLOUTS_PER_STATUS).map(|rollout| rollout.progress(now)).collect()
    }

    pub(super) fn merge_rollout(&mut self, now: Time, progress: &RolloutProgress) {
        for rollout in self.rollouts.values_mut().filter(|rollout| !rollout.is_over()) {
            rollout.merge_progress(now, progress);
        }
    }

    /// Returns whether a rollout of a service has not ended yet.
    pub(super) fn has_active_rollout(&self, service: &str) -> bool {
        self.rollouts.get(service).is_some_and(|rollout| !rollout.is_over())
    }

    /// Returns whether a load test keeps one target of the new version of a service fully loaded.
    pub(super) fn is_load_test(&self, now: Time, service: &str) -> bool {
        self.rollouts.get(service).is_some_and(|rollout| rollout.is_load_test(now))
    }

    /// Returns whether a rollout of the local service has not ended yet.
    pub(super) fn has_active_local_rollout(&self) -> bool {
        self.rollouts.get(&self.local.service).is_some_and(|rollout| !rollout.is_over())
    }

    fn samples(&self, order: &RolloutOrder) -> Vec<MemberSample> {
        let sample = |member: &Member| {
            let is_local = self.is_local(member.record.id);
            let load = member.load.map(|(_, load)| load);
            let running = load.map_or(0, |load| u32::from(load.running) + u32::from(load.queued));
            MemberSample {
                member: member.record.id,
                is_new: member.version == order.version,
                tally: if is_local { self.tally } else { member.tally },
                running: if is_local { self.admission.in_progress() as u32 } else { running },
                is_open: member.is_open(),
            }
        };
        // A node that has just started does not know the version of its target yet.
        let known = self
            .directory
            .members_of(&order.service)
            .filter(|(_, member)| !member.version.is_empty());
        known.map(|(_, member)| sample(member)).collect()
    }

    /// Returns whether it is this node's turn to record a state that has been due since the given time. Turns are taken
    /// in the order of member ids, lowest first.
    pub(super) fn is_turn_to_record(&mut self, now: Time, since: Time) -> bool {
        let local_id = self.local.id;
        let before =
            |member: &Member| member.record.id < local_id && !self.directory.is_silent(now, member);
        let rank = self.directory.iter().filter(|(_, member)| before(member)).count();
        let elapsed = now.since(since).as_millis();
        let wait = RECORDER_DELAY.as_millis() * rank as u128;
        rank < MAX_RECORDERS
            && elapsed >= wait
            && (elapsed - wait) % RECORD_RETRY_INTERVAL.as_millis()
                < super::TICK_INTERVAL.as_millis()
    }

    fn log_rollout(&self, rollout: &Rollout, stage: &'static str, out: &mut Vec<Effect>) {
        let Tallies { new, old } = rollout.tallies();
        out.push(Effect::Log(Record::Rollout {
            service: rollout.order.service.clone(),
            version: rollout.order.version.clone(),
            stage,
            new_good: new.good,
            new_bad: new.bad,
            old_good: old.good,
            old_bad: old.bad,
        }));
    }
}
