//! Requests that run at most once: forwarding to the owner of their identity, claims, and the transfer of outcomes.
//!
//! The rules are in `docs/at-most-once.md`.

use compact_str::{CompactString, format_compact};

use crate::{
    effect::{Attempt, AttemptKind, CallStep, ClaimIo, Effect, Hop, Record},
    event::{RequestIdentity, Timer},
    identity::{
        Answer, AttemptResult, BeginDecision, CLAIM_TIMEOUT, Claim, ClaimAction, ClaimEvent,
        Delivery, Handover, IdempotencyKey, Identity, PresentedIdentity,
    },
    keys::{CallKey, MemberId},
    membership::{Member, Membership, State},
    refusal::{Reason, Refusal},
    retry::next_hop_timeout,
    time::Time,
};

use super::Reducer;

/// The prefix of claim keys in the platform.
const CLAIM_PREFIX: &str = "claim/";

impl Reducer {
    /// Issues an identity for a caller.
    pub(crate) fn issue_identity(&mut self) -> Identity {
        self.owner.issue()
    }

    /// Takes over the outcomes of a leaving member. Returns whether they were accepted.
    pub(crate) fn import_outcomes(&mut self, now: Time, handover: Handover) -> bool {
        self.owner.import(now, handover).is_ok()
    }

    /// Resolves the identity of a request that runs at most once, as required before its first attempt.
    pub(super) fn start_at_most_once(
        &mut self,
        now: Time,
        key: CallKey,
        identity: RequestIdentity,
        out: &mut Vec<Effect>,
    ) {
        if let Some(stamp) = identity.relay_stamp
            && self.duplicate_filter.accept(stamp, self.local.info.id) != Delivery::First
        {
            return self.refuse_with(now, key, Refusal::unknown(Reason::OwnerLost), out);
        }
        match identity.presented {
            None => self.begin_anonymous(now, key, out),
            Some(PresentedIdentity::Issued(identity)) => self.begin(now, key, identity, out),
            Some(PresentedIdentity::CallerKey(caller_key)) => {
                match self.owner.claimed_identity(now, caller_key) {
                    Some(identity) => self.begin(now, key, identity, out),
                    None => self.start_claim(now, key, caller_key, out),
                }
            }
        }
    }

    fn begin_anonymous(&mut self, now: Time, key: CallKey, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.get_mut(key) else { return };
        match self.owner.begin_anonymous(now, call.fingerprint) {
            Ok(identity) => {
                call.identity = Some(identity);
                self.start_or_refuse(now, key, out);
            }
            Err(decision) => self.refuse_begin(now, key, &decision, out),
        }
    }

    fn begin(&mut self, now: Time, key: CallKey, identity: Identity, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.get_mut(key) else { return };
        let is_relayed = call.is_relayed;
        match self.owner.begin(now, identity, call.fingerprint) {
            BeginDecision::Start => {
                call.identity = Some(identity);
                self.start_or_refuse(now, key, out);
            }
            BeginDecision::Answered(answer) => {
                out.push(Effect::Log(Record::Replay { call: key, identity }));
                self.calls.remove(key);
                out.push(Effect::Call(key, CallStep::Replay(answer)));
            }
            BeginDecision::Foreign(_) if is_relayed => {
                self.refuse_with(now, key, Refusal::unknown(Reason::OwnerLost), out);
            }
            BeginDecision::Foreign(owner) => self.relay(now, key, identity, owner, out),
            decision => self.refuse_begin(now, key, &decision, out),
        }
    }

    fn refuse_begin(
        &mut self,
        now: Time,
        key: CallKey,
        decision: &BeginDecision,
        out: &mut Vec<Effect>,
    ) {
        let refusal = decision.refusal().unwrap_or(Refusal::unknown(Reason::OwnerLost));
        self.refuse_with(now, key, refusal, out);
    }

    /// Forwards a request to the owner of its identity or, if the owner is no longer a member, to its successor.
    fn relay(
        &mut self,
        now: Time,
        key: CallKey,
        identity: Identity,
        owner: MemberId,
        out: &mut Vec<Effect>,
    ) {
        let local_id = self.local.info.id;
        let Some(call) = self.calls.get_mut(key) else { return };
        let to = match self.directory.key(owner).and_then(|key| self.directory.get(key)) {
            Some(member) => Some(&member.info),
            None => successor(&self.membership, owner),
        };
        let timeout = next_hop_timeout(now, call.deadline);
        let (Some(to), Some(timeout)) = (to.filter(|to| to.id != local_id), timeout) else {
            return self.refuse_with(now, key, Refusal::unknown(Reason::OwnerLost), out);
        };
        call.is_relaying = true;
        call.attempts += 1;
        let (id, peer, number) = (to.id, to.peer, call.attempts.into());
        let stamp = self.owner.stamp(now, id);
        out.push(Effect::Log(Record::Relay { call: key, identity, to: id }));
        let kind = AttemptKind::Relay { stamp, identity };
        let attempt = Attempt { number, member: id, hop: Hop::Peer(peer), timeout, kind };
        out.push(Effect::Call(key, CallStep::Attempt(attempt)));
    }

    fn start_claim(
        &mut self,
        now: Time,
        key: CallKey,
        caller_key: IdempotencyKey,
        out: &mut Vec<Effect>,
    ) {
        let Some(at) = self.claim_budget.admit(now) else {
            return self.refuse_with(now, key, Refusal::not_run(Reason::IdentityBudget), out);
        };
        let identity = self.owner.issue();
        let (claim, _) = Claim::new(now, identity);
        let Some(call) = self.calls.get_mut(key) else { return };
        call.claim = Some((caller_key, claim));
        out.push(Effect::Arm { timer: Timer::ClaimTimeout(key), after: CLAIM_TIMEOUT });
        let wait = at.since(now);
        if wait.is_zero() {
            self.write_claim(key, out);
        } else {
            out.push(Effect::Arm { timer: Timer::ClaimWrite(key), after: wait });
        }
    }

    /// Writes a claim once the claim budget allows it.
    pub(super) fn write_claim(&mut self, key: CallKey, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(key) else { return };
        let Some((caller_key, claim)) = &call.claim else { return };
        let io = ClaimIo::Write {
            key: claim_key(&call.service, *caller_key),
            identity: claim.identity(),
        };
        out.push(Effect::Claim { call: key, io });
    }

    /// Advances a claim with the result of a platform call or its timeout.
    pub(super) fn apply_claim_event(
        &mut self,
        now: Time,
        key: CallKey,
        event: ClaimEvent,
        out: &mut Vec<Effect>,
    ) {
        let Some(call) = self.calls.get_mut(key) else { return };
        let Some((caller_key, claim)) = &mut call.claim else { return };
        let caller_key = *caller_key;
        match claim.apply(now, event) {
            ClaimAction::Write | ClaimAction::Nothing => {}
            ClaimAction::Read => {
                let io = ClaimIo::Read { key: claim_key(&call.service, caller_key) };
                out.push(Effect::Claim { call: key, io });
            }
            ClaimAction::BeginLocal(identity) => {
                call.claim = None;
                self.owner.record_claim(now, caller_key, identity);
                self.begin(now, key, identity, out);
            }
            ClaimAction::Forward(identity) => self.begin(now, key, identity, out),
            ClaimAction::Refuse(refusal) => self.refuse_with(now, key, refusal, out),
        }
    }

    /// Records the result of the attempt of a request that runs at most once.
    pub(super) fn settle(&mut self, now: Time, key: CallKey, result: AttemptResult) {
        let Some(call) = self.calls.get_mut(key) else { return };
        if let Some(tag) = call.tag.take() {
            self.owner.settle(now, tag, result);
        }
    }

    /// Stores the answer of a request for repeats with the same identity.
    pub(super) fn store_answer(&mut self, now: Time, key: CallKey, answer: Option<Answer>) {
        self.settle(now, key, AttemptResult::Answered(answer));
    }

    /// Starts the transfer of this node's outcomes to its successor if it has not been started. Returns whether the
    /// transfer has ended or is not needed.
    pub(super) fn hand_over(&mut self, out: &mut Vec<Effect>) -> bool {
        if self.has_started_handover {
            return !self.is_handing_over;
        }
        self.has_started_handover = true;
        let local_id = self.local.info.id;
        let Some(handover) = self.owner.export().filter(|handover| !handover.outcomes.is_empty())
        else {
            return true;
        };
        let Some(to) = successor(&self.membership, local_id) else { return true };
        self.is_handing_over = true;
        let outcomes = handover.outcomes.len();
        out.push(Effect::Log(Record::HandOver { to: to.id, outcomes }));
        out.push(Effect::HandOver { to: to.id, control: to.control, handover: Box::new(handover) });
        false
    }
}

/// Returns the live member with the next higher id, wrapping around. It takes over the outcomes at a planned stop.
fn successor(membership: &Membership, id: MemberId) -> Option<&Member> {
    let live = || {
        let members = membership.members().filter(|(_, state)| *state == State::Alive);
        members.map(|(member, _)| member).filter(|member| !member.is_leaving && member.id != id)
    };
    live().find(|member| member.id > id).or_else(|| live().next())
}

fn claim_key(service: &str, caller_key: IdempotencyKey) -> CompactString {
    format_compact!("{CLAIM_PREFIX}{service}/{caller_key}")
}
