//! The directory of members, as this node knows them. A member is a node with its local target.
//!
//! The store lists the members. While the store is unreachable the list stays unchanged, and the members' status
//! datagrams, or their absence, decide which members receive requests.

mod member;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::{
    fanout,
    keys::{MemberId, MemberKey},
    replica::Revisions,
    tally::Tally,
    time::Time,
};

use self::member::Registration;
pub(crate) use self::member::{Member, MemberRecord, RecordBatch};

/// The time without a status datagram from a member of the own data centre after which it receives requests only if no
/// other member can.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_000);

/// The part of the time without a status datagram after which another node takes a watcher's turn. If all watchers end at once,
/// a change must still be in force in time.
const OVERDUE_PART: f64 = 0.6;

/// The intervals without a status datagram after which a member of another data centre counts as silent.
const MISSED_INTERVALS: u32 = 3;

/// The most nodes of the own data centre that get the status in one round.
pub(crate) const SAME_CENTRE_FANOUT: usize = 128;

/// The most nodes of other data centres that get the status in one round.
pub(crate) const OTHER_CENTRE_FANOUT: usize = 48;

/// The lower bound of [`other_centre_interval`].
const INTERVAL_LOWER_BOUND: Duration = Duration::from_millis(600);

/// The upper bound of [`other_centre_interval`].
const INTERVAL_UPPER_BOUND: Duration = Duration::from_millis(2_500);

/// The maximum interval per member. Status datagrams of all members to all others grow with the square of the
/// deployment, and traffic between data centres is billed.
const MEMBER_INTERVAL: Duration = Duration::from_millis(40);

/// Returns the maximum interval of status datagrams to other data centres in a deployment of `members` members. A
/// change of the load may be sent earlier.
pub(crate) fn other_centre_interval(members: usize) -> Duration {
    let interval = MEMBER_INTERVAL.mul_f64(members as f64);
    interval.clamp(INTERVAL_LOWER_BOUND, INTERVAL_UPPER_BOUND)
}

/// The pause in which a member gets no requests after a connection to it failed.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(400);

/// All members, indexed by key, id and service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    /// The data centre of this node.
    centre: CompactString,
    /// The number of members in that data centre.
    same_centre_count: usize,
    members: SlotMap<MemberKey, Member>,
    ids: HashMap<MemberId, MemberKey>,
    services: HashMap<CompactString, Vec<MemberKey>>,
}

impl Directory {
    pub(crate) fn new(centre: CompactString) -> Directory {
        Directory { centre, ..Directory::default() }
    }

    /// Adds or updates a member that is known to run, and returns whether it is new. A new process at an address replaces
    /// the earlier one.
    pub(crate) fn upsert(&mut self, now: Time, record: MemberRecord) -> bool {
        if self.update(&record) {
            return false;
        }
        let earlier: Vec<MemberId> =
            self.members_at(record.address).map(|member| member.record.id).collect();
        for id in earlier {
            self.replace_process(id);
        }
        self.insert(now, record);
        true
    }

    /// Updates the record of a known member and returns whether it is known.
    fn update(&mut self, record: &MemberRecord) -> bool {
        let Some(&key) = self.ids.get(&record.id) else { return false };
        self.members[key].record = record.clone();
        true
    }

    /// Removes a member whose address another process has taken over. While the store still holds its record, the member
    /// stays without a load report, so that the record is removed too.
    fn replace_process(&mut self, id: MemberId) {
        let Some(member) = self.find_mut(id) else { return };
        if !member.is_recorded() {
            self.remove(id);
            return;
        }
        (member.load, member.last_heard) = (None, None);
        member.is_stopping = true;
    }

    /// Records that the store holds the record of a member.
    pub(crate) fn mark_recorded(&mut self, now: Time, id: MemberId) {
        if let Some(member) = self.find_mut(id).filter(|member| !member.is_recorded()) {
            member.registration = Registration::Recorded(now);
        }
    }

    /// Applies the record of a member that was written to the store.
    pub(crate) fn put(&mut self, now: Time, record: MemberRecord) {
        let id = record.id;
        self.upsert(now, record);
        self.mark_recorded(now, id);
    }

    /// Adds the record that the store holds of a process that has ended, so that the record is removed.
    pub(crate) fn put_ended(&mut self, now: Time, record: MemberRecord) {
        let id = record.id;
        if !self.update(&record) {
            self.insert(now, record);
        }
        if let Some(member) = self.find_mut(id) {
            member.is_stopping = true;
        }
        self.mark_recorded(now, id);
    }

    fn members_at(&self, address: SocketAddr) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| member.record.address == address)
    }

    fn insert(&mut self, now: Time, record: MemberRecord) {
        let (id, service) = (record.id, record.service.clone());
        let member = Member {
            record,
            load: None,
            sent: 0,
            in_flight: 0,
            last_heard: None,
            paused_until: None,
            registration: Registration::Missing(now),
            is_stopping: false,
            last_request: None,
            tally: Tally::default(),
            version: CompactString::default(),
            has_store: true,
            revisions: Revisions::default(),
            config_version: 0,
            pull_after: None,
        };
        self.same_centre_count += usize::from(member.record.centre == self.centre);
        let key = self.members.insert(member);
        self.ids.insert(id, key);
        self.services.entry(service).or_default().push(key);
    }

    /// Returns whether a member has sent no load report for longer than the limit, or has never sent one.
    pub(crate) fn is_silent(&self, now: Time, member: &Member) -> bool {
        let limit = self.silence_limit(&member.record.centre);
        member.last_heard.is_none_or(|heard| now.since(heard) > limit)
    }

    /// Returns whether a member has sent no load report for so long that another node takes its turn to watch the store.
    pub(crate) fn is_overdue(&self, now: Time, member: &Member) -> bool {
        let limit = self.silence_limit(&member.record.centre).mul_f64(OVERDUE_PART);
        member.last_heard.is_none_or(|heard| now.since(heard) > limit)
    }

    /// Returns the time without a load report after which a member counts as silent.
    fn silence_limit(&self, centre: &str) -> Duration {
        if self.centre == centre {
            return SILENCE_LIMIT * fanout::full_rounds(SAME_CENTRE_FANOUT, self.same_centre_count);
        }
        let rounds =
            fanout::full_rounds(OTHER_CENTRE_FANOUT, self.members.len() - self.same_centre_count);
        SILENCE_LIMIT.max(other_centre_interval(self.members.len()) * MISSED_INTERVALS * rounds)
    }

    /// Records the time of a request from another node.
    pub(crate) fn record_request(&mut self, now: Time, id: MemberId) {
        if let Some(member) = self.find_mut(id) {
            member.last_request = Some(now);
        }
    }

    /// Removes a member immediately.
    pub(crate) fn remove(&mut self, id: MemberId) -> Option<Member> {
        let key = self.ids.remove(&id)?;
        let member = self.members.remove(key)?;
        self.same_centre_count -= usize::from(member.record.centre == self.centre);
        if let Some(keys) = self.services.get_mut(&member.record.service) {
            keys.retain(|&other| other != key);
        }
        Some(member)
    }

    /// Records that the store does not hold the record of a member.
    pub(crate) fn mark_removed(&mut self, now: Time, id: MemberId) {
        if let Some(member) = self.find_mut(id).filter(|member| member.is_recorded()) {
            member.registration = Registration::Missing(now);
        }
    }

    /// Applies the store's list of members. Members that are not in the list are marked as removed.
    ///
    /// The list may hold the record of a process that has ended and lack that of the process which has taken its address
    /// since. So a record replaces no member that still speaks; it receives no requests until its process is heard.
    pub(crate) fn replace(&mut self, now: Time, records: Vec<MemberRecord>) {
        let listed: HashSet<MemberId> = records.iter().map(|record| record.id).collect();
        for record in records {
            let id = record.id;
            let is_address_in_use =
                self.members_at(record.address).any(|member| !self.is_silent(now, member));
            if !self.ids.contains_key(&id) && is_address_in_use {
                self.insert(now, record);
            } else {
                self.upsert(now, record);
            }
            self.mark_recorded(now, id);
        }
        self.mark_missing(now, &listed);
    }

    fn mark_missing(&mut self, now: Time, listed: &HashSet<MemberId>) {
        let missing: Vec<MemberId> =
            self.ids.keys().filter(|id| !listed.contains(id)).copied().collect();
        for id in missing {
            self.mark_removed(now, id);
        }
    }

    /// Removes and returns members that are silent and have no record in the store. A member that still sends load
    /// reports stays: the store may not hold its record yet, or the lease may have expired while it was unreachable.
    pub(crate) fn expire(&mut self, now: Time, local: MemberId) -> Vec<Member> {
        let is_expired = |member: &&Member| {
            member.record.id != local && !member.is_recorded() && self.is_silent(now, member)
        };
        let expired: Vec<MemberId> =
            self.members.values().filter(is_expired).map(|member| member.record.id).collect();
        expired.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Adds `time`, in which this node could not receive datagrams, to the last report times of all members.
    pub(crate) fn extend_last_heard(&mut self, time: Duration) {
        for member in self.members.values_mut() {
            member.last_heard = member.last_heard.map(|heard| heard + time);
        }
    }

    /// Pauses a member after a connection to it failed.
    pub(crate) fn pause(&mut self, now: Time, key: MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.paused_until = Some(now + UNREACHABLE_PAUSE);
        }
    }

    fn find_mut(&mut self, id: MemberId) -> Option<&mut Member> {
        let key = *self.ids.get(&id)?;
        self.members.get_mut(key)
    }

    pub(crate) fn key(&self, id: MemberId) -> Option<MemberKey> {
        self.ids.get(&id).copied()
    }

    pub(crate) fn get(&self, key: MemberKey) -> Option<&Member> {
        self.members.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: MemberKey) -> Option<&mut Member> {
        self.members.get_mut(key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (MemberKey, &Member)> {
        self.members.iter()
    }

    /// Iterates over the members of one service.
    pub(crate) fn members_of(&self, service: &str) -> impl Iterator<Item = (MemberKey, &Member)> {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|&key| Some((key, self.members.get(key)?)))
    }

    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns the number of members of the own data centre.
    pub(crate) fn centre_len(&self) -> usize {
        self.same_centre_count
    }
}

#[cfg(test)]
mod tests;
