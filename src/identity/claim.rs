//! Claims, which bind idempotency keys that callers choose to identities, and their rate limit.

use std::time::Duration;

use crate::{
    identity::{CLAIM_TIMEOUT, FLEET_CLAIMS_PER_S, Identity, MAX_WAITING_CLAIMS},
    refusal::{Reason, Refusal},
    time::Time,
};

/// An input of a claim's state machine.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ClaimEvent {
    /// The platform created the claim.
    Written,
    /// The platform already holds a claim of the key. It may be this one, if the write was delivered twice.
    Conflict,
    /// It is unknown whether the write took effect.
    WriteUnknown,
    /// The write certainly had no effect, or a read failed.
    Unavailable,
    /// The identity in the claim that the platform holds, or none if it holds no claim.
    Read(Option<Identity>),
    /// [`CLAIM_TIMEOUT`] has passed since the receipt of the request.
    Timeout,
    /// The owner of the claimed identity is gone and has no successor, or the connection to it broke.
    OwnerLost,
}

/// What the node must do next for a claim.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Create the claim, on condition that none exists, with a lease of
    /// [`CLAIM_LEASE`](super::CLAIM_LEASE).
    Write,
    /// Read the claim.
    Read,
    /// Begin this identity, which this node owns.
    BeginLocal(Identity),
    /// Forward the request to the owner of this identity.
    Forward(Identity),
    /// Refuse the request.
    Refuse(Refusal),
    /// Do nothing.
    Nothing,
}

/// The claim of an idempotency key for one received request.
///
/// The claim holds an identity issued just for it. The counter of the identity makes two claims of one process
/// distinct, so a claim that is read back is never mistaken for that of another request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    identity: Identity,
    received: Time,
    state: State,
}

#[derive(Copy, Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Writing,
    Reading,
    Forwarded,
    Ended,
}

impl Claim {
    /// Creates the claim of a request received at `received`; `identity` was issued for this claim.
    pub fn new(received: Time, identity: Identity) -> (Claim, ClaimAction) {
        (Claim { identity, received, state: State::Writing }, ClaimAction::Write)
    }

    /// Returns the identity that this claim writes.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Advances the state machine by one event.
    ///
    /// A result that arrives more than [`CLAIM_TIMEOUT`] after the receipt of the request is discarded. The write
    /// may have succeeded only because the lease of an earlier claim had ended, and a repeat would run again.
    /// The time is checked after the platform's action, so a pause of the process before or after the action is
    /// harmless.
    pub fn apply(&mut self, now: Time, event: ClaimEvent) -> ClaimAction {
        let is_late = now.since(self.received) > CLAIM_TIMEOUT;
        match (self.state, event) {
            (State::Ended, _) => ClaimAction::Nothing,
            (State::Forwarded, ClaimEvent::OwnerLost) => {
                self.refuse(Refusal::unknown(Reason::OwnerLost))
            }
            (State::Forwarded, _) => ClaimAction::Nothing,
            (State::Writing | State::Reading, _) if is_late => self.refuse_not_run(),
            (State::Writing, ClaimEvent::Written) => self.begin_local(self.identity),
            (State::Writing, ClaimEvent::Conflict | ClaimEvent::WriteUnknown) => {
                self.state = State::Reading;
                ClaimAction::Read
            }
            (State::Writing | State::Reading, ClaimEvent::Unavailable | ClaimEvent::Timeout) => {
                self.refuse_not_run()
            }
            (State::Reading, ClaimEvent::Read(Some(found))) => {
                if found.owner == self.identity.owner {
                    self.begin_local(found)
                } else {
                    self.state = State::Forwarded;
                    ClaimAction::Forward(found)
                }
            }
            // The write may still take effect, so the absence of a claim doesn't permit another write.
            (State::Reading, ClaimEvent::Read(None)) => self.refuse_not_run(),
            (State::Writing | State::Reading, _) => ClaimAction::Nothing,
        }
    }

    fn begin_local(&mut self, identity: Identity) -> ClaimAction {
        self.state = State::Ended;
        ClaimAction::BeginLocal(identity)
    }

    /// Refuses the request as not run.
    ///
    /// This holds even if the write took effect: the claim then refers to an identity of this node that has not
    /// begun, and only a later request can begin it.
    fn refuse_not_run(&mut self) -> ClaimAction {
        self.refuse(Refusal::not_run(Reason::IdentityBudget))
    }

    fn refuse(&mut self, refusal: Refusal) -> ClaimAction {
        self.state = State::Ended;
        ClaimAction::Refuse(refusal)
    }
}

/// The rate limit on the claims of one node.
///
/// Each claim is scheduled when it is admitted. A claim waits until its scheduled time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimBudget {
    interval: Option<Duration>,
    /// The time from which the next claim could be written if the claims were spaced evenly, without bursts.
    next: Time,
}

impl ClaimBudget {
    /// Creates the rate limit; see [`ClaimBudget::set_rate`].
    pub fn new(rate: u16, nodes: u64) -> ClaimBudget {
        let mut budget = ClaimBudget { interval: None, next: Time::ZERO };
        budget.set_rate(rate, nodes);
        budget
    }

    /// Sets the rate to the document's `claim_rate` a second, or to this node's share of [`FLEET_CLAIMS_PER_S`] if
    /// that is less. A rate of zero refuses all claims.
    pub fn set_rate(&mut self, rate: u16, nodes: u64) {
        self.interval = (rate > 0).then(|| {
            let micros = 1_000_000 / u64::from(rate);
            Duration::from_micros(micros.max(nodes.saturating_mul(1_000_000) / FLEET_CLAIMS_PER_S))
        });
    }

    /// Admits a claim and returns the time from which it may be written, or none if it would wait too long.
    ///
    /// At most [`MAX_WAITING_CLAIMS`] claims wait, and none longer than half of [`CLAIM_TIMEOUT`], which leaves
    /// the other half for the platform. After an idle period a node may write one second's worth of claims at
    /// once.
    pub fn admit(&mut self, now: Time) -> Option<Time> {
        let interval = self.interval?;
        let burst = Duration::from_secs(1).saturating_sub(interval);
        let wait = self.next.since(now + burst);
        if wait > CLAIM_TIMEOUT / 2 || wait > interval * MAX_WAITING_CLAIMS {
            return None;
        }
        self.next = self.next.max(now) + interval;
        Some(now + wait)
    }
}
