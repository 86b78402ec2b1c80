//! The one account of the memory and the descriptors that a process holds for its peers: callers, other nodes, the target
//! and whoever else connects.
//!
//! A connection reserves when it is accepted, for its heads while they arrive, and for a body while it is buffered; buffered
//! bodies and answers are counted until their last byte has been sent. Each reservation is a guard that gives back when it is
//! dropped. What is full is decided in `account`, for each [`Endpoint`] and for the process.

use std::{
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use slotmap::SecondaryMap;
use tokio::{sync::Notify, time::Instant};

use crate::time::Time;

use account::{Account, Grant, Part, PeerKey, Phase, Shed};
use bounds::Bounds;

pub use bounds::ProcessLimits;

mod account;
mod bounds;

/// The memory of one field of a parsed head beyond its text: an entry of the map of headers and its index.
const FIELD_BYTES: usize = 128;

/// The time between two log lines about the same bound; what is reached meanwhile is counted in the next one.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The listener at which a peer connects.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// Requests of callers.
    Callers,
    /// Requests of other nodes.
    Peers,
    /// Readiness checks.
    Ready,
    /// Heartbeats of the target.
    Control,
    /// Metrics.
    Metrics,
}

impl Endpoint {
    pub(crate) const ALL: [Endpoint; 5] =
        [Endpoint::Callers, Endpoint::Peers, Endpoint::Ready, Endpoint::Control, Endpoint::Metrics];

    /// Returns the name used in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Endpoint::Callers => "callers",
            Endpoint::Peers => "peers",
            Endpoint::Ready => "ready",
            Endpoint::Control => "control",
            Endpoint::Metrics => "metrics",
        }
    }
}

/// What was done because a bound was reached.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// A new connection was closed.
    NotAccepted,
    /// A connection on which no request had been read was closed.
    Closed,
    /// A request was refused in its body.
    BodyRefused,
    /// A request was refused by its head.
    Refused,
}

impl Action {
    const COUNT: usize = 4;

    /// Returns the name used in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Action::NotAccepted => "not_accepted",
            Action::Closed => "closed",
            Action::BodyRefused => "body_refused",
            Action::Refused => "refused",
        }
    }
}

/// A bound that was reached.
#[derive(Copy, Clone, Debug)]
pub(crate) struct BoundReached {
    pub(crate) action: Action,
    pub(crate) endpoint: Endpoint,
    /// What the endpoint holds.
    pub(crate) connections: usize,
    pub(crate) bytes: usize,
    /// The number of times since the last log line, if there is to be one now.
    pub(crate) log_count: Option<u64>,
}

/// There is no room for more of a request.
#[derive(Copy, Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("peers hold all memory that they may take"))]
pub(crate) struct NoRoom;

/// The account, shared by all servers of a process.
#[derive(Clone)]
pub struct PeerMemory(Arc<Shared>);

struct Shared {
    state: Mutex<State>,
    started: Instant,
    report: Box<dyn Fn(&BoundReached) + Send + Sync>,
}

struct State {
    account: Account,
    signals: SecondaryMap<PeerKey, Arc<Signals>>,
    /// When a log line about an action was due last, and how often the action was taken since.
    reports: [(Option<Time>, u64); Action::COUNT],
}

/// How a connection learns that it must give way.
#[derive(Default)]
struct Signals {
    close: Notify,
    refuse: Notify,
}

impl PeerMemory {
    pub(crate) fn new(
        limits: ProcessLimits,
        report: impl Fn(&BoundReached) + Send + Sync + 'static,
    ) -> PeerMemory {
        let state = State {
            account: Account::new(Bounds::new(limits)),
            signals: SecondaryMap::new(),
            reports: Default::default(),
        };
        PeerMemory(Arc::new(Shared {
            state: Mutex::new(state),
            started: Instant::now(),
            report: Box::new(report),
        }))
    }

    /// Registers a new connection, or returns `None` if it must be closed.
    pub(crate) fn connect(&self, endpoint: Endpoint) -> Option<Peer> {
        let mut state = self.lock();
        let (key, shed) = state.account.connect(self.now(), endpoint);
        self.notify(&mut state, endpoint, &shed);
        let Some(key) = key else {
            self.report(&mut state, Action::NotAccepted, endpoint);
            return None;
        };
        let signals = Arc::<Signals>::default();
        state.signals.insert(key, signals.clone());
        drop(state);
        Some(Peer(Arc::new(Connection { memory: self.clone(), endpoint, key, signals })))
    }

    /// Counts buffered bytes until the last clone of them is dropped: those of an answer, or of a request at an endpoint.
    pub(crate) fn hold(&self, endpoint: Option<Endpoint>, bytes: Bytes) -> Bytes {
        let count = bytes.len();
        self.lock().account.hold(endpoint, count);
        Bytes::from_owner(HeldBytes { memory: self.clone(), endpoint, bytes })
    }

    fn now(&self) -> Time {
        Time::ZERO + self.0.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self, state: &mut State, endpoint: Endpoint, shed: &[Shed]) {
        for Shed { key, phase } in shed {
            let Some(signals) = state.signals.get(*key) else { continue };
            let action = if *phase == Phase::Idle {
                signals.close.notify_one();
                Action::Closed
            } else {
                signals.refuse.notify_one();
                Action::BodyRefused
            };
            self.report(state, action, endpoint);
        }
    }

    fn report(&self, state: &mut State, action: Action, endpoint: Endpoint) {
        let now = self.now();
        let (logged, count) = &mut state.reports[action as usize];
        *count += 1;
        let is_due = logged.is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
        let log_count = is_due.then(|| mem::take(count));
        if is_due {
            *logged = Some(now);
        }
        let usage = state.account.endpoint(endpoint);
        let (connections, bytes) = (usage.connections, usage.bytes);
        (self.0.report)(&BoundReached { action, endpoint, connections, bytes, log_count });
    }
}

/// Bytes with the reservation for them.
struct HeldBytes {
    memory: PeerMemory,
    endpoint: Option<Endpoint>,
    bytes: Bytes,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.memory.lock().account.release(self.endpoint, self.bytes.len());
    }
}

/// A connection in the account. The last clone gives back what it holds.
#[derive(Clone)]
pub(crate) struct Peer(Arc<Connection>);

struct Connection {
    memory: PeerMemory,
    endpoint: Endpoint,
    key: PeerKey,
    signals: Arc<Signals>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.account.disconnect(self.key);
        state.signals.remove(self.key);
    }
}

impl Peer {
    /// Records bytes that arrived.
    pub(crate) fn receive(&self, bytes: usize) {
        let Connection { memory, endpoint, key, .. } = &*self.0;
        let mut state = memory.lock();
        let shed = state.account.receive(memory.now(), *key, bytes);
        memory.notify(&mut state, *endpoint, &shed);
    }

    /// Begins a request, whose head has been read.
    pub(crate) fn begin_request(&self) {
        self.0.memory.lock().account.begin_request(self.0.memory.now(), self.0.key);
    }

    /// Ends a request, whose answer the connection has taken.
    pub(crate) fn end_request(&self) {
        self.0.memory.lock().account.end_request(self.0.memory.now(), self.0.key);
    }

    /// Reserves for the parsed head of a request until the request ends.
    ///
    /// # Errors
    ///
    /// Fails if the request must be refused.
    pub(crate) fn admit(&self, fields: usize) -> Result<(), NoRoom> {
        let Connection { memory, endpoint, key, .. } = &*self.0;
        let mut state = memory.lock();
        if state.account.has_room() {
            let bytes = fields * FIELD_BYTES;
            let Grant { is_granted, shed } =
                state.account.reserve(memory.now(), *key, Part::Head, bytes);
            memory.notify(&mut state, *endpoint, &shed);
            if is_granted {
                return Ok(());
            }
        }
        memory.report(&mut state, Action::Refused, *endpoint);
        Err(NoRoom)
    }

    /// Begins to buffer the body of a request.
    pub(crate) fn begin_body(&self) -> BodyReservation {
        self.0.memory.lock().account.begin_body(self.0.memory.now(), self.0.key);
        BodyReservation { peer: self.clone(), reserved: 0 }
    }

    /// Waits until the connection must be closed. No request has been read on it then.
    pub(crate) async fn closed(&self) {
        self.shed_by(&self.0.signals.close).await;
    }

    /// Waits until the request whose body is being buffered must be refused in favour of another one.
    pub(crate) async fn refused(&self) {
        self.shed_by(&self.0.signals.refuse).await;
    }

    async fn shed_by(&self, signal: &Notify) {
        loop {
            signal.notified().await;
            // Another request may have begun since.
            if self.0.memory.lock().account.is_shed(self.0.key) {
                return;
            }
        }
    }
}

/// The reservation for a body that is being buffered.
pub(crate) struct BodyReservation {
    peer: Peer,
    reserved: usize,
}

impl BodyReservation {
    /// Raises the reservation to this many bytes.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let Connection { memory, endpoint, key, .. } = &*self.peer.0;
        let more = bytes.saturating_sub(self.reserved);
        let mut state = memory.lock();
        let Grant { is_granted, shed } =
            state.account.reserve(memory.now(), *key, Part::Body, more);
        memory.notify(&mut state, *endpoint, &shed);
        if !is_granted {
            memory.report(&mut state, Action::BodyRefused, *endpoint);
            return Err(NoRoom);
        }
        self.reserved += more;
        Ok(())
    }

    /// Ends the buffering and counts the bytes that were buffered until they have been sent.
    pub(crate) fn finish(self, bytes: Bytes) -> Bytes {
        let Connection { memory, endpoint, .. } = &*self.peer.0;
        memory.hold(Some(*endpoint), bytes)
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let Connection { memory, key, .. } = &*self.peer.0;
        memory.lock().account.end_body(memory.now(), *key);
    }
}

#[cfg(test)]
mod tests;
