//! What the duty to report usage needs to know of the members.

use std::net::SocketAddr;

use crate::{directory::Member, keys::MemberId, time::Time, usage::Turn};

use super::Reducer;

impl Reducer {
    /// Returns the place of this node among the members that speak.
    pub(crate) fn usage_turn(&self, now: Time) -> Turn {
        let local_id = self.local.id;
        let mut turn = Turn { rank: 0, members: 1 };
        for (_, member) in self.directory.iter() {
            let id = member.record.id;
            if id == local_id || member.is_stopping || self.directory.is_silent(now, member) {
                continue;
            }
            turn.members += 1;
            turn.rank += usize::from(id < local_id);
        }
        turn
    }

    /// Returns the other members that may have counts, which are all but those that have ended.
    pub(crate) fn usage_members(&self, now: Time) -> Vec<(MemberId, SocketAddr)> {
        let members = self.directory.iter().map(|(_, member)| member);
        let has_ended =
            |member: &Member| member.is_stopping && self.directory.is_silent(now, member);
        let may_answer =
            members.filter(|member| !self.is_local(member.record.id) && !has_ended(member));
        may_answer.map(|member| (member.record.id, member.record.address)).collect()
    }
}
