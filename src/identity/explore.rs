//! A small model checker over the state machines of this module.
//!
//! Three nodes, each an entry node, an owner and a target's node at once, carry up to three sends of one
//! identity. Every message may be delayed, reordered, lost or delivered twice; a message that is never
//! delivered is a lost one. Each check and the action that follows it are separate steps, so a node may be
//! paused between them. A search visits every order of events up to a depth, and seeded random walks go beyond.

mod node;
mod tests;
mod world;

use std::collections::{HashMap, hash_map::Entry};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use world::World;

const NODES: usize = 3;

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
    /// The result of a claim is used however late it arrives.
    LateClaim,
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
    /// Whether the lease of the claim may end, after which the caller sends nothing more.
    pub(super) lease: bool,
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
    /// The distinct states of a search, or all states visited by walks.
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
    EndLease,
    Leave,
    HandOver,
}

/// Visits every state within `depth` events, and stops after the level that exceeds `max` states.
///
/// If `wanted` is given, other violations are passed over, and what follows them isn't visited.
pub(super) fn search(setup: &Setup, depth: usize, max: usize, wanted: Option<Violation>) -> Report {
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
                    if wanted.is_some_and(|w| w != violation) {
                        continue;
                    }
                    let trace = path(&parents, from, event);
                    return Report { states: parents.len(), violation: Some((violation, trace)) };
                }
                if let Entry::Vacant(entry) = parents.entry(child.digest()) {
                    entry.insert(Some((from, event)));
                    next.push(child);
                }
            }
        }
        frontier = next;
        if frontier.is_empty() || parents.len() >= max {
            break;
        }
    }
    Report { states: parents.len(), violation: None }
}

/// Follows `walks` random sequences of up to `length` events.
///
/// If `wanted` is given, a walk that meets another violation is abandoned.
pub(super) fn walk(
    setup: &Setup,
    seed: u64,
    walks: usize,
    length: usize,
    wanted: Option<Violation>,
) -> Report {
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
                if wanted.is_some_and(|w| w != violation) {
                    break;
                }
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
