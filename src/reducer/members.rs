//! Membership and its dependants: the directory, the selection of watchers, and pulls of newer documents.
//!
//! A watcher is one of the few nodes that talk to the platform for their data centre.

use std::{net::SocketAddr, time::Duration};

use crate::{
    config::PULL_TIMEOUT,
    directory::MemberChange,
    effect::{Effect, Record},
    keys::MemberId,
    membership::{Body, Contact, LossReason, Member, Message, Output, Source, State},
    remote::WATCHERS_PER_CENTRE,
    time::Time,
};

use super::Reducer;

/// The interval at which a node checks whether it is a watcher. A lost watcher is replaced within this time.
const WATCHER_INTERVAL: Duration = Duration::from_secs(1);

/// A pull of a newer document from another member, in progress.
#[derive(Copy, Clone, Debug)]
pub(super) struct Pull {
    since: Time,
    revision: u64,
}

impl Reducer {
    pub(super) fn handle_gossip(
        &mut self,
        now: Time,
        from: Source,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        if let Body::CrossRegion(message) = message.body {
            return self.handle_cross_region(now, from, message, out);
        }
        let mut outputs = Vec::new();
        self.membership.handle(now, from, message, &mut outputs);
        self.apply_membership_outputs(now, outputs, out);
    }

    /// Adds contacts from the platform. Joins those of this region that are unknown, and at the first call the contacts
    /// from the settings as well.
    pub(super) fn join_contacts(&mut self, now: Time, contacts: &[Contact], out: &mut Vec<Effect>) {
        self.remote.add_contacts(contacts);
        let region = &self.local.info.region;
        let unknown = contacts.iter().filter(|contact| {
            contact.region == *region && self.membership.member(contact.id).is_none()
        });
        let mut addrs: Vec<SocketAddr> = unknown.map(|contact| contact.gossip).collect();
        if !self.has_joined {
            self.has_joined = true;
            addrs.extend(&self.local.contacts);
        } else if addrs.is_empty() {
            return;
        }
        let mut outputs = Vec::new();
        self.membership.join(now, addrs, &mut outputs);
        self.apply_membership_outputs(now, outputs, out);
    }

    pub(super) fn tick_members(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.refresh_payload(now);
        let mut outputs = Vec::new();
        self.membership.tick(now, &mut outputs);
        self.apply_membership_outputs(now, outputs, out);
        if now >= self.next_watcher_update {
            self.next_watcher_update = now + WATCHER_INTERVAL;
            self.update_watcher(out);
        }
    }

    /// Announces to several members at once that this node is leaving.
    pub(super) fn announce_leave(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut outputs = Vec::new();
        self.membership.leave(now, &mut outputs);
        self.apply_membership_outputs(now, outputs, out);
    }

    pub(super) fn pull_ended(&mut self) {
        self.pull = None;
    }

    pub(super) fn apply_membership_outputs(
        &mut self,
        now: Time,
        outputs: Vec<Output>,
        out: &mut Vec<Effect>,
    ) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    self.is_payload_stale = true;
                    out.push(Effect::Send { to, message: Box::new(message) });
                }
                Output::Joined(member) | Output::Changed(member) => self.upsert_member(member, out),
                Output::Lost { id, reason } => self.member_lost(id, reason, out),
                Output::Revision { from, revision } => self.pull_document(now, from, revision, out),
                Output::Suspected { id, is_suspected } => {
                    self.directory.set_suspected(id, is_suspected);
                    let change = if is_suspected { "suspected" } else { "cleared" };
                    self.log_member(id, change, out);
                }
                Output::Payload { from, payload } => {
                    self.merge_payload(now, from, &payload, out);
                }
                Output::Synced => {
                    out.push(Effect::Log(Record::Synced { members: self.membership.live_count() }));
                }
                Output::TableFull { refused } => {
                    out.push(Effect::Log(Record::TableFull { refused }));
                }
            }
        }
    }

    pub(super) fn upsert_member(&mut self, member: Member, out: &mut Vec<Effect>) {
        let id = member.id;
        self.subscription_server.mark_changed(&member.service);
        let change = match self.directory.upsert(member) {
            MemberChange::Joined => "joined",
            MemberChange::Changed => "changed",
            MemberChange::Ignored => "ignored-full",
            MemberChange::Unchanged => return,
        };
        self.log_member(id, change, out);
    }

    fn member_lost(&mut self, id: MemberId, reason: LossReason, out: &mut Vec<Effect>) {
        if id == self.local.info.id {
            return;
        }
        let change = match reason {
            LossReason::Failed => "failed",
            LossReason::Left => "left",
            LossReason::Replaced => "replaced",
        };
        self.remove_member(id, change, reason == LossReason::Failed, out);
    }

    /// Removes a member from the directory and closes the connections to it.
    pub(super) fn remove_member(
        &mut self,
        id: MemberId,
        change: &'static str,
        has_failed: bool,
        out: &mut Vec<Effect>,
    ) {
        self.log_member(id, change, out);
        if let Some(member) = self.directory.remove(id) {
            self.subscription_server.mark_changed(&member.service);
            out.push(Effect::ClosePeer { peer: member.peer, has_failed });
        }
    }

    fn log_member(&self, id: MemberId, change: &'static str, out: &mut Vec<Effect>) {
        let member = self.directory.key(id).and_then(|key| self.directory.get(key));
        let service = member.map(|member| member.info.service.clone()).unwrap_or_default();
        out.push(Effect::Log(Record::Member { id, service, change }));
    }

    /// Pulls the document from a member that has a newer revision, unless a pull is in progress.
    fn pull_document(&mut self, now: Time, from: MemberId, revision: u64, out: &mut Vec<Effect>) {
        let is_busy = self.pull.is_some_and(|pull| now.since(pull.since) < PULL_TIMEOUT);
        if is_busy || revision <= self.revision {
            return;
        }
        let Some((member, _)) = self.membership.member(from) else { return };
        let control = member.control;
        if self.pull.is_none_or(|pull| pull.revision != revision) {
            out.push(Effect::Log(Record::Pull { from, revision }));
        }
        self.pull = Some(Pull { since: now, revision });
        out.push(Effect::Pull { from, control });
    }

    /// Makes this node a watcher if its id is among the [`WATCHERS_PER_CENTRE`] lowest ids of its data centre.
    ///
    /// Ids are random, so watchers change only when one is lost or a node with a lower id joins.
    fn update_watcher(&mut self, out: &mut Vec<Effect>) {
        let local = &self.local.info;
        let lower = self
            .membership
            .members()
            .filter(|(m, state)| {
                *state == State::Alive && m.centre == local.centre && m.id < local.id
            })
            .take(WATCHERS_PER_CENTRE)
            .count();
        let rank = (lower < WATCHERS_PER_CENTRE && !self.is_stopping).then_some(lower);
        if rank != self.watcher_rank {
            self.watcher_rank = rank;
            out.push(Effect::Log(Record::Watcher { rank }));
            out.push(Effect::WatchPlatform(rank));
        }
    }
}
