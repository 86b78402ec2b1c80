//! Handling of callers' requests at their entry node.

mod arrival;
mod attempts;
mod endings;

use compact_str::CompactString;

use crate::{
    document::Service,
    effect::Effect,
    event::CallEvent,
    identity::{AttemptTag, Claim, Fingerprint, IdempotencyKey, Identity},
    keys::{CallKey, MemberId, MemberKey, ServiceKey},
    retry::AttemptedRequest,
    rollout::FirstAttempt,
    time::Time,
};

use super::{Reducer, crashes::CallCrashes};

/// The maximum depth of a call chain. Deeper calls are refused.
pub(crate) const MAX_DEPTH: u32 = 11;

/// A caller's request in progress at its entry node.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) service: CompactString,
    pub(super) service_key: ServiceKey,
    is_idempotent: bool,
    pub(super) deadline: Time,
    depth: u8,
    pub(super) attempts: u8,
    /// The attempts whose result is not known yet.
    pub(super) open_attempts: Vec<OpenAttempt>,
    pub(super) tried: Vec<MemberKey>,
    pub(super) fingerprint: Fingerprint,
    /// The identity of a request that runs at most once, once the owner's table has begun it.
    pub(super) identity: Option<Identity>,
    /// The tag of the attempt whose outcome is still to be recorded in the owner's table.
    pub(super) tag: Option<AttemptTag>,
    /// The pending claim of the key chosen by the caller.
    pub(super) claim: Option<(IdempotencyKey, Claim)>,
    /// Whether another node forwarded the request to this one.
    pub(super) is_relayed: bool,
    /// Whether the request was forwarded to the owner of its identity, which decides on it.
    pub(super) is_relaying: bool,
    /// Whether any attempt may have run. Once it is set, a refusal must not state "not run".
    may_have_run: bool,
    pub(super) is_answered: bool,
    /// The hash of the matching route. Rollout evidence is grouped by route.
    pub(super) route: u16,
    /// The rollout sample of the first attempt, the time at which it was sent, and the member that received it.
    pub(super) sample: Option<(FirstAttempt, Time, MemberId)>,
    pub(super) crashes: CallCrashes,
}

/// An attempt whose result is not known yet.
#[derive(Copy, Clone, Debug)]
pub(super) struct OpenAttempt {
    number: u32,
    member: MemberKey,
    sent: Time,
}

impl Call {
    fn attempted_request(&self) -> AttemptedRequest {
        AttemptedRequest {
            is_idempotent: self.is_idempotent,
            never_ran: !self.may_have_run,
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
        self.count_lost_attempt(key, &event);
        match event {
            CallEvent::Arrived(head) => self.call_arrived(now, key, head, out),
            CallEvent::Answered { attempt, status, report } => {
                self.call_answered(now, key, attempt, status, report, out);
            }
            CallEvent::Refused { attempt, refusal, report } => {
                self.call_refused(now, key, attempt, refusal, report, out);
            }
            CallEvent::Failed { attempt, failure, can_replay } => {
                self.call_failed(now, key, attempt, failure, can_replay, out);
            }
            CallEvent::Claim(event) => self.apply_claim_event(now, key, event, out),
            CallEvent::AnswerRead(answer) => self.store_answer(now, key, answer),
            CallEvent::Ended(end) => self.call_ended(now, key, end),
        }
    }

    fn is_relaying(&self, key: CallKey) -> bool {
        self.calls.get(key).is_some_and(|call| call.is_relaying)
    }

    pub(super) fn service(&self, name: &str) -> Option<&Service> {
        self.document.as_ref()?.services.get(name)
    }
}
