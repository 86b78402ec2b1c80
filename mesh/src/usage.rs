//! Usage reports: one node at a time reports how many requests of each team began to run at targets in each window.
//!
//! Every node counts what its target began ([`counter`]). The holder of the duty ([`duty`]) collects the counts of all
//! nodes ([`gather`]), records the report in the store and sends it ([`task`]). `docs/design/usage.md` describes the design.

use std::{
    future::Future,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use compact_str::CompactString;

use crate::{
    headers::{self, HeaderNames},
    keys::MemberId,
};

pub(crate) use self::duty::Turn;
use self::{
    clock::UsageClock,
    counter::{Counter, Counts},
    gather::Answer,
    handover::{HandOver, Received},
};

mod clock;
mod counter;
mod duty;
pub(crate) mod gather;
pub(crate) mod handover;
mod records;
pub(crate) mod task;

/// The settings of the duty.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageSettings {
    /// The name of this node for the holder's record in the store.
    pub node: CompactString,
    /// The length of a window.
    pub window: Duration,
    /// The time after the end of a window at which its report is due.
    pub late: Duration,
    /// The time to live of the holder's lease.
    pub lease: Duration,
    /// The part of the lease in which a holder does not act any more, in case that it is suspended.
    pub slack: Duration,
    /// The shortest time between two sends.
    pub call_interval: Duration,
}

/// The outcome of a call that sends a report.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The report was accepted.
    Accepted,
    /// The call failed with a status that may not last.
    Busy(u16),
    /// The report was refused for good.
    Rejected(u16),
    /// There was no answer; the report may have been accepted.
    Unanswered,
    /// No byte of the report was sent.
    NotSent,
}

/// Sends reports in the deployment's own format.
pub trait ReportSink: Clone + Send + Sync + 'static {
    /// Sends the body of a report under a fence number.
    ///
    /// `may_send` is called when the connection is open, immediately before the first byte is sent. If it returns false,
    /// nothing may be sent, because the duty may be another node's.
    fn send(
        &self,
        fence: u64,
        body: Bytes,
        may_send: impl Fn() -> bool + Send + Sync,
    ) -> impl Future<Output = SendOutcome> + Send;
}

/// This node's counts, which are kept once the duty is switched on.
#[derive(Clone, Default)]
pub(crate) struct Usage {
    shared: Arc<OnceLock<Shared>>,
}

struct Shared {
    clock: UsageClock,
    counter: Mutex<Counter>,
    /// Identifies this process, so that its counts are included once even if it is known under two member ids.
    source: u64,
    /// The member that has asked for counts last, which is the holder.
    asked_by: Mutex<Option<MemberId>>,
    received: Mutex<Received>,
}

impl Usage {
    /// Begins to count.
    fn enable(&self, window: Duration) {
        self.shared.get_or_init(|| Shared {
            clock: UsageClock::new(),
            counter: Mutex::new(Counter::new(window)),
            source: rand::random(),
            asked_by: Mutex::default(),
            received: Mutex::default(),
        });
    }

    /// Counts a request that is sent to the target now, if it bears a team and the duty is switched on.
    pub(crate) fn begin(&self, headers: &http::HeaderMap, names: &HeaderNames) -> Option<Begun> {
        let shared = self.shared.get()?;
        let team = headers::text(headers, &names.team).filter(|team| !team.is_empty())?;
        let window = shared.counter().begin(shared.clock.unix(), team)?;
        Some(Begun { usage: self.clone(), window, team: team.into() })
    }

    /// Returns the counts of a window, or `None` if nothing is counted.
    fn counts(&self, window: u64) -> Option<(u64, Counts)> {
        let shared = self.shared.get()?;
        Some((shared.source, shared.counter().counts(window)))
    }

    /// Records the member that asks for counts.
    fn set_asked_by(&self, member: MemberId) {
        if let Some(shared) = self.shared.get() {
            *lock(&shared.asked_by) = Some(member);
        }
    }

    /// Keeps the counts of a process that has stopped, and returns whether this node counts at all.
    fn keep_received(&self, hand_over: HandOver) -> bool {
        let shared = self.shared.get();
        shared.map(|shared| lock(&shared.received).insert(hand_over)).is_some()
    }

    /// Returns the counts of a window of processes that have stopped.
    fn received(&self, window: u64) -> Vec<Answer> {
        self.shared.get().map_or_else(Vec::new, |shared| lock(&shared.received).answers(window))
    }

    /// Returns all counts of this process and the member that has asked for them last, or `None` if nothing is counted.
    fn hand_over(&self) -> Option<(HandOver, Option<MemberId>)> {
        let shared = self.shared.get()?;
        let windows = shared.counter().all();
        Some((HandOver { source: shared.source, windows }, *lock(&shared.asked_by)))
    }

    /// Returns and resets the number of requests that were not counted because of the bounds.
    fn take_uncounted(&self) -> u64 {
        self.shared.get().map_or(0, |shared| shared.counter().take_uncounted())
    }

    fn clock(&self) -> Option<&UsageClock> {
        self.shared.get().map(|shared| &shared.clock)
    }
}

impl Shared {
    fn counter(&self) -> MutexGuard<'_, Counter> {
        lock(&self.counter)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request that was counted.
pub(crate) struct Begun {
    usage: Usage,
    window: u64,
    team: CompactString,
}

impl Begun {
    /// Takes the request back, because it did not begin to run.
    pub(crate) fn undo(self) {
        if let Some(shared) = self.usage.shared.get() {
            shared.counter().undo(self.window, &self.team);
        }
    }
}
