//! Callers' requests at their entry node: routing, attempts, retries and refusals.

mod attempts;
mod endings;

use std::time::Duration;

use compact_str::CompactString;
use rand::Rng as _;

use crate::{
    budget::RetryBudget,
    config::Route,
    crash_guard::RequestHash,
    effect::{Attempt, AttemptSpec, CallStep, Effect, Hop},
    event::{CallEvent, CallHead, Timer},
    keys::{CallKey, MemberKey},
    placement::Demand,
    refusal::{Reason, Refusal},
    teams::Identity,
    time::Time,
};

use super::{Reducer, denials::CONFIG_RETRY_AFTER};

/// The minimum share of a route's requests with the longest timeout at which a shorter timeout is taken as a sign of an
/// earlier attempt.
const MIN_LONGEST_SHARE: f64 = 0.5;

/// The weight of one request in the moving average of that share.
const LONGEST_SHARE_WEIGHT: f64 = 0.05;

/// The Retry-After time that a stopping node gives. By then its successor may have started.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(800);

/// The service time assumed before one has been measured, as a fraction of the objective.
const ASSUMED_OBJECTIVE_SHARE: f64 = 0.35;

/// The bytes of request and answer assumed before any have been measured.
const ASSUMED_SIZE_BYTES: u32 = 1_000;

/// The relative difference up to which two timeouts count as equal.
const TIMEOUT_TOLERANCE: f64 = 0.02;

/// A service and a route.
pub(super) type ServiceRoute = (CompactString, CompactString);

/// Moving averages over the answered requests of a route at a service.
#[derive(Copy, Clone, Debug)]
pub(super) struct RouteEstimate {
    /// The service time at normal speed, as the targets' nodes report it with their answers.
    nominal_service: Duration,
    /// The bytes of request and answer.
    size: f64,
}

/// A caller's request in progress.
pub(super) struct Call {
    id: CompactString,
    route: CompactString,
    service: CompactString,
    is_idempotent: bool,
    priority: u8,
    /// The maximum number of targets that may run the request.
    max_executions: u8,
    arrived: Time,
    /// The time until which an answer has its full value.
    objective: Time,
    /// The end of the caller's timeout or of the route's, whichever is first.
    deadline: Time,
    /// Whether the local target makes the call while it runs another request.
    is_nested: bool,
    /// The objective of the route, counted from the caller's first attempt.
    full_objective: Duration,
    /// The service time assumed until one has been measured.
    assumed_service: Duration,
    can_resend: bool,
    /// Identifies the request over repeated sends.
    fingerprint: RequestHash,
    identity: Identity,
    /// Members that refused the request, failed it or are running it.
    tried: Vec<MemberKey>,
    /// Attempts that have not ended.
    open: Vec<OpenAttempt>,
    /// Attempts started so far.
    attempts: u32,
    /// Attempts that have ended and that a target has run or may have run.
    executions: u8,
    may_have_run: bool,
    /// Refusals by nodes since the last resend.
    refusals: u8,
    /// Whether no target can meet the objective, so that any answer before the deadline is accepted.
    is_late: bool,
    /// The shortest wait that a refusing node has announced.
    min_wait: Option<Duration>,
    /// The reason for which the last attempt failed.
    last_reason: Reason,
    /// The attempt whose failure response is delivered if no other attempt succeeds.
    fallback: Option<u32>,
    is_answered: bool,
}

impl Call {
    /// Returns the members of the attempts that have not ended.
    pub(super) fn open_members(&self) -> impl Iterator<Item = MemberKey> {
        self.open.iter().map(|open| open.member)
    }

    /// Returns whether the route allows one more target. An open attempt may run at its target at any time, so it counts as
    /// one that has.
    fn allows_another_target(&self) -> bool {
        usize::from(self.executions) + self.open.len() < usize::from(self.max_executions)
    }

    /// Returns the service that serves the request.
    pub(super) fn service(&self) -> &CompactString {
        &self.service
    }

    /// Returns whether an answer is being delivered.
    pub(super) fn is_answered(&self) -> bool {
        self.is_answered
    }
}

/// An attempt that has not ended.
#[derive(Copy, Clone, Debug)]
struct OpenAttempt {
    number: u32,
    member: MemberKey,
}

/// The longest timeout of a route's callers and the share of requests that have it.
#[derive(Copy, Clone, Debug, Default)]
pub(super) struct CallerTimeouts {
    /// In seconds.
    longest: f64,
    /// A moving average of the share of requests with the longest timeout.
    longest_share: f64,
}

impl CallerTimeouts {
    /// Records the timeout of a request and returns the estimated time since the caller's first attempt.
    ///
    /// A caller that was refused sends its request again with the rest of its timeout. If most requests have the same
    /// longest timeout, the difference to it is the time that the caller has spent already.
    fn record(&mut self, timeout: Duration) -> Duration {
        let time = timeout.as_secs_f64();
        if time > self.longest * (1.0 + TIMEOUT_TOLERANCE) {
            *self = CallerTimeouts {
                longest: time,
                longest_share: self.longest_share.min(MIN_LONGEST_SHARE),
            };
        }
        let is_longest = time >= self.longest * (1.0 - TIMEOUT_TOLERANCE);
        self.longest_share +=
            (f64::from(u8::from(is_longest)) - self.longest_share) * LONGEST_SHARE_WEIGHT;
        if is_longest || self.longest_share < MIN_LONGEST_SHARE {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.longest - time)
    }
}

impl Reducer {
    pub(super) fn apply_call(
        &mut self,
        now: Time,
        key: CallKey,
        event: CallEvent,
        out: &mut Vec<Effect>,
    ) {
        match event {
            CallEvent::Arrived(head) => self.call_arrived(now, key, head, out),
            CallEvent::Answered { attempt, answer, load } => {
                self.call_answered(now, key, attempt, answer, load, out);
            }
            CallEvent::Shed { attempt, load } => self.call_shed(now, key, attempt, load, out),
            CallEvent::Refused { attempt, reason, wait, load } => {
                self.call_refused(now, key, attempt, (reason, wait), load, out);
            }
            CallEvent::Failed { attempt, failure } => {
                self.call_failed(now, key, attempt, failure, out);
            }
            CallEvent::Ended => self.call_ended(key),
        }
    }

    fn call_arrived(&mut self, now: Time, key: CallKey, head: CallHead, out: &mut Vec<Effect>) {
        let refuse = |reason| Refusal { reason, may_have_run: false, retry_after: None };
        let Some(table) = self.config.clone() else {
            let retry_after = Some(CONFIG_RETRY_AFTER);
            let refusal = Refusal { retry_after, ..refuse(Reason::NoConfig) };
            return self.refuse_on_arrival(key, &head, refusal, out);
        };
        let Some(route) = table.find(&head.host, &head.path) else {
            return self.refuse_on_arrival(key, &head, self.deny(now, Reason::NoRoute), out);
        };
        let Some(identity) = table.identify(route, head.key) else {
            return self.refuse_on_arrival(key, &head, self.deny(now, Reason::UnknownKey), out);
        };
        let time = head.timeout.unwrap_or(route.timeout).min(route.timeout);
        if self.would_outlast_stop(now, time) {
            let retry_after = Some(STOP_RETRY_AFTER);
            let refusal = Refusal { retry_after, ..refuse(Reason::Stopping) };
            return self.refuse_on_arrival(key, &head, refusal, out);
        }
        if self.is_blocked(now, head.fingerprint) {
            return self.refuse_on_arrival(key, &head, refuse(Reason::CrashSuspect), out);
        }
        let call = self.open_call(now, route, head, identity);
        let time = call.deadline.since(now);
        self.calls.insert(key, call);
        out.push(Effect::Arm { timer: Timer::CallDeadline(key), after: time });
        self.place(now, key, out);
        self.arm_hedge(now, key, out);
    }

    fn open_call(&mut self, now: Time, route: &Route, head: CallHead, identity: Identity) -> Call {
        let time = head.timeout.unwrap_or(route.timeout).min(route.timeout);
        let elapsed = head.timeout.map_or(Duration::ZERO, |timeout| {
            self.caller_timeouts.entry(route.name.clone()).or_default().record(timeout)
        });
        let objective = now + route.objective.saturating_sub(elapsed);
        let priority = identity.priority().unwrap_or(route.priority);
        let parent = self.find_parent(now, &head);
        let service = self.pick_service(route);
        let bound = self.local.limits.retries;
        self.fleet.count(now, self.directory.len());
        let fleet = self.fleet;
        let budget = self.retry_budgets.entry(service.clone());
        budget.or_insert_with(|| RetryBudget::new(now, &bound, &fleet)).deposit(&bound, &fleet);
        Call {
            id: head.id,
            route: route.name.clone(),
            service,
            is_idempotent: route.is_idempotent,
            priority: parent.map_or(priority, |parent| parent.priority.min(priority)),
            max_executions: route.attempts.max(1),
            arrived: now,
            objective: parent.map_or(objective, |parent| parent.objective.max(objective)),
            deadline: now + time,
            is_nested: parent.is_some(),
            full_objective: route.objective,
            assumed_service: route.objective.mul_f64(ASSUMED_OBJECTIVE_SHARE),
            can_resend: head.can_resend,
            fingerprint: head.fingerprint,
            identity,
            tried: Vec::new(),
            open: Vec::new(),
            attempts: 0,
            executions: 0,
            may_have_run: false,
            refusals: 0,
            is_late: false,
            min_wait: None,
            last_reason: Reason::NoTarget,
            fallback: None,
            is_answered: false,
        }
    }

    fn pick_service(&mut self, route: &Route) -> CompactString {
        if let [share] = route.shares.as_slice() {
            return share.service.clone();
        }
        let start = self.rng.random_range(0.0..1.0);
        let split = self.splits.entry(route.name.clone()).or_default();
        split.next(&route.shares, start).unwrap_or_default()
    }

    pub(super) fn call_deadline(&mut self, now: Time, key: CallKey, out: &mut Vec<Effect>) {
        if self.calls.get(key).is_some_and(|call| !call.is_answered) {
            self.give_up(now, key, Reason::Deadline, out);
        }
    }

    fn call_ended(&mut self, key: CallKey) {
        if let Some(call) = self.calls.remove(key) {
            for open in call.open {
                self.release_member(open.member);
            }
        }
    }

    /// Updates the request counts of a member after an attempt has ended.
    fn release_member(&mut self, member: MemberKey) {
        if let Some(member) = self.directory.get_mut(member) {
            member.in_flight = member.in_flight.saturating_sub(1);
            member.sent = member.sent.saturating_sub(1);
        }
    }

    /// Returns the expected service time of a request at a target's normal speed.
    fn expected_service_time(&self, call: &Call) -> Duration {
        let pair = (call.service.clone(), call.route.clone());
        self.estimates.get(&pair).map_or(call.assumed_service, |estimate| estimate.nominal_service)
    }

    /// Returns the expected service time, size and remaining time of a request.
    fn demand(&self, now: Time, call: &Call) -> Demand {
        let pair = (call.service.clone(), call.route.clone());
        let size =
            self.estimates.get(&pair).map_or(ASSUMED_SIZE_BYTES, |estimate| estimate.size as u32);
        Demand {
            nominal_service: self.expected_service_time(call),
            time_left: call.objective.since(now),
            size,
        }
    }

    fn build_attempt(&self, now: Time, call: &Call, member: MemberKey) -> Option<Attempt> {
        let member = self.directory.get(member)?;
        let (id, address) = (member.record.id, member.record.address);
        let hop = if self.is_local(id) { Hop::Local } else { Hop::Peer { member: id, address } };
        // An attempt that starts during a graceful stop must end before it does.
        let end = self.stop_end().unwrap_or(call.deadline);
        let spec = AttemptSpec {
            service: call.service.clone(),
            route: call.route.clone(),
            priority: call.priority,
            is_idempotent: call.is_idempotent,
            objective: call.objective.min(end).since(now),
            full_objective: call.full_objective,
            timeout: call.deadline.min(end).since(now),
            nominal_service: self.expected_service_time(call),
            is_late: call.is_late,
        };
        let (identity, is_nested) = (call.identity.clone(), call.is_nested);
        Some(Attempt { number: call.attempts, hop, spec, identity, is_nested })
    }
}

/// Returns the effect that delivers the answer of an attempt to the caller.
fn deliver(key: CallKey, attempt: u32) -> Effect {
    Effect::Call(key, CallStep::Deliver { attempt })
}
