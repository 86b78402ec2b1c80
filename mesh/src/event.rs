//! The events to which the reducer reacts, as plain data.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use compact_str::CompactString;

use crate::{
    config::{Config, RouteTable},
    crash_guard::RequestHash,
    directory::{MemberRecord, RecordBatch},
    keys::{CallKey, MemberId, WorkKey},
    limits::Limits,
    node_status::NodeStatus,
    refusal::Reason,
    replica::Revisions,
    report::LoadReport,
    rollout::{RolloutOrder, RolloutRecord},
    target::Health,
    teams::KeyDigest,
    time::Time,
};

/// One event. The reducer gets it together with its time.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// An event of a caller's request at its entry node.
    Call(CallKey, CallEvent),
    /// An event of a request at the target's node.
    Work(WorkKey, WorkEvent),
    /// The target answered a health check, or did not (`None`).
    Health(Option<Health>),
    /// The target reported its slowdown with an answer, as a percentage of the nominal service time.
    Slowdown(u32),
    /// The list of all members was read from the store.
    Members(Vec<MemberRecord>),
    /// The record of a member was written to the store.
    MemberPut(MemberRecord),
    /// The record of a member was deleted from the store, or its lease expired.
    MemberRemoved(MemberId),
    /// A batch of member records was written to the store under the lease of this node.
    RecordsWritten(RecordBatch),
    /// The batch could not be written, or it is not known whether it was.
    RecordsUnwritten,
    /// The lease of this node has ended or belongs to an earlier state of the store, so its records are lost.
    RecordLeaseLost,
    /// This node has found the members that run, so that duties can be shared among them.
    Synced(Found),
    /// The store revisions known to this node changed.
    Revisions(Revisions),
    /// The store gave an answer of this era.
    StoreEra(u64),
    /// A pull from another node ended.
    PullEnded(PullOutcome),
    /// The store became reachable or unreachable for this node.
    Store { is_reachable: bool },
    /// A configuration was read.
    Config(Arc<RouteTable>),
    /// A configuration came from a node of an earlier build, which does not know whether it has teams.
    ConfigWithoutAccess(Config),
    /// The store has answered a read of the orders that was sent at this time. What this node has includes all orders that were
    /// confirmed before it.
    OrdersRead { sent_at: Time },
    /// This node lacks changes of the orders, which the store no longer keeps.
    OrdersIncomplete,
    /// The store holds a newer configuration that cannot be read.
    ConfigUnreadable,
    /// The settings changed the limits.
    Limits(Limits),
    /// The settings changed the service of the local target; `id` is the member id of this node from now on.
    Service { id: MemberId, service: CompactString },
    /// The set of data centres out of service was read.
    Evacuated(BTreeSet<CompactString>),
    /// An operator's rollout order was written or removed.
    Rollout { service: CompactString, order: Option<RolloutOrder> },
    /// The recorded state of a rollout was read from the store.
    RolloutRecorded(RolloutRecord),
    /// Another node sent its status. It also takes requests at the source address.
    Status { status: NodeStatus, source: SocketAddr },
    /// A timer that the reducer set has expired.
    Timer(Timer),
    /// Another node ends after `left` and recalls its requests that would not end by then.
    Recalled { from: MemberId, left: Duration },
    /// The process was asked to stop.
    Stop,
}

/// What a starting node found in the store.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Found {
    /// No other member: the deployment starts, and this node is the first one or one of a few.
    Nobody,
    /// Other members.
    Members,
}

/// The outcome of a pull from another node.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum PullOutcome {
    /// The changes arrived.
    Done,
    /// The node sends its data to as many others as it may.
    Busy,
    /// No complete response arrived.
    Failed,
}

/// A step of a caller's request at its entry node.
#[derive(Clone, Debug)]
pub(crate) enum CallEvent {
    /// The head of the request and its body arrived, or as much of the body as is buffered.
    Arrived(CallHead),
    /// An attempt was answered by the target.
    Answered { attempt: u32, answer: AnswerHead, load: Option<LoadReport> },
    /// The target shed the request without running it.
    Shed { attempt: u32, load: Option<LoadReport> },
    /// The target's node refused an attempt, which has not run.
    Refused { attempt: u32, reason: Reason, wait: Duration, load: Option<LoadReport> },
    /// An attempt ended without an answer.
    Failed { attempt: u32, failure: Failure },
    /// The call ended: its answer was delivered, or the caller disconnected.
    Ended,
}

/// What the entry node knows about an answer.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct AnswerHead {
    pub(crate) status: u16,
    /// The nominal service time of the route, as the target's node measured it.
    pub(crate) nominal_service: Option<Duration>,
    /// The size of request and answer in bytes.
    pub(crate) size: u32,
}

/// How an attempt failed.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No byte of the request was sent.
    NotSent,
    /// The request was sent, but no valid answer of the target arrived.
    Lost,
    /// The connection to the target's node broke after the request was sent.
    NodeLost,
    /// The caller's body ended before it was complete.
    BodyCut,
}

impl Failure {
    /// Returns the name used in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Failure::NotSent => "not-sent",
            Failure::Lost => "lost",
            Failure::NodeLost => "node-lost",
            Failure::BodyCut => "body-cut",
        }
    }
}

/// What the entry node knows about a caller's request.
#[derive(Clone, Debug)]
pub(crate) struct CallHead {
    /// The request id of callers and targets, for logs.
    pub(crate) id: CompactString,
    pub(crate) host: CompactString,
    pub(crate) path: CompactString,
    /// The time that the caller will still wait, if it is stated.
    pub(crate) timeout: Option<Duration>,
    /// Whether the whole body is buffered, so that it can be sent again.
    pub(crate) can_resend: bool,
    /// The key of the caller's team, if the request carries one.
    pub(crate) key: Option<KeyDigest>,
    /// A hash that is equal for all sends of the same request.
    pub(crate) fingerprint: RequestHash,
}

/// A step of a request at the target's node.
#[derive(Clone, Debug)]
pub(crate) enum WorkEvent {
    /// The request arrived.
    Arrived(WorkHead),
    /// The target answered.
    Answered { status: u16 },
    /// The target shed the request without running it.
    Shed,
    /// Another lifetime of the target answered at its address.
    Misdirected,
    /// No valid answer arrived.
    Failed(Failure),
    /// The entry node or the caller disconnected.
    Cancelled,
}

/// What the target's node knows about a request.
#[derive(Clone, Debug)]
pub(crate) struct WorkHead {
    /// The entry node, if it is not this node.
    pub(crate) from: Option<MemberId>,
    /// The request id of callers and targets, for logs.
    pub(crate) id: CompactString,
    pub(crate) service: CompactString,
    pub(crate) route: CompactString,
    pub(crate) priority: u8,
    /// The time left until the objective.
    pub(crate) objective: Duration,
    /// The objective of the route, counted from the caller's first attempt.
    pub(crate) full_objective: Duration,
    /// The time that the caller will still wait.
    pub(crate) timeout: Duration,
    /// The nominal service time that the entry node expects.
    pub(crate) nominal_service: Duration,
    /// Whether the entry node found that no target can meet the objective.
    pub(crate) is_late: bool,
    /// Whether the entry node found that the request is a nested call.
    pub(crate) is_nested: bool,
    /// The caller's team, as the entry node stated it.
    pub(crate) team: Option<CompactString>,
    /// A hash that is equal for all sends of the same request.
    pub(crate) fingerprint: RequestHash,
}

/// A timer that the reducer sets. An expired timer of a request that has ended is ignored.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// The deadline of a caller's request.
    CallDeadline(CallKey),
    /// The delay after which an idempotent request is also sent to another target.
    Hedge(CallKey),
    /// The next check of the admission queue.
    Queue,
    /// The time by which the target should have reported its slowdown.
    Slowdown,
    /// The periodic tasks of the reducer.
    Tick,
    /// The time of a graceful stop at which requests that have not started are recalled.
    StopRecall,
    /// The deadline of a graceful stop.
    StopDeadline,
}
