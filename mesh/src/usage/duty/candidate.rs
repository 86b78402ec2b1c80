//! When a node that does not hold the duty looks at it and tries to take it.

use std::time::Duration;

use crate::store::Lease;

use super::{HolderRecord, Now, Snapshot};

/// The number of nodes that look often. The others do so in case that all of these cannot reach the store.
const MAX_CANDIDATES: usize = 3;

/// The interval at which the first candidate looks. Each further one looks half as often as the one before it.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// The time by which each further candidate delays its attempt after it has seen the duty free.
const TURN_DELAY: Duration = Duration::from_millis(700);

/// The time after the start in which a node learns of the others before it takes a turn.
const START_DELAY: Duration = Duration::from_secs(2);

/// The place of a node among the members that speak.
#[derive(Copy, Clone, Debug)]
pub(crate) struct Turn {
    /// The number of members with a lower id.
    pub(crate) rank: usize,
    /// The number of members.
    pub(crate) members: usize,
}

/// An attempt to take the duty.
#[derive(Debug)]
pub(super) enum Attempt {
    Reading,
    /// `since` is the time at which the lease was asked for, from which its validity counts.
    Granting {
        snapshot: Snapshot,
        since: Duration,
    },
    Committing {
        holder: HolderRecord,
        lease: Lease,
        since: Duration,
    },
    /// The keys are read once more: the answer to the transaction may be lost, and does not name the revision of each key.
    Confirming {
        holder: HolderRecord,
        lease: Lease,
        since: Duration,
    },
}

pub(super) enum Progress {
    Wait,
    Look,
    Take,
}

/// A node that waits for the duty to be free.
#[derive(Debug)]
pub(super) struct Candidate {
    /// The time from which the next wait counts.
    since: Duration,
    pause: Duration,
    /// Spreads the times of the nodes.
    factor: f64,
    has_seen_free: bool,
    is_looking: bool,
}

impl Candidate {
    pub(super) fn at_start(now: Now) -> Candidate {
        Candidate::after(now, START_DELAY)
    }

    /// Returns a candidate that looks again after `pause` at the earliest.
    pub(super) fn after(now: Now, pause: Duration) -> Candidate {
        Candidate {
            since: now.steady,
            pause,
            factor: 0.75 + now.jitter / 2.0,
            has_seen_free: false,
            is_looking: false,
        }
    }

    pub(super) fn tick(&mut self, now: Now, turn: Turn) -> Progress {
        let wait = self.pause + self.wait(turn).mul_f64(self.factor);
        if self.is_looking || now.steady < self.since + wait {
            return Progress::Wait;
        }
        if self.has_seen_free {
            return Progress::Take;
        }
        self.is_looking = true;
        Progress::Look
    }

    /// Returns the time until the next step, before it is spread.
    fn wait(&self, turn: Turn) -> Duration {
        let place = turn.rank.min(MAX_CANDIDATES) as u32;
        if self.has_seen_free {
            return TURN_DELAY * place;
        }
        if turn.rank < MAX_CANDIDATES {
            return LOOK_INTERVAL * 2_u32.pow(place);
        }
        // All further nodes together look as often as the first candidate.
        LOOK_INTERVAL * u32::try_from(turn.members.max(MAX_CANDIDATES * 2)).unwrap_or(u32::MAX)
    }

    pub(super) fn looked(&mut self, now: Now, is_free: bool) {
        *self = Candidate { has_seen_free: is_free, ..Candidate::after(now, Duration::ZERO) };
    }
}
