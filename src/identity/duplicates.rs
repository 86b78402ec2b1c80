//! Detection of duplicate messages from other members, so that a node acts on each message at most once.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    identity::{MAX_SENDERS, SEQUENCE_WINDOW, Stamp},
    keys::MemberId,
};

/// Whether a message is delivered for the first time, which decides whether a node may act on it.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// This is the first delivery. The node may run the request or refuse it as not run.
    First,
    /// The message was delivered before. The node must not act, and the outcome is unknown.
    Duplicate,
    /// The message is addressed to another process lifetime, which may have run the request. The outcome is
    /// unknown.
    WrongMember,
    /// The sequence number is too old to be tracked, so the message may have been delivered before. The outcome is
    /// unknown.
    BelowFloor,
}

/// The sequence numbers that one process lifetime has received, by sender.
///
/// A number is recorded before the node decides what to do, so a late duplicate of a refused attempt does not
/// run. Every number that is no longer tracked lies at or below a floor that only rises, so it is never accepted
/// again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct DuplicateFilter {
    windows: BTreeMap<MemberId, Window>,
    /// The senders in the order of their highest sequence numbers; the first is evicted first.
    order: BTreeSet<(u64, MemberId)>,
    /// Senders that are not tracked may use only numbers above this one: the highest of any evicted sender, or of
    /// any message rejected because all tracked senders had higher numbers.
    floor: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Window {
    floor: u64,
    seen: BTreeSet<u64>,
    highest: u64,
}

impl DuplicateFilter {
    /// Creates the empty filter of a process that has just started as a new member.
    pub fn new() -> DuplicateFilter {
        DuplicateFilter::default()
    }

    /// Records the delivery of a message at the member `local` and decides whether that member may act on it.
    pub fn accept(&mut self, stamp: Stamp, local: MemberId) -> Delivery {
        if stamp.destination != local {
            return Delivery::WrongMember;
        }
        let Some(window) = self.windows.get_mut(&stamp.sender) else {
            return self.admit(stamp);
        };
        if window.seen.contains(&stamp.sequence) {
            return Delivery::Duplicate;
        }
        if stamp.sequence <= window.floor {
            return Delivery::BelowFloor;
        }
        window.seen.insert(stamp.sequence);
        if window.seen.len() > SEQUENCE_WINDOW {
            window.floor = window.seen.pop_first().unwrap_or(window.floor);
        }
        if stamp.sequence > window.highest {
            self.order.remove(&(window.highest, stamp.sender));
            self.order.insert((stamp.sequence, stamp.sender));
            window.highest = stamp.sequence;
        }
        Delivery::First
    }

    /// Returns the number of tracked senders.
    pub fn senders(&self) -> usize {
        self.windows.len()
    }

    /// Starts to track a sender that is new or was evicted.
    ///
    /// If the table is full, the sender with the lowest number is evicted, not the least recently used one. A
    /// sender whose clock is ahead is thus evicted last and cannot raise the floor above the numbers of the others.
    fn admit(&mut self, stamp: Stamp) -> Delivery {
        if stamp.sequence <= self.floor {
            return Delivery::BelowFloor;
        }
        if self.windows.len() >= MAX_SENDERS {
            if self.order.first().is_some_and(|&(lowest, _)| stamp.sequence <= lowest) {
                // Without a higher floor, a later duplicate of this message could be accepted.
                self.floor = stamp.sequence;
                return Delivery::BelowFloor;
            }
            if let Some((highest, sender)) = self.order.pop_first() {
                self.windows.remove(&sender);
                self.floor = self.floor.max(highest);
            }
        }
        let window = Window {
            floor: self.floor,
            seen: BTreeSet::from([stamp.sequence]),
            highest: stamp.sequence,
        };
        self.windows.insert(stamp.sender, window);
        self.order.insert((stamp.sequence, stamp.sender));
        Delivery::First
    }
}
