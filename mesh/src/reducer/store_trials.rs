//! Trials of the store by nodes that do not watch it.
//!
//! The nodes that watch may be cut off from the store while others are not, and a node that has lost the store once does not
//! learn of its return. So while nobody confirms the orders, nodes of each data centre watch the store for a moment in turn, a few
//! at a time whatever the size of the data centre.

use std::time::Duration;

use rand::Rng as _;

use crate::time::Time;

use super::Reducer;

/// The mean time between two trials of a data centre.
const TRIAL_SPACING: Duration = Duration::from_millis(500);

/// The time of a trial. It covers several pings, so that a store that answers is found.
const TRIAL_TIME: Duration = Duration::from_millis(1_200);

/// The trials of this node.
#[derive(Copy, Clone, Debug, Default)]
pub(super) struct StoreTrials {
    /// When the next trial begins, while the orders are not confirmed.
    due: Option<Time>,
    /// The end of the trial in progress.
    until: Option<Time>,
}

impl Reducer {
    /// Returns whether this node tries to reach the store although it does not watch it for the others.
    pub(super) fn is_trying_store(&mut self, now: Time) -> bool {
        if self.store_trials.until.is_some_and(|until| now < until) {
            return true;
        }
        self.store_trials.until = None;
        if self.has_confirmed_orders(now) {
            self.store_trials.due = None;
            return false;
        }
        let due = match self.store_trials.due {
            Some(due) => due,
            None => now + self.random_trial_delay(),
        };
        if now < due {
            self.store_trials.due = Some(due);
            return false;
        }
        self.store_trials = StoreTrials { due: None, until: Some(now + TRIAL_TIME) };
        true
    }

    /// Returns a delay that is uniform over the time in which each node of the data centre makes one trial.
    fn random_trial_delay(&mut self) -> Duration {
        let round = TRIAL_SPACING * self.directory.centre_len() as u32;
        round.mul_f64(self.rng.random_range(0.0..1.0))
    }
}
