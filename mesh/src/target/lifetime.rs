//! The lifetimes of a target, and what a target says of itself.

use std::{net::SocketAddr, time::Duration};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// One lifetime of a target, from its start to its end. The same id may start again later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lifetime {
    /// The id chosen by the target.
    pub id: CompactString,
    /// The wall-clock time of the start in milliseconds since the Unix epoch, if the target reports it.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
}

impl Lifetime {
    /// Returns whether this lifetime is known to have started before another one.
    pub(super) fn is_before(&self, other: &Lifetime) -> bool {
        matches!((self.started_ms, other.started_ms), (Some(a), Some(b)) if a < b)
    }

    /// Returns whether another lifetime is known to be a later start under the same id.
    pub(super) fn is_earlier_start_of(&self, other: &Lifetime) -> bool {
        self.id == other.id && self.is_before(other)
    }

    /// Returns whether both may be the same lifetime.
    pub(super) fn may_equal(&self, other: &Lifetime) -> bool {
        let has_same_start = match (self.started_ms, other.started_ms) {
            (Some(a), Some(b)) => a == b,
            _ => true,
        };
        self.id == other.id && has_same_start
    }

    /// Returns whether both are known to be the same lifetime.
    pub(super) fn is_same(&self, other: &Lifetime) -> bool {
        self.started_ms.is_some() && self == other
    }
}

/// A heartbeat of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The lifetime of the sender.
    pub lifetime: Lifetime,
    /// The service that the target runs.
    pub service: CompactString,
    /// The target's address.
    pub address: SocketAddr,
    /// The version of the target's software.
    pub version: CompactString,
    /// The number of requests that the target can run at the same time.
    pub slots: u16,
    /// Whether the target is shutting down and takes no new requests.
    pub is_leaving: bool,
    /// The remaining time of the cold start.
    pub cold_left: Duration,
    /// A number that increases with each heartbeat of a lifetime.
    pub sequence: u64,
}

/// The answer of the target's health endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Health {
    /// Whether the target reports that it is healthy.
    pub(crate) is_healthy: bool,
    /// The id of the lifetime that answered.
    pub(crate) id: Option<CompactString>,
    /// The current slowdown, as a percentage of the nominal service time.
    pub(crate) slowdown: Option<u32>,
    /// The number of slots that the target reports.
    pub(crate) slots: Option<u16>,
    /// The remaining time of the cold start.
    pub(crate) cold_left: Duration,
}

/// The reply to a heartbeat or a deregistration.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatReply {
    /// The call was applied at this node.
    Accepted,
    /// The call is from an earlier lifetime or another service than that of the local target.
    Refused,
}
