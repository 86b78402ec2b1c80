//! Refusals of callers' requests: the reason, and whether the request may have run.
//!
//! `docs/refusals.md` lists the reasons and their status codes.

use std::fmt;

use http::StatusCode;
use serde::{Deserialize, Serialize};

/// States whether a refused request may have run.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No target started to run the request, and none will on behalf of this attempt of the caller.
    NotRun,
    /// The request may have run, may be running or may still run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `poplarbarrow-outcome` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// The reason for a refusal.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request names no service or has an invalid header value.
    Malformed,
    /// The document has no such service.
    UnknownService,
    /// The node has no document yet.
    NoConfig,
    /// The request head is larger than the limit.
    HeadTooLarge,
    /// The caller's body ended before it was complete.
    BodyCut,
    /// The chain of calls is deeper than the limit.
    Depth,
    /// The deadline has passed or cannot be met.
    Deadline,
    /// No target of the service is in service.
    NoTarget,
    /// Concurrency limits and queues are full, and retries are exhausted.
    Overloaded,
    /// The node or its target is in a graceful stop.
    Draining,
    /// The request is suspected of crashing targets.
    CrashSuspect,
    /// A request with this identity is running now.
    InProgress,
    /// The request ran, and its answer is no longer stored.
    AlreadyRun,
    /// The node that owns the identity has left or failed.
    OwnerLost,
    /// The budget for claims is exhausted, or the platform cannot record one.
    IdentityBudget,
    /// The connection broke after the request was sent.
    AnswerLost,
}

impl Reason {
    /// All reasons, in the order of the documentation.
    pub const ALL: [Reason; 16] = [
        Reason::Malformed,
        Reason::UnknownService,
        Reason::NoConfig,
        Reason::HeadTooLarge,
        Reason::BodyCut,
        Reason::Depth,
        Reason::Deadline,
        Reason::NoTarget,
        Reason::Overloaded,
        Reason::Draining,
        Reason::CrashSuspect,
        Reason::InProgress,
        Reason::AlreadyRun,
        Reason::OwnerLost,
        Reason::IdentityBudget,
        Reason::AnswerLost,
    ];

    /// Returns the value of the `poplarbarrow-reason` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::Malformed => "malformed",
            Reason::UnknownService => "unknown-service",
            Reason::NoConfig => "no-config",
            Reason::HeadTooLarge => "head-too-large",
            Reason::BodyCut => "body-cut",
            Reason::Depth => "depth",
            Reason::Deadline => "deadline",
            Reason::NoTarget => "no-target",
            Reason::Overloaded => "overloaded",
            Reason::Draining => "draining",
            Reason::CrashSuspect => "crash-suspect",
            Reason::InProgress => "in-progress",
            Reason::AlreadyRun => "already-run",
            Reason::OwnerLost => "owner-lost",
            Reason::IdentityBudget => "identity-budget",
            Reason::AnswerLost => "answer-lost",
        }
    }

    /// Parses the value of the `poplarbarrow-reason` header.
    pub fn parse(s: &str) -> Option<Reason> {
        Reason::ALL.into_iter().find(|r| r.as_str() == s)
    }

    /// Returns the HTTP status of a refusal with this reason.
    pub const fn status(self) -> StatusCode {
        match self {
            Reason::Malformed | Reason::BodyCut => StatusCode::BAD_REQUEST,
            Reason::UnknownService => StatusCode::NOT_FOUND,
            Reason::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Reason::Depth => StatusCode::LOOP_DETECTED,
            Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Reason::InProgress | Reason::AlreadyRun => StatusCode::CONFLICT,
            Reason::AnswerLost => StatusCode::BAD_GATEWAY,
            Reason::NoConfig
            | Reason::NoTarget
            | Reason::Overloaded
            | Reason::Draining
            | Reason::CrashSuspect
            | Reason::OwnerLost
            | Reason::IdentityBudget => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// A refusal: the reason, and whether the request may have run.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Whether the request may have run.
    pub outcome: Outcome,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub const fn not_run(reason: Reason) -> Refusal {
        Refusal { reason, outcome: Outcome::NotRun }
    }

    /// Creates a refusal of a request that may have run.
    pub const fn unknown(reason: Reason) -> Refusal {
        Refusal { reason, outcome: Outcome::Unknown }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.reason.as_str(), self.outcome.as_str())
    }
}
