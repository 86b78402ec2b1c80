//! The handover of outcomes from an owner to its successor at a planned stop.
//!
//! Ownership does not move. A successor never starts an attempt for an imported identity: it returns the outcomes
//! that are final and answers "unknown" for all others. The handover is therefore safe even if the former owner
//! continues to run.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{
    identity::{
        Answer, BeginDecision, Fingerprint, Identity, MAX_ANSWER_BYTES, MAX_HANDOVER_BYTES,
        MAX_IMPORTS, OUTCOME_RETENTION,
    },
    keys::MemberId,
    time::Time,
};

/// The estimated size of an outcome without its answer, in bytes.
const OUTCOME_BYTES: usize = 32;

/// The final outcomes of an owner that is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The member that is leaving.
    pub owner: MemberId,
    /// The outcomes, the newest first.
    pub outcomes: Vec<FinishedIdentity>,
}

/// The final outcome of one identity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedIdentity {
    /// The counter of the identity.
    pub counter: u64,
    /// The hash of the request.
    pub fingerprint: Fingerprint,
    /// The outcome.
    pub outcome: FinishedOutcome,
}

impl FinishedIdentity {
    pub(super) fn size(&self) -> usize {
        match &self.outcome {
            FinishedOutcome::Answered(answer) => OUTCOME_BYTES + answer.size(),
            FinishedOutcome::AlreadyRun | FinishedOutcome::Unknown => OUTCOME_BYTES,
        }
    }
}

/// How the request of a finished identity ended, as its repeats are told.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FinishedOutcome {
    /// The request ran; this is its answer.
    Answered(Arc<Answer>),
    /// The request ran, and its answer is not stored.
    AlreadyRun,
    /// It can't be determined whether the request ran.
    Unknown,
}

/// Why a handover is rejected.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ImportError {
    /// The outcomes exceed [`MAX_HANDOVER_BYTES`], or an answer exceeds [`MAX_ANSWER_BYTES`].
    #[snafu(display("the outcomes handed over exceed {MAX_HANDOVER_BYTES} bytes"))]
    TooLarge,
    /// The outcomes name the receiving member as their owner.
    #[snafu(display("the outcomes handed over are the receiver's own"))]
    OwnIdentities,
}

/// The outcomes received from former owners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Imports(VecDeque<Import>);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Import {
    owner: MemberId,
    time: Time,
    outcomes: BTreeMap<u64, (Fingerprint, FinishedOutcome)>,
}

impl Imports {
    /// Adds or replaces the outcomes of one owner; the oldest import is dropped beyond [`MAX_IMPORTS`].
    pub(super) fn add(&mut self, now: Time, handover: Handover) -> Result<(), ImportError> {
        let bytes: usize = handover.outcomes.iter().map(FinishedIdentity::size).sum();
        let is_oversize =
            handover.outcomes.iter().any(|f| f.size() > MAX_ANSWER_BYTES + OUTCOME_BYTES);
        if bytes > MAX_HANDOVER_BYTES || is_oversize {
            return Err(ImportError::TooLarge);
        }
        self.0.retain(|i| i.owner != handover.owner);
        if self.0.len() >= MAX_IMPORTS {
            self.0.pop_front();
        }
        let outcomes = handover.outcomes.into_iter();
        let outcomes = outcomes.map(|f| (f.counter, (f.fingerprint, f.outcome))).collect();
        self.0.push_back(Import { owner: handover.owner, time: now, outcomes });
        Ok(())
    }

    pub(super) fn contains(&self, owner: MemberId) -> bool {
        self.0.iter().any(|i| i.owner == owner)
    }

    /// Decides on a request with an identity of a former owner, or returns none if no outcomes of that owner are
    /// held.
    pub(super) fn find(
        &self,
        identity: Identity,
        fingerprint: Fingerprint,
    ) -> Option<BeginDecision> {
        let import = self.0.iter().find(|i| i.owner == identity.owner)?;
        Some(match import.outcomes.get(&identity.counter) {
            None => BeginDecision::Unknown,
            Some((expected, _)) if *expected != fingerprint => BeginDecision::Mismatch,
            Some((_, FinishedOutcome::Answered(answer))) => {
                BeginDecision::Answered(Arc::clone(answer))
            }
            Some((_, FinishedOutcome::AlreadyRun)) => BeginDecision::AlreadyRun,
            Some((_, FinishedOutcome::Unknown)) => BeginDecision::Unknown,
        })
    }

    pub(super) fn sweep(&mut self, now: Time) {
        while self.0.front().is_some_and(|i| now.since(i.time) > OUTCOME_RETENTION) {
            self.0.pop_front();
        }
    }
}
