//! Merging of updates into the table, and the resulting notifications.

use std::net::SocketAddr;

use super::{
    LossReason, Membership, Output, TrafficClass, Via,
    message::{Body, Claim, Member, State, Update},
    probe::suspicion_timeout,
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
            return self.update_outdated_record(now, update, out);
        }
        match update {
            Update::Record { member, is_suspect } => {
                if member.region != self.local().region || member.validate().is_err() {
                    self.counters.invalid += 1;
                    return;
                }
                if held.is_none() && !self.table.make_room() {
                    self.counters.refused += 1;
                    return;
                }
                let state = if is_suspect { State::Suspect } else { State::Alive };
                self.admit(now, member, state, out);
            }
            Update::Claim(claim) => {
                let Some(held) = held else { return };
                // After a partition heals, each side holds the other dead. The member may refute the claim before it
                // is applied, because otherwise one exchange would spread the claims of death to the live side.
                if via == Via::Exchange
                    && claim.state == State::Dead
                    && claim.incarnation == held.incarnation
                    && held.state.is_live()
                {
                    return self.verify_death(now, claim, out);
                }
                let loss =
                    if claim.state == State::Left { LossReason::Left } else { LossReason::Failed };
                self.apply_claim(now, claim, loss, out);
                self.request_outdated_record(claim.id, out);
            }
        }
        if via == Via::Gossip {
            self.table.enqueue(claim.id);
        }
    }

    /// Replaces an outdated record whose incarnation and state are current.
    fn update_outdated_record(&mut self, now: Time, update: Update, out: &mut Vec<Output>) {
        let Update::Record { member, .. } = update else { return };
        let Some(held) = self.table.get(member.id) else { return };
        let is_newer = member.revised > held.member.revised && held.state.is_live();
        if is_newer && member.region == self.local().region && member.validate().is_ok() {
            let (incarnation, state) = (held.member.incarnation, held.state);
            self.admit(now, Member { incarnation, ..member }, state, out);
        }
    }

    /// Requests the record of a live member from that member if the held one is outdated.
    fn request_outdated_record(&mut self, id: MemberId, out: &mut Vec<Output>) {
        let is_outdated = |r: &Record| r.state.is_live() && r.is_outdated();
        if self.table.get(id).is_some_and(is_outdated)
            && let Some(to) = self.receiver(id)
        {
            self.send(to, TrafficClass::Bulk, vec![], Body::Identify, out);
        }
    }

    /// Raises this node's incarnation above that of a claim that it is suspect or dead.
    pub(super) fn refute(&mut self, claim: Claim) {
        let is_wrong = matches!(claim.state, State::Suspect | State::Dead);
        if is_wrong && !self.is_leaving && claim.incarnation >= self.local().incarnation {
            self.counters.refutations += 1;
            self.table.raise_incarnation(claim.incarnation);
        }
    }

    /// Stores a record that supersedes the held one, and reports the difference.
    pub(super) fn admit(&mut self, now: Time, member: Member, state: State, out: &mut Vec<Output>) {
        let id = member.id;
        self.replace_at_address(now, member.gossip, id, out);
        let before = self.table.get(id).filter(|r| r.state.is_live());
        let was_suspected = before.is_some_and(|r| r.state == State::Suspect);
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
        self.table.upsert_live(now, member, state);
        self.update_suspicion(now, id, was_suspected, state, out);
    }

    /// Applies a claim that supersedes the held one, and reports the difference.
    pub(super) fn apply_claim(
        &mut self,
        now: Time,
        claim: Claim,
        loss: LossReason,
        out: &mut Vec<Output>,
    ) {
        let Some(held) = self.table.get(claim.id) else { return };
        let (before, address) = (held.state, held.member.gossip);
        if claim.state.is_live() {
            self.replace_at_address(now, address, claim.id, out);
        }
        self.table.apply_claim(now, claim);
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
        self.update_suspicion(now, claim.id, before == State::Suspect, claim.state, out);
    }

    /// Starts or ends the suspicion time-out, and reports a change.
    pub(super) fn update_suspicion(
        &mut self,
        now: Time,
        id: MemberId,
        was_suspected: bool,
        state: State,
        out: &mut Vec<Output>,
    ) {
        let is_suspected = state == State::Suspect;
        if is_suspected {
            self.suspects.insert(id, now + suspicion_timeout(self.table.live_count()));
        } else {
            self.suspects.remove(&id);
        }
        if is_suspected != was_suspected {
            out.push(Output::Suspected { id, is_suspected });
        }
    }

    /// Declares dead the live member that had `address` before `successor`.
    pub(super) fn replace_at_address(
        &mut self,
        now: Time,
        address: SocketAddr,
        successor: MemberId,
        out: &mut Vec<Output>,
    ) {
        if let Some(old) = self.table.live_at(address).filter(|old| *old != successor) {
            self.declare_dead(now, old, LossReason::Replaced, out);
        }
    }

    /// Declares a live member dead and queues the update for spreading.
    pub(super) fn declare_dead(
        &mut self,
        now: Time,
        id: MemberId,
        loss: LossReason,
        out: &mut Vec<Output>,
    ) {
        if let Some(held) = self.table.get(id).map(|r| r.claim()).filter(|c| c.state.is_live()) {
            self.apply_claim(now, Claim { state: State::Dead, ..held }, loss, out);
            self.table.enqueue(id);
        }
    }
}
