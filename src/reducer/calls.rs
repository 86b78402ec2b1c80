//! Decisions of the entry node about callers' requests.

use std::time::Duration;

use compact_str::{CompactString, ToCompactString};
use http::Method;

use crate::{
    body::End,
    document::{Route, Service},
    effect::{Attempt, AttemptKind, CallStep, Effect, Hop, Record},
    event::{CallEvent, CallHead, Failure, Timer},
    identity::{AttemptResult, AttemptTag, Claim, Fingerprint, Identity, Key},
    keys::{CallKey, MemberId, MemberKey, ServiceKey},
    load::{LoadReport, Measure, Observed, PROBE_COST},
    refusal::{Outcome, Reason, Refusal},
    retry::{Attempted, hop_time},
    rollout::{Sample, route_hash},
    routing::Choice,
    time::Time,
};

use super::{Reducer, crashes::CallCrashes};

/// The deepest chain of calls that is served.
pub(crate) const MAX_DEPTH: u32 = 11;

/// A caller's request in progress at its entry node.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) service: CompactString,
    pub(super) group: ServiceKey,
    is_idempotent: bool,
    pub(super) deadline: Time,
    depth: u8,
    pub(super) attempts: u8,
    /// The attempts whose end is not known yet.
    pub(super) open: Vec<OpenAttempt>,
    pub(super) tried: Vec<MemberKey>,
    pub(super) fingerprint: Fingerprint,
    /// The identity of a request that runs at most once, from its begin on.
    pub(super) identity: Option<Identity>,
    /// The mark of the attempt whose outcome the owner's table waits for.
    pub(super) tag: Option<AttemptTag>,
    /// The claim of the caller's own key, until it has ended.
    pub(super) claim: Option<(Key, Claim)>,
    pub(super) is_relayed: bool,
    /// Whether another node decides on the request.
    pub(super) is_relaying: bool,
    /// Whether some attempt may have run; once set, a refusal must not say "not run".
    may_have_run: bool,
    pub(super) is_answered: bool,
    /// The hash of the matching route, which separates evidence about versions.
    pub(super) route: u16,
    /// What the first attempt will show about a version, and when and to whom it was sent.
    pub(super) sample: Option<(Sample, Time, MemberId)>,
    pub(super) crashes: CallCrashes,
}

/// An attempt whose end is not known yet.
#[derive(Copy, Clone, Debug)]
pub(super) struct OpenAttempt {
    number: u32,
    member: MemberKey,
    sent: Time,
}

impl Call {
    fn attempted(&self) -> Attempted {
        Attempted {
            idempotent: self.is_idempotent,
            not_run: !self.may_have_run,
            attempts: self.attempts,
            deadline: self.deadline,
            depth: self.depth,
        }
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
        self.observe_version(now, key, &event);
        self.observe_loss(key, &event);
        match event {
            CallEvent::Arrived(head) => self.call_arrived(now, key, head, out),
            CallEvent::Answered { attempt, status, report } => {
                self.call_answered(now, key, attempt, status, report, out);
            }
            CallEvent::Refused { attempt: _, refusal, .. } if self.is_relaying(key) => {
                // The owner has decided, and its refusal says what is known.
                self.refuse_with(now, key, refusal, out);
            }
            CallEvent::Failed { .. } if self.is_relaying(key) => {
                self.refuse_with(now, key, Refusal::unknown(Reason::OwnerLost), out);
            }
            CallEvent::Refused { attempt, refusal, report } => {
                self.close_attempt(now, key, attempt, Observed::NotRun, report, out);
                self.attempt_refused(now, key, refusal, true, out);
            }
            CallEvent::Failed { attempt, failure, can_replay } => {
                let (observed, refusal) = match failure {
                    Failure::NotSent => (Observed::Failure, Refusal::not_run(Reason::Overloaded)),
                    Failure::Lost => (Observed::Failure, Refusal::unknown(Reason::AnswerLost)),
                    Failure::BodyCut => (Observed::NotRun, Refusal::unknown(Reason::BodyCut)),
                };
                self.close_attempt(now, key, attempt, observed, None, out);
                self.attempt_refused(now, key, refusal, can_replay, out);
            }
            CallEvent::Claim(event) => self.claim_result(now, key, event, out),
            CallEvent::Kept(answer) => self.keep_answer(now, key, answer),
            CallEvent::Ended(end) => self.call_ended(now, key, end),
        }
    }

    fn call_arrived(&mut self, now: Time, key: CallKey, head: CallHead, out: &mut Vec<Effect>) {
        let service = match self.admit_call(&head) {
            Ok(service) => service,
            Err(reason) => {
                let refusal = Refusal::not_run(reason);
                out.push(Effect::Log(Record::Refuse { call: key, service: head.service, refusal }));
                out.push(Effect::Call(key, CallStep::Refuse(refusal)));
                return;
            }
        };
        let timeout = head.timeout.unwrap_or(Duration::from_millis(service.deadline_ms.into()));
        let is_idempotent = is_idempotent(service, &head.method, &head.path);
        let route = route_hash(route(service, &head.method, &head.path));
        let percent = service.retry_percent;
        let depth = u8::try_from(head.depth).unwrap_or(u8::MAX);
        let group = self.directory.service(&head.service);
        let budget = &mut self.directory.group_mut(group).budget;
        budget.set(percent);
        budget.first(depth);
        self.measure.call();
        let call = Call {
            service: head.service,
            group,
            is_idempotent,
            deadline: now + timeout,
            depth,
            attempts: 0,
            open: Vec::new(),
            tried: Vec::new(),
            fingerprint: head.fingerprint,
            identity: None,
            tag: None,
            claim: None,
            is_relayed: head.presentation.relay.is_some(),
            is_relaying: false,
            may_have_run: false,
            is_answered: false,
            route,
            sample: None,
            crashes: CallCrashes::new(head.hash),
        };
        self.calls.insert(key, call);
        out.push(Effect::Arm { timer: Timer::CallDeadline(key), after: timeout });
        if is_idempotent {
            self.start_or_refuse(now, key, out);
            self.arm_hedge(key, out);
        } else {
            self.start_once(now, key, head.presentation, out);
        }
    }

    /// Starts the first attempt of a call, or refuses the call.
    pub(super) fn start_or_refuse(&mut self, now: Time, key: CallKey, out: &mut Vec<Effect>) {
        if let Err(reason) = self.start_attempt(now, key, out) {
            self.refuse_call(now, key, reason, out);
        }
    }

    fn admit_call(&self, head: &CallHead) -> Result<&Service, Reason> {
        let document = self.document.as_ref().ok_or(Reason::NoConfig)?;
        let service = document.services.get(&head.service).ok_or(Reason::UnknownService)?;
        if head.depth > MAX_DEPTH {
            return Err(Reason::Depth);
        }
        if head.timeout.is_some_and(|timeout| timeout.is_zero()) {
            return Err(Reason::Deadline);
        }
        if self.is_stopping {
            return Err(Reason::Draining);
        }
        Ok(service)
    }

    /// Starts the next attempt, or returns why there is none.
    fn start_attempt(
        &mut self,
        now: Time,
        key: CallKey,
        out: &mut Vec<Effect>,
    ) -> Result<(), Reason> {
        let Some(call) = self.calls.get(key) else { return Err(Reason::Deadline) };
        let timeout = hop_time(now, call.deadline).ok_or(Reason::Deadline)?;
        self.check_crashes(now, key)?;
        let choice = self.choose_target(now, key)?;
        let Some(call) = self.calls.get_mut(key) else { return Err(Reason::Deadline) };
        let member = self.directory.get_mut(choice.key).ok_or(Reason::NoTarget)?;
        let kind = match call.identity {
            None => AttemptKind::Run,
            Some(identity) => {
                let tag = self.owner.attempt(now, identity, member.info.id);
                call.tag = Some(tag.ok_or(Reason::InProgress)?);
                call.tag.map_or(AttemptKind::Run, AttemptKind::RunOnce)
            }
        };
        member.view.sent(now);
        let hop = if member.info.id == self.me.info.id {
            Hop::Local
        } else {
            Hop::Peer(member.info.peer)
        };
        call.attempts += 1;
        let number = call.attempts.into();
        call.open.push(OpenAttempt { number, member: choice.key, sent: now });
        call.tried.push(choice.key);
        out.push(Effect::Log(Record::Route {
            call: key,
            service: call.service.clone(),
            attempt: number,
            member: member.info.id,
            reason: choice.why.as_str(),
            candidates: choice.scores.to_compact_string(),
        }));
        let attempt = Attempt { number, member: member.info.id, hop, timeout, kind };
        out.push(Effect::Call(key, CallStep::Attempt(attempt)));
        self.sample_version(now, key, choice.key);
        self.probe(now, &choice, out);
        Ok(())
    }

    /// Probes one of the compared targets that has been silent for long, if the measuring budget allows.
    fn probe(&mut self, now: Time, choice: &Choice, out: &mut Vec<Effect>) {
        let me = self.me.info.id;
        let silent = choice.scores.iter().find(|score| {
            let member = self.directory.get(score.key);
            member.is_some_and(|m| m.info.id != me && !m.is_probing && m.view.needs_probe(now))
        });
        let Some(key) = silent.map(|score| score.key) else { return };
        if !self.measure.spend(now, Measure::Probe, PROBE_COST) {
            return;
        }
        if let Some(member) = self.directory.get_mut(key) {
            member.is_probing = true;
            out.push(Effect::Probe { to: member.info.id, peer: member.info.peer });
        }
    }

    pub(super) fn probed(&mut self, now: Time, id: MemberId, report: Option<LoadReport>) {
        let key = self.directory.key(id);
        let Some(member) = key.and_then(|key| self.directory.get_mut(key)) else { return };
        member.is_probing = false;
        if let Some(report) = report {
            member.view.reported(now, report);
        }
    }

    fn call_answered(
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
            out.push(Effect::Call(key, CallStep::Deliver { attempt, keep: false }));
            return;
        }
        let Some(opened) = call.open.iter().find(|open| open.number == attempt).copied() else {
            return;
        };
        let is_failure = status >= 500;
        let observed = if is_failure { Observed::Failure } else { Observed::Answer };
        let group = call.group;
        self.close_attempt(now, key, attempt, observed, report, out);
        if !is_failure {
            self.directory.group_mut(group).hedge.answered(now.since(opened.sent));
        }
        let Some(call) = self.calls.get_mut(key) else { return };
        if call.is_answered {
            return;
        }
        // The target ran something, or shed the request without proof that it did not.
        call.may_have_run = true;
        if is_shed(status) && call.is_idempotent {
            let attempted = call.attempted();
            let retry = self.directory.group_mut(group).budget.retry(now, &attempted);
            if retry.is_ok() && self.start_attempt(now, key, out).is_ok() {
                return;
            }
        }
        let Some(call) = self.calls.get_mut(key) else { return };
        call.is_answered = true;
        let keep = call.identity.is_some_and(|identity| !identity.is_anonymous());
        for open in std::mem::take(&mut call.open) {
            self.release(now, open, Observed::NotRun);
        }
        if !keep {
            self.settle(now, key, AttemptResult::Answered(None));
        }
        out.push(Effect::Call(key, CallStep::Deliver { attempt, keep }));
    }

    fn attempt_refused(
        &mut self,
        now: Time,
        key: CallKey,
        refusal: Refusal,
        can_replay: bool,
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
        let Some(call) = self.calls.get(key) else { return };
        let (attempted, group) = (call.attempted(), call.group);
        // No other target is risked for a request that one node knows to crash targets.
        if can_replay && refusal.reason != Reason::CrashSuspect {
            let retry = self.directory.group_mut(group).budget.retry(now, &attempted);
            if retry.is_ok() && self.start_attempt(now, key, out).is_ok() {
                return;
            }
        }
        if self.calls.get(key).is_some_and(|call| call.open.is_empty()) {
            self.refuse_call(now, key, refusal.reason, out);
        }
    }

    /// Refuses a call with a refusal that is known to be true.
    pub(super) fn refuse_with(
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

    /// Refuses a call; it says "not run" only if no attempt may have run.
    fn refuse_call(&mut self, now: Time, key: CallKey, reason: Reason, out: &mut Vec<Effect>) {
        self.settle(now, key, AttemptResult::Lost);
        let Some(call) = self.calls.remove(key) else { return };
        let may_have_run = call.may_have_run || call.is_relaying || !call.open.is_empty();
        if let Some(identity) = call.identity {
            // A request that did not run may be sent again under its identity.
            self.owner.release(identity);
        }
        let refusal =
            if may_have_run { Refusal::unknown(reason) } else { Refusal::not_run(reason) };
        for open in call.open {
            // An attempt that outlasts its deadline counts as a failure, so that a stalled target is ejected.
            self.release(now, open, Observed::Failure);
        }
        out.push(Effect::Log(Record::Refuse { call: key, service: call.service, refusal }));
        out.push(Effect::Call(key, CallStep::Refuse(refusal)));
    }

    pub(super) fn call_deadline(&mut self, now: Time, key: CallKey, out: &mut Vec<Effect>) {
        if self.calls.get(key).is_some_and(|call| !call.is_answered) {
            self.observe_timeout(now, key);
            self.refuse_call(now, key, Reason::Deadline, out);
        }
    }

    /// Sets the timer after which an idempotent request is also sent to another target.
    fn arm_hedge(&mut self, key: CallKey, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(key) else { return };
        let Some(service) = self.service(&call.service) else { return };
        if !service.hedge || !call.is_idempotent {
            return;
        }
        if let Some(after) = self.directory.group_mut(call.group).hedge.get() {
            out.push(Effect::Arm { timer: Timer::Hedge(key), after });
        }
    }

    pub(super) fn hedge(&mut self, now: Time, key: CallKey, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(key) else { return };
        let [open] = call.open[..] else { return };
        if call.is_answered {
            return;
        }
        let (attempted, elapsed) = (call.attempted(), now.since(open.sent));
        let group = self.directory.group_mut(call.group);
        let delay = group.hedge;
        if group.budget.hedge(now, &attempted, elapsed, &delay) {
            // Without another target the first attempt goes on alone.
            let _ = self.start_attempt(now, key, out);
        }
    }

    fn call_ended(&mut self, now: Time, key: CallKey, _end: End) {
        let is_answered = self.calls.get(key).is_some_and(|call| call.is_answered);
        let result = if is_answered { AttemptResult::Answered(None) } else { AttemptResult::Lost };
        self.settle(now, key, result);
        let Some(call) = self.calls.remove(key) else { return };
        if let Some(identity) = call.identity {
            self.owner.release(identity);
        }
        for open in call.open {
            self.release(now, open, Observed::NotRun);
        }
    }

    fn is_relaying(&self, key: CallKey) -> bool {
        self.calls.get(key).is_some_and(|call| call.is_relaying)
    }

    fn close_attempt(
        &mut self,
        now: Time,
        key: CallKey,
        attempt: u32,
        observed: Observed,
        report: Option<LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        let Some(call) = self.calls.get_mut(key) else { return };
        let Some(index) = call.open.iter().position(|open| open.number == attempt) else { return };
        let open = call.open.swap_remove(index);
        let service = call.service.clone();
        self.release(now, open, observed);
        if let Some(report) = report
            && let Some(member) = self.directory.get_mut(open.member)
        {
            member.view.reported(now, report);
        }
        match observed {
            Observed::Answer => self.directory.succeeded(now, open.member),
            Observed::Failure => self.count_failure(now, &service, open.member, out),
            Observed::NotRun => {}
        }
    }

    fn count_failure(&mut self, now: Time, service: &str, key: MemberKey, out: &mut Vec<Effect>) {
        let Some(limits) =
            self.document.as_ref().and_then(|document| document.services.get(service))
        else {
            return;
        };
        let Some(until) = self.directory.failed(now, key, limits) else { return };
        let Some(member) = self.directory.get(key) else { return };
        let pause = until.since(now);
        out.push(Effect::Log(Record::Eject {
            member: member.info.id,
            service: service.into(),
            pause,
        }));
    }

    fn release(&mut self, now: Time, open: OpenAttempt, observed: Observed) {
        if let Some(member) = self.directory.get_mut(open.member) {
            member.view.finished(now, open.sent, observed);
        }
    }

    pub(super) fn service(&self, name: &str) -> Option<&Service> {
        self.document.as_ref()?.services.get(name)
    }
}

/// Returns whether a status says that the target refused work that another target may take.
fn is_shed(status: u16) -> bool {
    matches!(status, 429 | 503)
}

/// Returns whether a request may run more than once: the longest matching route decides, else the method
/// (RFC 9110, section 9.2.2).
fn is_idempotent(service: &Service, method: &Method, path: &str) -> bool {
    let route = route(service, method, path);
    route.map_or_else(|| method.is_idempotent(), |route| route.idempotent)
}

/// Returns the route with the longest matching prefix; one for the method takes precedence over one for all.
fn route<'a>(service: &'a Service, method: &Method, path: &str) -> Option<&'a Route> {
    let matching = service.routes.iter().filter(|route| {
        let is_method = route.method.as_ref().is_none_or(|m| m.as_str() == method.as_str());
        is_method && path.starts_with(route.prefix.as_str())
    });
    matching.max_by_key(|route| (route.prefix.len(), route.method.is_some()))
}
