//! Selection of the nodes that receive the status datagram in each round.
//!
//! If every node sent its status to every other in each round, the traffic would grow with the square of the
//! deployment. Rounds are therefore limited: nodes that have recently sent requests get the status in each round, the
//! others in rotation.

use std::time::Duration;

use crate::time::Time;

/// The time since its last request for which a node gets the status in each round.
const RECENT_TIME: Duration = Duration::from_secs(10);

/// Chooses the recipients of each round.
#[derive(Clone, Debug)]
pub(crate) struct Fanout {
    /// The most recipients of one round.
    limit: usize,
    /// The index of the last node that was chosen in rotation.
    cursor: usize,
}

impl Fanout {
    pub(crate) const fn new(limit: usize) -> Fanout {
        Fanout { limit, cursor: 0 }
    }

    /// Returns the indices of the recipients, given the time of each node's last request, if any.
    pub(crate) fn choose(&mut self, now: Time, last_requests: &[Option<Time>]) -> Vec<usize> {
        if last_requests.len() <= self.limit {
            return (0..last_requests.len()).collect();
        }
        let is_recent =
            |&index: &usize| last_requests[index].is_some_and(|at| now.since(at) < RECENT_TIME);
        let mut chosen: Vec<usize> = (0..last_requests.len()).filter(is_recent).collect();
        chosen.sort_by_key(|&index| std::cmp::Reverse(last_requests[index]));
        chosen.truncate(self.limit - rotation_slots(self.limit));
        let mut index = self.cursor;
        while chosen.len() < self.limit {
            index = (index + 1) % last_requests.len();
            if !chosen.contains(&index) {
                chosen.push(index);
            }
        }
        self.cursor = index;
        chosen
    }
}

/// Returns the number of rounds after which all of `nodes` have got the status.
pub(crate) fn full_rounds(limit: usize, nodes: usize) -> u32 {
    if nodes <= limit {
        return 1;
    }
    u32::try_from(nodes.div_ceil(rotation_slots(limit))).unwrap_or(u32::MAX)
}

/// Returns the least number of recipients of a round that are chosen in rotation.
const fn rotation_slots(limit: usize) -> usize {
    limit / 2
}

#[cfg(test)]
mod tests;
