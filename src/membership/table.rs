//! The table of known members and tombstones, with the queue of updates to spread.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    ops::{Bound, RangeInclusive},
    time::Duration,
};

use rand::{Rng, rngs::SmallRng, seq::IndexedRandom};

use super::message::{Claim, Member, State, Update, encoded_bytes};
use crate::{keys::MemberId, time::Time};

/// The largest number of records, tombstones included.
///
/// A region has 2,667 members on average (24,000 in 9 regions); three times that covers an uneven spread and the
/// tombstones of a failed data centre.
pub const MAX_TABLE_RECORDS: usize = 8_192;

/// The time for which the record of a dead or left member is kept. Partitions last for minutes; one that lasts longer
/// than this heals only through the contacts.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(1_800);

/// The sends of one update by each member, multiplied by the number of digits of the group size plus one.
///
/// Each send reaches a random member, so with s sends by each, n e^(-0.95 s) of n members miss the update at 5% loss:
/// less than 0.001 with 12 sends among 30 members or 20 among 2,667. With eight among 30 it was 0.015, and a member
/// that missed a suspicion learned of the failure only when it was declared, because exchanges don't carry suspicions.
const SENDS_PER_DIGIT: u32 = 4;

/// The fewest sends of one update by each member, whatever the backlog. With four random receivers each, about 2% of
/// members miss the update and get it by anti-entropy.
const MIN_SENDS: u32 = 4;

/// The number of queued updates beyond which each is sent less often; five full datagrams hold as many records. The
/// 889 records of a restarted data centre take 889 x 85 B x 4 sends / 6 KB/s = 50 s instead of 200 s.
const BACKLOG_STEP: usize = 64;

/// The number of slices of the id space in a digest: 64 hashes of at most 5 bytes take 320 bytes of a datagram.
pub(super) const SLICES: usize = 64;

const SLICE_SHIFT: u32 = 58;

/// Marks a record that is not queued for spreading.
const NOT_QUEUED: u8 = u8::MAX;

#[derive(Debug)]
pub(super) struct Record {
    pub(super) member: Member,
    pub(super) state: State,
    /// The time at which the state was entered.
    pub(super) since: Time,
    /// The highest [`Member::revised`] received; the record is outdated if its own is lower.
    latest_revised: u32,
    /// The position in `Table::live`, if the record is there.
    live_index: u32,
    /// The number of times the update was sent, or [`NOT_QUEUED`].
    sends: u8,
}

impl Record {
    pub(super) fn claim(&self) -> Claim {
        Claim {
            id: self.member.id,
            incarnation: self.member.incarnation,
            revised: self.latest_revised,
            state: self.state,
        }
    }

    pub(super) fn is_outdated(&self) -> bool {
        self.member.revised < self.latest_revised
    }

    /// Returns the record if the member is live and its record up to date, otherwise a claim.
    pub(super) fn full_update(&self) -> Update {
        match self.state {
            _ if self.is_outdated() => Update::Claim(self.claim()),
            State::Alive => Update::Record { member: self.member.clone(), is_suspect: false },
            State::Suspect => Update::Record { member: self.member.clone(), is_suspect: true },
            State::Dead | State::Left => Update::Claim(self.claim()),
        }
    }

    /// Returns the record if the record changed, otherwise a claim, which takes a sixth of the bytes. After a partition
    /// each member refutes its death, and full records would take minutes to spread within the budget.
    fn short_update(&self) -> Update {
        let is_new = self.member.incarnation == self.member.revised;
        if self.state == State::Alive && is_new {
            self.full_update()
        } else {
            Update::Claim(self.claim())
        }
    }
}

/// The records of all members. This node's own record is among them, but never in `live`.
#[derive(Debug)]
pub(super) struct Table {
    local_id: MemberId,
    records: BTreeMap<MemberId, Record>,
    live: Vec<MemberId>,
    /// The live member at each gossip address.
    addresses: HashMap<SocketAddr, MemberId>,
    queue: VecDeque<MemberId>,
}

impl Table {
    pub(super) fn new(local: Member) -> Table {
        let id = local.id;
        let record = Record {
            latest_revised: local.revised,
            member: local,
            state: State::Alive,
            since: Time::ZERO,
            live_index: 0,
            sends: NOT_QUEUED,
        };
        let records = BTreeMap::from([(id, record)]);
        Table {
            local_id: id,
            records,
            live: vec![],
            addresses: HashMap::new(),
            queue: VecDeque::new(),
        }
    }

    pub(super) fn get(&self, id: MemberId) -> Option<&Record> {
        self.records.get(&id)
    }

    pub(super) fn local(&self) -> &Record {
        &self.records[&self.local_id]
    }

    /// Raises this node's incarnation above `floor` and queues the update.
    pub(super) fn raise_incarnation(&mut self, floor: u32) {
        let member = &mut self.local_mut().member;
        member.incarnation = member.incarnation.max(floor).saturating_add(1);
        self.enqueue(self.local_id);
    }

    /// Changes this node's record under the next incarnation, and queues the update.
    pub(super) fn update_local(&mut self, change: impl FnOnce(&mut Member)) {
        let record = self.local_mut();
        let (id, incarnation) = (record.member.id, record.member.incarnation.saturating_add(1));
        change(&mut record.member);
        (record.member.id, record.member.incarnation) = (id, incarnation);
        (record.member.revised, record.latest_revised) = (incarnation, incarnation);
        self.enqueue(self.local_id);
    }

    /// Marks this node as left and queues the update.
    pub(super) fn mark_local_left(&mut self) {
        self.local_mut().state = State::Left;
        self.enqueue(self.local_id);
    }

    fn local_mut(&mut self) -> &mut Record {
        self.records.get_mut(&self.local_id).expect("the own record is never removed")
    }

    /// Returns the live members other than this node.
    pub(super) fn live(&self) -> &[MemberId] {
        &self.live
    }

    /// Returns the number of live members including this node.
    pub(super) fn live_count(&self) -> usize {
        self.live.len() + 1
    }

    /// Returns the records with the given ids, in the order of their ids.
    pub(super) fn range(&self, ids: RangeInclusive<MemberId>) -> impl Iterator<Item = &Record> {
        // `BTreeMap::range` panics on an inverted range, which a peer could send.
        let ids = if ids.start() > ids.end() { MemberId(0)..=MemberId(0) } else { ids };
        self.records.range(ids).map(|(_, record)| record)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    pub(super) fn live_at(&self, address: SocketAddr) -> Option<MemberId> {
        self.addresses.get(&address).copied()
    }

    /// Makes room for one more record, if needed by eviction of the oldest tombstone. Returns whether there is room.
    pub(super) fn make_room(&mut self) -> bool {
        if self.records.len() < MAX_TABLE_RECORDS {
            return true;
        }
        let oldest = self
            .iter()
            .filter(|r| !r.state.is_live() && r.member.id != self.local_id)
            .min_by_key(|r| r.since)
            .map(|r| r.member.id);
        oldest.is_some_and(|id| self.remove(id))
    }

    /// Stores the record of a live member.
    pub(super) fn upsert_live(&mut self, now: Time, member: Member, state: State) {
        let id = member.id;
        self.unlink(id);
        let sends = self.records.get(&id).map_or(NOT_QUEUED, |r| r.sends);
        let live_index = u32::try_from(self.live.len()).expect("the table is bounded");
        self.live.push(id);
        self.addresses.insert(member.gossip, id);
        let latest_revised =
            self.records.get(&id).map_or(0, |r| r.latest_revised).max(member.revised);
        self.records
            .insert(id, Record { member, state, since: now, latest_revised, live_index, sends });
    }

    /// Changes the state and the incarnation of a known member.
    pub(super) fn apply_claim(&mut self, now: Time, claim: Claim) {
        let Some(record) = self.records.get_mut(&claim.id) else { return };
        let was_live = record.state.is_live();
        (record.state, record.since) = (claim.state, now);
        record.member.incarnation = claim.incarnation;
        record.latest_revised = record.latest_revised.max(claim.revised);
        if was_live && !claim.state.is_live() {
            self.unlink(claim.id);
        } else if !was_live && claim.state.is_live() {
            let member = record.member.clone();
            self.upsert_live(now, member, claim.state);
        }
    }

    /// Removes a member from the list of live members and from the addresses.
    fn unlink(&mut self, id: MemberId) {
        let Some(record) = self.records.get(&id) else { return };
        if self.addresses.get(&record.member.gossip) == Some(&id) {
            self.addresses.remove(&record.member.gossip);
        }
        let live_index = record.live_index as usize;
        if self.live.get(live_index) != Some(&id) {
            return;
        }
        self.live.swap_remove(live_index);
        if let Some(moved) = self.live.get(live_index).and_then(|id| self.records.get_mut(id)) {
            moved.live_index = u32::try_from(live_index).expect("the table is bounded");
        }
    }

    fn remove(&mut self, id: MemberId) -> bool {
        self.unlink(id);
        self.queue.retain(|queued| *queued != id);
        self.records.remove(&id).is_some()
    }

    /// Removes the tombstones that have expired.
    pub(super) fn sweep(&mut self, now: Time) {
        let expired: Vec<MemberId> = self
            .iter()
            .filter(|r| !r.state.is_live() && r.member.id != self.local_id)
            .filter(|r| now.since(r.since) >= TOMBSTONE_RETENTION)
            .map(|r| r.member.id)
            .collect();
        for id in expired {
            self.remove(id);
        }
    }

    /// Queues the current state of a member for spreading.
    pub(super) fn enqueue(&mut self, id: MemberId) {
        let Some(record) = self.records.get_mut(&id) else { return };
        if record.sends == NOT_QUEUED {
            self.queue.push_front(id);
        }
        record.sends = 0;
    }

    pub(super) fn is_queued(&self, id: MemberId) -> bool {
        self.records.get(&id).is_some_and(|r| r.sends != NOT_QUEUED)
    }

    pub(super) fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Takes queued updates up to `room` bytes and returns their size. Each is sent a number of times that grows with
    /// the logarithm of the group size, which reaches all members with high probability.
    pub(super) fn take_updates(&mut self, room: usize, updates: &mut Vec<Update>) -> usize {
        let backlog = u32::try_from(self.queue.len().div_ceil(BACKLOG_STEP)).unwrap_or(u32::MAX);
        let limit = (SENDS_PER_DIGIT * (decimal_digits(self.live_count()) + 1) / backlog.max(1))
            .max(MIN_SENDS);
        let mut used = 0;
        for _ in 0..self.queue.len() {
            let Some(id) = self.queue.pop_front() else { break };
            let Some(record) = self.records.get_mut(&id) else { continue };
            let update = record.short_update();
            let size = encoded_bytes(&update);
            if size > room - used {
                self.queue.push_front(id);
                break;
            }
            used += size;
            updates.push(update);
            record.sends += 1;
            if u32::from(record.sends) < limit {
                self.queue.push_back(id);
            } else {
                record.sends = NOT_QUEUED;
            }
        }
        used
    }

    /// Chooses up to `count` distinct live members other than `except`.
    pub(super) fn choose_live(
        &self,
        rng: &mut SmallRng,
        count: usize,
        except: MemberId,
    ) -> Vec<MemberId> {
        let mut chosen: Vec<MemberId> =
            self.live.choose_multiple(rng, count + 1).copied().filter(|id| *id != except).collect();
        chosen.truncate(count);
        chosen
    }

    /// Chooses a random dead member. Left members are not chosen, because their state is final.
    pub(super) fn choose_dead(&self, rng: &mut SmallRng) -> Option<MemberId> {
        // A replaced member's address belongs to a live member, which responds in its place.
        let dead =
            |r: &&Record| r.state == State::Dead && !self.addresses.contains_key(&r.member.gossip);
        let count = self.iter().filter(dead).count();
        (count > 0)
            .then(|| rng.random_range(0..count))
            .and_then(|n| self.iter().filter(dead).nth(n))
            .map(|r| r.member.id)
    }

    /// Returns the members that are not suspected, in the order of their ids from this node's id onwards.
    pub(super) fn successors(&self) -> impl Iterator<Item = MemberId> {
        let above = self.records.range((Bound::Excluded(self.local_id), Bound::Unbounded));
        let below = self.records.range(..self.local_id);
        above.chain(below).filter(|(_, r)| r.state == State::Alive).map(|(id, _)| *id)
    }

    /// Hashes the live members in each slice of the id space. Suspicions are left out because they are short-lived, and
    /// tombstones because they expire at different times.
    pub(super) fn digest(&self) -> Vec<u32> {
        let mut slices = vec![0; SLICES];
        for record in self.iter().filter(|r| r.state.is_live()) {
            let id = record.member.id.0;
            slices[(id >> SLICE_SHIFT) as usize] ^=
                mix(id, record.member.incarnation, record.member.revised);
        }
        slices
    }

    /// Estimates the memory in bytes: records with their texts, lists and indices.
    pub(super) fn state_bytes(&self) -> usize {
        // Nodes of a B-tree are two thirds full on average; a hash map has 8 slots for 7 entries, and one control
        // byte for each.
        let record = size_of::<(MemberId, Record)>() * 3 / 2;
        let text = |r: &Record| {
            let m = &r.member;
            [&m.service, &m.version, &m.centre, &m.region]
                .iter()
                .map(|s| if s.is_heap_allocated() { s.capacity() } else { 0 })
                .sum::<usize>()
        };
        self.iter().map(|r| record + text(r)).sum::<usize>()
            + (self.live.capacity() + self.queue.capacity()) * size_of::<MemberId>()
            + self.addresses.capacity() * 8 / 7 * (size_of::<(SocketAddr, MemberId)>() + 1)
    }
}

/// Returns the ids in slice `index` of a digest.
pub(super) fn slice_ids(index: usize) -> RangeInclusive<MemberId> {
    let first = (index as u64) << SLICE_SHIFT;
    MemberId(first)..=MemberId(first | ((1 << SLICE_SHIFT) - 1))
}

/// Returns the number of decimal digits of `group`, at least 1.
pub(super) fn decimal_digits(group: usize) -> u32 {
    group.max(1).ilog10() + 1
}

/// Applies the finaliser of SplitMix64 to the id and the incarnations.
fn mix(id: u64, incarnation: u32, revised: u32) -> u32 {
    let versions = u64::from(incarnation) << 32 | u64::from(revised);
    let mut z = id ^ versions.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (z ^ (z >> 31)) as u32
}
