//! The places of requests in the queue, which the shares of teams reorder.

use crate::{refusal::Reason, time::Time};

use super::{
    AdmissionController, AdmissionRequest, Dequeued, Queued, queue_order,
    team_shares::{self, FairKey, Waiting},
};

/// The most queued requests per slot; further requests are refused.
const QUEUE_PER_SLOT: usize = 3;

/// How many times its bound a queue may hold until the requests that were displaced are refused, at its next check.
const MAX_OVERFLOW: usize = 2;

/// The place of an arriving request in the queue.
#[derive(Copy, Clone, Debug, Default)]
pub(super) struct Place {
    pub(super) position: usize,
    /// Whether it takes the place of another request if the queue is full.
    pub(super) may_displace: bool,
}

impl Queued {
    fn waiting(&self) -> Waiting<'_> {
        waiting(&self.request, self.mostly_fails)
    }
}

fn waiting(request: &AdmissionRequest, mostly_fails: bool) -> Waiting<'_> {
    let class = (request.is_late, mostly_fails, request.priority);
    Waiting { class, team: request.team.as_ref(), objective: request.objective }
}

impl AdmissionController {
    pub(super) fn max_queue(&self) -> usize {
        usize::from(self.slots) * QUEUE_PER_SLOT
    }

    /// Returns the number of teams whose shares are counted.
    pub(crate) fn team_count(&self) -> usize {
        self.team_shares.len()
    }

    /// Returns the place of an arriving request in the queue.
    pub(super) fn place(&self, now: Time, request: &AdmissionRequest, mostly_fails: bool) -> Place {
        if !self.team_shares.has_teams() {
            let own = queue_order(request, mostly_fails);
            let position = self.queue.partition_point(|queued| queued.order() <= own);
            return Place { position, may_displace: false };
        }
        if self.queue.is_empty() {
            return Place::default();
        }
        let queued = self.queue.iter().map(Queued::waiting);
        let all: Vec<Waiting<'_>> = queued.chain([waiting(request, mostly_fails)]).collect();
        let mut keys = self.team_shares.keys(now, &all);
        let Some(own) = keys.pop() else { return Place::default() };
        let has_space = self.queue.len() < self.max_queue() * MAX_OVERFLOW;
        let may_displace = |last: &FairKey| has_space && team_shares::may_displace(&own, last);
        Place {
            position: keys.iter().filter(|key| **key <= own).count(),
            may_displace: keys.iter().max().is_some_and(may_displace),
        }
    }

    /// Puts the queue into the fair order of teams, which changes with each start.
    pub(super) fn reorder(&mut self, now: Time) {
        if !self.team_shares.has_teams() || self.queue.len() < 2 {
            return;
        }
        let waiting: Vec<Waiting<'_>> = self.queue.iter().map(Queued::waiting).collect();
        let keys = self.team_shares.keys(now, &waiting);
        let mut keyed: Vec<(FairKey, Queued)> =
            keys.into_iter().zip(std::mem::take(&mut self.queue)).collect();
        keyed.sort_by_key(|(key, _)| *key);
        self.queue = keyed.into_iter().map(|(_, queued)| queued).collect();
    }

    /// Refuses the last requests of a queue that others have displaced from it.
    pub(super) fn refuse_displaced(&mut self, now: Time) -> Vec<Dequeued> {
        let max = self.max_queue();
        if !self.team_shares.has_teams() || self.queue.len() <= max {
            return Vec::new();
        }
        let wait = self.queue_wait(now, max);
        let refuse = |queued: Queued| Dequeued::Refuse {
            work: queued.work,
            reason: Reason::Overloaded,
            wait,
        };
        self.queue.drain(max..).map(refuse).collect()
    }
}
