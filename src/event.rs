//! Events that the reducer reacts to, as plain data.

use std::{sync::Arc, time::Duration};

use compact_str::CompactString;
use http::Method;

use crate::{
    body::BodyEnd,
    crash_guard::{RequestHash, SuspectReport},
    document::Document,
    identity::{Answer, AttemptTag, ClaimEvent, Fingerprint, PresentedIdentity, Stamp},
    keys::{CallKey, MemberId, WorkKey},
    load::{Health, LoadReport},
    membership::{Contact, Message, Source},
    pool::Reachability,
    refusal::Refusal,
    rollout::VerdictRecord,
    time::WallTime,
};

/// One event. The reducer receives the time of the event separately.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A step of a caller's request at its entry node.
    Call(CallKey, CallEvent),
    /// A step of a request at the target's node.
    Work(WorkKey, WorkEvent),
    /// An authenticated gossip datagram arrived.
    Gossip(Source, Box<Message>),
    /// A probe ended. The report is `None` if the member did not answer in time.
    ProbeEnded { member: MemberId, report: Option<LoadReport> },
    /// The contact records were read from the platform.
    Contacts(Vec<Contact>),
    /// A pull of a configuration document ended. If it succeeded, [`Event::Document`] was sent before.
    PullEnded,
    /// The transfer of outcomes to another member ended, successfully or not.
    HandoverEnded,
    /// A configuration document was received.
    Document { revision: u64, document: Arc<Document> },
    /// Rollout verdicts were read from the platform.
    Verdicts(Vec<VerdictRecord>),
    /// Another member reported requests that may crash targets.
    SuspectReports(Vec<SuspectReport>),
    /// The target became reachable or unreachable.
    Reachability(Reachability),
    /// The target's health endpoint was queried.
    Health(Health),
    /// A timer armed by the reducer has expired.
    Timer(Timer),
    /// The wall clock was read. Rollout schedules depend on it.
    Clock(WallTime),
    /// The process was asked to stop.
    Stop,
}

/// A step of a caller's request at its entry node.
#[derive(Clone, Debug)]
pub(crate) enum CallEvent {
    /// The request head arrived.
    Arrived(CallHead),
    /// The head of an attempt's answer arrived.
    Answered { attempt: u32, status: u16, report: Option<LoadReport> },
    /// The target's node refused an attempt.
    Refused { attempt: u32, refusal: Refusal, report: Option<LoadReport> },
    /// An attempt ended without an answer or a refusal.
    Failed { attempt: u32, failure: Failure, can_replay: bool },
    /// A platform call for the claim of the request's key ended.
    Claim(ClaimEvent),
    /// The complete answer was read. It is `Some` if it is small enough to be stored for repeats.
    AnswerRead(Option<Answer>),
    /// The answer body ended, or the caller disconnected.
    Ended(BodyEnd),
}

/// How an attempt failed.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No byte of the request was sent.
    NotSent,
    /// The request was sent, and the connection broke before an answer arrived.
    Lost,
    /// The caller's body ended early.
    BodyCut,
}

impl Failure {
    /// Returns the name of the failure in log lines.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Failure::NotSent => "not-sent",
            Failure::Lost => "lost",
            Failure::BodyCut => "body-cut",
        }
    }
}

/// The properties of a caller's request that its entry node reads from the request head.
#[derive(Clone, Debug)]
pub(crate) struct CallHead {
    pub(crate) service: CompactString,
    pub(crate) method: Method,
    pub(crate) path: CompactString,
    /// The remaining time until the caller's deadline, if the caller has stated it.
    pub(crate) timeout: Option<Duration>,
    /// The number of calls above this one in the call chain.
    pub(crate) depth: u32,
    /// Detects whether two requests with the same identity differ.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) identity: RequestIdentity,
    /// Identifies the request in the crash guard.
    pub(crate) crash_fingerprint: RequestHash,
}

/// The identity that a request presents, and the forwarding data that came with it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestIdentity {
    /// The identity or key presented by the caller.
    pub(crate) presented: Option<PresentedIdentity>,
    /// The stamp of the forwarding node, if the request was forwarded.
    pub(crate) relay_stamp: Option<Stamp>,
}

/// A step of a request at the target's node.
#[derive(Clone, Debug)]
pub(crate) enum WorkEvent {
    /// The request head arrived.
    Arrived(WorkHead),
    /// The target sent the head of its answer.
    Answered { status: u16 },
    /// The request failed without an answer.
    Failed(Failure),
    /// The answer body ended, or the entry node disconnected.
    Ended(BodyEnd),
}

/// The properties of a request that the target's node reads from the request head.
#[derive(Clone, Debug)]
pub(crate) struct WorkHead {
    pub(crate) service: CompactString,
    pub(crate) path: CompactString,
    /// The entry node, which selected this target.
    pub(crate) from: MemberId,
    /// The tag of an attempt that runs at most once.
    pub(crate) tag: Option<AttemptTag>,
    /// The remaining time for which the entry node waits.
    pub(crate) timeout: Duration,
    /// Identifies the request in the crash guard.
    pub(crate) crash_fingerprint: RequestHash,
}

/// A timer armed by the reducer. The timer of a request that has ended is ignored when it expires.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Timer {
    /// The deadline of a caller's request.
    CallDeadline(CallKey),
    /// The delay after which an idempotent request is hedged, that is, also sent to another target.
    Hedge(CallKey),
    /// The time at which the claim budget allows a claim to be written.
    ClaimWrite(CallKey),
    /// The maximum duration of a claim.
    ClaimTimeout(CallKey),
    /// The interval of periodic work.
    Tick,
    /// The deadline of a graceful stop.
    StopDeadline,
}
