//! Decisions of the entry node about callers' requests.

use std::{fmt::Write, time::Duration};

use compact_str::CompactString;
use http::Method;
use rand::Rng;

use crate::{
    body::End,
    document::Service,
    effect::{Attempt, CallStep, Effect, Hop, Record},
    event::{CallEvent, CallHead, Failure, Timer},
    keys::{CallKey, MemberKey},
    load::LoadReport,
    refusal::{Outcome, Reason, Refusal},
    time::Time,
};

use super::Reducer;

/// The deepest chain of calls that is served.
pub(crate) const MAX_DEPTH: u32 = 11;

/// The largest number of attempts for one request.
const MAX_ATTEMPTS: u32 = 4;

/// A caller's request in progress at its entry node.
#[derive(Debug)]
pub(super) struct Call {
    service: CompactString,
    is_idempotent: bool,
    deadline: Time,
    attempts: u32,
    /// The attempts whose end is not known yet.
    open: Vec<(u32, MemberKey)>,
    tried: Vec<MemberKey>,
    /// Whether some attempt may have run; once set, a refusal must not say "not run".
    may_have_run: bool,
    is_answered: bool,
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
            CallEvent::Answered { attempt, status: _, report } => {
                self.call_answered(key, attempt, report, out);
            }
            CallEvent::Refused { attempt, refusal, report } => {
                self.close_attempt(key, attempt, report);
                self.attempt_refused(now, key, refusal, true, out);
            }
            CallEvent::Failed { attempt, failure, can_replay } => {
                self.close_attempt(key, attempt, None);
                let refusal = match failure {
                    Failure::NotSent => Refusal::not_run(Reason::Overloaded),
                    Failure::Lost => Refusal::unknown(Reason::AnswerLost),
                    Failure::BodyCut => Refusal::unknown(Reason::BodyCut),
                };
                self.attempt_refused(now, key, refusal, can_replay, out);
            }
            CallEvent::Ended(end) => self.call_ended(key, end),
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
        let call = Call {
            is_idempotent: is_idempotent(service, &head.method, &head.path),
            service: head.service,
            deadline: now + timeout,
            attempts: 0,
            open: Vec::new(),
            tried: Vec::new(),
            may_have_run: false,
            is_answered: false,
        };
        self.calls.insert(key, call);
        out.push(Effect::Arm { timer: Timer::CallDeadline(key), after: timeout });
        if let Err(reason) = self.start_attempt(now, key, out) {
            self.refuse_call(key, reason, out);
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
        let call = self.calls.get(key).ok_or(Reason::Deadline)?;
        let timeout = call.deadline.since(now);
        if timeout.is_zero() {
            return Err(Reason::Deadline);
        }
        let (service, tried) = (call.service.clone(), call.tried.clone());
        let (chosen, candidates) = self.choose(&service, &tried).ok_or(Reason::NoTarget)?;
        let me = self.me.info.id;
        let member = self.directory.get_mut(chosen).ok_or(Reason::NoTarget)?;
        member.in_flight += 1;
        let hop = if member.info.id == me { Hop::Local } else { Hop::Peer(member.info.peer) };
        let id = member.info.id;
        let call = self.calls.get_mut(key).ok_or(Reason::Deadline)?;
        call.attempts += 1;
        call.open.push((call.attempts, chosen));
        call.tried.push(chosen);
        let number = call.attempts;
        out.push(Effect::Log(Record::Route {
            call: key,
            service,
            attempt: number,
            member: id,
            reason: "least-in-flight",
            candidates,
        }));
        let attempt = Attempt { number, member: id, hop, timeout };
        out.push(Effect::Call(key, CallStep::Attempt(attempt)));
        Ok(())
    }

    fn choose(&mut self, service: &str, tried: &[MemberKey]) -> Option<(MemberKey, CompactString)> {
        let mut candidates = CompactString::default();
        let mut best: Option<(u32, u32, MemberKey)> = None;
        for &key in self.directory.group(service) {
            let Some(member) = self.directory.get(key) else { continue };
            if member.info.is_leaving
                || tried.contains(&key)
                || !self.is_centre_in(&member.info.centre)
            {
                continue;
            }
            let _ = write!(candidates, "{}:{},", member.info.id, member.in_flight);
            let score = (member.in_flight, self.rng.random(), key);
            if best.is_none_or(|b| (score.0, score.1) < (b.0, b.1)) {
                best = Some(score);
            }
        }
        best.map(|(_, _, key)| (key, candidates))
    }

    fn is_centre_in(&self, centre: &str) -> bool {
        let Some(document) = &self.document else { return false };
        document.centres.get(centre).is_some_and(|c| c.state == crate::document::CentreState::In)
    }

    fn call_answered(
        &mut self,
        key: CallKey,
        attempt: u32,
        _report: Option<LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        let Some(call) = self.calls.get_mut(key) else { return };
        if !call.is_answered {
            call.is_answered = true;
            out.push(Effect::Call(key, CallStep::Deliver { attempt }));
        }
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
        let may_repeat = refusal.outcome == Outcome::NotRun || call.is_idempotent;
        let may_retry = can_replay && may_repeat && call.attempts < MAX_ATTEMPTS;
        if may_retry && self.start_attempt(now, key, out).is_ok() {
            return;
        }
        if self.calls.get(key).is_some_and(|call| call.open.is_empty()) {
            self.refuse_call(key, refusal.reason, out);
        }
    }

    /// Refuses a call; it says "not run" only if no attempt may have run.
    fn refuse_call(&mut self, key: CallKey, reason: Reason, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.remove(key) else { return };
        let may_have_run = call.may_have_run || !call.open.is_empty();
        let refusal =
            if may_have_run { Refusal::unknown(reason) } else { Refusal::not_run(reason) };
        for (_, member) in &call.open {
            self.release(*member);
        }
        out.push(Effect::Log(Record::Refuse { call: key, service: call.service, refusal }));
        out.push(Effect::Call(key, CallStep::Refuse(refusal)));
    }

    pub(super) fn call_deadline(&mut self, key: CallKey, out: &mut Vec<Effect>) {
        if self.calls.get(key).is_some_and(|call| !call.is_answered) {
            self.refuse_call(key, Reason::Deadline, out);
        }
    }

    fn call_ended(&mut self, key: CallKey, _end: End) {
        let Some(call) = self.calls.remove(key) else { return };
        for (_, member) in call.open {
            self.release(member);
        }
    }

    fn close_attempt(&mut self, key: CallKey, attempt: u32, _report: Option<LoadReport>) {
        let Some(call) = self.calls.get_mut(key) else { return };
        let Some(index) = call.open.iter().position(|(number, _)| *number == attempt) else {
            return;
        };
        let (_, member) = call.open.swap_remove(index);
        self.release(member);
    }

    fn release(&mut self, member: MemberKey) {
        if let Some(member) = self.directory.get_mut(member) {
            member.in_flight = member.in_flight.saturating_sub(1);
        }
    }
}

/// Returns whether a request may run more than once: the longest matching route decides, else the method
/// (RFC 9110, section 9.2.2).
fn is_idempotent(service: &Service, method: &Method, path: &str) -> bool {
    let matching = service.routes.iter().filter(|route| {
        let is_method = route.method.as_ref().is_none_or(|m| m.as_str() == method.as_str());
        is_method && path.starts_with(route.prefix.as_str())
    });
    let longest = matching.max_by_key(|route| (route.prefix.len(), route.method.is_some()));
    longest.map_or_else(|| method.is_idempotent(), |route| route.idempotent)
}
