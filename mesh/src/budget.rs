//! The retry budget of a service.
//!
//! One bound applies to the whole deployment: the retries within a window may be a share of the requests plus a fixed
//! number. Each node adds to its budget with its own requests and holds an equal part of the fixed number, so that all
//! nodes together stay below the bound without exchanging messages.

use std::time::Duration;

use rand::{Rng as _, rngs::SmallRng};

use crate::time::Time;

/// The share of the bound that the nodes use. The rest covers nodes that join or return.
const USED_SHARE: f64 = 0.8;

/// The kind of a retry, which determines its cost.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum RetryKind {
    /// No target has run the request.
    NotRun,
    /// A target may have run the request, so that its nested calls are repeated too.
    MayHaveRun,
}

impl RetryKind {
    const fn cost(self) -> f64 {
        match self {
            RetryKind::NotRun => 1.0,
            RetryKind::MayHaveRun => 2.0,
        }
    }
}

/// The bound on retries in the whole deployment.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct RetryBound {
    /// The permitted retries per request.
    pub ratio: f64,
    /// The retries permitted per window in addition to the ratio.
    pub slack: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

/// The time for which a larger number of nodes is remembered. Nodes that are cut off from each other forget the others, and
/// would all use larger shares of the bound.
const PEAK_HOLD_TIME: Duration = Duration::from_secs(60);

/// What a node knows of the nodes that share the bound.
#[derive(Copy, Clone, Debug, Default)]
pub(crate) struct Fleet {
    /// The number of nodes, which follows a smaller count after [`PEAK_HOLD_TIME`].
    nodes: usize,
    counted_at: Time,
    /// Since when this node has had a list of the others.
    known_since: Option<Time>,
}

impl Fleet {
    /// Updates the number of nodes.
    pub(crate) fn count(&mut self, now: Time, nodes: usize) {
        if nodes >= self.nodes || now.since(self.counted_at) > PEAK_HOLD_TIME {
            (self.nodes, self.counted_at) = (nodes, now);
        }
    }

    /// Records that this node has a list of the others.
    pub(crate) fn set_known(&mut self, now: Time) {
        self.known_since.get_or_insert(now);
    }

    /// Returns this node's share of the fixed number of retries. It counts twice in a window, as the balance at its start
    /// and as the refill within it, hence the division by two.
    fn share(&self, bound: &RetryBound) -> f64 {
        bound.slack * USED_SHARE / 2.0 / self.nodes.max(1) as f64
    }

    /// Returns the part of the share that has refilled since `start`. A node that has just started has none: the process
    /// before it may have used the share, and the number of nodes is not yet known.
    fn refill(&self, now: Time, bound: &RetryBound, start: Time) -> f64 {
        let Some(known_since) = self.known_since else { return 0.0 };
        let time = now.since(start.max(known_since));
        self.share(bound) * time.as_secs_f64() / bound.window.as_secs_f64()
    }
}

/// The retries that this node may still send to one service.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    /// The retries that callers' requests have permitted.
    deposits: f64,
    /// The part of the fixed number that is available now; it refills with time.
    reserve: f64,
    refilled_at: Time,
}

impl RetryBudget {
    pub(crate) fn new(now: Time, bound: &RetryBound, fleet: &Fleet) -> RetryBudget {
        let reserve = fleet.refill(now, bound, Time::ZERO).min(fleet.share(bound));
        RetryBudget { deposits: 0.0, reserve, refilled_at: now }
    }

    /// Adds the retries that a caller's request to the service permits.
    pub(crate) fn deposit(&mut self, bound: &RetryBound, fleet: &Fleet) {
        // All nodes may spend their balances within one window, in addition to what that window adds.
        self.deposits = (self.deposits + bound.ratio * USED_SHARE).min(fleet.share(bound));
    }

    /// Returns the retries that were left at the last withdrawal or deposit.
    pub(crate) fn remaining(&self) -> f64 {
        self.deposits + self.reserve
    }

    /// Withdraws the cost of a retry, or returns `false` if the budget does not cover it.
    ///
    /// In a large fleet, the balance of a node never covers a retry: whole retries saved by each node would exceed the bound.
    /// Such a node spends its balance on a draw, and sends the retry with the probability that the balance covers.
    pub(crate) fn try_withdraw(
        &mut self,
        now: Time,
        bound: &RetryBound,
        fleet: &Fleet,
        kind: RetryKind,
        rng: &mut SmallRng,
    ) -> bool {
        let share = fleet.share(bound);
        let refill = fleet.refill(now, bound, self.refilled_at);
        self.refilled_at = now;
        self.reserve = (self.reserve + refill).min(share);
        let cost = kind.cost();
        let balance = self.remaining();
        if balance >= cost {
            let from_deposits = self.deposits.min(cost);
            self.deposits -= from_deposits;
            self.reserve -= cost - from_deposits;
            return true;
        }
        if 2.0 * share >= cost {
            return false;
        }
        (self.deposits, self.reserve) = (0.0, 0.0);
        rng.random_bool((balance / cost).clamp(0.0, 1.0))
    }
}

#[cfg(test)]
mod tests;
