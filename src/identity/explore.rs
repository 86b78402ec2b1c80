//! A model checker for the state machines of this module.
//!
//! In the model, a caller sends up to three requests with one identity or key. Each is called a send. The sends go
//! through three nodes, each of which is an entry node, an owner and a target's node. Every message may be delayed,
//! reordered, lost or delivered twice; a message that is never delivered counts as lost. Each check and the action
//! that follows it are separate steps, so a node may be paused between them.
//!
//! A breadth-first search visits every order of events up to a depth. Seeded random walks go deeper.

mod node;
mod tests;
mod world;

use std::collections::{HashMap, hash_map::Entry};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use world::World;

const NODES: usize = 3;

/// A mechanism that is disabled to show that the exploration detects its absence.
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
    /// The result of an older attempt is applied to the latest one.
    StaleCheck,
    /// A second delivery of a forwarded request is accepted.
    ForwardStamp,
    /// Evicted counters may be begun again.
    Floor,
    /// The identity may be used for another request.
    Fingerprint,
    /// Any claim with an identity of this member is treated as the claim of this send.
    Nonce,
    /// A claim whose write has an unknown result is treated as written.
    ReadBack,
    /// The result of a claim is used however late it arrives.
    LateClaim,
    /// A successor runs requests whose identities have no imported outcome.
    Successor,
}

/// The scenario of an exploration.
#[derive(Copy, Clone, Debug)]
pub(super) struct Setup {
    /// Whether the sends carry a key that the caller chose instead of an issued identity.
    pub(super) uses_key: bool,
    /// The entry node of each send.
    pub(super) entry_nodes: [usize; 3],
    /// Whether the last send is a different request with the same identity.
    pub(super) last_differs: bool,
    /// The number of messages that may be delivered twice.
    pub(super) duplicates: u8,
    /// The number of process crashes.
    pub(super) crashes: u8,
    /// The number of platform calls that may fail or whose result may be lost.
    pub(super) outages: u8,
    /// Whether the retention time may pass.
    pub(super) may_expire: bool,
    /// Whether the lease of the claim may end, after which the caller sends nothing more.
    pub(super) lease_may_end: bool,
    /// Whether the first node may make a planned stop.
    pub(super) may_leave: bool,
    pub(super) without: Without,
}

/// A violated invariant.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum Violation {
    /// The request ran twice.
    DoubleRun,
    /// A send that ran was reported as not run.
    FalseNotRun,
    /// A caller received the answer to another request.
    ForeignAnswer,
}

/// The result of an exploration.
#[derive(Debug)]
pub(super) struct Report {
    /// The number of distinct states of a search, or of all states visited by walks.
    pub(super) states: usize,
    /// The violation, with the events that lead to it.
    pub(super) violation: Option<(Violation, Vec<Event>)>,
}

/// A transition of the model; `choice` selects one of its possible results.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum Event {
    Send(usize),
    Step { node: usize, step: usize, choice: usize },
    Deliver { message: usize, is_duplicated: bool, choice: usize },
    Crash(usize),
    BreakAttempt { node: usize, attempt: usize },
    ClaimTimeout { node: usize, send: usize },
    Expire,
    EndLease,
    Leave,
    HandOver,
}

/// Visits every state within `depth` events, and stops after the level that reaches `max_states` states.
///
/// If `wanted` is given, other violations are ignored, and the states that follow them are not visited.
pub(super) fn search(
    setup: &Setup,
    depth: usize,
    max_states: usize,
    wanted: Option<Violation>,
) -> Report {
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
        if frontier.is_empty() || parents.len() >= max_states {
            break;
        }
    }
    Report { states: parents.len(), violation: None }
}

/// Follows `walks` random sequences of up to `length` events.
///
/// If `wanted` is given, a walk ends at any other violation.
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

/// Returns the events from the initial state to the state `from`, followed by `last`.
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
