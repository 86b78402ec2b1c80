//! Services of other regions: subscriptions to their members, calls that wait for them, and the members that this
//! region advertises.

use std::net::SocketAddr;

use compact_str::CompactString;
use rand::seq::IndexedRandom;

use crate::{
    directory::Directory,
    document::{CentreState, Document},
    effect::{Effect, Record},
    keys::{CallKey, ServiceKey},
    membership::{CrossRegion, Member, Output, Source, State},
    remote::{Action, MAX_REMOTE_SERVICES, MIN_LOCAL_MEMBERS, WATCHERS_PER_CENTRE},
    time::Time,
};

use super::Reducer;

/// The maximum number of calls that wait for the first answer of another region. Further calls are refused immediately.
const MAX_WAITING_CALLS: usize = 1_024;

impl Reducer {
    /// Subscribes to the members of a service in other regions if this region has too few of them.
    pub(super) fn subscribe_remote(&mut self, now: Time, key: CallKey, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(key) else { return };
        let (service, service_key) = (call.service.clone(), call.service_key);
        if self.region_members(service_key).take(MIN_LOCAL_MEMBERS).count() >= MIN_LOCAL_MEMBERS {
            return;
        }
        let mut actions = Vec::new();
        self.remote.subscribe(now, &service, &mut actions);
        self.apply_remote_actions(now, actions, out);
    }

    /// Queues a call without a target if the first answer of another region is pending, and returns whether it did so.
    pub(super) fn wait_for_remote(&mut self, now: Time, key: CallKey) -> bool {
        let Some(call) = self.calls.get(key) else { return false };
        let waits = call.attempts == 0
            && self.waiting_calls.len() < MAX_WAITING_CALLS
            && self.remote.is_pending(now, &call.service);
        if waits {
            self.waiting_calls.push(key);
        }
        waits
    }

    pub(super) fn handle_cross_region(
        &mut self,
        now: Time,
        from: Source,
        message: CrossRegion,
        out: &mut Vec<Effect>,
    ) {
        match message {
            // Without an answer, the subscriber turns to another member.
            CrossRegion::Subscribe { .. } if self.is_stopping || !self.membership.is_synced() => {}
            CrossRegion::Subscribe { service, digest } => {
                let members = advertised_members(
                    &self.directory,
                    self.document.as_deref(),
                    &self.local.info,
                    &service,
                );
                let answer =
                    self.subscription_server.handle_subscribe(now, from, service, digest, members);
                self.send_cross_region(now, from.address, answer, out);
            }
            CrossRegion::AskContacts => {
                let answer = self.remote.contacts_message();
                self.send_cross_region(now, from.address, answer, out);
            }
            answer => {
                let mut actions = Vec::new();
                self.remote.receive(now, from, answer, &mut actions);
                self.apply_remote_actions(now, actions, out);
                self.resume_waiting(now, out);
            }
        }
    }

    pub(super) fn tick_remote(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        self.remote.tick(now, &mut actions);
        self.apply_remote_actions(now, actions, out);
        self.resume_waiting(now, out);

        let (membership, mut outputs) = (&mut self.membership, Vec::new());
        let (directory, document, local) =
            (&self.directory, self.document.as_deref(), &self.local.info);
        let members = |service: &str| advertised_members(directory, document, local, service);
        let send = |to, message| membership.send_cross_region(now, to, message, &mut outputs);
        self.subscription_server.push(now, members, send);
        self.apply_membership_outputs(now, outputs, out);
    }

    /// Retries the waiting calls: starts those that now have a target, and refuses those that can no longer get one.
    fn resume_waiting(&mut self, now: Time, out: &mut Vec<Effect>) {
        for key in std::mem::take(&mut self.waiting_calls) {
            self.start_or_refuse(now, key, out);
        }
    }

    fn apply_remote_actions(&mut self, now: Time, actions: Vec<Action>, out: &mut Vec<Effect>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send_cross_region(now, to, message, out),
                Action::AskContacts => self.request_contacts(now, out),
                Action::Full { calls } => {
                    let limit = MAX_REMOTE_SERVICES;
                    out.push(Effect::Log(Record::RemoteServicesFull { calls, limit }));
                }
                Action::Seen(member) => self.upsert_member(member, out),
                Action::Gone(id) => self.remove_member(id, "unsubscribed", false, out),
                Action::Confirmed { region, service, members, is_confirmed } => {
                    for id in &members {
                        self.directory.set_confirmed(*id, is_confirmed);
                    }
                    let members = members.len();
                    out.push(Effect::Log(Record::Region {
                        region,
                        service,
                        members,
                        is_confirmed,
                    }));
                }
            }
        }
    }

    /// Requests contacts from a watcher of this data centre, which reads them from the platform.
    fn request_contacts(&mut self, now: Time, out: &mut Vec<Effect>) {
        let local = &self.local.info;
        let watchers = self.membership.members().filter(|(member, state)| {
            *state == State::Alive && member.centre == local.centre && member.id != local.id
        });
        let watchers: Vec<_> =
            watchers.take(WATCHERS_PER_CENTRE).map(|(member, _)| member.gossip).collect();
        // A watcher reads the contacts itself.
        if self.watcher_rank.is_none()
            && let Some(watcher) = watchers.choose(&mut self.rng)
        {
            self.send_cross_region(now, *watcher, CrossRegion::AskContacts, out);
        }
    }

    fn send_cross_region(
        &mut self,
        now: Time,
        to: SocketAddr,
        message: CrossRegion,
        out: &mut Vec<Effect>,
    ) {
        let mut outputs: Vec<Output> = Vec::new();
        // A message that the budget does not allow counts as lost and is requested again.
        self.membership.send_cross_region(now, to, message, &mut outputs);
        self.apply_membership_outputs(now, outputs, out);
    }

    /// Returns the members of a service in this region that may receive requests.
    fn region_members(&self, service_key: ServiceKey) -> impl Iterator<Item = &Member> {
        let (local, document) = (&self.local.info, self.document.as_deref());
        let members = self.directory.members_of(service_key).map(|member| &member.info);
        members
            .filter(move |member| member.region == local.region && is_available(document, member))
    }
}

/// Returns the members of a service in this region that are advertised to other regions.
fn advertised_members(
    directory: &Directory,
    document: Option<&Document>,
    local: &Member,
    service: &str,
) -> Vec<Member> {
    let service_key = directory.find_service(&CompactString::from(service));
    let members = service_key.into_iter().flat_map(|key| directory.members_of(key));
    let members = members.map(|member| &member.info);
    members.filter(|m| m.region == local.region && is_available(document, m)).cloned().collect()
}

/// Returns whether a member may receive requests: it is not leaving, and its data centre is in service.
fn is_available(document: Option<&Document>, member: &Member) -> bool {
    let centre = document.and_then(|document| document.centres.get(&member.centre));
    !member.is_leaving && centre.is_some_and(|centre| centre.state == CentreState::In)
}

#[cfg(test)]
mod tests;
