//! The effects that the reducer requests from the process, as plain data.

use std::{net::SocketAddr, time::Duration};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    config::CallerLimits,
    crash_guard::RequestStanding,
    directory::RecordBatch,
    event::Timer,
    keys::{CallKey, MemberId, WorkKey},
    node_status::NodeStatus,
    refusal::{Reason, Refusal},
    rollout::RolloutRecord,
    target::Lifetime,
    teams::Identity,
};

/// One effect, executed by the driver.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Effect {
    /// The next step of a caller's request.
    Call(CallKey, CallStep),
    /// The next step of a request at the target's node.
    Work(WorkKey, WorkStep),
    /// Sends the status of this node to other nodes.
    SendStatus { to: Vec<SocketAddr>, status: NodeStatus },
    /// Starts or stops watching the store on behalf of the other nodes.
    WatchStore(bool),
    /// Starts the watches of the store again, because it became reachable or unreachable. A watch that was sent while the
    /// store was away may never be answered.
    RestartWatches { is_reachable: bool },
    /// Pulls the store data that another node has and this one lacks.
    Pull(SocketAddr),
    /// Changes member records in the store.
    WriteRecords(RecordBatch),
    /// Ends the use of a lease of an earlier era, because the store has returned from an earlier copy of its state in
    /// this one.
    EndLease { era: u64 },
    /// Writes the state of a rollout to the store, unless an outcome is recorded there.
    SaveRollout(RolloutRecord),
    /// Applies new limits for callers' requests.
    LimitCallers(CallerLimits),
    /// Sets the path of the target's health endpoint.
    CheckHealth { path: CompactString },
    /// Checks the target's health now, because requests wait for its slowdown.
    MeasureSlowdown,
    /// Asks another node to refuse the requests of this one that have not started and would not end within `left`.
    Recall { member: MemberId, address: SocketAddr, left: Duration },
    /// Closes the connections to a removed member.
    ClosePeer(SocketAddr),
    /// Sets a timer.
    Arm { timer: Timer, after: Duration },
    /// Sets the readiness of this node, which tells callers whether to use it.
    Ready(bool),
    /// Writes a log line and updates its metrics.
    Log(Record),
    /// Ends the process.
    Exit,
}

/// What the entry node does next with a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallStep {
    /// Sends the request to a target's node.
    Attempt(Attempt),
    /// Passes the answer of an attempt on to the caller.
    Deliver { attempt: u32 },
    /// Refuses the request.
    Refuse(Refusal),
}

/// One attempt to run a request at a target.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Attempt {
    pub(crate) number: u32,
    pub(crate) hop: Hop,
    pub(crate) spec: AttemptSpec,
    /// Whether the request is a nested call.
    pub(crate) is_nested: bool,
    /// Who sends the request, which its headers must tell the target.
    pub(crate) identity: Identity,
}

/// The node through which a target is reached.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Hop {
    /// The target is local to this node.
    Local,
    /// The target is local to another node.
    Peer { member: MemberId, address: SocketAddr },
}

/// The parameters of an attempt, which the entry node sends to the target's node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct AttemptSpec {
    pub(crate) service: CompactString,
    pub(crate) route: CompactString,
    pub(crate) priority: u8,
    pub(crate) is_idempotent: bool,
    pub(crate) objective: Duration,
    /// The objective of the route, counted from the caller's first attempt.
    pub(crate) full_objective: Duration,
    pub(crate) timeout: Duration,
    pub(crate) nominal_service: Duration,
    pub(crate) is_late: bool,
}

/// What the target's node does next with a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum WorkStep {
    /// Sends the request to this lifetime of the target.
    Run { lifetime: CompactString, timeout: Duration },
    /// Refuses the request, which has not run.
    Refuse { reason: Reason, wait: Duration },
}

/// What a target said of its lifetime.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum NoticeKind {
    Heartbeat,
    Deregistration,
}

impl NoticeKind {
    /// Returns the name used in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            NoticeKind::Heartbeat => "heartbeat",
            NoticeKind::Deregistration => "deregistration",
        }
    }
}

/// A log line, as data.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Record {
    /// A target was chosen for an attempt.
    Route {
        id: CompactString,
        route: CompactString,
        service: CompactString,
        attempt: u32,
        /// Earlier attempts that a target ran or may have run.
        executions: u8,
        /// Other attempts that have not ended.
        open: usize,
        /// The maximum number of targets that may run the request.
        allowed: u8,
        member: MemberId,
        cost: Duration,
        compared: usize,
        /// The age of the load report used for the choice.
        age: Option<Duration>,
        config: u64,
        is_nested: bool,
    },
    /// An attempt ended without an answer for the caller.
    Retry { id: CompactString, attempt: u32, cause: &'static str, is_resent: bool },
    /// A caller's request was refused.
    Refuse {
        id: CompactString,
        route: CompactString,
        refusal: Refusal,
        attempts: u32,
        /// The members of the attempts, separated by commas.
        tried: CompactString,
        waited: Duration,
        /// The version of the configuration in force, or 0 if there is none.
        config: u64,
    },
    /// A caller's request was answered by a target.
    Answer { id: CompactString, route: CompactString, status: u16, attempts: u32, took: Duration },
    /// The target's node decided on the admission of a request.
    Admit {
        id: CompactString,
        route: CompactString,
        decision: &'static str,
        reason: Option<Reason>,
        running: u16,
        queued: u16,
        limit: u16,
        slowdown: u16,
    },
    /// A request at the target ended.
    Ran {
        id: CompactString,
        route: CompactString,
        outcome: &'static str,
        status: u16,
        took: Duration,
        /// The time from the arrival at the node to the start at the target.
        waited: Duration,
    },
    /// A member joined or was removed.
    Member { id: MemberId, service: CompactString, change: &'static str },
    /// The state of the local target changed.
    Target { lifetime: CompactString, change: &'static str },
    /// A target deregistered, or a heartbeat was refused; `current` is the lifetime known at the address until then.
    Notice { lifetime: Lifetime, current: Option<Lifetime>, kind: NoticeKind, is_accepted: bool },
    /// This node became the recorder of its data centre, or ceased to be it.
    Recorder { is_recorder: bool },
    /// This node started or stopped watching the store on behalf of the other nodes.
    Watcher { is_watcher: bool },
    /// The store became reachable or unreachable.
    Store { is_reachable: bool },
    /// The orders of this node have not been known to be those of the store for some time, or are so again.
    Orders {
        is_confirmed: bool,
        /// The time since the last confirmation, if there was one.
        age: Option<Duration>,
        /// The version of the configuration in force, or 0 if there is none.
        config: u64,
    },
    /// The store returned from an earlier copy of its state.
    StoreEra { previous: u64, era: u64 },
    /// A new configuration was applied.
    Config { version: u64, routes: usize, previous: u64 },
    /// The data centres out of service changed.
    Evacuated { centres: CompactString },
    /// A rollout entered another stage.
    Rollout {
        service: CompactString,
        version: CompactString,
        stage: &'static str,
        new_good: u32,
        new_bad: u32,
        old_good: u32,
        old_bad: u32,
    },
    /// The standing of a request that is suspected of a crash changed.
    Suspect(RequestStanding),
    /// The share of the demand for a service that goes to other data centres changed.
    RemoteShare {
        service: CompactString,
        reason: &'static str,
        permille: u16,
        /// The data centres with their shares, separated by commas.
        centres: CompactString,
    },
    /// The process of this node was paused.
    Paused { time: Duration },
    /// A graceful stop began or ended.
    Stop { phase: &'static str, calls: usize, works: usize },
}
