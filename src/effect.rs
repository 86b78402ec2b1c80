//! Effects that the reducer requests from the process, as plain data.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use compact_str::CompactString;

use crate::{
    crash_guard::{RequestStanding, SuspectReport},
    event::Timer,
    identity::{Answer, AttemptTag, Handover, Identity, Stamp},
    keys::{CallKey, MemberId, WorkKey},
    membership::Message,
    refusal::Refusal,
    rollout::{Finding, VerdictRecord},
};

/// One effect, executed by the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// Delivers the next step of a caller's request to its task.
    Call(CallKey, CallStep),
    /// Delivers the next step of a request at the target's node to its task.
    Work(WorkKey, WorkStep),
    /// Sends a datagram to another member.
    Send { to: SocketAddr, message: Box<Message> },
    /// Requests the load report of another member's target.
    Probe { to: MemberId, peer: SocketAddr },
    /// Pulls the configuration document from another member.
    Pull { from: MemberId, control: SocketAddr },
    /// Closes the connections to a removed member. If the member has failed, its requests in progress are lost.
    ClosePeer { peer: SocketAddr, has_failed: bool },
    /// Writes or reads the claim of an identity key chosen by a caller.
    Claim { call: CallKey, io: ClaimIo },
    /// Transfers the outcomes of the identities that this node owns to another member.
    HandOver { to: MemberId, control: SocketAddr, handover: Box<Handover> },
    /// Makes this node a watcher, that is, one of the few nodes that talk to the platform for their data centre. The
    /// value is its rank among them, or `None` to end the role.
    WatchPlatform(Option<usize>),
    /// Records a rollout verdict in the platform unless it holds the same or a newer one.
    RecordVerdict(VerdictRecord),
    /// Deletes a rollout verdict from the platform after its schedule has ended.
    DeleteVerdict(VerdictRecord),
    /// Reports requests that may crash targets to other members immediately, ahead of gossip.
    ReportSuspects { to: Vec<(MemberId, SocketAddr)>, reports: Vec<SuspectReport> },
    /// Arms a timer.
    Arm { timer: Timer, after: Duration },
    /// Writes a log line.
    Log(Record),
    /// Allows the process to exit.
    Exit,
}

/// The next step of a caller's request at its entry node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallStep {
    /// Sends the request to a target's node.
    Attempt(Attempt),
    /// Delivers the answer of an attempt to the caller.
    Deliver {
        attempt: u32,
        /// Whether the answer, if small, is stored and replayed to repeats with the same identity.
        should_store: bool,
    },
    /// Answers a repeated request with the stored answer.
    Replay(Arc<Answer>),
    /// Refuses the request.
    Refuse(Refusal),
}

/// One attempt to have a request run by a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub(crate) number: u32,
    pub(crate) member: MemberId,
    pub(crate) hop: Hop,
    /// The time left for the attempt.
    pub(crate) timeout: Duration,
    pub(crate) kind: AttemptKind,
}

/// What an attempt requests of the receiving node.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum AttemptKind {
    /// Runs an idempotent request.
    Run,
    /// Runs a request at most once.
    RunOnce(AttemptTag),
    /// Forwards a request to the owner of its identity, which decides whether it runs.
    Relay { stamp: Stamp, identity: Identity },
}

/// A platform call that writes or reads a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ClaimIo {
    Write { key: CompactString, identity: Identity },
    Read { key: CompactString },
}

/// The route to a target.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Hop {
    /// The target runs beside this node.
    Local,
    /// The target runs beside another node, which is reached at this address.
    Peer(SocketAddr),
}

/// The next step of a request at the target's node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WorkStep {
    /// Sends the request to the target.
    Run,
    /// Refuses the request.
    Refuse(Refusal),
}

/// The content of a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Record {
    /// A target was chosen for an attempt.
    Route {
        call: CallKey,
        service: CompactString,
        attempt: u32,
        member: MemberId,
        reason: &'static str,
        candidates: CompactString,
    },
    /// A request was forwarded to the owner of its identity.
    Relay { call: CallKey, identity: Identity, to: MemberId },
    /// A repeated request was answered with the stored answer.
    Replay { call: CallKey, identity: Identity },
    /// The outcomes of this node's identities are being transferred to another member.
    HandOver { to: MemberId, outcomes: usize },
    /// A request was refused.
    Refuse { call: CallKey, service: CompactString, refusal: Refusal },
    /// The target's node admitted, queued or refused a request.
    Admit {
        work: WorkKey,
        from: MemberId,
        path: CompactString,
        decision: &'static str,
        running: u16,
        limit: u16,
    },
    /// A request failed without an answer from the target.
    TargetFailed { work: WorkKey, failure: &'static str },
    /// A target was ejected: it receives no requests during the pause.
    Eject { member: MemberId, service: CompactString, pause: Duration },
    /// A member joined, changed, became suspected or was removed.
    Member { id: MemberId, service: CompactString, change: &'static str },
    /// The complete member table has been pulled.
    Synced { members: usize },
    /// The member table is full, so members were refused.
    TableFull { refused: u64 },
    /// Another region resumed or stopped confirming its members of a service.
    Region { region: CompactString, service: CompactString, members: usize, is_confirmed: bool },
    /// Calls were for services to which this node does not subscribe in other regions, because it has reached the
    /// maximum number of such subscriptions.
    RemoteServicesFull { calls: u64, limit: usize },
    /// This node became a watcher, or ceased to be one.
    Watcher { rank: Option<usize> },
    /// A newer configuration document is being pulled from a member.
    Pull { from: MemberId, revision: u64 },
    /// The total cost of load measurement since the node started.
    Measured { bytes: u64, reports: u64, probes: u64, denied: u64 },
    /// A configuration document came into force.
    Document { revision: u64, services: usize },
    /// A rollout entered another stage.
    Rollout {
        service: CompactString,
        version: CompactString,
        stage: &'static str,
        /// The new version's share of traffic, in thousandths.
        share: u16,
        /// The evidence for a rollback and the route to which it applies.
        finding: Option<(Finding, CompactString)>,
    },
    /// The standing of a request that was in progress at a crash changed.
    Suspect(RequestStanding),
    /// The target's reachability, reported health or availability changed.
    Target { change: &'static str },
    /// A graceful stop began or ended.
    Stop { phase: &'static str, calls: usize, works: usize },
}
