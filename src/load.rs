//! Load reports that nodes attach to answers.

use serde::{Deserialize, Serialize};

/// The state of one target as its node reports it, with each answer.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running at the target.
    pub running: u16,
    /// Requests waiting in the node's queue.
    pub queued: u16,
    /// The concurrency limit in force.
    pub limit: u16,
    /// Recent mean service time in microseconds.
    pub latency_us: u32,
    /// Whether the target is in cold start.
    pub cold: bool,
}
