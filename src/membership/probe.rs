//! Failure detection: direct and indirect probes, suspicion, and probes of dead members.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng, seq::SliceRandom};

use super::{
    LossReason, Membership, Output, Receiver, TrafficClass, Via,
    message::{Body, Claim, Source, State, Update},
};
use crate::{keys::MemberId, time::Time};

/// The interval between probes, which go alternately to the member with the next higher id and to a random one.
///
/// With random probes alone, the number of probes that a crashed member receives varies widely: of 400 simulated
/// crashes among 30 members, 8 were first suspected after 4.6 s or more. The predecessor by id probes each member
/// every second, and the random probes cover the case that the predecessor has crashed too.
pub const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// The time within which a probe, direct or indirect, must succeed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The time after which other members are requested to probe. Members of a region are 1 ms apart, so an answer that
/// takes longer means a lost datagram or a stalled process.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The number of members requested to probe indirectly.
const INDIRECT_PROBES: usize = 3;

/// The time that a suspected member has for a refutation, multiplied by the decimal logarithm of the group size:
/// 5.1 s for 2,667 members. Spreading the suspicion and the refutation takes about 1.5 s each.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The interval between probes of random dead members. Each member of a healed partition probes the other side
/// within this time, which costs 26 bytes/s.
const DEAD_PROBE_PERIOD: Duration = Duration::from_secs(5);

/// The limit on outstanding probes: two a second, and those that verify claims of an exchange.
const MAX_PROBES: usize = 16;

/// The limit on outstanding pings on behalf of others. If as many members as there are in the region fail to answer,
/// a member receives six requests a second, so this covers ten times that rate.
const MAX_RELAYS: usize = 64;

#[derive(Debug)]
struct Probe {
    number: u32,
    target: MemberId,
    sent: Time,
    is_indirect: bool,
}

#[derive(Debug)]
struct Relay {
    number: u32,
    target: MemberId,
    origin: Source,
    origin_number: u32,
    sent: Time,
}

/// The state of failure detection.
#[derive(Debug)]
pub(super) struct ProbeState {
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    /// The members that remain to be probed in this round, in random order.
    order: Vec<MemberId>,
    next_probe: Time,
    /// Whether the next probe goes to the successor.
    is_successor_due: bool,
    next_dead: Time,
    number: u32,
}

impl ProbeState {
    pub(super) fn new(phase: Time, number: u32) -> ProbeState {
        ProbeState {
            probes: vec![],
            relays: vec![],
            order: vec![],
            next_probe: phase,
            is_successor_due: true,
            next_dead: phase,
            number,
        }
    }

    /// Discards outstanding probes without a result.
    pub(super) fn clear_outstanding(&mut self) {
        self.probes.clear();
        self.relays.clear();
    }

    /// Inserts a member at a random position of this round.
    pub(super) fn add(&mut self, id: MemberId, rng: &mut SmallRng) {
        let position = rng.random_range(0..=self.order.len());
        self.order.insert(position, id);
    }

    pub(super) fn state_bytes(&self) -> usize {
        self.order.capacity() * size_of::<MemberId>()
    }

    fn next_number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }
}

/// Returns the time after which a suspected member is declared dead.
pub(super) fn suspicion_timeout(group: usize) -> Duration {
    SUSPICION_TIMEOUT.mul_f64((group as f64).log10().max(1.0))
}

impl Membership {
    pub(super) fn tick_probes(&mut self, now: Time, out: &mut Vec<Output>) {
        self.probing.relays.retain(|r| now.since(r.sent) < PROBE_TIMEOUT);
        for probe in std::mem::take(&mut self.probing.probes) {
            self.check_probe(now, probe, out);
        }
        if now >= self.probing.next_probe {
            self.probing.next_probe = now + PROBE_PERIOD;
            let is_successor = self.probing.is_successor_due;
            self.probing.is_successor_due = !is_successor;
            let target = if is_successor { self.next_successor() } else { self.next_target() };
            if let Some(id) = target {
                self.probe(now, id, vec![], out);
            }
        }
        if now >= self.probing.next_dead {
            self.probing.next_dead = now + DEAD_PROBE_PERIOD;
            if let Some(id) = self.table.choose_dead(&mut self.rng)
                && let Some(to) = self.receiver(id)
            {
                let ping = Body::Ping { probe: self.probing.next_number(), target: id };
                self.send(to, TrafficClass::Probe, vec![], ping, out);
            }
        }
    }

    /// Declares dead the suspected members that sent no refutation in time.
    pub(super) fn tick_suspects(&mut self, now: Time, out: &mut Vec<Output>) {
        let due: Vec<MemberId> =
            self.suspects.iter().filter(|(_, at)| now >= **at).map(|(id, _)| *id).collect();
        for id in due {
            self.suspects.remove(&id);
            self.declare_dead(now, id, LossReason::Failed, out);
        }
    }

    /// Probes a member with a claim of its death. A live member refutes it, otherwise the probe fails.
    pub(super) fn verify_death(&mut self, now: Time, claim: Claim, out: &mut Vec<Output>) {
        if self.probing.probes.iter().all(|p| p.target != claim.id) {
            self.probe(now, claim.id, vec![Update::Claim(claim)], out);
        }
    }

    pub(super) fn on_ping(
        &mut self,
        from: Source,
        probe: u32,
        target: MemberId,
        out: &mut Vec<Output>,
    ) {
        // A sender that expects another process at this address gets the record of the process that took it over.
        let updates =
            if target == self.id { vec![] } else { vec![self.table.local().full_update()] };
        self.send(
            from.into(),
            TrafficClass::Probe,
            updates,
            Body::Ack { probe, subject: self.id },
            out,
        );
    }

    pub(super) fn on_ping_request(
        &mut self,
        now: Time,
        origin: Source,
        origin_number: u32,
        target: Receiver,
        out: &mut Vec<Output>,
    ) {
        let Some(id) = target.id else { return };
        if self.probing.relays.len() >= MAX_RELAYS {
            self.counters.throttled += 1;
            return;
        }
        let number = self.probing.next_number();
        let ping = Body::Ping { probe: number, target: id };
        if self.send(target, TrafficClass::Probe, vec![], ping, out) {
            let relay = Relay { number, target: id, origin, origin_number, sent: now };
            self.probing.relays.push(relay);
        }
    }

    pub(super) fn on_ack(
        &mut self,
        now: Time,
        from: Source,
        number: u32,
        subject: MemberId,
        out: &mut Vec<Output>,
    ) {
        if let Some(i) = self.probing.relays.iter().position(|r| r.number == number) {
            let relay = self.probing.relays.swap_remove(i);
            if relay.target == subject {
                let ack = Body::Ack { probe: relay.origin_number, subject };
                self.send(relay.origin.into(), TrafficClass::Probe, vec![], ack, out);
            }
            return;
        }
        let Some(i) = self.probing.probes.iter().position(|p| p.number == number) else { return };
        let target = self.probing.probes[i].target;
        if target == subject {
            self.probing.probes.swap_remove(i);
        } else if from.id == subject
            && self.receiver(target).is_some_and(|r| r.address == from.address)
        {
            // Two processes cannot share an address, so the expected one has ended.
            self.probing.probes.swap_remove(i);
            self.declare_dead(now, target, LossReason::Replaced, out);
        }
    }

    fn probe(&mut self, now: Time, target: MemberId, first: Vec<Update>, out: &mut Vec<Output>) {
        let Some(to) = self.receiver(target) else { return };
        if self.probing.probes.len() >= MAX_PROBES {
            self.counters.throttled += 1;
            return;
        }
        let number = self.probing.next_number();
        let ping = Body::Ping { probe: number, target };
        // The probe is recorded only if a ping was sent, because a missing answer proves nothing otherwise.
        if self.send(to, TrafficClass::Probe, first, ping, out) {
            self.probing.probes.push(Probe { number, target, sent: now, is_indirect: false });
        }
    }

    /// Suspects the target when the probe timed out, or requests indirect probes when the direct one did.
    fn check_probe(&mut self, now: Time, mut probe: Probe, out: &mut Vec<Output>) {
        let Some(held) = self.table.get(probe.target).map(|r| r.claim()) else { return };
        if !held.state.is_live() {
            return;
        }
        if now.since(probe.sent) >= PROBE_TIMEOUT {
            let claim = Claim { state: State::Suspect, ..held };
            self.apply(now, Update::Claim(claim), Via::Gossip, out);
            return;
        }
        if !probe.is_indirect && now.since(probe.sent) >= DIRECT_TIMEOUT {
            probe.is_indirect = true;
            self.request_indirect_probes(&probe, out);
            // If the target has crashed, the members that follow it may have crashed too, and this member is now their
            // predecessor. Only one extra probe is sent at a time, so a member without a network sends 3.3 a second.
            self.probing.next_probe = now;
            self.probing.is_successor_due = true;
        }
        self.probing.probes.push(probe);
    }

    fn request_indirect_probes(&mut self, probe: &Probe, out: &mut Vec<Output>) {
        let Some(target) = self.receiver(probe.target) else { return };
        for id in self.table.choose_live(&mut self.rng, INDIRECT_PROBES, probe.target) {
            let Some(to) = self.receiver(id) else { continue };
            let request = Body::PingRequest {
                probe: probe.number,
                target: probe.target,
                address: target.address,
            };
            self.send(to, TrafficClass::Probe, vec![], request, out);
        }
    }

    /// Returns the next member by id that has no outstanding probe.
    fn next_successor(&self) -> Option<MemberId> {
        self.table.successors().find(|id| self.probing.probes.iter().all(|p| p.target != *id))
    }

    /// Returns the next member of the round. Each round visits the live members in a new random order.
    fn next_target(&mut self) -> Option<MemberId> {
        loop {
            if self.probing.order.is_empty() {
                self.probing.order.extend_from_slice(self.table.live());
                self.probing.order.shuffle(&mut self.rng);
            }
            let id = self.probing.order.pop()?;
            if self.table.get(id).is_some_and(|r| r.state.is_live()) {
                return Some(id);
            }
        }
    }
}
