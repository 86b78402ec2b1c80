//! Attempts of a call: target selection, retries, hedging, and the load and failure data that attempts provide.

use crate::{
    effect::{Attempt, AttemptKind, CallStep, Effect, Hop, Record},
    keys::{CallKey, MemberId, MemberKey},
    load::{LoadReport, MeasurementKind, ObservedOutcome, PROBE_COST_BYTES},
    refusal::Reason,
    retry::{RetryBudget, next_hop_timeout},
    routing::Choice,
    time::Time,
};

use super::{OpenAttempt, Reducer};

impl Reducer {
    /// Starts the next attempt, or returns the reason why it cannot.
    pub(super) fn start_attempt(
        &mut self,
        now: Time,
        key: CallKey,
        out: &mut Vec<Effect>,
    ) -> Result<(), Reason> {
        let Some(call) = self.calls.get(key) else { return Err(Reason::Deadline) };
        let timeout = next_hop_timeout(now, call.deadline).ok_or(Reason::Deadline)?;
        self.check_crash_risk(now, key)?;
        let choice = self.choose_target(now, key)?;
        let candidates = self.directory.describe(&choice.scores);
        let Some(call) = self.calls.get_mut(key) else { return Err(Reason::Deadline) };
        let member = self.directory.get_mut(choice.key).ok_or(Reason::NoTarget)?;
        let kind = match call.identity {
            None => AttemptKind::Run,
            Some(identity) => {
                let tag = self.owner.start_attempt(now, identity, member.info.id);
                call.tag = Some(tag.ok_or(Reason::InProgress)?);
                call.tag.map_or(AttemptKind::Run, AttemptKind::RunOnce)
            }
        };
        member.view.sent(now);
        let hop = if member.info.id == self.local.info.id {
            Hop::Local
        } else {
            Hop::Peer(member.info.peer)
        };
        call.attempts += 1;
        let number = call.attempts.into();
        call.open_attempts.push(OpenAttempt { number, member: choice.key, sent: now });
        call.tried.push(choice.key);
        out.push(Effect::Log(Record::Route {
            call: key,
            service: call.service.clone(),
            attempt: number,
            member: member.info.id,
            reason: choice.reason.as_str(),
            candidates,
        }));
        let attempt = Attempt { number, member: member.info.id, hop, timeout, kind };
        out.push(Effect::Call(key, CallStep::Attempt(attempt)));
        self.sample_version(now, key, choice.key);
        self.probe_stale_target(now, &choice, out);
        Ok(())
    }

    /// Starts another attempt if the retry budget allows it. After an attempt that was not sent, only the deadline and
    /// the maximum number of attempts apply.
    pub(super) fn start_retry(
        &mut self,
        now: Time,
        key: CallKey,
        is_unsent: bool,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(call) = self.calls.get(key) else { return false };
        let attempted = call.attempted_request();
        let budget = &mut self.directory.service_mut(call.service_key).retry_budget;
        let may_retry = if is_unsent {
            RetryBudget::may_resend(now, &attempted)
        } else {
            budget.try_retry(now, &attempted).is_ok()
        };
        may_retry && self.start_attempt(now, key, out).is_ok()
    }

    /// Probes one of the compared targets whose load report is outdated, if the measurement budget allows it.
    fn probe_stale_target(&mut self, now: Time, choice: &Choice, out: &mut Vec<Effect>) {
        let local_id = self.local.info.id;
        let stale = choice.scores.iter().find(|score| {
            let member = self.directory.get(score.key);
            member
                .is_some_and(|m| m.info.id != local_id && !m.is_probing && m.view.needs_probe(now))
        });
        let Some(key) = stale.map(|score| score.key) else { return };
        if !self.measurement_budget.try_spend(now, MeasurementKind::Probe, PROBE_COST_BYTES) {
            return;
        }
        if let Some(member) = self.directory.get_mut(key) {
            member.is_probing = true;
            out.push(Effect::Probe { to: member.info.id, peer: member.info.peer });
        }
    }

    pub(in crate::reducer) fn apply_probe(
        &mut self,
        now: Time,
        id: MemberId,
        report: Option<LoadReport>,
    ) {
        let key = self.directory.key(id);
        let Some(member) = key.and_then(|key| self.directory.get_mut(key)) else { return };
        member.is_probing = false;
        if let Some(report) = report {
            member.view.update_load(now, report);
        }
    }

    pub(in crate::reducer) fn hedge(&mut self, now: Time, key: CallKey, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(key) else { return };
        let [open] = call.open_attempts[..] else { return };
        if call.is_answered {
            return;
        }
        let (attempted, elapsed) = (call.attempted_request(), now.since(open.sent));
        let service = self.directory.service_mut(call.service_key);
        let delay = service.hedge_delay;
        if service.retry_budget.try_hedge(now, &attempted, elapsed, &delay) {
            // Without another target, the first attempt continues alone.
            let _ = self.start_attempt(now, key, out);
        }
    }

    pub(super) fn close_attempt(
        &mut self,
        now: Time,
        key: CallKey,
        attempt: u32,
        observed: ObservedOutcome,
        report: Option<LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        let Some(call) = self.calls.get_mut(key) else { return };
        let Some(index) = call.open_attempts.iter().position(|open| open.number == attempt) else {
            return;
        };
        let open = call.open_attempts.swap_remove(index);
        let service = call.service.clone();
        self.release_attempt(now, open, observed);
        if let Some(report) = report
            && let Some(member) = self.directory.get_mut(open.member)
        {
            member.view.update_load(now, report);
        }
        match observed {
            ObservedOutcome::Answer => self.directory.record_success(now, open.member),
            ObservedOutcome::Failure => self.record_failure(now, &service, open.member, out),
            ObservedOutcome::NotRun => {}
        }
    }

    /// Pauses a member to which no connection could be opened, or whose target accepts no requests.
    pub(super) fn pause_unreachable(
        &mut self,
        now: Time,
        key: CallKey,
        attempt: u32,
        out: &mut Vec<Effect>,
    ) {
        let open =
            self.calls.get(key).and_then(|c| c.open_attempts.iter().find(|o| o.number == attempt));
        let Some(member) = open.map(|open| open.member) else { return };
        let until = self.directory.record_unreachable(now, member);
        self.log_ejection(now, member, until, out);
    }

    fn record_failure(&mut self, now: Time, service: &str, key: MemberKey, out: &mut Vec<Effect>) {
        let Some(settings) =
            self.document.as_ref().and_then(|document| document.services.get(service))
        else {
            return;
        };
        let until = self.directory.record_failure(now, key, settings);
        self.log_ejection(now, key, until, out);
    }

    fn log_ejection(&self, now: Time, key: MemberKey, until: Option<Time>, out: &mut Vec<Effect>) {
        let (Some(until), Some(member)) = (until, self.directory.get(key)) else { return };
        out.push(Effect::Log(Record::Eject {
            member: member.info.id,
            service: member.info.service.clone(),
            pause: until.since(now),
        }));
    }

    pub(super) fn release_attempt(
        &mut self,
        now: Time,
        open: OpenAttempt,
        observed: ObservedOutcome,
    ) {
        if let Some(member) = self.directory.get_mut(open.member) {
            member.view.finished(now, open.sent, observed);
        }
    }
}
