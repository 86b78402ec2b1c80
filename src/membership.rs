//! SWIM membership of one region: failure detection and dissemination, without I/O or a clock.
//!
//! Section 5.1 of `docs/design.md` gives the requirements. The driver passes in verified messages and the time,
//! and executes the [`Output`]s. All traffic is bounded by a token bucket, see [`GOSSIP_BYTES_PER_S`].

mod budget;
mod cross_region;
mod measure;
mod merge;
mod message;
mod output;
mod probe;
mod send;
mod sync;
mod table;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use compact_str::CompactString;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{keys::MemberId, time::Time};

pub use budget::{CONTROL_BYTES_PER_S, GOSSIP_BYTES_PER_S};
pub use cross_region::{CROSS_REGION_BYTES_PER_S, Contact, CrossRegion};
pub(crate) use measure::sample_member;
pub use measure::{JoinCost, MembershipCost, measure, measure_join};
pub use message::{
    Body, Claim, InvalidMember, MAX_DATAGRAM_BYTES, MAX_ENVELOPE_BYTES, MAX_MESSAGE_BYTES,
    MAX_NAME_BYTES, MAX_PAYLOAD_BYTES, Member, Message, Source, State, Update,
};
pub use output::{Counters, LossReason, Output};
pub use probe::PROBE_PERIOD;
pub use sync::MAX_PULL_SERVICES;
pub use table::{MAX_TABLE_RECORDS, TOMBSTONE_RETENTION};

use budget::{ByteBudget, UDP_HEADER_BYTES};
pub(crate) use message::encoded_bytes;
use probe::ProbeState;
use send::{Receiver, TrafficClass};
use sync::SyncState;
use table::Table;

/// The interval at which the driver calls [`Membership::tick`].
pub const TICK: Duration = Duration::from_millis(100);

/// A gap between ticks that means that the process was paused. It read no answers in that time, so deadlines that
/// passed meanwhile are no evidence of a failure.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// The interval between rounds that spread queued updates. With [`SPREAD_FANOUT`] an update reaches 2,667
/// members in about log4(2,667) = 6 rounds, or 1.2 s.
const SPREAD_PERIOD: Duration = Duration::from_millis(200);

/// The number of members to which each round sends updates.
const SPREAD_FANOUT: usize = 3;

/// The number of members that a leaving member notifies at once, so that the loss of some datagrams does not hide its
/// stop.
const LEAVE_FANOUT: usize = 8;

/// The part of the budget that queued updates leave to joins and anti-entropy: one full datagram with its headers.
const SYNC_RESERVE_BYTES: usize = MAX_DATAGRAM_BYTES + UDP_HEADER_BYTES;

/// The interval at which expired tombstones are removed and a full table is reported.
const SWEEP_PERIOD: Duration = Duration::from_secs(10);

/// The settings of [`Membership`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// The services whose members a join pulls first; at most [`MAX_PULL_SERVICES`] are used.
    pub wanted_services: Vec<CompactString>,
    /// The limit on sent bytes per second.
    pub bytes_per_s: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { wanted_services: vec![], bytes_per_s: GOSSIP_BYTES_PER_S }
    }
}

/// How an update arrived.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
enum Via {
    /// Gossip about a recent change, which is spread further.
    Gossip,
    /// A join or an anti-entropy exchange, whose content most members hold already.
    Exchange,
}

/// One node's view of its region.
#[derive(Debug)]
pub struct Membership {
    id: MemberId,
    settings: Settings,
    table: Table,
    /// The times at which suspected members are declared dead.
    suspects: BTreeMap<MemberId, Time>,
    probing: ProbeState,
    sync: SyncState,
    budget: ByteBudget,
    /// The part of the budget that messages to other regions may use.
    cross_region_budget: ByteBudget,
    rng: SmallRng,
    revision: u64,
    payload: Vec<u8>,
    is_leaving: bool,
    last_tick: Time,
    next_spread: Time,
    next_sweep: Time,
    reported_refusals: u64,
    counters: Counters,
}

impl Membership {
    /// Creates the membership of a region that consists of `local` alone. Other members accept only a record that
    /// passes [`Member::validate`].
    pub fn new(local: Member, settings: Settings, seed: u64) -> Membership {
        let mut rng = SmallRng::seed_from_u64(seed);
        // A random phase keeps nodes that started together from sending in step.
        let phase = Time::ZERO + PROBE_PERIOD.mul_f64(rng.random_range(0.0..1.0));
        Membership {
            id: local.id,
            budget: ByteBudget::new(settings.bytes_per_s),
            cross_region_budget: ByteBudget::new(
                settings.bytes_per_s.min(CROSS_REGION_BYTES_PER_S),
            ),
            probing: ProbeState::new(phase, rng.random()),
            sync: SyncState::new(phase),
            table: Table::new(local),
            settings,
            suspects: BTreeMap::new(),
            rng,
            revision: 0,
            payload: vec![],
            is_leaving: false,
            last_tick: Time::ZERO,
            next_spread: phase,
            next_sweep: Time::ZERO,
            reported_refusals: 0,
            counters: Counters::default(),
        }
    }

    /// Returns this node's record.
    pub fn local(&self) -> &Member {
        &self.table.local().member
    }

    /// Returns the record and state of a member, tombstones included.
    pub fn member(&self, id: MemberId) -> Option<(&Member, State)> {
        self.table.get(id).map(|r| (&r.member, r.state))
    }

    /// Returns all members including this node and tombstones, in the order of their ids.
    pub fn members(&self) -> impl Iterator<Item = (&Member, State)> {
        self.table.iter().map(|r| (&r.member, r.state))
    }

    /// Returns the number of live members including this node.
    pub fn live_count(&self) -> usize {
        self.table.live_count()
    }

    /// Returns whether the table is complete, so that this node may serve joins.
    pub fn is_synced(&self) -> bool {
        self.sync.is_synced()
    }

    /// Returns whether the planned leave has been announced often enough that the process may stop.
    pub fn has_left(&self) -> bool {
        self.is_leaving && !self.table.is_queued(self.id)
    }

    /// Returns the events counted since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Estimates the memory of the table in bytes.
    pub fn state_bytes(&self) -> usize {
        self.table.state_bytes() + self.probing.state_bytes()
    }

    /// Changes this node's record under the next incarnation. Changes to its id and incarnations are ignored.
    pub fn update_local(&mut self, change: impl FnOnce(&mut Member)) {
        self.table.update_local(change);
    }

    /// Sets the configuration revision that each message carries.
    pub fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Sets the payload that each message carries, and returns whether it fits [`MAX_PAYLOAD_BYTES`]. The previous
    /// payload stays if the new one does not fit.
    pub fn set_payload(&mut self, payload: Vec<u8>) -> bool {
        let fits = payload.len() <= MAX_PAYLOAD_BYTES;
        if fits {
            self.payload = payload;
        }
        fits
    }

    /// Adds a member without spreading the update, for measurements of regions whose members know each other.
    pub(crate) fn insert_without_gossip(&mut self, member: Member) {
        if member.id != self.id {
            self.admit(Time::ZERO, member, State::Alive, &mut vec![]);
        }
    }

    /// Starts to pull the table from the members at `contacts` and to announce this node. Without contacts, the node
    /// is the first of its region.
    pub fn join(&mut self, now: Time, contacts: Vec<SocketAddr>, out: &mut Vec<Output>) {
        let own = self.local().gossip;
        let contacts = contacts.into_iter().filter(|c| *c != own).collect();
        self.table.enqueue(self.id);
        self.start_join(now, contacts, out);
    }

    /// Announces a planned leave. The node answers probes until the process stops, but refutes no more claims.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.is_leaving {
            return;
        }
        self.is_leaving = true;
        self.budget.refill(now);
        self.table.mark_local_left();
        self.spread(LEAVE_FANOUT, out);
    }

    /// Processes a message whose origin has been verified.
    pub fn handle(&mut self, now: Time, from: Source, message: Message, out: &mut Vec<Output>) {
        if from.id == self.id {
            return;
        }
        self.budget.refill(now);
        let Message { revision, payload, updates, body } = message;
        for update in updates {
            self.apply(now, update, Via::Gossip, out);
        }
        let is_ping = matches!(body, Body::Ping { .. });
        match body {
            Body::Ping { probe, target } => self.on_ping(from, probe, target, out),
            Body::PingRequest { probe, target, address } => {
                self.on_ping_request(now, from, probe, Receiver { address, id: Some(target) }, out);
            }
            Body::Ack { probe, subject } => self.on_ack(now, from, probe, subject, out),
            // Messages between regions don't concern this table; see `crate::remote`.
            Body::Gossip | Body::CrossRegion(_) => {}
            Body::Identify => self.on_identify(from, out),
            Body::Pull { pull, first, services, accept_partial } => {
                self.on_pull(from, pull, first, &services, accept_partial, out);
            }
            Body::Chunk { pull, is_synced, next, records } => {
                for record in records {
                    self.apply(now, record, Via::Exchange, out);
                }
                self.on_chunk(now, pull, is_synced, next, out);
            }
            Body::Digest { slices } => self.on_digest(from, &slices, out),
            Body::Listing { first, last, claims } => {
                self.on_listing(now, from, first..=last, &claims, out);
            }
            Body::Records { records, wanted } => self.on_records(now, from, records, &wanted, out),
        }

        match self.table.get(from.id).map(|r| r.state) {
            Some(State::Alive | State::Suspect) => {
                if revision > self.revision {
                    out.push(Output::Revision { from: from.id, revision });
                }
                if !payload.is_empty() && payload.len() <= MAX_PAYLOAD_BYTES {
                    out.push(Output::Payload { from: from.id, payload });
                }
            }
            // The ack has carried the claim of death to the sender, which can refute it.
            Some(State::Dead) if is_ping => {}
            Some(State::Dead) | None => {
                self.send(from.into(), TrafficClass::Bulk, vec![], Body::Identify, out);
            }
            Some(State::Left) => {}
        }
    }

    /// Runs all periodic work that is due. The driver calls it every [`TICK`].
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.budget.refill(now);
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap >= PAUSE_THRESHOLD {
            self.counters.pauses += 1;
            self.probing.clear_outstanding();
            for deadline in self.suspects.values_mut() {
                *deadline += gap;
            }
        }
        if !self.is_leaving {
            self.tick_probes(now, out);
            self.tick_suspects(now, out);
            self.tick_sync(now, out);
        }
        if now >= self.next_spread {
            self.next_spread = now + SPREAD_PERIOD;
            self.spread(SPREAD_FANOUT, out);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_PERIOD;
            self.table.sweep(now);
            let refused = self.counters.refused - self.reported_refusals;
            if refused > 0 {
                self.reported_refusals = self.counters.refused;
                out.push(Output::TableFull { refused });
            }
        }
    }
}

#[cfg(test)]
mod tests;
