//! The account itself: who holds what, what still has room, and who is shed. It performs no I/O and gets the time as data.

use std::{cmp::Ordering, time::Duration};

use slotmap::{SlotMap, new_key_type};

use crate::{
    peer_memory::{Endpoint, bounds::Bounds},
    time::Time,
};

/// The memory of a connection without a request: its task, and the first buffer of the HTTP server. Measured as 10 KiB with
/// 400 silent connections.
pub(super) const CONNECTION_BYTES: usize = 12 << 10;

/// The age below which a connection or a body is not shed, whatever it has sent. An ordinary body arrives in a few
/// milliseconds, because callers are on the same machine.
const MIN_SHED_AGE: Duration = Duration::from_secs(1);

/// The most bytes that a connection buffers while a request is running: the read buffer of the HTTP server for callers, and
/// what is read ahead of it.
const MAX_AHEAD_BYTES: usize = 80 << 10;

new_key_type! {
    /// A connection that a peer opened.
    pub(super) struct PeerKey;
}

/// What a connection is doing.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No request has been read completely: closing the connection runs and loses nothing.
    Idle,
    /// A body is being buffered: its request has not run, so it can be refused.
    Body,
    /// A request runs or is being answered, which is never shed.
    Running,
}

/// What a reservation is for.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum Part {
    Head,
    Body,
}

struct Peer {
    endpoint: Endpoint,
    phase: Phase,
    /// When the phase began.
    since: Time,
    /// The bytes received in this phase.
    received: usize,
    has_completed: bool,
    /// Bytes that arrived while a request was running and may wait in the buffers of the connection.
    ahead: usize,
    head: usize,
    body: usize,
    /// Whether the connection, or its body, was chosen to give way. What it gives back is no longer counted.
    is_shed: bool,
}

/// What an endpoint, or the process, has given away.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Usage {
    pub(super) connections: usize,
    pub(super) bytes: usize,
}

impl Usage {
    fn add(&mut self, other: Usage) {
        self.connections += other.connections;
        self.bytes += other.bytes;
    }

    fn subtract(&mut self, other: Usage) {
        self.connections -= other.connections;
        self.bytes -= other.bytes;
    }
}

/// A peer that must give way.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) struct Shed {
    pub(super) key: PeerKey,
    /// What it is doing: an idle connection is closed, a request in its body is refused.
    pub(super) phase: Phase,
}

/// The outcome of a reservation.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Grant {
    pub(super) is_granted: bool,
    /// The peers that must give way, also where that was not enough.
    pub(super) shed: Vec<Shed>,
}

/// The account of a process.
pub(super) struct Account {
    bounds: Bounds,
    peers: SlotMap<PeerKey, Peer>,
    endpoints: [Usage; Endpoint::ALL.len()],
    /// The bytes of buffered answers, which no endpoint bounds.
    answers: usize,
}

impl Peer {
    fn enter(&mut self, phase: Phase, now: Time) {
        (self.phase, self.since, self.received) = (phase, now, 0);
    }

    fn usage(&self) -> Usage {
        if self.is_shed {
            return Usage::default();
        }
        Usage { connections: 1, bytes: CONNECTION_BYTES + self.ahead + self.head + self.body }
    }

    /// Orders by who gives way first: who has completed no request, has sent least for its age, and is oldest.
    fn shed_order(&self, other: &Peer, now: Time) -> Ordering {
        let rate = |peer: &Peer| peer.received as f64 / now.since(peer.since).as_secs_f64();
        let completed = self.has_completed.cmp(&other.has_completed);
        completed.then(rate(self).total_cmp(&rate(other))).then(self.since.cmp(&other.since))
    }
}

impl Account {
    pub(super) fn new(bounds: Bounds) -> Account {
        Account {
            bounds,
            peers: SlotMap::with_key(),
            endpoints: [Usage::default(); Endpoint::ALL.len()],
            answers: 0,
        }
    }

    pub(super) fn endpoint(&self, endpoint: Endpoint) -> Usage {
        self.endpoints[endpoint as usize]
    }

    /// Returns the bytes that are given away at all endpoints and for answers.
    pub(super) fn bytes(&self) -> usize {
        self.answers + self.endpoints.iter().map(|usage| usage.bytes).sum::<usize>()
    }

    /// Takes a new connection, or returns `None` if its endpoint is full and nobody can give way. The listed peers must give
    /// way.
    pub(super) fn connect(
        &mut self,
        now: Time,
        endpoint: Endpoint,
    ) -> (Option<PeerKey>, Vec<Shed>) {
        let mut shed = Vec::new();
        while self.endpoint(endpoint).connections >= self.bounds.connections(endpoint) {
            let Some(peer) = self.shed_one(now, endpoint, None) else { return (None, shed) };
            shed.push(peer);
        }
        let grant = self.make_room(now, (endpoint, None), Part::Head, CONNECTION_BYTES);
        shed.extend(grant.shed);
        if !grant.is_granted {
            return (None, shed);
        }
        let peer = Peer {
            endpoint,
            phase: Phase::Idle,
            since: now,
            received: 0,
            has_completed: false,
            ahead: 0,
            head: 0,
            body: 0,
            is_shed: false,
        };
        self.endpoints[endpoint as usize].add(peer.usage());
        (Some(self.peers.insert(peer)), shed)
    }

    pub(super) fn disconnect(&mut self, key: PeerKey) {
        if let Some(peer) = self.peers.remove(key) {
            self.endpoints[peer.endpoint as usize].subtract(peer.usage());
        }
    }

    /// Records bytes that a peer has sent. Those of a head that is not complete are reserved, whether or not there is room:
    /// the peer itself is shed if nobody else can give way.
    pub(super) fn receive(&mut self, now: Time, key: PeerKey, bytes: usize) -> Vec<Shed> {
        let Some(phase) = self.peers.get(key).map(|peer| peer.phase) else { return Vec::new() };
        self.update(key, |peer| {
            peer.received += bytes;
            peer.ahead = match phase {
                // The HTTP server reads on because its buffer holds no complete head.
                Phase::Idle => 0,
                Phase::Body => peer.ahead,
                Phase::Running => (peer.ahead + bytes).min(MAX_AHEAD_BYTES),
            };
        });
        if phase != Phase::Idle {
            return Vec::new();
        }
        let Grant { is_granted, mut shed } = self.reserve(now, key, Part::Head, bytes);
        if !is_granted {
            self.update(key, |peer| peer.is_shed = true);
            shed.push(Shed { key, phase: Phase::Idle });
        }
        shed
    }

    /// Begins a request, whose head is complete. It is not shed from now on, even if that was decided just before.
    pub(super) fn begin_request(&mut self, now: Time, key: PeerKey) {
        self.update(key, |peer| {
            peer.is_shed = false;
            peer.enter(Phase::Running, now);
        });
    }

    /// Ends a request whose answer has been taken.
    pub(super) fn end_request(&mut self, now: Time, key: PeerKey) {
        self.update(key, |peer| {
            peer.has_completed = true;
            peer.head = 0;
            peer.enter(Phase::Idle, now);
        });
    }

    pub(super) fn begin_body(&mut self, now: Time, key: PeerKey) {
        self.update(key, |peer| peer.enter(Phase::Body, now));
    }

    /// Gives back what was reserved for a body.
    pub(super) fn end_body(&mut self, now: Time, key: PeerKey) {
        self.update(key, |peer| {
            peer.body = 0;
            peer.enter(Phase::Running, now);
        });
    }

    /// Reserves bytes for a head or a body.
    pub(super) fn reserve(&mut self, now: Time, key: PeerKey, part: Part, bytes: usize) -> Grant {
        let Some(peer) = self.peers.get(key) else {
            return Grant { is_granted: false, shed: Vec::new() };
        };
        let grant = self.make_room(now, (peer.endpoint, Some(key)), part, bytes);
        if grant.is_granted {
            self.update(key, |peer| match part {
                Part::Head => peer.head += bytes,
                Part::Body => peer.body += bytes,
            });
        }
        grant
    }

    /// Returns whether new requests may be taken: buffered answers are never shed, so their requests wait instead.
    pub(super) fn has_room(&self) -> bool {
        self.bytes() < self.bounds.bytes()
    }

    pub(super) fn is_shed(&self, key: PeerKey) -> bool {
        self.peers.get(key).is_none_or(|peer| peer.is_shed)
    }

    /// Counts bytes that are held for a request that runs (`Some` endpoint) or for an answer, whatever the bounds.
    pub(super) fn hold(&mut self, endpoint: Option<Endpoint>, bytes: usize) {
        match endpoint {
            Some(endpoint) => self.endpoints[endpoint as usize].bytes += bytes,
            None => self.answers += bytes,
        }
    }

    pub(super) fn release(&mut self, endpoint: Option<Endpoint>, bytes: usize) {
        match endpoint {
            Some(endpoint) => self.endpoints[endpoint as usize].bytes -= bytes,
            None => self.answers -= bytes,
        }
    }

    /// Sheds peers of an endpoint until it has room for these bytes.
    fn make_room(
        &mut self,
        now: Time,
        (endpoint, asking): (Endpoint, Option<PeerKey>),
        part: Part,
        bytes: usize,
    ) -> Grant {
        let max = self.bounds.endpoint_bytes(endpoint, part);
        let mut shed = Vec::new();
        // Answers that slow readers hold leave room for connections and heads, so that for instance readiness is told.
        let is_full = |account: &Account| {
            let total = account.bytes() + bytes;
            account.endpoint(endpoint).bytes + bytes > max
                || (part == Part::Body && total > account.bounds.bytes())
        };
        while is_full(self) {
            let Some(peer) = self.shed_one(now, endpoint, asking) else {
                return Grant { is_granted: false, shed };
            };
            shed.push(peer);
        }
        Grant { is_granted: true, shed }
    }

    /// Marks the peer of an endpoint that gives way first, if any may.
    fn shed_one(&mut self, now: Time, endpoint: Endpoint, asking: Option<PeerKey>) -> Option<Shed> {
        let can_give_way = |key: PeerKey, peer: &Peer| {
            peer.endpoint == endpoint
                && !peer.is_shed
                && peer.phase != Phase::Running
                && Some(key) != asking
                && now.since(peer.since) >= MIN_SHED_AGE
        };
        let candidates = self.peers.iter().filter(|(key, peer)| can_give_way(*key, peer));
        let (key, peer) = candidates.min_by(|(_, a), (_, b)| a.shed_order(b, now))?;
        let shed = Shed { key, phase: peer.phase };
        self.update(key, |peer| peer.is_shed = true);
        Some(shed)
    }

    fn update(&mut self, key: PeerKey, change: impl FnOnce(&mut Peer)) {
        let Some(peer) = self.peers.get_mut(key) else { return };
        let usage = &mut self.endpoints[peer.endpoint as usize];
        usage.subtract(peer.usage());
        change(peer);
        usage.add(peer.usage());
    }
}

#[cfg(test)]
mod tests;
