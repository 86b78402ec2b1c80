//! Results of attempts, and the answers and refusals that end a call.

use crate::{
    body::BodyEnd,
    effect::{CallStep, Effect, Record},
    event::Failure,
    identity::AttemptResult,
    keys::CallKey,
    load::{LoadReport, ObservedOutcome},
    refusal::{Outcome, Reason, Refusal},
    time::Time,
};

use super::Reducer;

impl Reducer {
    pub(super) fn call_answered(
        &mut self,
        now: Time,
        key: CallKey,
        attempt: u32,
        status: u16,
        report: Option<LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        let Some(call) = self.calls.get_mut(key) else { return };
        if call.is_relaying {
            call.is_answered = true;
            out.push(Effect::Call(key, CallStep::Deliver { attempt, should_store: false }));
            return;
        }
        let Some(opened) = call.open_attempts.iter().find(|open| open.number == attempt).copied()
        else {
            return;
        };
        let is_failure = status >= 500;
        let observed = if is_failure { ObservedOutcome::Failure } else { ObservedOutcome::Answer };
        let service_key = call.service_key;
        self.close_attempt(now, key, attempt, observed, report, out);
        if !is_failure {
            self.directory.service_mut(service_key).hedge_delay.answered(now.since(opened.sent));
        }
        let Some(call) = self.calls.get_mut(key) else { return };
        if call.is_answered {
            return;
        }
        // The target ran the request, or shed it without proof that it did not run.
        call.may_have_run = true;
        if is_shed(status) && call.is_idempotent && self.start_retry(now, key, false, out) {
            return;
        }
        let Some(call) = self.calls.get_mut(key) else { return };
        call.is_answered = true;
        let should_store = call.identity.is_some_and(|identity| !identity.is_anonymous());
        for open in std::mem::take(&mut call.open_attempts) {
            self.release_attempt(now, open, ObservedOutcome::NotRun);
        }
        if !should_store {
            self.settle(now, key, AttemptResult::Answered(None));
        }
        out.push(Effect::Call(key, CallStep::Deliver { attempt, should_store }));
    }

    /// Handles an attempt that the target's node refused.
    pub(super) fn call_refused(
        &mut self,
        now: Time,
        key: CallKey,
        attempt: u32,
        refusal: Refusal,
        report: Option<LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        if self.is_relaying(key) {
            // The owner of the identity has decided, and its refusal states whether the request may have run.
            return self.refuse_with(now, key, refusal, out);
        }
        // The target's node learns first that its target accepts no requests. The member is paused here, so that the
        // next request does not spend its attempts there as well.
        let is_unavailable = matches!(refusal.reason, Reason::NoTarget | Reason::Draining);
        let is_unsent = is_unavailable && refusal.outcome == Outcome::NotRun;
        if is_unsent {
            self.pause_unreachable(now, key, attempt, out);
        }
        self.close_attempt(now, key, attempt, ObservedOutcome::NotRun, report, out);
        self.attempt_refused(now, key, refusal, true, is_unsent, out);
    }

    /// Handles an attempt that ended without an answer or a refusal.
    pub(super) fn call_failed(
        &mut self,
        now: Time,
        key: CallKey,
        attempt: u32,
        failure: Failure,
        can_replay: bool,
        out: &mut Vec<Effect>,
    ) {
        if self.is_relaying(key) {
            return self.refuse_with(now, key, Refusal::unknown(Reason::OwnerLost), out);
        }
        let (observed, refusal) = match failure {
            Failure::NotSent => (ObservedOutcome::Failure, Refusal::not_run(Reason::Overloaded)),
            Failure::Lost => (ObservedOutcome::Failure, Refusal::unknown(Reason::AnswerLost)),
            Failure::BodyCut => (ObservedOutcome::NotRun, Refusal::unknown(Reason::BodyCut)),
        };
        let is_unsent = failure == Failure::NotSent;
        if is_unsent {
            self.pause_unreachable(now, key, attempt, out);
        }
        self.close_attempt(now, key, attempt, observed, None, out);
        self.attempt_refused(now, key, refusal, can_replay, is_unsent, out);
    }

    fn attempt_refused(
        &mut self,
        now: Time,
        key: CallKey,
        refusal: Refusal,
        can_replay: bool,
        is_unsent: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(call) = self.calls.get_mut(key) else { return };
        if call.is_answered {
            return;
        }
        call.may_have_run |= refusal.outcome == Outcome::Unknown;
        self.settle(
            now,
            key,
            match refusal.outcome {
                Outcome::NotRun => AttemptResult::NotRun,
                Outcome::Unknown => AttemptResult::Lost,
            },
        );
        // A request that one node knows to crash targets is not sent to another one.
        let can_retry = can_replay && refusal.reason != Reason::CrashSuspect;
        if can_retry && self.start_retry(now, key, is_unsent, out) {
            return;
        }
        if self.calls.get(key).is_some_and(|call| call.open_attempts.is_empty()) {
            self.refuse_call(now, key, refusal.reason, out);
        }
    }

    /// Refuses a call with a refusal that states correctly whether the request may have run.
    pub(in crate::reducer) fn refuse_with(
        &mut self,
        now: Time,
        key: CallKey,
        refusal: Refusal,
        out: &mut Vec<Effect>,
    ) {
        if let Some(call) = self.calls.get_mut(key) {
            call.is_relaying = false;
            call.may_have_run |= refusal.outcome == Outcome::Unknown;
            self.refuse_call(now, key, refusal.reason, out);
        }
    }

    /// Refuses a call. The refusal states "not run" only if no attempt can have run.
    pub(super) fn refuse_call(
        &mut self,
        now: Time,
        key: CallKey,
        reason: Reason,
        out: &mut Vec<Effect>,
    ) {
        self.settle(now, key, AttemptResult::Lost);
        let Some(call) = self.calls.remove(key) else { return };
        let may_have_run = call.may_have_run || call.is_relaying || !call.open_attempts.is_empty();
        if let Some(identity) = call.identity {
            // A request that did not run may be sent again with the same identity.
            self.owner.release(identity);
        }
        let refusal =
            if may_have_run { Refusal::unknown(reason) } else { Refusal::not_run(reason) };
        for open in call.open_attempts {
            // An attempt that has not ended counts as a failure, so that a stalled target is ejected.
            self.release_attempt(now, open, ObservedOutcome::Failure);
        }
        out.push(Effect::Log(Record::Refuse { call: key, service: call.service, refusal }));
        out.push(Effect::Call(key, CallStep::Refuse(refusal)));
    }

    pub(in crate::reducer) fn call_deadline(
        &mut self,
        now: Time,
        key: CallKey,
        out: &mut Vec<Effect>,
    ) {
        if self.calls.get(key).is_some_and(|call| !call.is_answered) {
            self.observe_timeout(now, key);
            self.refuse_call(now, key, Reason::Deadline, out);
        }
    }

    pub(super) fn call_ended(&mut self, now: Time, key: CallKey, _end: BodyEnd) {
        let is_answered = self.calls.get(key).is_some_and(|call| call.is_answered);
        let result = if is_answered { AttemptResult::Answered(None) } else { AttemptResult::Lost };
        self.settle(now, key, result);
        let Some(call) = self.calls.remove(key) else { return };
        if let Some(identity) = call.identity {
            self.owner.release(identity);
        }
        for open in call.open_attempts {
            self.release_attempt(now, open, ObservedOutcome::NotRun);
        }
    }
}

/// Returns whether a status code means that the target shed a request that another target may accept.
fn is_shed(status: u16) -> bool {
    matches!(status, 429 | 503)
}
