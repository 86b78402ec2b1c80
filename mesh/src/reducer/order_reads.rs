//! Reads of the orders beside the watches that wait for changes: when, and by which watcher.
//!
//! A read proves to all nodes that they have missed nothing, since they hear of it. So the first watcher reads, and the others only
//! if they do not hear of its reads.

use std::{net::SocketAddr, time::Duration};

use crate::{directory::Member, effect::Effect, keys::MemberId, time::Time, watchers};

use super::Reducer;

/// The age of the orders at which the first watcher reads them. Together with the time that a change takes to all nodes it stays
/// well below the time within which a change must be in force.
const FIRST_READ_AGE: Duration = Duration::from_millis(800);

/// The same for the second watcher. It is later by the time that the first one needs for a read and its status.
const NEXT_READ_AGE: Duration = Duration::from_millis(1_050);

/// The time by which each further watcher reads later, so that they do not read at the same time.
const READ_SPACING: Duration = Duration::from_millis(50);

/// The number of watchers that have a read age of their own.
const MAX_READ_RANK: u32 = 4;

impl Reducer {
    /// Returns the time after which this node reads the orders unless it hears of another read, if it is a watcher.
    pub(crate) fn time_until_orders_read(&self, now: Time) -> Duration {
        let id = self.local.id;
        let ahead =
            self.other_watchers(now).into_iter().filter(|(watcher, _)| *watcher < id).count();
        let rank = u32::try_from(ahead).unwrap_or(MAX_READ_RANK).min(MAX_READ_RANK);
        let read_age = match rank {
            0 => FIRST_READ_AGE,
            _ => NEXT_READ_AGE + READ_SPACING * (rank - 1),
        };
        self.orders_age(now).map_or(Duration::ZERO, |age| read_age.saturating_sub(age))
    }

    /// Handles the answer to a read of the orders, of which a watcher tells the others at once.
    pub(super) fn orders_read(&mut self, now: Time, sent_at: Time, out: &mut Vec<Effect>) {
        self.set_max_orders_age(now, now.since(sent_at));
        if !self.is_watcher {
            return;
        }
        let to: Vec<_> = self.other_watchers(now).into_iter().map(|(_, address)| address).collect();
        if !to.is_empty() {
            let status = self.node_status(now, Vec::new());
            out.push(Effect::SendStatus { to, status });
        }
    }

    /// Returns the other nodes that watch the store as far as this node knows.
    fn other_watchers(&self, now: Time) -> Vec<(MemberId, SocketAddr)> {
        let is_responsive = |member: &&Member| {
            !self.is_local(member.record.id) && !self.directory.is_silent(now, member)
        };
        let members = self.directory.iter().map(|(_, member)| member);
        let nodes =
            members.filter(is_responsive).filter(|member| member.has_store && !member.is_stopping);
        watchers::first_of(nodes.map(|member| &member.record))
            .into_iter()
            .map(|record| (record.id, record.address))
            .collect()
    }
}
