//! Replay protection with a window of sequence numbers per sender.

use std::collections::HashMap;

use super::DropReason;
use crate::{keys::MemberId, membership::MAX_TABLE_RECORDS};

/// The size of a sender's window: sequence numbers less than this far below the highest one are accepted once.
///
/// A sender sends a few datagrams a second to one receiver, but its numbers count the datagrams to all receivers.
/// 64 numbers cover the reordering within a burst.
pub const REPLAY_WINDOW: u64 = 64;

/// The maximum number of tracked senders: a full member table, and as many process lifetimes that ended recently.
pub const MAX_SENDERS: usize = 2 * MAX_TABLE_RECORDS;

/// The number of accepted datagrams after which a silent sender may be evicted when the table is full.
///
/// In a region of 2,667 members each receives about three datagrams a second, so this is about six hours of steady
/// traffic.
const IDLE_DATAGRAMS: u64 = 65_536;

#[derive(Debug)]
struct Window {
    highest: u64,
    /// Bit `n` is set if the number `highest - n` was received.
    seen: u64,
    /// The total number of accepted datagrams at the time of this sender's last one.
    last_accepted: u64,
}

/// The windows of the tracked senders. Time is measured in accepted datagrams, so that the codec needs no clock.
///
/// Each datagram of an evicted sender could be replayed once. The records in it carry incarnations, so a replay has
/// no effect on members that hold newer records.
#[derive(Debug, Default)]
pub(super) struct ReplayFilter {
    windows: HashMap<MemberId, Window>,
    accepted: u64,
}

impl ReplayFilter {
    /// Accepts each sequence number of a sender at most once.
    pub(super) fn check(&mut self, sender: MemberId, sequence: u64) -> Result<(), DropReason> {
        if let Some(window) = self.windows.get_mut(&sender) {
            window.accept(sequence)?;
        } else {
            self.evict_idle()?;
            let window = Window { highest: sequence, seen: 1, last_accepted: 0 };
            self.windows.insert(sender, window);
        }
        self.accepted += 1;
        if let Some(window) = self.windows.get_mut(&sender) {
            window.last_accepted = self.accepted;
        }
        Ok(())
    }

    /// Evicts silent senders if the table is full; fails if it is still full.
    fn evict_idle(&mut self) -> Result<(), DropReason> {
        if self.windows.len() >= MAX_SENDERS {
            let accepted = self.accepted;
            self.windows.retain(|_, w| accepted - w.last_accepted < IDLE_DATAGRAMS);
        }
        if self.windows.len() >= MAX_SENDERS { Err(DropReason::Untracked) } else { Ok(()) }
    }
}

impl Window {
    fn accept(&mut self, sequence: u64) -> Result<(), DropReason> {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift < REPLAY_WINDOW { self.seen << shift | 1 } else { 1 };
            self.highest = sequence;
            return Ok(());
        }
        let age = self.highest - sequence;
        if age >= REPLAY_WINDOW || self.seen & (1 << age) != 0 {
            return Err(DropReason::Replayed);
        }
        self.seen |= 1 << age;
        Ok(())
    }
}
