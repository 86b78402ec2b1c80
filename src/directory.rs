//! The members that this node knows, by service, and its observations of their targets.

use std::{collections::HashMap, fmt::Write};

use compact_str::CompactString;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use crate::{
    document::Service,
    keys::{MemberId, MemberKey, ServiceKey},
    load::TargetView,
    membership,
    retry::{Ejector, HedgeDelay, RetryBudget},
    routing::{Candidate, Choice, NoChoice, Router, Score, TargetState},
    time::Time,
};

/// The maximum number of members in the directory; beyond it, new members are ignored and counted.
pub(crate) const MAX_MEMBERS: usize = 8_192;

/// The members that this node knows, with an index by service and by id.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    /// This node's region, whose members are preferred.
    region: CompactString,
    services: SlotMap<ServiceKey, ServiceState>,
    service_keys: HashMap<CompactString, ServiceKey>,
    members: SlotMap<MemberKey, Member>,
    member_keys: HashMap<MemberId, MemberKey>,
}

/// The members of one service, and the state that its calls share.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) members: Vec<MemberKey>,
    pub(crate) router: Router,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) ejector: Ejector,
    pub(crate) hedge_delay: HedgeDelay,
}

/// A member and this node's observations of it.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) info: membership::Member,
    pub(crate) service: ServiceKey,
    pub(crate) view: TargetView,
    /// Whether membership suspects that the member has failed.
    pub(crate) is_suspected: bool,
    /// Whether the member is in another region, which has stopped confirming it.
    pub(crate) is_unconfirmed: bool,
    /// The time since which the target has been in cold start without interruption, as observed by calls.
    pub(crate) cold_since: Option<Time>,
    /// Whether a probe is in progress.
    pub(crate) is_probing: bool,
}

/// The order of preference among members. A target is chosen among the most preferred members that may receive the
/// request.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Preference {
    SameRegion,
    OtherRegion,
    /// In any region, and suspected of having failed.
    Suspected,
    /// In another region, which has not confirmed the member recently.
    Unconfirmed,
}

/// The effect of an announcement on the directory.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum MemberChange {
    Joined,
    Changed,
    Unchanged,
    /// The directory is full.
    Ignored,
}

impl Directory {
    /// Creates the directory of a node in `region`.
    pub(crate) fn new(region: CompactString) -> Directory {
        Directory { region, ..Directory::default() }
    }

    /// Adds a member or replaces what it had announced.
    pub(crate) fn upsert(&mut self, info: membership::Member) -> MemberChange {
        if let Some(&key) = self.member_keys.get(&info.id) {
            let member = &mut self.members[key];
            if member.info == info {
                return MemberChange::Unchanged;
            }
            if member.info.service == info.service {
                member.info = info;
                return MemberChange::Changed;
            }
            self.remove(info.id);
        }
        if self.members.len() >= MAX_MEMBERS {
            return MemberChange::Ignored;
        }
        let service = self.ensure_service(&info.service);
        let id = info.id;
        let key = self.members.insert(Member {
            info,
            service,
            view: TargetView::new(),
            is_suspected: false,
            is_unconfirmed: false,
            cold_since: None,
            is_probing: false,
        });
        self.member_keys.insert(id, key);
        self.services[service].members.push(key);
        MemberChange::Joined
    }

    /// Removes a member that left or failed, and returns what it had announced.
    pub(crate) fn remove(&mut self, id: MemberId) -> Option<membership::Member> {
        let key = self.member_keys.remove(&id)?;
        let member = self.members.remove(key)?;
        let state = &mut self.services[member.service];
        state.members.retain(|&k| k != key);
        state.ejector.remove(key);
        Some(member.info)
    }

    /// Estimates the memory use in bytes: members with their strings and views, services and indices.
    pub(crate) fn state_bytes(&self) -> usize {
        let text = |s: &CompactString| if s.is_heap_allocated() { s.capacity() } else { 0 };
        let members = self.members.values().map(|member| {
            let info = &member.info;
            let names = [&info.service, &info.version, &info.centre, &info.region];
            names.into_iter().map(text).sum::<usize>() + member.view.heap_bytes()
        });
        let states = self.services.values().map(|s| s.members.capacity() * size_of::<MemberKey>());
        // A slot map stores a version and a free-list link with each slot; a hash map has 8 slots for 7 entries,
        // with one control byte each.
        members.sum::<usize>()
            + states.sum::<usize>()
            + self.members.capacity() * (size_of::<Member>() + size_of::<u64>())
            + self.services.capacity() * (size_of::<ServiceState>() + size_of::<u64>())
            + self.member_keys.capacity() * 8 / 7 * (size_of::<(MemberId, MemberKey)>() + 1)
            + self.service_keys.capacity() * 8 / 7 * (size_of::<(CompactString, ServiceKey)>() + 1)
    }

    /// Returns the key of a service, and creates its state if there is none.
    pub(crate) fn ensure_service(&mut self, name: &CompactString) -> ServiceKey {
        if let Some(&key) = self.service_keys.get(name) {
            return key;
        }
        let key = self.services.insert(ServiceState::default());
        self.service_keys.insert(name.clone(), key);
        key
    }

    /// Returns the key of a service if a member has announced it or a call has named it.
    pub(crate) fn find_service(&self, name: &CompactString) -> Option<ServiceKey> {
        self.service_keys.get(name).copied()
    }

    /// Sets whether membership suspects that a member has failed.
    pub(crate) fn set_suspected(&mut self, id: MemberId, is_suspected: bool) {
        if let Some(member) = self.member_keys.get(&id).and_then(|&key| self.members.get_mut(key)) {
            member.is_suspected = is_suspected;
        }
    }

    /// Sets whether a member's region confirms it.
    pub(crate) fn set_confirmed(&mut self, id: MemberId, is_confirmed: bool) {
        if let Some(member) = self.member_keys.get(&id).and_then(|&key| self.members.get_mut(key)) {
            member.is_unconfirmed = !is_confirmed;
        }
    }

    /// Returns the state of a service.
    pub(crate) fn service_mut(&mut self, service: ServiceKey) -> &mut ServiceState {
        &mut self.services[service]
    }

    /// Formats members with their scores, rounded to whole units and separated by commas, for a log line.
    pub(crate) fn describe(&self, scores: &[Score]) -> CompactString {
        let mut text = CompactString::default();
        for score in scores {
            let Some(member) = self.members.get(score.key) else { continue };
            let comma = if text.is_empty() { "" } else { "," };
            // Writing to a string cannot fail.
            let _ = write!(text, "{comma}{}:{:.0}", member.info.id, score.score);
        }
        text
    }

    /// Iterates over all members.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Iterates over the members of one service.
    pub(crate) fn members_of(&self, service: ServiceKey) -> impl Iterator<Item = &Member> {
        self.services[service].members.iter().filter_map(|&key| self.members.get(key))
    }

    /// Chooses a target of a service. `classify` returns whether a member is in this data centre, and whether it may
    /// receive requests. Other regions are considered only if no member of this node's region remains, and members that
    /// may have failed only if no others remain.
    pub(crate) fn choose(
        &mut self,
        now: Time,
        service: ServiceKey,
        tried: &[MemberKey],
        rng: &mut SmallRng,
        classify: impl Fn(&Member) -> (bool, TargetState),
    ) -> Result<Choice, NoChoice> {
        let ServiceState { members, router, ejector, .. } = &mut self.services[service];
        let known = members.iter().filter_map(|&key| Some((key, self.members.get(key)?)));
        let known: Vec<_> = known
            .map(|(key, member)| {
                let (is_local, state) = classify(member);
                let is_ejected = state == TargetState::InService && ejector.is_ejected(now, key);
                let state = if is_ejected { TargetState::Ejected } else { state };
                let preference = if member.is_suspected {
                    Preference::Suspected
                } else if member.info.region == self.region {
                    Preference::SameRegion
                } else if member.is_unconfirmed {
                    Preference::Unconfirmed
                } else {
                    Preference::OtherRegion
                };
                (preference, Candidate { key, view: &member.view, is_local, state })
            })
            .collect();
        let is_eligible =
            |c: &Candidate<'_>| c.state == TargetState::InService && !tried.contains(&c.key);
        let eligible =
            known.iter().filter(|(_, c)| is_eligible(c)).map(|(preference, _)| *preference);
        let best = eligible.min();
        let candidates: Vec<_> = known
            .into_iter()
            .filter(|(preference, _)| best.is_none_or(|best| best == *preference))
            .map(|(_, candidate)| candidate)
            .collect();
        router.choose(now, &candidates, tried, rng)
    }

    /// Counts a failure of a target, and returns the end of its ejection if it is ejected now.
    pub(crate) fn record_failure(
        &mut self,
        now: Time,
        key: MemberKey,
        settings: &Service,
    ) -> Option<Time> {
        let service = self.members.get(key)?.service;
        let state = &mut self.services[service];
        state.ejector.record_failure(now, key, state.members.len(), settings.eject_percent)
    }

    /// Records that no connection to a member could be opened, and returns the end of its pause if it is paused now.
    pub(crate) fn record_unreachable(&mut self, now: Time, key: MemberKey) -> Option<Time> {
        let service = self.members.get(key)?.service;
        let state = &mut self.services[service];
        state.ejector.record_unreachable(now, key, state.members.len())
    }

    /// Counts a success of a target.
    pub(crate) fn record_success(&mut self, now: Time, key: MemberKey) {
        if let Some(member) = self.members.get(key) {
            self.services[member.service].ejector.record_success(now, key);
        }
    }

    /// Returns whether a member is ejected, or paused because it was unreachable.
    pub(crate) fn is_ejected(&self, now: Time, id: MemberId) -> bool {
        let Some(key) = self.key(id) else { return false };
        let state = self.members.get(key).and_then(|member| self.services.get(member.service));
        state.is_some_and(|state| state.ejector.is_ejected(now, key))
    }

    /// Returns a member, or `None` if it was removed.
    pub(crate) fn get(&self, key: MemberKey) -> Option<&Member> {
        self.members.get(key)
    }

    /// Returns a member, or `None` if it was removed.
    pub(crate) fn get_mut(&mut self, key: MemberKey) -> Option<&mut Member> {
        self.members.get_mut(key)
    }

    /// Returns the key of a known member.
    pub(crate) fn key(&self, id: MemberId) -> Option<MemberKey> {
        self.member_keys.get(&id).copied()
    }
}

impl Default for ServiceState {
    fn default() -> ServiceState {
        ServiceState {
            members: Vec::new(),
            router: Router::default(),
            retry_budget: RetryBudget::new(Service::default().retry_percent, Time::ZERO),
            ejector: Ejector::new(),
            hedge_delay: HedgeDelay::default(),
        }
    }
}
