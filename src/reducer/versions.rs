//! Rollouts: the share of traffic that each version receives, and the evidence collected about it.

use std::time::Duration;

use rand::{Rng as _, rngs::SmallRng};

use crate::{
    directory::{Directory, Member},
    document::CentreState,
    effect::{Effect, Record},
    event::{CallEvent, Failure},
    keys::{CallKey, MemberKey},
    refusal::{Outcome, Reason},
    rollout::{
        self, AttemptOutcome, FirstAttempt, RolloutChange, Stage, Status, Stratum, Verdict,
        VerdictRecord,
    },
    routing::{Choice, NoChoice, TargetState},
    time::{Time, WallTime},
};

use super::Reducer;

/// The maximum time for which a slow answer, a timeout or a shed request is attributed to cold start. A version that
/// stalls from its first request never leaves cold start, and must still be judged.
const MAX_COLD_START: Duration = Duration::from_secs(120);

impl Reducer {
    /// Returns the wall-clock time, or the epoch if the clock has not been read yet, so that no rollout has started.
    pub(super) fn wall_time(&self, now: Time) -> WallTime {
        let Some((read, wall)) = self.clock else { return WallTime::default() };
        let elapsed = u64::try_from(now.since(read).as_millis()).unwrap_or(u64::MAX);
        WallTime::from_millis(wall.as_millis().saturating_add(elapsed))
    }

    /// Returns the status of every rollout.
    pub(crate) fn rollout_status(&self, now: Time) -> Vec<Status> {
        let status = |document| self.rollouts.status(self.wall_time(now), document);
        self.document.as_deref().map(status).unwrap_or_default()
    }

    /// Selects a version by its traffic share, then a target among the members with that version.
    ///
    /// If all targets of the selected version are full or have been tried, an older version receives the request, so
    /// that a version with few targets is not overloaded. A newer version receives it only if no older one has a
    /// target. Retries prefer the oldest version, because the first attempt may have failed due to the new one.
    pub(super) fn choose_target(&mut self, now: Time, key: CallKey) -> Result<Choice, Reason> {
        let wall = self.wall_time(now);
        let Some(call) = self.calls.get(key) else { return Err(Reason::Deadline) };
        let (local_info, document) = (&self.local.info, self.document.as_deref());
        let classify = |member: &Member| {
            let centre = document.and_then(|document| document.centres.get(&member.info.centre));
            let state = if member.info.is_leaving {
                TargetState::Draining
            } else if centre.is_none_or(|centre| centre.state == CentreState::Out) {
                TargetState::OutOfService
            } else {
                TargetState::InService
            };
            (member.info.centre == local_info.centre, state)
        };
        let service = document.and_then(|document| document.services.get(&call.service));
        let versions = service.map_or(&[][..], |service| &service.versions);
        let choose = |directory: &mut Directory, rng: &mut SmallRng, version: Option<&str>| {
            directory.choose(now, call.service_key, &call.tried, rng, |member| {
                let (is_same_centre, state) = classify(member);
                let is_wanted = version.is_none_or(|version| member.info.version == version);
                (is_same_centre, if is_wanted { state } else { TargetState::OutOfService })
            })
        };
        let refuse = |no_choice: NoChoice| no_choice.refusal().reason;
        if versions.is_empty() {
            return choose(&mut self.directory, &mut self.rng, None).map_err(refuse);
        }

        let mut live_versions = 0u32;
        for member in self.directory.members_of(call.service_key) {
            let index = versions.iter().position(|v| v.name == member.info.version);
            if let Some(index) = index.filter(|_| classify(member).1 == TargetState::InService) {
                live_versions |= 1 << index;
            }
        }
        let is_live = |index: usize| live_versions & 1 << index != 0;
        let shares = self.rollouts.shares(&call.service, versions, wall, is_live);
        let point = if call.attempts == 0 { self.rng.random() } else { 0.0 };
        let picked = rollout::pick_version(&shares, point).ok_or(Reason::NoTarget)?;
        let mut full_choice = None;
        let mut no_choice = NoChoice::NoTarget;
        for index in (0..=picked).rev().chain(picked + 1..versions.len()) {
            if shares[index] == 0.0 || (index > picked && full_choice.is_some()) {
                continue;
            }
            let version = Some(versions[index].name.as_str());
            match choose(&mut self.directory, &mut self.rng, version) {
                Ok(choice) if has_room(&self.directory, now, choice.key) => return Ok(choice),
                Ok(choice) => full_choice = full_choice.or(Some(choice)),
                Err(NoChoice::AllTried) => no_choice = NoChoice::AllTried,
                Err(NoChoice::NoTarget) => {}
            }
        }
        full_choice.ok_or(refuse(no_choice))
    }

    /// Starts the rollout sample of a request's first attempt. Further attempts are not a random sample.
    pub(super) fn sample_version(&mut self, now: Time, key: CallKey, target: MemberKey) {
        let Some(call) = self.calls.get_mut(key) else { return };
        if call.attempts != 1 || !self.rollouts.has_active_rollout(&call.service) {
            return;
        }
        let Some(member) = self.directory.get_mut(target) else { return };
        member.cold_since = member.view.is_cold().then(|| member.cold_since.unwrap_or(now));
        let is_cold = member.cold_since.is_some_and(|since| now.since(since) < MAX_COLD_START);
        let is_local = member.info.centre == self.local.info.centre;
        let stratum = Stratum { route: call.route, is_local };
        let version = member.info.version.clone();
        call.sample = Some((FirstAttempt { version, stratum, is_cold }, now, member.info.id));
    }

    /// Counts the result of a sampled first attempt.
    pub(super) fn observe_version(&mut self, now: Time, key: CallKey, event: &CallEvent) {
        let Some(call) = self.calls.get_mut(key) else { return };
        let Some((_, sent, target)) = call.sample else { return };
        let elapsed = now.since(sent);
        let outcome = match event {
            CallEvent::Answered { attempt: 1, status, report } => {
                // A target can enter cold start again between the request and its answer.
                let is_cold = report.is_some_and(|report| report.is_cold);
                let member = self.directory.key(target).and_then(|key| self.directory.get_mut(key));
                if let (Some((sample, ..)), Some(member)) = (&mut call.sample, member)
                    && is_cold
                {
                    let since = *member.cold_since.get_or_insert(now);
                    sample.is_cold |= now.since(since) < MAX_COLD_START;
                }
                match status {
                    503 => AttemptOutcome::Shed,
                    500.. => AttemptOutcome::Error,
                    _ => AttemptOutcome::Answer(elapsed),
                }
            }
            // Another attempt was faster, so the first one would have taken at least this long.
            CallEvent::Answered { .. } => AttemptOutcome::Answer(elapsed),
            CallEvent::Failed { attempt: 1, failure: Failure::Lost, .. } => AttemptOutcome::Error,
            CallEvent::Refused { attempt: 1, refusal, .. }
                if refusal.outcome == Outcome::Unknown && refusal.reason == Reason::AnswerLost =>
            {
                AttemptOutcome::Error
            }
            CallEvent::Refused { attempt: 1, .. }
            | CallEvent::Failed { attempt: 1, .. }
            | CallEvent::Ended(_) => {
                call.sample = None;
                return;
            }
            CallEvent::Arrived(_)
            | CallEvent::Refused { .. }
            | CallEvent::Failed { .. }
            | CallEvent::Claim(_)
            | CallEvent::AnswerRead(_) => return,
        };
        self.count_sample(now, key, outcome);
    }

    /// Counts a first attempt that had no answer by its deadline.
    pub(super) fn observe_timeout(&mut self, now: Time, key: CallKey) {
        self.count_sample(now, key, AttemptOutcome::Timeout);
    }

    fn count_sample(&mut self, now: Time, key: CallKey, outcome: AttemptOutcome) {
        let wall = self.wall_time(now);
        let Some(call) = self.calls.get_mut(key) else { return };
        let Some((sample, ..)) = call.sample.take() else { return };
        let services = self.document.as_deref().map(|document| &document.services);
        if let Some(service) = services.and_then(|services| services.get(&call.service)) {
            self.rollouts.observe(wall, &call.service, service, &sample, outcome);
        }
    }

    /// Evaluates the evidence, logs stage changes, and records and distributes new verdicts.
    pub(super) fn tick_rollouts(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(document) = self.document.clone() else { return };
        if self.clock.is_none() {
            return;
        }
        let (wall, member_count) = (self.wall_time(now), self.membership.live_count());
        let mut changes = Vec::new();
        self.rollouts.tick(now, wall, member_count, &document, &mut changes);
        for change in changes {
            match change {
                RolloutChange::Stage(status) => out.push(Effect::Log(stage_record(status))),
                RolloutChange::Verdict(record) => {
                    self.is_payload_stale = true;
                    out.push(Effect::RecordVerdict(record));
                }
            }
        }
    }

    /// Adopts a verdict from another member. A watcher also records it in the platform.
    pub(super) fn adopt_verdict(&mut self, verdict: Verdict, out: &mut Vec<Effect>) {
        if !self.rollouts.apply_verdict(verdict) || self.watcher_rank.is_none() {
            return;
        }
        if let Some(document) = self.document.as_deref()
            && let Some(record) = self.rollouts.record(&verdict, document)
        {
            out.push(Effect::RecordVerdict(record));
        }
    }

    /// Adopts verdicts from the platform, and deletes those whose schedule has ended.
    pub(super) fn merge_verdicts(&mut self, records: Vec<VerdictRecord>, out: &mut Vec<Effect>) {
        for record in records {
            let verdict = record.verdict();
            if self.document.is_some() && self.rollouts.is_obsolete(&verdict) {
                out.push(Effect::DeleteVerdict(record));
            } else {
                self.rollouts.apply_verdict(verdict);
            }
        }
    }
}

/// Returns whether a target has capacity for another request.
fn has_room(directory: &Directory, now: Time, key: MemberKey) -> bool {
    directory
        .get(key)
        .is_some_and(|member| member.view.estimated_requests(now) + 1.0 <= member.view.limit())
}

fn stage_record(status: Status) -> Record {
    let Status { service, version, stage, share, route } = status;
    let finding = match stage {
        Stage::RolledBack(finding) => Some((finding, route.unwrap_or_else(|| "all".into()))),
        _ => None,
    };
    let share = (share * 1_000.0).round() as u16;
    Record::Rollout { service, version, stage: stage.as_str(), share, finding }
}
