//! Retries, hedging and ejection of failing targets.
//!
//! `docs/design.md`, section 5.5, states the rules.
//!
//! # Amplification
//!
//! A service with a retry budget of `p` percent makes at most `1 + p / 100 / 2^d` attempts per first attempt at call
//! depth `d`, and only the first attempt beyond [`MAX_RETRY_DEPTH`]. In a call chain of any length the load on the last
//! service is therefore at most the product of these factors over depths 0 to 3: 1.20 times the calls to the
//! first service for `p` = 10, and 4.22 times for `p` = 100, plus the floor of one retry per second at depth 0.
//! Without the depth limit and the halving, a chain of 11 hops would reach 1.1^11 = 2.85 and 2^11 = 2,048 times.

mod eject;
mod hedge;

use std::time::Duration;

use crate::{
    refusal::{Reason, Refusal},
    time::Time,
};

pub(crate) use eject::Ejector;
pub(crate) use hedge::HedgeDelay;

/// The maximum call depth at which requests are retried.
pub(crate) const MAX_RETRY_DEPTH: u8 = 3;

/// The maximum number of attempts of one request, including the first.
pub(crate) const MAX_ATTEMPTS: u8 = 3;

/// Retries per second that a service may make at depth 0 however few calls it has. Deeper calls have no such floor,
/// because floors would multiply along a call chain.
const FLOOR_PER_SECOND: f64 = 1.0;

/// The maximum number of unused retries kept at one depth, so that a quiet period is not followed by a burst.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// The round trip of a request between nodes: 1 ms each way.
const HOP_ROUND_TRIP: Duration = Duration::from_millis(2);

/// The divisor of the remaining time that each hop keeps as a margin: 1/50 of it. The margin lets the caller's node
/// send a refusal with the true outcome before its own deadline.
const HOP_MARGIN_DIVISOR: u32 = 50;

/// The state of a request that is considered for another attempt.
#[derive(Copy, Clone, Debug)]
pub(crate) struct AttemptedRequest {
    /// Whether the request may run more than once.
    pub(crate) is_idempotent: bool,
    /// Whether every attempt so far is proven not to have run.
    pub(crate) never_ran: bool,
    /// The number of attempts so far.
    pub(crate) attempts: u8,
    /// The deadline of the request.
    pub(crate) deadline: Time,
    /// The call depth of the request, 0 for a request from outside.
    pub(crate) depth: u8,
}

impl AttemptedRequest {
    /// Returns the refusal of a request that is not attempted again: `not_run` if no attempt ran, else `unknown`.
    fn refusal(&self, not_run: Reason, unknown: Reason) -> Refusal {
        if self.never_ran { Refusal::not_run(not_run) } else { Refusal::unknown(unknown) }
    }
}

/// The retry budget of one service at one node. Hedged requests use the same budget.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    percent: f64,
    /// The available retries by call depth.
    tokens: [f64; MAX_RETRY_DEPTH as usize + 1],
    refilled: Time,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per 100 first attempts, with the floor as its initial balance.
    pub(crate) fn new(percent: u8, now: Time) -> RetryBudget {
        let mut tokens = [0.0; MAX_RETRY_DEPTH as usize + 1];
        tokens[0] = FLOOR_PER_SECOND;
        RetryBudget { percent: percent.into(), tokens, refilled: now }
    }

    /// Sets the number of retries allowed per 100 first attempts.
    pub(crate) fn set_percent(&mut self, percent: u8) {
        self.percent = percent.into();
    }

    /// Records a first attempt, which adds a fraction of a retry to the budget.
    pub(crate) fn deposit(&mut self, depth: u8) {
        if let Some(tokens) = self.tokens.get_mut(usize::from(depth)) {
            let earned = self.percent / 100.0 / f64::from(1u32 << depth);
            *tokens = (*tokens + earned).min(MAX_SAVED_RETRIES);
        }
    }

    /// Withdraws one retry from the budget, or returns the refusal of the request.
    ///
    /// # Errors
    ///
    /// The request is refused if it may have run and must not run twice, if too little time is left before its
    /// deadline, or if the number of its attempts, its depth or the budget does not allow another attempt.
    pub(crate) fn try_retry(
        &mut self,
        now: Time,
        request: &AttemptedRequest,
    ) -> Result<(), Refusal> {
        if !request.never_ran && !request.is_idempotent {
            return Err(Refusal::unknown(Reason::AnswerLost));
        }
        if now + HOP_ROUND_TRIP >= request.deadline {
            return Err(request.refusal(Reason::Deadline, Reason::Deadline));
        }
        if request.attempts >= MAX_ATTEMPTS || !self.try_withdraw(now, request.depth) {
            return Err(request.refusal(Reason::Overloaded, Reason::AnswerLost));
        }
        Ok(())
    }

    /// Returns whether a request may go to another target after an attempt of which nothing was sent.
    ///
    /// Such an attempt put no load on any target, so only the number of attempts limits it and the budget is not
    /// used. If it were, a service with few calls would refuse some of them for each node that is gone.
    pub(crate) fn may_resend(now: Time, request: &AttemptedRequest) -> bool {
        request.attempts < MAX_ATTEMPTS && now + HOP_ROUND_TRIP < request.deadline
    }

    /// Decides whether a request that has waited for `elapsed` is hedged: sent to a second target as well. Withdraws
    /// one retry from the budget if so. Only idempotent requests are hedged.
    pub(crate) fn try_hedge(
        &mut self,
        now: Time,
        request: &AttemptedRequest,
        elapsed: Duration,
        delay: &HedgeDelay,
    ) -> bool {
        request.is_idempotent
            && request.attempts < MAX_ATTEMPTS
            && now + HOP_ROUND_TRIP < request.deadline
            && delay.get().is_some_and(|delay| elapsed >= delay)
            && self.try_withdraw(now, request.depth)
    }

    /// Withdraws one retry at this depth, and returns whether one was available.
    fn try_withdraw(&mut self, now: Time, depth: u8) -> bool {
        let refill = now.since(self.refilled).as_secs_f64() * FLOOR_PER_SECOND;
        self.refilled = self.refilled.max(now);
        // The floor raises the balance to at most one second's worth; only first attempts raise it further.
        if self.tokens[0] < FLOOR_PER_SECOND {
            self.tokens[0] = (self.tokens[0] + refill).min(FLOOR_PER_SECOND);
        }
        match self.tokens.get_mut(usize::from(depth)) {
            Some(tokens) if *tokens >= 1.0 => {
                *tokens -= 1.0;
                true
            }
            _ => false,
        }
    }
}

/// Returns the timeout that is passed to the next hop, or `None` if too little time is left to send the request.
pub(crate) fn next_hop_timeout(now: Time, deadline: Time) -> Option<Duration> {
    let left = deadline.since(now);
    let next = left.checked_sub(HOP_ROUND_TRIP + left / HOP_MARGIN_DIVISOR)?;
    (!next.is_zero()).then_some(next)
}

#[cfg(test)]
mod tests;
