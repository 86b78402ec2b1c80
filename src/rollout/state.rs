//! The data types of rollouts: ids, stages, verdicts and status.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::{Finding, Stratum};
use crate::document::Version;

/// Identifies one scheduled rollout: a hash of the service, the version and its start and end times.
///
/// The revision of the document is not part of it: the document has 53,000 revisions a day, and a verdict that
/// ended with the next one would return traffic to a faulty version within two seconds. A new schedule for the
/// version makes a new id, for which no verdict is in force.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RolloutId(pub(super) [u8; 8]);

impl RolloutId {
    /// Returns the id of the rollout of a version in the document.
    pub fn new(service: &str, version: &Version) -> RolloutId {
        let mut hasher = blake3::Hasher::new();
        for text in [service, &version.name] {
            // The length prefix separates the two names.
            hasher.update(&(text.len() as u64).to_be_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(&version.start_ms.to_be_bytes());
        hasher.update(&version.end_ms.to_be_bytes());
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        RolloutId(bytes)
    }
}

/// The decision to roll a version back, so that it receives no more traffic.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The rollout that failed.
    pub rollout_id: RolloutId,
    /// The revision of the document in force where the verdict was reached.
    pub revision: u64,
    /// The evidence.
    pub finding: Finding,
}

/// A verdict as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictRecord {
    /// The service.
    pub service: CompactString,
    /// The version that was rolled back, with the schedule that failed.
    pub version: Version,
    /// The revision of the document in force where the verdict was reached.
    pub revision: u64,
    /// The prefix of the route that showed the fault, or `None` for all routes together.
    pub route: Option<CompactString>,
    /// The evidence.
    pub finding: Finding,
}

impl VerdictRecord {
    /// Returns the recorded verdict.
    pub fn verdict(&self) -> Verdict {
        let rollout_id = RolloutId::new(&self.service, &self.version);
        Verdict { rollout_id, revision: self.revision, finding: self.finding }
    }
}

/// The stage of a rollout.
#[derive(Copy, Clone, Debug, PartialEq)]
pub enum Stage {
    /// The rollout has not started.
    Scheduled,
    /// The share of the version rises by its schedule.
    Moving,
    /// The rollout has ended, and the version was compared with the old one during it.
    Done,
    /// The rollout has ended, but this node knew of too little traffic for a comparison.
    Unjudged,
    /// The version was found to be faulty and has no share.
    RolledBack(Finding),
}

impl Stage {
    /// Returns the name used in logs.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Stage::Scheduled => "scheduled",
            Stage::Moving => "moving",
            Stage::Done => "done",
            Stage::Unjudged => "unjudged",
            Stage::RolledBack(_) => "rolled-back",
        }
    }
}

/// The state of one rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// The service.
    pub service: CompactString,
    /// The version.
    pub version: CompactString,
    /// The stage of the rollout.
    pub stage: Stage,
    /// The share of traffic by schedule and verdicts, from 0 to 1.
    pub share: f64,
    /// The prefix of the route that showed the fault.
    pub route: Option<CompactString>,
}

/// A change that the caller of [`Rollouts::tick`](super::Rollouts::tick) logs or records.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutChange {
    /// A rollout has entered another stage.
    Stage(Status),
    /// This node has reached a verdict.
    Verdict(VerdictRecord),
}

/// The properties of a request's first attempt that are known when it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FirstAttempt {
    /// The version of the target.
    pub version: CompactString,
    /// The stratum within which the attempt is compared.
    pub stratum: Stratum,
    /// Whether the target is in cold start.
    pub is_cold: bool,
}
