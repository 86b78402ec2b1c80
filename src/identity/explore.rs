//! A small model checker over the state machines of this module.
//!
//! Three nodes, each an entry node, an owner and a target's node at once, carry up to three sends of one
//! identity. Every message may be delayed, reordered, lost or delivered twice; a message that is never
//! delivered is a lost one. Each check and the action that follows it are separate steps, so a node may be
//! paused between them. A search visits every order of events up to a depth, and seeded random walks go beyond.

use std::{
    collections::{HashMap, hash_map::Entry},
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    identity::{
        Accept, Answer, AttemptResult, AttemptTag, Begin, Claim, ClaimAction, ClaimEvent,
        Fingerprint, Identity, Key, Settled, Stamp,
    },
    keys::MemberId,
    refusal::Outcome,
    time::Time,
};

mod node;
mod tests;

use node::{Node, Route, Step};

const NODES: usize = 3;

/// Attempts that an owner makes for one send.
const ATTEMPTS: u8 = 2;

/// A mechanism that is switched off to show that the search depends on it.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum Without {
    Nothing,
    /// A second delivery of an attempt is accepted.
    Window,
    /// An attempt for another process lifetime is accepted.
    Destination,
    /// A second delivery of an attempt is answered "not run".
    UnknownDuplicate,
    /// An attempt for another process lifetime is answered "not run".
    UnknownMember,
    /// A lost attempt is retried like one that did not run.
    ExplicitNotRun,
    /// The result of an older attempt is taken for that of the latest one.
    StaleCheck,
    /// A second delivery of a forwarded request is accepted.
    ForwardStamp,
    /// Evicted counters may be begun again.
    Floor,
    /// The identity may be used for another request.
    Fingerprint,
    /// Any claim that names this member is taken for this send's own.
    Nonce,
    /// A claim with an unknown result is taken as written.
    ReadBack,
    /// A successor runs the identities whose outcomes it doesn't have.
    Successor,
}

/// What is explored.
#[derive(Copy, Clone, Debug)]
pub(super) struct Setup {
    /// Whether the sends carry a caller's key, not an issued identity.
    pub(super) key: bool,
    /// The entry node of each send.
    pub(super) entries: [usize; 3],
    /// Whether the last send asks for something else under the same identity.
    pub(super) other: bool,
    /// Messages that may be delivered twice.
    pub(super) duplicates: u8,
    /// Process crashes.
    pub(super) crashes: u8,
    /// Platform calls that fail or whose result is lost.
    pub(super) outages: u8,
    /// Whether the retention time may pass.
    pub(super) expiry: bool,
    /// Whether the first node may leave as planned.
    pub(super) leave: bool,
    pub(super) without: Without,
}

/// An invariant that does not hold.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum Violation {
    /// The request ran twice.
    DoubleRun,
    /// "Not run" was said for a send that ran.
    FalseNotRun,
    /// A caller received the answer to another request.
    ForeignAnswer,
}

/// The result of an exploration.
#[derive(Debug)]
pub(super) struct Report {
    pub(super) states: usize,
    /// The violation with the events that lead to it.
    pub(super) violation: Option<(Violation, Vec<Event>)>,
}

/// One thing that happens; `choice` selects among the results that it may have.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum Event {
    Send(usize),
    Step { node: usize, step: usize, choice: usize },
    Deliver { message: usize, keep: bool, choice: usize },
    Crash(usize),
    BreakAttempt { node: usize, attempt: usize },
    ClaimTimeout { node: usize, send: usize },
    Expire,
    Leave,
    HandOver,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Forward { stamp: Stamp, send: usize, identity: Identity },
    Reply { to: MemberId, send: usize, told: Told },
    Attempt { tag: AttemptTag, send: usize },
    Result { to: MemberId, tag: AttemptTag, result: Told },
    Write { from: MemberId, send: usize, identity: Identity },
    Read { from: MemberId, send: usize },
    Platform { to: MemberId, send: usize, event: ClaimEvent },
}

/// What a caller or an owner is told. "Unknown" is never sent: a lost message has the same effect.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Told {
    NotRun,
    /// The answer to the request of this send.
    Answer(usize),
}

#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Send {
    sent: bool,
    ran: bool,
    told: Option<Told>,
}

#[derive(Clone, Debug, Hash)]
struct World {
    now: Time,
    nodes: [Arc<Node>; NODES],
    messages: Vec<Message>,
    sends: [Send; 3],
    issued: Option<Identity>,
    claim: Option<Identity>,
    runs: u8,
    duplicates: u8,
    crashes: u8,
    outages: u8,
    expired: bool,
    left: bool,
    handed: bool,
}

/// Visits every state within `depth` events, and stops early beyond `max` states.
pub(super) fn search(setup: &Setup, depth: usize, max: usize) -> Report {
    let start = World::new(setup);
    let mut parents = HashMap::from([(start.digest(), None)]);
    let mut frontier = vec![start];
    for _ in 0..depth {
        let mut next = Vec::new();
        for world in &frontier {
            let from = world.digest();
            for event in world.events(setup) {
                let mut child = world.clone();
                if let Err(violation) = child.apply(setup, event) {
                    let trace = path(&parents, from, event);
                    return Report { states: parents.len(), violation: Some((violation, trace)) };
                }
                if let Entry::Vacant(entry) = parents.entry(child.digest()) {
                    entry.insert(Some((from, event)));
                    next.push(child);
                }
            }
            if parents.len() >= max {
                return Report { states: parents.len(), violation: None };
            }
        }
        frontier = next;
    }
    Report { states: parents.len(), violation: None }
}

/// Follows `walks` random sequences of up to `length` events.
pub(super) fn walk(setup: &Setup, seed: u64, walks: usize, length: usize) -> Report {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut states = 0;
    for _ in 0..walks {
        let mut world = World::new(setup);
        let mut trace = Vec::new();
        for _ in 0..length {
            let events = world.events(setup);
            if events.is_empty() {
                break;
            }
            let event = events[rng.random_range(0..events.len())];
            trace.push(event);
            states += 1;
            if let Err(violation) = world.apply(setup, event) {
                return Report { states, violation: Some((violation, trace)) };
            }
        }
    }
    Report { states, violation: None }
}

fn path(parents: &HashMap<u64, Option<(u64, Event)>>, from: u64, last: Event) -> Vec<Event> {
    let mut trace = vec![last];
    let mut at = from;
    while let Some(Some((parent, event))) = parents.get(&at) {
        trace.push(*event);
        at = *parent;
    }
    trace.reverse();
    trace
}

/// The process address of a member; a restarted node keeps its address.
fn address(member: MemberId) -> usize {
    member.0 as usize % NODES
}

/// The number of the request that a send asks for.
fn request(setup: &Setup, send: usize) -> usize {
    usize::from(setup.other && send == 2)
}

fn print(setup: &Setup, send: usize) -> Fingerprint {
    let paths = ["/orders", "/refunds"];
    let number = if setup.without == Without::Fingerprint { 0 } else { request(setup, send) };
    Fingerprint::new("orders", "POST", paths[number], None)
}

fn key() -> Key {
    Key::new("orders", "order-7").expect("the key is valid")
}

impl Message {
    /// The process that alone can receive the message, because it answers on that process's connection.
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
    fn new(setup: &Setup) -> World {
        let mut nodes = [0, 1, 2].map(|n| Node::new(MemberId(NODES as u64 + n)));
        let issued = (!setup.key).then(|| nodes[0].owner.issue());
        World {
            now: Time::ZERO,
            nodes: nodes.map(Arc::new),
            messages: Vec::new(),
            sends: [Send::default(); 3],
            issued,
            claim: None,
            runs: 0,
            duplicates: setup.duplicates,
            crashes: setup.crashes,
            outages: setup.outages,
            expired: !setup.expiry,
            left: !setup.leave,
            handed: !setup.leave,
        }
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }

    fn events(&self, setup: &Setup) -> Vec<Event> {
        let mut events = Vec::new();
        if let Some(send) = self.sends.iter().position(|s| !s.sent) {
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
            if self.crashes > 0 && setup.key | self.sends[0].sent {
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
                events.push(Event::Deliver { message, keep: false, choice });
                if self.duplicates > 0 {
                    events.push(Event::Deliver { message, keep: true, choice });
                }
            }
        }
        if !self.expired && self.runs > 0 {
            events.push(Event::Expire);
        }
        if !self.left {
            events.push(Event::Leave);
        } else if !self.handed {
            events.push(Event::HandOver);
        }
        events
    }

    fn choices(&self, n: usize, step: &Step) -> usize {
        match step {
            Step::Begin { .. } => 1,
            Step::Run { .. } => 2,
            Step::Choose { attempts, .. } if *attempts >= ATTEMPTS => 1,
            Step::Choose { .. } => 1 + self.destinations(n).len(),
        }
    }

    /// The members to which an owner may send, with former lifetimes of restarted nodes.
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

    fn apply(&mut self, setup: &Setup, event: Event) -> Result<(), Violation> {
        match event {
            Event::Send(send) => self.send(setup, send),
            Event::Step { node, step, choice } => {
                let step = self.node(node).steps.remove(step);
                self.step(setup, node, step, choice)?;
            }
            Event::Deliver { message, keep, choice } => {
                let m = self.messages[message].clone();
                if keep {
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
                // Replies arrive on connections, which end with the process.
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
                self.expired = true;
                self.now += Duration::from_secs(700);
                for n in 0..NODES {
                    let now = self.now;
                    let owner = &mut self.node(n).owner;
                    owner.sweep(now);
                    if setup.without == Without::Floor {
                        owner.floor = 0;
                    }
                }
            }
            Event::Leave => {
                self.left = true;
                self.node(0).owner.leave();
            }
            Event::HandOver => {
                self.handed = true;
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

    fn node(&mut self, n: usize) -> &mut Node {
        Arc::make_mut(&mut self.nodes[n])
    }

    fn at(&self, member: MemberId) -> Option<usize> {
        self.nodes.iter().position(|n| n.member == member)
    }

    fn send(&mut self, setup: &Setup, send: usize) {
        self.sends[send].sent = true;
        let n = setup.entries[send];
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
                let begin = self.node(n).owner.begin(now, identity, print(setup, send));
                self.begun(setup, n, send, identity, route, begin)
            }
            Step::Choose { send, identity, route, attempts } => {
                if choice == 0 {
                    assert!(self.node(n).owner.release(identity), "a held identity is released");
                    return self.reply(setup, n, send, route, Told::NotRun);
                }
                let destination = self.destinations(n)[choice - 1];
                let tag = self.node(n).owner.attempt(now, identity, destination);
                let tag = tag.expect("a held identity has no attempt running");
                self.node(n).running.push((tag, send, route, attempts + 1));
                self.messages.push(Message::Attempt { tag, send });
                Ok(())
            }
            Step::Run { tag, send } => {
                let result = if choice == 0 {
                    Told::NotRun
                } else {
                    self.runs += 1;
                    self.sends[send].ran = true;
                    if self.runs > 1 {
                        return Err(Violation::DoubleRun);
                    }
                    if self.sends[send].told == Some(Told::NotRun) {
                        return Err(Violation::FalseNotRun);
                    }
                    Told::Answer(send)
                };
                self.messages.push(Message::Result { to: tag.identity.owner, tag, result });
                Ok(())
            }
        }
    }

    fn begun(
        &mut self,
        setup: &Setup,
        n: usize,
        send: usize,
        identity: Identity,
        route: Route,
        begin: Begin,
    ) -> Result<(), Violation> {
        let now = self.now;
        match begin {
            Begin::Start => {
                let step = Step::Choose { send, identity, route, attempts: 0 };
                self.node(n).steps.push(step);
            }
            Begin::Answered(answer) => {
                return self.reply(
                    setup,
                    n,
                    send,
                    route,
                    Told::Answer(usize::from(answer.body[0])),
                );
            }
            Begin::Foreign(owner) if route == Route::Local => {
                let successor = self.nodes.iter().find(|s| s.owner.succeeds(owner));
                let to = successor.map(|s| s.member).filter(|_| self.at(owner).is_none());
                let stamp = self.node(n).owner.stamp(now, to.unwrap_or(owner));
                self.messages.push(Message::Forward { stamp, send, identity });
            }
            Begin::Unknown
                if setup.without == Without::Successor
                    && self.nodes[n].owner.succeeds(identity.owner) =>
            {
                let identity = self.node(n).owner.issue();
                self.node(n).steps.push(Step::Begin { send, identity, route });
            }
            _ => {
                if begin.refusal().is_some_and(|r| r.outcome == Outcome::NotRun) {
                    return self.reply(setup, n, send, route, Told::NotRun);
                }
            }
        }
        Ok(())
    }

    fn deliver(&mut self, setup: &Setup, message: Message, choice: usize) -> Result<(), Violation> {
        match message {
            Message::Forward { stamp, send, identity } => {
                let n = address(stamp.destination);
                let me = self.nodes[n].member;
                let accept = self.node(n).receipts.accept(stamp, me);
                let again = setup.without == Without::ForwardStamp && accept == Accept::Duplicate;
                if accept == Accept::Run || again {
                    let route = Route::Remote(stamp.sender);
                    self.node(n).steps.push(Step::Begin { send, identity, route });
                }
            }
            Message::Reply { to, send, told } => {
                if let Some(n) = self.at(to) {
                    return self.reply(setup, n, send, Route::Local, told);
                }
            }
            Message::Attempt { tag, send } => self.deliver_attempt(setup, tag, send),
            Message::Result { to, tag, result } => {
                if let Some(n) = self.at(to) {
                    let settled = match result {
                        Told::NotRun => AttemptResult::NotRun,
                        Told::Answer(send) => AttemptResult::Answered(Some(Answer {
                            status: 200,
                            content_type: None,
                            body: Arc::from([send as u8]),
                        })),
                    };
                    return self.settle(setup, n, tag, settled, Some(result));
                }
            }
            Message::Write { from, send, identity } => {
                let event = match choice {
                    0 if self.claim.is_none() => ClaimEvent::Written,
                    0 => ClaimEvent::Conflict,
                    1 => ClaimEvent::Unavailable,
                    _ => ClaimEvent::WriteUnknown,
                };
                if choice == 0 || choice == 2 {
                    self.claim.get_or_insert(identity);
                }
                self.outages -= u8::from(choice > 0);
                self.messages.push(Message::Platform { to: from, send, event });
            }
            Message::Read { from, send } => {
                let failed = choice > 0;
                self.outages -= u8::from(failed);
                let event =
                    if failed { ClaimEvent::Unavailable } else { ClaimEvent::Read(self.claim) };
                self.messages.push(Message::Platform { to: from, send, event });
            }
            Message::Platform { to, send, event } => {
                if let Some(n) = self.at(to) {
                    return self.claim(setup, n, send, event);
                }
            }
        }
        Ok(())
    }

    fn deliver_attempt(&mut self, setup: &Setup, tag: AttemptTag, send: usize) {
        let n = address(tag.destination);
        let me = self.nodes[n].member;
        let mut stamp = tag.stamp();
        if setup.without == Without::Destination {
            stamp.destination = me;
        }
        let accept = self.node(n).receipts.accept(stamp, me);
        match (accept, setup.without) {
            (Accept::Run, _) | (Accept::Duplicate, Without::Window) => {
                self.node(n).steps.push(Step::Run { tag, send });
            }
            (Accept::Duplicate, Without::UnknownDuplicate)
            | (Accept::WrongMember, Without::UnknownMember) => {
                let to = tag.identity.owner;
                self.messages.push(Message::Result { to, tag, result: Told::NotRun });
            }
            _ => {}
        }
    }

    fn settle(
        &mut self,
        setup: &Setup,
        n: usize,
        mut tag: AttemptTag,
        mut result: AttemptResult,
        told: Option<Told>,
    ) -> Result<(), Violation> {
        let now = self.now;
        let node = self.node(n);
        if setup.without == Without::StaleCheck
            && let Some(latest) = node.running.last()
        {
            tag = latest.0;
        }
        if setup.without == Without::ExplicitNotRun && result == AttemptResult::Lost {
            result = AttemptResult::NotRun;
        }
        let settled = node.owner.settle(now, tag, result);
        if settled == Settled::Ignored {
            return Ok(());
        }
        let Some(i) = node.running.iter().position(|r| r.0 == tag) else {
            return Ok(());
        };
        let (tag, send, route, attempts) = node.running.remove(i);
        match (settled, told) {
            (Settled::Held, _) => {
                let step = Step::Choose { send, identity: tag.identity, route, attempts };
                self.node(n).steps.push(step);
                Ok(())
            }
            (_, Some(told)) => self.reply(setup, n, send, route, told),
            (_, None) => Ok(()),
        }
    }

    fn claim(
        &mut self,
        setup: &Setup,
        n: usize,
        send: usize,
        mut event: ClaimEvent,
    ) -> Result<(), Violation> {
        let now = self.now;
        let node = self.node(n);
        let from = node.member;
        let Some(claim) = node.claims.get_mut(&send) else { return Ok(()) };
        let own = claim.identity();
        match (setup.without, event) {
            (Without::Nonce, ClaimEvent::Read(Some(found))) if found.owner == from => {
                event = ClaimEvent::Read(Some(own));
            }
            (Without::ReadBack, ClaimEvent::WriteUnknown) => event = ClaimEvent::Written,
            _ => {}
        }
        let action = claim.apply(now, event);
        match action {
            ClaimAction::Nothing => return Ok(()),
            ClaimAction::Write => self.messages.push(Message::Write { from, send, identity: own }),
            ClaimAction::Read => self.messages.push(Message::Read { from, send }),
            ClaimAction::Own(identity) | ClaimAction::Forward(identity) => {
                node.claims.remove(&send);
                node.owner.claimed(now, key(), identity);
                node.steps.push(Step::Begin { send, identity, route: Route::Local });
            }
            ClaimAction::Refuse(refusal) => {
                node.claims.remove(&send);
                if refusal.outcome == Outcome::NotRun {
                    return self.reply(setup, n, send, Route::Local, Told::NotRun);
                }
            }
        }
        Ok(())
    }

    /// Tells the caller if the send came through node `n`, or the entry node otherwise.
    fn reply(
        &mut self,
        setup: &Setup,
        n: usize,
        send: usize,
        route: Route,
        told: Told,
    ) -> Result<(), Violation> {
        if let Route::Remote(to) = route {
            if self.at(to).is_some() {
                self.messages.push(Message::Reply { to, send, told });
            }
            return Ok(());
        }
        if !self.node(n).pending.remove(&send) {
            return Ok(());
        }
        self.sends[send].told = Some(told);
        match told {
            Told::NotRun if self.sends[send].ran => Err(Violation::FalseNotRun),
            Told::Answer(other) if request(setup, other) != request(setup, send) => {
                Err(Violation::ForeignAnswer)
            }
            _ => Ok(()),
        }
    }
}
