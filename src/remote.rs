//! Discovery of service members in other regions, on demand.
//!
//! Gossip covers the node's own region only. For a service with too few members there, the node subscribes to the
//! members in each other region: first at a contact, then at one of the members that the contact returned, which
//! spreads the load over the members of the service. The messages are datagrams rather than `tarpc` calls: they need
//! no connection in either direction, a snapshot of a service fits into one, and the reducer handles them without
//! I/O. See section 5.1 of `docs/design.md`.

mod contacts;
mod serve;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use compact_str::CompactString;

use crate::{
    keys::MemberId,
    membership::{Contact, CrossRegion, Member, Source},
    time::Time,
};

use contacts::Contacts;
pub(crate) use serve::SubscriptionServer;

/// The maximum number of services for which a node subscribes in other regions. With 8 other regions and a renewal of
/// 130 bytes every 20 s they cost 830 B/s of [`CROSS_REGION_BYTES_PER_S`](crate::membership::CROSS_REGION_BYTES_PER_S).
pub(crate) const MAX_REMOTE_SERVICES: usize = 16;

/// The number of watchers in each data centre, of which two may fail at once.
pub(crate) const WATCHERS_PER_CENTRE: usize = 3;

/// The maximum number of members kept per service and region. A routing decision compares no more candidates.
pub(crate) const MAX_REMOTE_MEMBERS: usize = crate::routing::MAX_CANDIDATES;

/// The node subscribes in other regions if its own region has fewer members than this. It is more than one because a
/// single member may fail at any time.
pub(crate) const MIN_LOCAL_MEMBERS: usize = 2;

/// A subscription ends when the service has not been called for this long.
pub(crate) const UNUSED_TIMEOUT: Duration = Duration::from_secs(60);

/// The longest time that a call waits for the first answers. It covers a round trip between regions (up to 200 ms),
/// but not the retry after a lost datagram.
pub(crate) const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// The interval of renewals. A subscription survives the loss of two consecutive renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(20);

/// The delay before the first retry of an unanswered request. It doubles with each retry up to `MAX_RETRY_DELAY`.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The longest delay between retries. An unreachable region costs 16 services x 130 B / 8 s = 260 B/s.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Members are marked as unconfirmed after this time without an answer: one renewal interval and several retries.
pub(crate) const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Members are removed after this time without an answer. Regions can be unreachable for minutes.
pub(crate) const REMOVAL_TIMEOUT: Duration = Duration::from_secs(600);

/// The interval at which calls for services beyond [`MAX_REMOTE_SERVICES`] are reported.
const REPORT_PERIOD: Duration = Duration::from_secs(10);

/// The interval at which a node with subscriptions requests contacts from a platform watcher: 1.2 KB every 30 s are
/// 40 B/s.
const CONTACTS_PERIOD: Duration = Duration::from_secs(30);

/// An action that the reducer executes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Send a message. It is not retransmitted; the next request or push replaces a lost one.
    Send { to: SocketAddr, message: CrossRegion },
    /// Request contacts from a platform watcher of the local data centre.
    AskContacts,
    /// Add or update a member of a service in another region.
    Seen(Member),
    /// Remove a member.
    Gone(MemberId),
    /// Report the calls since the previous report for services beyond [`MAX_REMOTE_SERVICES`].
    Full { calls: u64 },
    /// A region stopped or resumed confirming the members of a service.
    Confirmed {
        region: CompactString,
        service: CompactString,
        members: Vec<MemberId>,
        is_confirmed: bool,
    },
}

/// The subscriptions of this node in other regions.
#[derive(Debug)]
pub(crate) struct Remote {
    id: MemberId,
    contacts: Contacts,
    subscriptions: BTreeMap<CompactString, Subscription>,
    next_contacts: Time,
    refused: u64,
    next_report: Time,
}

#[derive(Debug)]
struct Subscription {
    since: Time,
    last_call: Time,
    feeds: BTreeMap<CompactString, Feed>,
}

/// The subscription for one service in one region.
#[derive(Debug, Default)]
struct Feed {
    /// The member that received the last request. Answers from other members are late and ignored.
    source: Option<MemberId>,
    members: Vec<(MemberId, SocketAddr)>,
    digest: u64,
    confirmed: Option<Time>,
    is_unconfirmed: bool,
    /// The number of requests since the last answer.
    attempts: u32,
    next_request: Time,
}

impl Remote {
    /// Creates the state of member `id` of `region`, without contacts in other regions.
    pub(crate) fn new(id: MemberId, region: CompactString) -> Remote {
        Remote {
            id,
            contacts: Contacts::new(region),
            subscriptions: BTreeMap::new(),
            next_contacts: Time::ZERO,
            refused: 0,
            next_report: Time::ZERO,
        }
    }

    /// Adds contacts; those in the local region are ignored.
    pub(crate) fn add_contacts(&mut self, contacts: &[Contact]) {
        self.contacts.add(contacts);
    }

    /// Returns one contact for each data centre of other regions, as many as fit a datagram.
    pub(crate) fn contacts_message(&mut self) -> CrossRegion {
        self.contacts.next_message()
    }

    /// Subscribes to a service that has too few members in the local region, or records the call if it is already
    /// subscribed. Calls for services beyond [`MAX_REMOTE_SERVICES`] are only counted.
    pub(crate) fn subscribe(&mut self, now: Time, service: &CompactString, out: &mut Vec<Action>) {
        if let Some(subscription) = self.subscriptions.get_mut(service) {
            subscription.last_call = now;
            return;
        }
        if self.subscriptions.len() >= MAX_REMOTE_SERVICES {
            self.refused += 1;
            return;
        }
        let subscription = Subscription { since: now, last_call: now, feeds: BTreeMap::new() };
        self.subscriptions.insert(service.clone(), subscription);
        self.tick(now, out);
    }

    /// Returns whether a call should wait because a region has not yet answered a new subscription.
    pub(crate) fn is_pending(&self, now: Time, service: &str) -> bool {
        self.subscriptions.get(service).is_some_and(|subscription| {
            now.since(subscription.since) < FIRST_ANSWER_TIMEOUT
                && subscription.feeds.values().any(|feed| feed.confirmed.is_none())
        })
    }

    /// Ends unused subscriptions, and sends the renewals, retries and reports that are due.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.subscriptions.retain(|_, subscription| {
            let is_in_use = now.since(subscription.last_call) < UNUSED_TIMEOUT;
            if !is_in_use {
                let members = subscription.feeds.values().flat_map(|feed| &feed.members);
                out.extend(members.map(|(id, _)| Action::Gone(*id)));
            }
            is_in_use
        });
        if self.refused > 0 && now >= self.next_report {
            self.next_report = now + REPORT_PERIOD;
            out.push(Action::Full { calls: std::mem::take(&mut self.refused) });
        }
        if !self.subscriptions.is_empty() && now >= self.next_contacts {
            self.next_contacts = now + CONTACTS_PERIOD;
            out.push(Action::AskContacts);
        }
        let regions = self.contacts.regions();
        for (service, subscription) in &mut self.subscriptions {
            for region in &regions {
                if !subscription.feeds.contains_key(region) {
                    subscription.feeds.insert(region.clone(), Feed::default());
                }
            }
            for (region, feed) in &mut subscription.feeds {
                feed.expire(now, region, service, out);
                if now >= feed.next_request {
                    feed.ask(now, self.id, region, service, &mut self.contacts, out);
                }
            }
        }
    }

    /// Processes an answer or a pushed change from another region, or contacts from the local region.
    pub(crate) fn receive(
        &mut self,
        now: Time,
        from: Source,
        message: CrossRegion,
        out: &mut Vec<Action>,
    ) {
        self.contacts.record_answer(from.id);
        let (service, digest, members) = match message {
            CrossRegion::Members { service, digest, members } => (service, digest, Some(members)),
            CrossRegion::Unchanged { service, digest } => (service, digest, None),
            CrossRegion::Contacts(contacts) => return self.contacts.add(&contacts),
            CrossRegion::Subscribe { .. } | CrossRegion::AskContacts => return,
        };
        let Some(subscription) = self.subscriptions.get_mut(&service) else { return };
        let feed = subscription.feeds.iter_mut().find(|(_, feed)| feed.source == Some(from.id));
        let Some((region, feed)) = feed else { return };
        match members {
            Some(members) => {
                let is_valid = |m: &Member| {
                    m.region == *region && m.service == service && m.validate().is_ok()
                };
                let members =
                    members.into_iter().filter(is_valid).take(MAX_REMOTE_MEMBERS).collect();
                let is_source = |feed: &Feed| feed.members.iter().any(|(id, _)| *id == from.id);
                let was_source = is_source(feed);
                feed.replace(digest, members, out);
                feed.confirm(now, region, &service, out);
                if was_source && !is_source(feed) {
                    // The source is leaving and will push no more changes, so subscribe at another member at once.
                    feed.next_request = now;
                }
            }
            // With another digest, the answer is to an earlier request of this node.
            None if digest == feed.digest => feed.confirm(now, region, &service, out),
            None => {}
        }
    }
}

impl Feed {
    fn ask(
        &mut self,
        now: Time,
        local_id: MemberId,
        region: &CompactString,
        service: &CompactString,
        contacts: &mut Contacts,
        out: &mut Vec<Action>,
    ) {
        // The node's id selects the member, to spread subscribers. Retries alternate between contacts and members.
        let index = (local_id.0 as usize).wrapping_add(self.attempts as usize / 2);
        let member = self.members.get(index.checked_rem(self.members.len()).unwrap_or(0)).copied();
        let held = self.members.iter().find(|(id, _)| Some(*id) == self.source).copied();
        let chosen = match self.attempts {
            0 => held.or(member),
            n if n % 2 == 0 => member,
            _ => None,
        };
        let retry = MIN_RETRY_DELAY * (1 << self.attempts.min(8));
        self.next_request = now + retry.min(MAX_RETRY_DELAY);
        self.attempts = self.attempts.saturating_add(1);
        let Some((id, to)) = chosen.or_else(|| contacts.choose(region)) else { return };
        self.source = Some(id);
        let message = CrossRegion::Subscribe { service: service.clone(), digest: self.digest };
        out.push(Action::Send { to, message });
    }

    fn replace(&mut self, digest: u64, members: Vec<Member>, out: &mut Vec<Action>) {
        let gone = self.members.iter().filter(|(id, _)| members.iter().all(|m| m.id != *id));
        out.extend(gone.map(|(id, _)| Action::Gone(*id)));
        self.members = members.iter().map(|m| (m.id, m.gossip)).collect();
        self.digest = digest;
        out.extend(members.into_iter().map(Action::Seen));
    }

    fn confirm(
        &mut self,
        now: Time,
        region: &CompactString,
        service: &CompactString,
        out: &mut Vec<Action>,
    ) {
        self.confirmed = Some(now);
        self.attempts = 0;
        self.next_request = now + RENEWAL_INTERVAL;
        if self.is_unconfirmed {
            self.is_unconfirmed = false;
            out.push(self.confirmation(region, service));
        }
    }

    /// Marks members as unconfirmed after [`CONFIRMATION_TIMEOUT`], and removes them after [`REMOVAL_TIMEOUT`].
    fn expire(
        &mut self,
        now: Time,
        region: &CompactString,
        service: &CompactString,
        out: &mut Vec<Action>,
    ) {
        let Some(confirmed) = self.confirmed.filter(|_| !self.members.is_empty()) else { return };
        let silence = now.since(confirmed);
        if silence >= REMOVAL_TIMEOUT {
            self.replace(0, vec![], out);
        } else if silence >= CONFIRMATION_TIMEOUT && !self.is_unconfirmed {
            self.is_unconfirmed = true;
            out.push(self.confirmation(region, service));
        }
    }

    fn confirmation(&self, region: &CompactString, service: &CompactString) -> Action {
        Action::Confirmed {
            region: region.clone(),
            service: service.clone(),
            members: self.members.iter().map(|(id, _)| *id).collect(),
            is_confirmed: !self.is_unconfirmed,
        }
    }
}

#[cfg(test)]
mod tests;
