//! Serves the subscriptions of nodes in other regions.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use compact_str::CompactString;

use super::MAX_REMOTE_MEMBERS;
use crate::{
    keys::MemberId,
    membership::{CrossRegion, Member, Source},
    time::Time,
};

/// The maximum number of subscriptions that a node serves; see
/// [`CROSS_REGION_BYTES_PER_S`](crate::membership::CROSS_REGION_BYTES_PER_S). Beyond it requests are answered, but changes are not pushed;
/// the subscriber learns of them with its renewals.
pub(crate) const MAX_SUBSCRIPTIONS: usize = 256;

/// The lifetime of a subscription: three renewal intervals.
pub(crate) const SUBSCRIPTION_TTL: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct Subscriber {
    address: SocketAddr,
    until: Time,
    digest: u64,
}

/// The subscriptions that other regions have at this node.
#[derive(Debug, Default)]
pub(crate) struct SubscriptionServer {
    subscribers: BTreeMap<CompactString, BTreeMap<MemberId, Subscriber>>,
    /// The services whose members may have changed since they were pushed.
    changed: BTreeSet<CompactString>,
    count: usize,
}

impl SubscriptionServer {
    /// Schedules a push of the members of a service, which may have changed.
    pub(crate) fn mark_changed(&mut self, service: &CompactString) {
        if self.subscribers.contains_key(service) {
            self.changed.insert(service.clone());
        }
    }

    /// Schedules a push for all subscribed services.
    pub(crate) fn mark_all_changed(&mut self) {
        self.changed.extend(self.subscribers.keys().cloned());
    }

    /// Registers or renews a subscription and returns the answer. `members` are the members of the service in
    /// the local region that accept requests.
    pub(crate) fn handle_subscribe(
        &mut self,
        now: Time,
        from: Source,
        service: CompactString,
        held: u64,
        members: Vec<Member>,
    ) -> CrossRegion {
        let (digest, answer) = CrossRegion::members_message(&service, choose(members, from.id));
        let is_known = self.subscribers.get(&service).is_some_and(|s| s.contains_key(&from.id));
        if is_known || self.count < MAX_SUBSCRIPTIONS {
            let until = now + SUBSCRIPTION_TTL;
            let subscriber = Subscriber { address: from.address, until, digest };
            self.subscribers.entry(service.clone()).or_default().insert(from.id, subscriber);
            self.count += usize::from(!is_known);
        }
        if digest == held { CrossRegion::Unchanged { service, digest } } else { answer }
    }

    /// Pushes changed member lists to subscribers. If `send` returns false, the rest of the service's subscribers wait
    /// for the next call.
    pub(crate) fn push(
        &mut self,
        now: Time,
        members: impl Fn(&str) -> Vec<Member>,
        mut send: impl FnMut(SocketAddr, CrossRegion) -> bool,
    ) {
        for subscribers in self.subscribers.values_mut() {
            subscribers.retain(|_, subscriber| now < subscriber.until);
        }
        self.subscribers.retain(|_, subscribers| !subscribers.is_empty());
        self.count = self.subscribers.values().map(BTreeMap::len).sum();
        for service in std::mem::take(&mut self.changed) {
            let Some(subscribers) = self.subscribers.get_mut(&service) else { continue };
            let known = members(&service);
            for (id, subscriber) in subscribers {
                let (digest, message) =
                    CrossRegion::members_message(&service, choose(known.clone(), *id));
                if digest == subscriber.digest {
                    continue;
                }
                if !send(subscriber.address, message) {
                    self.changed.insert(service);
                    break;
                }
                subscriber.digest = digest;
            }
        }
    }
}

/// Chooses the members for a subscriber by rendezvous hashing: subscribers together cover all members of a large
/// service, and a change of one member affects the selection of few subscribers.
fn choose(mut members: Vec<Member>, subscriber: MemberId) -> Vec<Member> {
    let rank = |id: MemberId| {
        let z = (id.0 ^ subscriber.0.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (z ^ (z >> 32)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
    };
    members.sort_unstable_by_key(|member| (rank(member.id), member.id));
    members.truncate(MAX_REMOTE_MEMBERS);
    members
}
