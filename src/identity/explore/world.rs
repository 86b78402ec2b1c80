//! The state of the model: nodes, platform, callers and messages in transit.

mod deliver;

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use super::{
    Event, NODES, Setup, Violation, Without,
    node::{Node, Route, Step},
};
use crate::{
    identity::{
        AttemptResult, AttemptTag, BeginDecision, CLAIM_LEASE, Claim, ClaimEvent, Fingerprint,
        IdempotencyKey, Identity, OUTCOME_RETENTION, Stamp,
    },
    keys::MemberId,
    refusal::Outcome,
    time::Time,
};

/// The maximum number of attempts that an owner makes for one send.
const MAX_ATTEMPTS: u8 = 2;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Forward { stamp: Stamp, send: usize, identity: Identity },
    Reply { to: MemberId, send: usize, response: Response },
    Attempt { tag: AttemptTag, send: usize },
    Result { to: MemberId, tag: AttemptTag, result: Response },
    Write { from: MemberId, send: usize, identity: Identity },
    Read { from: MemberId, send: usize },
    Platform { to: MemberId, send: usize, event: ClaimEvent },
}

/// A response to a caller or an owner. "Unknown" is not modelled, because a lost message has the same effect.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Response {
    NotRun,
    /// The answer to the request of this send.
    Answer(usize),
}

#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Hash)]
struct SendState {
    is_sent: bool,
    has_run: bool,
    response: Option<Response>,
}

#[derive(Clone, Debug, Hash)]
pub(super) struct World {
    now: Time,
    nodes: [Arc<Node>; NODES],
    messages: Vec<Message>,
    sends: [SendState; 3],
    issued: Option<Identity>,
    claim: Option<Identity>,
    runs: u8,
    duplicates: u8,
    crashes: u8,
    outages: u8,
    has_expired: bool,
    lease_ended: bool,
    has_left: bool,
    has_handed_over: bool,
}

/// Returns the address of a member's process; a restarted node keeps its address.
fn address(member: MemberId) -> usize {
    member.0 as usize % NODES
}

/// Returns 1 if the send is a different request than the first one, and 0 otherwise.
fn request_number(setup: &Setup, send: usize) -> usize {
    usize::from(setup.last_differs && send == 2)
}

fn fingerprint(setup: &Setup, send: usize) -> Fingerprint {
    let paths = ["/orders", "/refunds"];
    let number =
        if setup.without == Without::Fingerprint { 0 } else { request_number(setup, send) };
    Fingerprint::new("orders", "POST", paths[number], None)
}

fn key() -> IdempotencyKey {
    IdempotencyKey::new("orders", "order-7").expect("the key is valid")
}

impl Message {
    /// Returns the only process that can receive the message, if the message travels on a connection of that
    /// process.
    fn connection(&self) -> Option<MemberId> {
        match self {
            Message::Reply { to, .. }
            | Message::Result { to, .. }
            | Message::Platform { to, .. } => Some(*to),
            _ => None,
        }
    }
}

impl World {
    pub(super) fn new(setup: &Setup) -> World {
        let mut nodes = [0, 1, 2].map(|n| Node::new(MemberId(NODES as u64 + n)));
        let issued = (!setup.uses_key).then(|| nodes[0].owner.issue());
        World {
            now: Time::ZERO,
            nodes: nodes.map(Arc::new),
            messages: Vec::new(),
            sends: [SendState::default(); 3],
            issued,
            claim: None,
            runs: 0,
            duplicates: setup.duplicates,
            crashes: setup.crashes,
            outages: setup.outages,
            has_expired: !setup.may_expire,
            lease_ended: !setup.lease_may_end,
            has_left: !setup.may_leave,
            has_handed_over: !setup.may_leave,
        }
    }

    pub(super) fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }

    pub(super) fn events(&self, setup: &Setup) -> Vec<Event> {
        let mut events = Vec::new();
        if let Some(send) = self.sends.iter().position(|s| !s.is_sent) {
            events.push(Event::Send(send));
        }
        for (n, node) in self.nodes.iter().enumerate() {
            for (step, s) in node.steps.iter().enumerate() {
                let choices = self.choices(n, s);
                events.extend((0..choices).map(|choice| Event::Step { node: n, step, choice }));
            }
            let attempts = 0..node.running.len();
            events.extend(attempts.map(|attempt| Event::BreakAttempt { node: n, attempt }));
            events.extend(node.claims.keys().map(|&send| Event::ClaimTimeout { node: n, send }));
            if self.crashes > 0 && setup.uses_key | self.sends[0].is_sent {
                events.push(Event::Crash(n));
            }
        }
        for (message, m) in self.messages.iter().enumerate() {
            if message > 0 && self.messages[message - 1] == *m {
                continue;
            }
            let choices = match m {
                Message::Write { .. } if self.outages > 0 => 4,
                Message::Read { .. } if self.outages > 0 => 2,
                _ => 1,
            };
            for choice in 0..choices {
                events.push(Event::Deliver { message, is_duplicated: false, choice });
                if self.duplicates > 0 {
                    events.push(Event::Deliver { message, is_duplicated: true, choice });
                }
            }
        }
        if !self.has_expired && self.runs > 0 {
            events.push(Event::Expire);
        }
        if !self.lease_ended && self.claim.is_some() {
            events.push(Event::EndLease);
        }
        if !self.has_left {
            events.push(Event::Leave);
        } else if !self.has_handed_over {
            events.push(Event::HandOver);
        }
        events
    }

    fn choices(&self, n: usize, step: &Step) -> usize {
        match step {
            Step::Begin { .. } => 1,
            Step::Run { .. } => 2,
            Step::Choose { attempts, .. } if *attempts >= MAX_ATTEMPTS => 1,
            Step::Choose { .. } => 1 + self.destinations(n).len(),
        }
    }

    /// Returns the members to which an owner may send, including the former lifetimes of restarted nodes.
    fn destinations(&self, n: usize) -> Vec<MemberId> {
        let mut members = Vec::new();
        for other in (0..NODES).filter(|o| *o != n) {
            let member = self.nodes[other].member;
            members.push(member);
            if member.0 >= 2 * NODES as u64 {
                members.push(MemberId(member.0 - NODES as u64));
            }
        }
        members
    }

    pub(super) fn apply(&mut self, setup: &Setup, event: Event) -> Result<(), Violation> {
        match event {
            Event::Send(send) => self.send(setup, send),
            Event::Step { node, step, choice } => {
                let step = self.node(node).steps.remove(step);
                self.step(setup, node, step, choice)?;
            }
            Event::Deliver { message, is_duplicated, choice } => {
                let m = self.messages[message].clone();
                if is_duplicated {
                    self.duplicates -= 1;
                } else {
                    self.messages.remove(message);
                }
                self.deliver(setup, m, choice)?;
            }
            Event::Crash(n) => {
                self.crashes -= 1;
                let dead = self.nodes[n].member;
                *self.node(n) = Node::new(MemberId(dead.0 + NODES as u64));
                // Replies arrive on connections, which close with the process.
                self.messages.retain(|m| m.connection() != Some(dead));
            }
            Event::BreakAttempt { node, attempt } => {
                let tag = self.nodes[node].running[attempt].0;
                self.settle(setup, node, tag, AttemptResult::Lost, None)?;
            }
            Event::ClaimTimeout { node, send } => {
                self.claim(setup, node, send, ClaimEvent::Timeout)?;
            }
            Event::Expire => {
                self.has_expired = true;
                self.advance(setup, OUTCOME_RETENTION + Duration::from_secs(1));
            }
            Event::EndLease => {
                self.lease_ended = true;
                self.claim = None;
                for send in &mut self.sends {
                    send.is_sent = true;
                }
                self.advance(setup, CLAIM_LEASE);
            }
            Event::Leave => {
                self.has_left = true;
                self.node(0).owner.leave();
            }
            Event::HandOver => {
                self.has_handed_over = true;
                let now = self.now;
                // A node that restarted after it began to leave has nothing to hand over.
                if let Some(handover) = self.nodes[0].owner.export() {
                    self.node(1).owner.import(now, handover).expect("the handover is small");
                }
            }
        }
        self.messages.sort();
        for n in 0..NODES {
            if !self.nodes[n].steps.is_sorted() {
                self.node(n).steps.sort();
            }
        }
        Ok(())
    }

    fn advance(&mut self, setup: &Setup, time: Duration) {
        self.now += time;
        let now = self.now;
        for n in 0..NODES {
            let owner = &mut self.node(n).owner;
            owner.sweep(now);
            if setup.without == Without::Floor {
                owner.floor = 0;
            }
        }
    }

    fn node(&mut self, n: usize) -> &mut Node {
        Arc::make_mut(&mut self.nodes[n])
    }

    fn index_of(&self, member: MemberId) -> Option<usize> {
        self.nodes.iter().position(|n| n.member == member)
    }

    fn send(&mut self, setup: &Setup, send: usize) {
        self.sends[send].is_sent = true;
        let n = setup.entry_nodes[send];
        let now = self.now;
        let issued = self.issued;
        let node = self.node(n);
        node.pending.insert(send);
        if let Some(identity) = issued.or_else(|| node.owner.claimed_identity(now, key())) {
            node.steps.push(Step::Begin { send, identity, route: Route::Local });
        } else {
            let identity = node.owner.issue();
            let (claim, _) = Claim::new(now, identity);
            node.claims.insert(send, claim);
            let from = node.member;
            self.messages.push(Message::Write { from, send, identity });
        }
    }

    fn step(
        &mut self,
        setup: &Setup,
        n: usize,
        step: Step,
        choice: usize,
    ) -> Result<(), Violation> {
        let now = self.now;
        match step {
            Step::Begin { send, identity, route } => {
                let begin = self.node(n).owner.begin(now, identity, fingerprint(setup, send));
                self.apply_decision(setup, n, send, identity, route, begin)
            }
            Step::Choose { send, identity, route, attempts } => {
                if choice == 0 {
                    assert!(self.node(n).owner.release(identity), "a held identity is released");
                    return self.reply(setup, n, send, route, Response::NotRun);
                }
                let destination = self.destinations(n)[choice - 1];
                let tag = self.node(n).owner.start_attempt(now, identity, destination);
                let tag = tag.expect("a held identity has no attempt running");
                self.node(n).running.push((tag, send, route, attempts + 1));
                self.messages.push(Message::Attempt { tag, send });
                Ok(())
            }
            Step::Run { tag, send } => {
                let result = if choice == 0 {
                    Response::NotRun
                } else {
                    self.runs += 1;
                    self.sends[send].has_run = true;
                    if self.runs > 1 {
                        return Err(Violation::DoubleRun);
                    }
                    if self.sends[send].response == Some(Response::NotRun) {
                        return Err(Violation::FalseNotRun);
                    }
                    Response::Answer(send)
                };
                self.messages.push(Message::Result { to: tag.identity.owner, tag, result });
                Ok(())
            }
        }
    }

    fn apply_decision(
        &mut self,
        setup: &Setup,
        n: usize,
        send: usize,
        identity: Identity,
        route: Route,
        begin: BeginDecision,
    ) -> Result<(), Violation> {
        let now = self.now;
        match begin {
            BeginDecision::Start => {
                let step = Step::Choose { send, identity, route, attempts: 0 };
                self.node(n).steps.push(step);
            }
            BeginDecision::Answered(answer) => {
                return self.reply(
                    setup,
                    n,
                    send,
                    route,
                    Response::Answer(usize::from(answer.body[0])),
                );
            }
            BeginDecision::Foreign(owner) if route == Route::Local => {
                let successor = self.nodes.iter().find(|s| s.owner.is_successor_of(owner));
                let to = successor.map(|s| s.member).filter(|_| self.index_of(owner).is_none());
                let stamp = self.node(n).owner.stamp(now, to.unwrap_or(owner));
                self.messages.push(Message::Forward { stamp, send, identity });
            }
            BeginDecision::Unknown
                if setup.without == Without::Successor
                    && self.nodes[n].owner.is_successor_of(identity.owner) =>
            {
                let identity = self.node(n).owner.issue();
                self.node(n).steps.push(Step::Begin { send, identity, route });
            }
            _ => {
                if begin.refusal().is_some_and(|r| r.outcome == Outcome::NotRun) {
                    return self.reply(setup, n, send, route, Response::NotRun);
                }
            }
        }
        Ok(())
    }
}
