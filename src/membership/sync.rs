//! Joins, which pull the table in chunks, and anti-entropy, which repairs lost updates.

use std::{collections::BTreeMap, net::SocketAddr, ops::RangeInclusive, time::Duration};

use compact_str::CompactString;
use rand::{Rng, seq::IndexedRandom};

use super::{
    MAX_MESSAGE_BYTES, Membership, Output, Receiver, TrafficClass, Via,
    message::{Body, Claim, Source, State, Update, encoded_bytes},
    table::{SLICES, slice_ids},
};
use crate::{keys::MemberId, time::Time};

/// The interval between chunks of a join. A chunk has about 1,200 bytes, so a join receives at most 12 KB/s, below
/// the 17 KB/s for control.
const CHUNK_PERIOD: Duration = Duration::from_millis(100);

/// The delay before a chunk is requested again. It doubles up to fourfold for contacts, which are few and may be
/// overloaded.
const CHUNK_RETRY: Duration = Duration::from_millis(500);

/// The time after which a joining member accepts chunks from members that are joining themselves. Without it, a
/// region whose members all start at once would never complete its joins.
const PARTIAL_PULL_DELAY: Duration = Duration::from_secs(5);

/// The limit on services in one pull. A node calls a few, and eight of the longest names take 520 bytes.
pub const MAX_PULL_SERVICES: usize = 8;

/// The interval between the anti-entropy exchanges that each member starts. The digests cost 85 bytes/s.
const EXCHANGE_PERIOD: Duration = Duration::from_secs(5);

/// The time to the next exchange after one that found a difference.
const REPAIR_PERIOD: Duration = Duration::from_millis(500);

/// The limit on claims in a listing: 14 bytes each fill 1,008 bytes of a datagram.
const MAX_LISTING_CLAIMS: usize = 72;

/// The limit on records requested by one exchange: ids take 10 bytes each, and the response holds about 13 records.
const MAX_WANTED_RECORDS: usize = 13;

/// The limit on claims of death in one exchange that are verified or applied.
const MAX_VERIFIED_DEATHS: usize = 2;

#[derive(Debug)]
struct Join {
    contacts: Vec<SocketAddr>,
    started: Time,
    /// The services to pull now; all if empty.
    services: Vec<CompactString>,
    first: MemberId,
    number: u32,
    attempts: u32,
    next: Time,
}

/// The state of joining and anti-entropy.
#[derive(Debug)]
pub(super) struct SyncState {
    join: Option<Join>,
    next_exchange: Time,
}

impl SyncState {
    pub(super) fn new(phase: Time) -> SyncState {
        SyncState { join: None, next_exchange: phase }
    }

    pub(super) fn is_synced(&self) -> bool {
        self.join.is_none()
    }
}

impl Membership {
    pub(super) fn start_join(
        &mut self,
        now: Time,
        contacts: Vec<SocketAddr>,
        out: &mut Vec<Output>,
    ) {
        if contacts.is_empty() {
            self.sync.join = None;
            out.push(Output::Synced);
            return;
        }
        let services =
            self.settings.wanted_services.iter().take(MAX_PULL_SERVICES).cloned().collect();
        self.sync.join = Some(Join {
            contacts,
            started: now,
            services,
            first: MemberId(0),
            number: self.rng.random(),
            attempts: 0,
            next: now,
        });
    }

    pub(super) fn tick_sync(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.sync.join.is_some() {
            self.pull(now, out);
        } else if now >= self.sync.next_exchange {
            self.sync.next_exchange = now + EXCHANGE_PERIOD;
            let peer = self.table.live().choose(&mut self.rng).copied();
            if let Some(to) = peer.and_then(|id| self.receiver(id)) {
                let digest = Body::Digest { slices: self.table.digest() };
                self.send(to, TrafficClass::Bulk, vec![], digest, out);
            }
        }
    }

    /// Requests the next chunk. Attempts alternate between live members and contacts, because contacts are few.
    fn pull(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(join) = self.sync.join.as_mut().filter(|join| now >= join.next) else { return };
        let prefers_contact = join.attempts % 2 == 1;
        let known = self.table.live().choose(&mut self.rng).filter(|_| !prefers_contact).copied();
        let contact = join.contacts.choose(&mut self.rng).copied();
        let backoff = if known.is_some() { 0 } else { join.attempts.min(2) };
        join.next = now + CHUNK_RETRY * (1 << backoff);
        join.attempts += 1;
        let body = Body::Pull {
            pull: join.number,
            first: join.first,
            services: join.services.clone(),
            accept_partial: now.since(join.started) >= PARTIAL_PULL_DELAY,
        };
        let to = known
            .and_then(|id| self.receiver(id))
            .or_else(|| contact.map(|address| Receiver { address, id: None }));
        if let Some(to) = to {
            let me = self.table.local().full_update();
            self.send(to, TrafficClass::Bulk, vec![me], body, out);
        }
    }

    pub(super) fn on_pull(
        &mut self,
        from: Source,
        pull: u32,
        first: MemberId,
        services: &[CompactString],
        accept_partial: bool,
        out: &mut Vec<Output>,
    ) {
        let is_synced = self.is_synced();
        if !is_synced && !accept_partial {
            let refusal = Body::Chunk { pull, is_synced, next: Some(first), records: vec![] };
            self.send(from.into(), TrafficClass::Bulk, vec![], refusal, out);
            return;
        }
        let empty = Body::Chunk { pull, is_synced, next: Some(first), records: vec![] };
        let mut room = self.room(&empty);
        let (mut records, mut next) = (vec![], None);
        let live = self.table.range(first..=MemberId(u64::MAX)).filter(|r| r.state.is_live());
        for record in live.filter(|r| services.is_empty() || services.contains(&r.member.service)) {
            let update = record.full_update();
            let bytes = encoded_bytes(&update);
            if bytes > room {
                next = Some(record.member.id);
                break;
            }
            room -= bytes;
            records.push(update);
        }
        if records.is_empty() && next.is_some() {
            self.counters.throttled += 1;
            return;
        }
        let chunk = Body::Chunk { pull, is_synced, next, records };
        self.send(from.into(), TrafficClass::Bulk, vec![], chunk, out);
    }

    pub(super) fn on_chunk(
        &mut self,
        now: Time,
        pull: u32,
        is_synced: bool,
        next: Option<MemberId>,
        out: &mut Vec<Output>,
    ) {
        let Some(join) = self.sync.join.as_mut().filter(|join| join.number == pull) else { return };
        join.number = join.number.wrapping_add(1);
        join.next = now + CHUNK_PERIOD;
        if !is_synced && now.since(join.started) < PARTIAL_PULL_DELAY {
            return;
        }
        join.attempts = 0;
        match next {
            Some(next) => join.first = next.max(join.first),
            None if !join.services.is_empty() => {
                join.services.clear();
                join.first = MemberId(0);
            }
            None => {
                self.sync.join = None;
                out.push(Output::Synced);
            }
        }
    }

    pub(super) fn on_identify(&mut self, from: Source, out: &mut Vec<Output>) {
        if !self.is_leaving {
            let records = vec![self.table.local().full_update()];
            self.send_records(from, records, vec![], out);
        }
    }

    fn send_records(
        &mut self,
        to: Source,
        records: Vec<Update>,
        wanted: Vec<MemberId>,
        out: &mut Vec<Output>,
    ) {
        self.send(to.into(), TrafficClass::Bulk, vec![], Body::Records { records, wanted }, out);
    }

    /// Responds with the claims from the start of a random slice in which the tables differ.
    pub(super) fn on_digest(&mut self, from: Source, slices: &[u32], out: &mut Vec<Output>) {
        if slices.len() != SLICES {
            self.counters.invalid += 1;
            return;
        }
        let own = self.table.digest();
        let differing: Vec<usize> = (0..SLICES).filter(|i| own[*i] != slices[*i]).collect();
        let Some(slice) = differing.choose(&mut self.rng) else { return };
        let ids = slice_ids(*slice);
        // If a slice has more claims than fit, the listing starts at a random position in it. If it has fewer, the next
        // slices follow, so that small regions are repaired in few exchanges.
        let count = self.table.range(ids.clone()).count();
        let skip = self.rng.random_range(0..=count.saturating_sub(MAX_LISTING_CLAIMS));
        let start = *ids.start();
        let mut claims: Vec<Claim> = self
            .table
            .range(start..=MemberId(u64::MAX))
            .skip(skip)
            .take(MAX_LISTING_CLAIMS + 1)
            .map(|r| r.claim())
            .collect();
        let is_truncated = claims.len() > MAX_LISTING_CLAIMS;
        claims.truncate(MAX_LISTING_CLAIMS);
        let first = claims.first().filter(|_| skip > 0).map_or(start, |c| c.id);
        let last = claims.last().filter(|_| is_truncated).map_or(MemberId(u64::MAX), |c| c.id);
        self.send(
            from.into(),
            TrafficClass::Bulk,
            vec![],
            Body::Listing { first, last, claims },
            out,
        );
    }

    /// Compares a listing with the table: applies claims, requests records and sends those that the other side lacks.
    pub(super) fn on_listing(
        &mut self,
        now: Time,
        from: Source,
        ids: RangeInclusive<MemberId>,
        claims: &[Claim],
        out: &mut Vec<Output>,
    ) {
        self.sync.next_exchange = self.sync.next_exchange.min(now + REPAIR_PERIOD);
        let (mut wanted, mut verified) = (vec![], 0);
        for claim in claims {
            if claim.id == self.id {
                self.refute(*claim);
                continue;
            }
            let held = self.table.get(claim.id);
            let is_outdated = held.is_none_or(|held| held.member.revised < claim.revised);
            if claim.state.is_live() && is_outdated {
                if wanted.len() < MAX_WANTED_RECORDS {
                    wanted.push(claim.id);
                }
            } else if held.is_some_and(|held| claim.supersedes(&held.claim())) {
                verified += usize::from(claim.state == State::Dead);
                if claim.state == State::Left || verified <= MAX_VERIFIED_DEATHS {
                    self.apply(now, Update::Claim(*claim), Via::Exchange, out);
                }
            }
        }
        let theirs: BTreeMap<MemberId, Claim> = claims.iter().map(|c| (c.id, *c)).collect();
        let empty = Body::Records { records: vec![], wanted: wanted.clone() };
        let mut room = self.room(&empty);
        let mut records = vec![];
        for record in self.table.range(ids) {
            let claim = record.claim();
            let update = match theirs.get(&claim.id) {
                None if claim.state.is_live() => record.full_update(),
                // If they lack the record as well, they request it.
                Some(theirs) if claim.supersedes(theirs) => Update::Claim(claim),
                _ => continue,
            };
            let bytes = encoded_bytes(&update);
            if bytes > room {
                break;
            }
            room -= bytes;
            records.push(update);
        }
        if !records.is_empty() || !wanted.is_empty() {
            self.send_records(from, records, wanted, out);
        }
    }

    pub(super) fn on_records(
        &mut self,
        now: Time,
        from: Source,
        records: Vec<Update>,
        wanted: &[MemberId],
        out: &mut Vec<Output>,
    ) {
        let mut verified = 0;
        for update in records {
            verified += usize::from(update.claim().state == State::Dead);
            if verified <= MAX_VERIFIED_DEATHS || update.claim().state != State::Dead {
                // A record of the sender itself is a response to `Identify`, and has to be spread.
                let via = if update.claim().id == from.id { Via::Gossip } else { Via::Exchange };
                self.apply(now, update, via, out);
            }
        }
        let mut room = self.room(&Body::Records { records: vec![], wanted: vec![] });
        let mut records = vec![];
        for record in wanted.iter().take(MAX_WANTED_RECORDS).filter_map(|id| self.table.get(*id)) {
            let update = record.full_update();
            let bytes = encoded_bytes(&update);
            if bytes > room {
                break;
            }
            room -= bytes;
            records.push(update);
        }
        if !records.is_empty() {
            self.send_records(from, records, vec![], out);
        }
    }
}

/// Ensures that any record fits a message: four names, three addresses of up to 20 bytes, and 20 bytes of other fields.
const _: () = assert!(
    4 * (super::MAX_NAME_BYTES + 1) + 3 * 20 + 20 < MAX_MESSAGE_BYTES - super::MAX_PAYLOAD_BYTES
);
