//! The decisions of an owner on received requests and on the results of attempts.

use std::sync::Arc;

use crate::{
    identity::Answer,
    keys::MemberId,
    refusal::{Reason, Refusal},
};

/// What to do with a received request that carries an identity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginDecision {
    /// The request now holds the identity: call [`Owner::start_attempt`](super::Owner::start_attempt) to run it, or
    /// [`Owner::release`](super::Owner::release) before it is refused as not run.
    Start,
    /// Another request with the identity is in progress.
    InProgress,
    /// The request ran; this is its answer.
    Answered(Arc<Answer>),
    /// The request ran, and its answer is not stored.
    AlreadyRun,
    /// It can't be determined whether the request ran.
    Unknown,
    /// The identity was used for a different request.
    Mismatch,
    /// Another member, the one given, owns the identity; the request must be forwarded to it.
    Foreign(MemberId),
    /// This member has not issued the identity.
    NotIssued,
    /// The table is full; the request has not run.
    Full,
    /// The node is leaving and starts no new requests; this one has not run.
    Leaving,
}

impl BeginDecision {
    /// Returns the refusal for the caller, or none if the request starts, is answered or is forwarded.
    pub fn refusal(&self) -> Option<Refusal> {
        match self {
            BeginDecision::Start | BeginDecision::Answered(_) | BeginDecision::Foreign(_) => None,
            BeginDecision::InProgress => Some(Refusal::unknown(Reason::InProgress)),
            BeginDecision::AlreadyRun => Some(Refusal::unknown(Reason::AlreadyRun)),
            BeginDecision::Unknown => Some(Refusal::unknown(Reason::AnswerLost)),
            BeginDecision::Mismatch | BeginDecision::NotIssued => {
                Some(Refusal::not_run(Reason::Malformed))
            }
            BeginDecision::Full => Some(Refusal::not_run(Reason::Overloaded)),
            BeginDecision::Leaving => Some(Refusal::not_run(Reason::Draining)),
        }
    }
}

/// The result of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target's node stated that the attempt did not run and never will, or it was never sent.
    NotRun,
    /// The target answered. The answer is none if it was too large to store or was streamed.
    Answered(Option<Answer>),
    /// The attempt ended in any other way: a broken connection, a deadline, or a node that has no record of the
    /// attempt. It is unknown whether it ran.
    Lost,
}

/// The effect of a result on the state of its identity.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The attempt did not run; the request still holds the identity.
    Held,
    /// The identity has its final outcome.
    Ended,
    /// The result was a duplicate or belonged to an older attempt, and changed nothing.
    Ignored,
}
