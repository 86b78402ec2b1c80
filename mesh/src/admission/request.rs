//! Requests as the admission controller sees them, and its decisions.

use std::time::Duration;

use compact_str::CompactString;

use crate::{keys::WorkKey, refusal::Reason, time::Time};

/// A request as the admission controller sees it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AdmissionRequest {
    pub(crate) route: CompactString,
    /// The caller's team, if it has one.
    pub(crate) team: Option<CompactString>,
    /// The priority; 0 is the highest.
    pub(crate) priority: u8,
    /// The latest time at which the answer counts as in time.
    pub(crate) objective: Time,
    /// The time at which the caller gives up.
    pub(crate) deadline: Time,
    /// Whether the entry node found that no target can meet the objective.
    pub(crate) is_late: bool,
    /// Whether a target waits for the answer while it runs another request, which holds one of its slots.
    pub(crate) is_nested: bool,
    /// The objective of the route, counted from the caller's first attempt.
    pub(crate) full_objective: Duration,
    /// The nominal service time assumed until this node has measured one.
    pub(crate) nominal_service: Duration,
}

impl AdmissionRequest {
    /// Requires the request to end by `end`, when the node of its caller ends.
    pub(crate) fn limit_time(&mut self, end: Time) {
        self.objective = self.objective.min(end);
        self.deadline = self.deadline.min(end);
    }
}

/// The decision on an arriving request.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// The request starts now.
    Run,
    /// The request is queued; a later [`Dequeued`] decides on it.
    Queue,
    /// The request is refused without having run. `wait` is the expected time until it could have started.
    Refuse { reason: Reason, wait: Duration },
}

/// The decision on a request that leaves the queue.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Dequeued {
    Run(WorkKey),
    Refuse { work: WorkKey, reason: Reason, wait: Duration },
}

/// How a request at the target ended.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum WorkOutcome {
    /// The target answered with success, or with an error that is not the target's fault.
    Answer,
    /// The target failed the request, or its answer was lost.
    Failure,
    /// The target shed the request without running it.
    Shed,
    /// The caller cancelled the request.
    Cancelled,
}
