//! Merging of updates into the table, and the notifications that result.

use std::net::SocketAddr;

use super::{
    Class, Loss, Membership, Output, Via,
    message::{Body, Claim, Member, State, Update},
    probe::suspicion_time,
    table::Record,
};
use crate::{keys::MemberId, time::Time};

impl Membership {
    /// Merges an update into the table.
    pub(super) fn apply(&mut self, now: Time, update: Update, via: Via, out: &mut Vec<Output>) {
        let claim = update.claim();
        if claim.id == self.id {
            return self.refute(claim);
        }
        let held = self.table.get(claim.id).map(|r| r.claim());
        if held.is_some_and(|held| !claim.supersedes(&held)) {
            return self.renew_record(now, update, out);
        }
        match update {
            Update::Record { member, suspect } => {
                if member.region != self.me().region || member.validate().is_err() {
                    self.counters.invalid += 1;
                    return;
                }
                if held.is_none() && !self.table.make_room() {
                    self.counters.refused += 1;
                    return;
                }
                let state = if suspect { State::Suspect } else { State::Alive };
                self.admit(now, member, state, out);
            }
            Update::Claim(claim) => {
                let Some(held) = held else { return };
                // After a partition heals, each side holds the other dead. The member is asked to refute before
                // the claim is believed, or one exchange would spread the deaths to the living side.
                if via == Via::Exchange
                    && claim.state == State::Dead
                    && claim.incarnation == held.incarnation
                    && held.state.is_live()
                {
                    return self.verify(now, claim, out);
                }
                let loss = if claim.state == State::Left { Loss::Left } else { Loss::Failed };
                self.mark(now, claim, loss, out);
                self.identify_outdated(claim.id, out);
            }
        }
        if via == Via::Gossip {
            self.table.enqueue(claim.id);
        }
    }

    /// Replaces a record that is out of date, though its incarnation and state are not.
    fn renew_record(&mut self, now: Time, update: Update, out: &mut Vec<Output>) {
        let Update::Record { member, .. } = update else { return };
        let Some(held) = self.table.get(member.id) else { return };
        let is_newer = member.revised > held.member.revised && held.state.is_live();
        if is_newer && member.region == self.me().region && member.validate().is_ok() {
            let (incarnation, state) = (held.member.incarnation, held.state);
            self.admit(now, Member { incarnation, ..member }, state, out);
        }
    }

    /// Requests the record of a live member from itself, if the one held is out of date.
    fn identify_outdated(&mut self, id: MemberId, out: &mut Vec<Output>) {
        let is_outdated = |r: &Record| r.state.is_live() && r.is_outdated();
        if self.table.get(id).is_some_and(is_outdated)
            && let Some(to) = self.receiver(id)
        {
            self.send(to, Class::Bulk, vec![], Body::Identify, out);
        }
    }

    /// Raises this node's incarnation above that of a suspicion or death claimed of it.
    pub(super) fn refute(&mut self, claim: Claim) {
        let wrong = matches!(claim.state, State::Suspect | State::Dead);
        if wrong && !self.left && claim.incarnation >= self.me().incarnation {
            self.counters.refutations += 1;
            self.table.renew_me(claim.incarnation);
        }
    }

    /// Stores a record that supersedes what is held, and reports the difference.
    pub(super) fn admit(&mut self, now: Time, member: Member, state: State, out: &mut Vec<Output>) {
        let id = member.id;
        self.replace_at(now, member.gossip, id, out);
        let before = self.table.get(id).filter(|r| r.state.is_live());
        let was_suspect = before.is_some_and(|r| r.state == State::Suspect);
        match before {
            None => out.push(Output::Joined(member.clone())),
            Some(r) if !r.member.has_same_info(&member) => {
                out.push(Output::Changed(member.clone()));
            }
            Some(_) => {}
        }
        if before.is_none() {
            self.probing.add(id, &mut self.rng);
        }
        self.table.put(now, member, state);
        self.note_suspicion(now, id, was_suspect, state, out);
    }

    /// Applies a claim that supersedes what is held, and reports the difference.
    pub(super) fn mark(&mut self, now: Time, claim: Claim, loss: Loss, out: &mut Vec<Output>) {
        let Some(held) = self.table.get(claim.id) else { return };
        let (before, address) = (held.state, held.member.gossip);
        if claim.state.is_live() {
            self.replace_at(now, address, claim.id, out);
        }
        self.table.mark(now, claim);
        if before.is_live() && !claim.state.is_live() {
            self.suspects.remove(&claim.id);
            out.push(Output::Lost { id: claim.id, reason: loss });
            return;
        }
        if !before.is_live() && claim.state.is_live() {
            self.probing.add(claim.id, &mut self.rng);
            if let Some(record) = self.table.get(claim.id) {
                out.push(Output::Joined(record.member.clone()));
            }
        }
        self.note_suspicion(now, claim.id, before == State::Suspect, claim.state, out);
    }

    pub(super) fn note_suspicion(
        &mut self,
        now: Time,
        id: MemberId,
        before: bool,
        state: State,
        out: &mut Vec<Output>,
    ) {
        let suspected = state == State::Suspect;
        if suspected {
            self.suspects.insert(id, now + suspicion_time(self.table.group()));
        } else {
            self.suspects.remove(&id);
        }
        if suspected != before {
            out.push(Output::Suspected { id, suspected });
        }
    }

    /// Buries the live member that held `address` before `successor`.
    pub(super) fn replace_at(
        &mut self,
        now: Time,
        address: SocketAddr,
        successor: MemberId,
        out: &mut Vec<Output>,
    ) {
        if let Some(old) = self.table.at_address(address).filter(|old| *old != successor) {
            self.bury(now, old, Loss::Replaced, out);
        }
    }

    /// Declares a live member dead and spreads the news.
    pub(super) fn bury(&mut self, now: Time, id: MemberId, loss: Loss, out: &mut Vec<Output>) {
        if let Some(held) = self.table.get(id).map(|r| r.claim()).filter(|c| c.state.is_live()) {
            self.mark(now, Claim { state: State::Dead, ..held }, loss, out);
            self.table.enqueue(id);
        }
    }
}
