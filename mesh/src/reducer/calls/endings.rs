//! Answers, failures and refusals that end an attempt or a call.

use std::time::Duration;

use compact_str::CompactString;
use rand::Rng as _;

use crate::{
    effect::{CallStep, Effect, Record},
    event::{AnswerHead, CallHead, Failure},
    keys::{CallKey, MemberKey},
    refusal::{Reason, Refusal},
    report::LoadReport,
    time::Time,
};

use super::{Reducer, RouteEstimate, ServiceRoute, deliver};

/// The weight of a new answer in the moving averages of a [`RouteEstimate`].
const ESTIMATE_WEIGHT: f64 = 0.2;

/// The maximum number of pairs of service and route with an estimate.
const MAX_ESTIMATES: usize = 1_024;

/// The minimum Retry-After time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(40);

/// The multiple of the service time that is reserved for a request after it has been sent again.
const SERVICE_MARGIN: f64 = 1.5;

/// The maximum Retry-After time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The mean Retry-After time if no target is available.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

impl Reducer {
    pub(super) fn call_answered(
        &mut self,
        now: Time,
        key: CallKey,
        attempt: u32,
        answer: AnswerHead,
        load: Option<LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        let status = answer.status;
        let member = self.close_attempt(now, key, attempt, load);
        self.count_spill(key, member);
        let Some(call) = self.calls.get_mut(key) else { return };
        if call.is_answered {
            return;
        }
        call.executions = call.executions.saturating_add(1);
        call.may_have_run = true;
        if let Some(nominal_service) = answer.nominal_service.filter(|_| status < 500) {
            let pair = (call.service.clone(), call.route.clone());
            self.update_estimate(pair, RouteEstimate { nominal_service, size: answer.size.into() });
        }
        let Some(call) = self.calls.get_mut(key) else { return };
        if status >= 500 && call.is_idempotent {
            call.fallback = Some(attempt);
            if !call.open.is_empty() {
                return;
            }
            if self.try_take_retry(now, key)
                && self.resend(now, key, attempt, "target-failure", out)
            {
                return;
            }
        }
        self.deliver_call(now, key, attempt, status, out);
    }

    fn deliver_call(
        &mut self,
        now: Time,
        key: CallKey,
        attempt: u32,
        status: u16,
        out: &mut Vec<Effect>,
    ) {
        let Some(call) = self.calls.get_mut(key) else { return };
        call.is_answered = true;
        let open = std::mem::take(&mut call.open);
        let (attempts, took) = (call.attempts, now.since(call.arrived));
        let (id, route) = (call.id.clone(), call.route.clone());
        out.push(Effect::Log(Record::Answer { id, route, status, attempts, took }));
        out.push(deliver(key, attempt));
        for open in open {
            self.release_member(open.member);
        }
    }

    /// Handles an attempt that the target declined without running it.
    pub(super) fn call_shed(
        &mut self,
        now: Time,
        key: CallKey,
        attempt: u32,
        load: Option<LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        self.close_attempt(now, key, attempt, load);
        let Some(call) = self.calls.get_mut(key) else { return };
        if call.is_answered {
            return;
        }
        call.last_reason = Reason::Overloaded;
        if self.try_take_retry(now, key) && self.resend(now, key, attempt, "shed", out) {
            return;
        }
        self.give_up_unless_open(now, key, Reason::Overloaded, out);
    }

    /// Handles an attempt that the target's node refused; nothing reached the target.
    pub(super) fn call_refused(
        &mut self,
        now: Time,
        key: CallKey,
        attempt: u32,
        (reason, wait): (Reason, Duration),
        load: Option<LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        let member = self.close_attempt(now, key, attempt, load);
        if matches!(reason, Reason::WrongMember | Reason::Unreadable)
            && let Some(member) = member
        {
            self.directory.pause(now, member);
        }
        let Some(call) = self.calls.get_mut(key) else { return };
        if call.is_answered {
            return;
        }
        call.last_reason = reason;
        if reason == Reason::CrashSuspect {
            // The nodes of a service share their suspicions, so another one would refuse the request too.
            return self.give_up_unless_open(now, key, reason, out);
        }
        if reason == Reason::Overloaded {
            call.min_wait = Some(call.min_wait.map_or(wait, |known| known.min(wait)));
        }
        self.retry_refused(now, key, out);
    }

    /// Handles an attempt that ended without an answer.
    pub(super) fn call_failed(
        &mut self,
        now: Time,
        key: CallKey,
        attempt: u32,
        failure: Failure,
        out: &mut Vec<Effect>,
    ) {
        let member = self.close_attempt(now, key, attempt, None);
        if let Some(member) =
            member.filter(|_| matches!(failure, Failure::NotSent | Failure::NodeLost))
        {
            self.directory.pause(now, member);
        }
        let Some(call) = self.calls.get_mut(key) else { return };
        if call.is_answered {
            return;
        }
        match failure {
            Failure::NotSent => {
                call.last_reason = Reason::NoTarget;
                if !call.can_resend {
                    return self.give_up_unless_open(now, key, Reason::NoTarget, out);
                }
                self.place(now, key, out);
            }
            Failure::Lost | Failure::NodeLost | Failure::BodyCut => {
                call.may_have_run = true;
                call.executions = call.executions.saturating_add(1);
                // A buffered body is complete, so it can only have been cut between the nodes.
                let is_cut = failure == Failure::BodyCut && !call.can_resend;
                let reason = if is_cut { Reason::BodyCut } else { Reason::AnswerLost };
                call.last_reason = reason;
                if self.try_take_retry(now, key)
                    && self.resend(now, key, attempt, failure.as_str(), out)
                {
                    return;
                }
                self.give_up_unless_open(now, key, reason, out);
            }
        }
    }

    fn resend(
        &mut self,
        now: Time,
        key: CallKey,
        attempt: u32,
        cause: &'static str,
        out: &mut Vec<Effect>,
    ) -> bool {
        if let Some(call) = self.calls.get_mut(key) {
            call.refusals = 0;
        }
        let is_resent = self.try_place(now, key, out);
        if let Some(call) = self.calls.get(key) {
            let id = call.id.clone();
            out.push(Effect::Log(Record::Retry { id, attempt, cause, is_resent }));
        }
        is_resent
    }

    fn give_up_unless_open(
        &mut self,
        now: Time,
        key: CallKey,
        reason: Reason,
        out: &mut Vec<Effect>,
    ) {
        if self.calls.get(key).is_some_and(|call| call.open.is_empty()) {
            self.give_up(now, key, reason, out);
        }
    }

    /// Ends a call: delivers the failure response of a target if there was one, or else refuses the request and states
    /// whether it may have run.
    pub(in crate::reducer) fn give_up(
        &mut self,
        now: Time,
        key: CallKey,
        reason: Reason,
        out: &mut Vec<Effect>,
    ) {
        if let Some(attempt) = self.calls.get(key).and_then(|call| call.fallback) {
            return self.deliver_call(now, key, attempt, 500, out);
        }
        let Some(call) = self.calls.remove(key) else { return };
        let may_have_run = call.may_have_run || !call.open.is_empty();
        let service_time = self.expected_service_time(&call);
        let spread = self.rng.random_range(0.0..1.0);
        let left =
            TimeLeft { objective: call.objective.since(now), deadline: call.deadline.since(now) };
        let may_retry = !may_have_run && reason != Reason::CrashSuspect;
        let retry_after =
            may_retry.then(|| retry_delay(reason, call.min_wait, left, service_time, spread));
        let refusal = Refusal { reason, may_have_run, retry_after };
        out.push(Effect::Log(Record::Refuse {
            id: call.id,
            route: call.route,
            refusal,
            attempts: call.attempts,
            tried: self.member_ids(&call.tried),
            waited: now.since(call.arrived),
            config: self.config_version(),
        }));
        out.push(Effect::Call(key, CallStep::Refuse(refusal)));
        for open in call.open {
            self.release_member(open.member);
        }
    }

    /// Returns the ids of members, separated by commas, for a log line.
    fn member_ids(&self, members: &[MemberKey]) -> CompactString {
        let ids = members.iter().filter_map(|&key| self.directory.get(key));
        let ids: Vec<String> = ids.map(|member| member.record.id.to_string()).collect();
        ids.join(",").into()
    }

    /// Refuses a request for which no call has been opened.
    pub(super) fn refuse_on_arrival(
        &self,
        key: CallKey,
        head: &CallHead,
        refusal: Refusal,
        out: &mut Vec<Effect>,
    ) {
        out.push(Effect::Log(Record::Refuse {
            id: head.id.clone(),
            route: "".into(),
            refusal,
            attempts: 0,
            tried: "".into(),
            waited: Duration::ZERO,
            config: self.config_version(),
        }));
        out.push(Effect::Call(key, CallStep::Refuse(refusal)));
    }

    /// Closes an attempt and stores the load report that came with its result.
    fn close_attempt(
        &mut self,
        now: Time,
        key: CallKey,
        attempt: u32,
        load: Option<LoadReport>,
    ) -> Option<MemberKey> {
        let call = self.calls.get_mut(key)?;
        let index = call.open.iter().position(|open| open.number == attempt)?;
        let member = call.open.swap_remove(index).member;
        self.release_member(member);
        if let (Some(load), Some(member)) = (load, self.directory.get_mut(member)) {
            member.update_load(now, load);
        }
        Some(member)
    }

    fn update_estimate(&mut self, pair: ServiceRoute, new: RouteEstimate) {
        if let Some(known) = self.estimates.get_mut(&pair) {
            known.nominal_service = known.nominal_service.mul_f64(1.0 - ESTIMATE_WEIGHT)
                + new.nominal_service.mul_f64(ESTIMATE_WEIGHT);
            known.size += (new.size - known.size) * ESTIMATE_WEIGHT;
        } else if self.estimates.len() < MAX_ESTIMATES {
            self.estimates.insert(pair, new);
        }
    }
}

/// The time left for a request.
#[derive(Copy, Clone, Debug)]
pub(super) struct TimeLeft {
    /// The time until the objective.
    pub(super) objective: Duration,
    /// The time until the deadline.
    pub(super) deadline: Duration,
}

/// Returns the Retry-After time for a refused request.
///
/// Callers retry only once or twice, so a retry should arrive when a target is likely to have free capacity, and early
/// enough for an answer within the objective. Retries of callers that were refused at the same time are spread evenly
/// over that period; `spread` is a uniform random number between 0 and 1.
pub(super) fn retry_delay(
    reason: Reason,
    wait: Option<Duration>,
    left: TimeLeft,
    service_time: Duration,
    spread: f64,
) -> Duration {
    let time = match reason {
        Reason::Stopping => MIN_RETRY_AFTER,
        Reason::Overloaded => {
            let wait = wait.unwrap_or(MIN_RETRY_AFTER).max(MIN_RETRY_AFTER);
            let latest = left.objective.saturating_sub(service_time.mul_f64(SERVICE_MARGIN));
            if latest > wait { wait + (latest - wait).mul_f64(spread) } else { wait }
        }
        _ => DEFAULT_RETRY_AFTER.mul_f64(0.5 + spread),
    };
    time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER.min(left.deadline / 3).max(MIN_RETRY_AFTER))
}
