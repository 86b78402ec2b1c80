//! Measures the cost of membership at one member, for extrapolation over the size of the region.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    Body, LossReason, Member, Membership, Message, Output, PROBE_PERIOD, Settings, State, TICK,
    Update, budget::UDP_HEADER_BYTES, table::decimal_digits,
};
use crate::{
    gossip::{Decoder, Encoder, GossipConfig, Key},
    keys::MemberId,
    time::Time,
};

mod join;

pub use join::{JoinCost, measure_join};

/// The simulated time of one measurement.
const SIMULATED_TIME: Duration = Duration::from_secs(300);

/// Failures, restarts and replacements per member and second: 1,620 a day among 24,000 members (design section 2.5).
const CHURN_PER_S: f64 = 1_620.0 / 24_000.0 / 86_400.0;

/// Updates per replaced member: the record of the new process, a suspicion and a death of the old one.
const UPDATES_PER_REPLACEMENT: f64 = 3.0;

/// The cost of membership for one member in the steady state.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct MembershipCost {
    /// The members of the region.
    pub members: usize,
    /// Bytes sent per second, headers included.
    pub sent_bytes: f64,
    /// Bytes received per second, headers included.
    pub received_bytes: f64,
    /// Datagrams sent and received per second.
    pub datagrams: f64,
    /// Memory of the table in bytes.
    pub state_bytes: usize,
    /// Processor time in microseconds per second, codec included.
    pub cpu_us: f64,
}

/// Measures one member of a region of `members`, whose other members are simulated: they respond to pings, ping the
/// member once in each [`PROBE_PERIOD`](super::PROBE_PERIOD), start exchanges and spread updates at the rate of churn.
pub fn measure(members: usize, seed: u64) -> MembershipCost {
    let mut bench = Bench::new(members.max(2), seed);
    bench.run();
    let seconds = SIMULATED_TIME.as_secs_f64();
    MembershipCost {
        members: bench.others.len() + 1,
        sent_bytes: bench.sent as f64 / seconds,
        received_bytes: bench.received as f64 / seconds,
        datagrams: bench.datagrams as f64 / seconds,
        state_bytes: bench.subject.state_bytes(),
        cpu_us: bench.busy.as_secs_f64() * 1e6 / seconds,
    }
}

struct Bench {
    subject: Membership,
    encoder: Encoder,
    decoder: Decoder,
    identity: GossipConfig,
    others: Vec<Member>,
    rng: SmallRng,
    now: Time,
    out: Vec<Output>,
    sent: usize,
    received: usize,
    datagrams: usize,
    busy: Duration,
    sequence: u64,
}

impl Bench {
    fn new(members: usize, seed: u64) -> Bench {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut others: Vec<Member> =
            (0..members).map(|n| sample_member(MemberId(rng.random()), n as u32)).collect();
        let me = others.swap_remove(0);
        let range = "10.0.0.0/8".parse().expect("the range is valid");
        let identity = GossipConfig { id: me.id, key: Key::derive("measure"), ranges: vec![range] };
        let mut subject = Membership::new(me, Settings::default(), seed);
        let mut out = vec![];
        for other in &others {
            subject.admit(Time::ZERO, other.clone(), State::Alive, &mut out);
        }
        out.clear();
        Bench {
            subject,
            encoder: Encoder::new(identity.clone()),
            decoder: Decoder::new(identity.clone()),
            identity,
            others,
            rng,
            now: Time::ZERO,
            out,
            sent: 0,
            received: 0,
            datagrams: 0,
            busy: Duration::ZERO,
            sequence: 0,
        }
    }

    fn run(&mut self) {
        let ticks = SIMULATED_TIME.as_millis() / TICK.as_millis();
        let per_second = TICK.as_secs_f64();
        // Each member sends each update `copies` times, so each also receives that many copies.
        let copies = 4 * (decimal_digits(self.others.len() + 1) + 1);
        let updates = CHURN_PER_S * UPDATES_PER_REPLACEMENT * (self.others.len() + 1) as f64;
        for _ in 0..ticks {
            self.now += TICK;
            self.timed(|bench| bench.subject.tick(bench.now, &mut bench.out));
            if self.rng.random_bool(per_second / PROBE_PERIOD.as_secs_f64()) {
                let target = self.subject.id;
                self.receive(Body::Ping { probe: 0, target }, vec![]);
            }
            if self.rng.random_bool(per_second / 5.0) {
                let slices = self.subject.table.digest();
                self.receive(Body::Digest { slices }, vec![]);
            }
            if self.rng.random_bool((updates * per_second).min(1.0)) {
                let index = self.rng.random_range(0..self.others.len());
                self.others[index].incarnation += 1;
                self.others[index].revised = self.others[index].incarnation;
                let update =
                    Update::Record { member: self.others[index].clone(), is_suspect: false };
                for _ in 0..copies {
                    self.receive(Body::Gossip, vec![update.clone()]);
                }
            }
            self.flush();
        }
    }

    /// Runs a step of the measured member and adds its duration.
    fn timed(&mut self, step: impl FnOnce(&mut Bench)) {
        let start = Instant::now();
        step(self);
        self.busy += start.elapsed();
    }

    /// Encodes the messages that the measured member sends, and responds in place of their receivers.
    fn flush(&mut self) {
        while let Some(output) = self.out.pop() {
            match output {
                Output::Send { to, message } => {
                    let start = Instant::now();
                    let bytes = self.encoder.encode(to, &message).map_or(0, |d| d.len());
                    self.busy += start.elapsed();
                    self.sent += bytes + UDP_HEADER_BYTES;
                    self.datagrams += 1;
                    if let Body::Ping { probe, target } = message.body {
                        self.receive_from(target, to, Body::Ack { probe, subject: target }, vec![]);
                    }
                }
                Output::Lost { reason, .. } => {
                    debug_assert_ne!(reason, LossReason::Failed, "every ping is answered");
                }
                _ => {}
            }
        }
    }

    fn receive(&mut self, body: Body, updates: Vec<Update>) {
        let other = &self.others[self.rng.random_range(0..self.others.len())];
        self.receive_from(other.id, other.gossip, body, updates);
    }

    fn receive_from(
        &mut self,
        id: MemberId,
        address: SocketAddr,
        body: Body,
        updates: Vec<Update>,
    ) {
        self.sequence += 1;
        let identity = GossipConfig { id, ..self.identity.clone() };
        let message = Message { revision: 0, payload: vec![], updates, body };
        let mut encoder = Encoder::resuming_after(identity, self.sequence);
        let Ok(datagram) = encoder.encode(address, &message) else { return };
        self.received += datagram.len() + UDP_HEADER_BYTES;
        self.datagrams += 1;
        self.timed(|bench| {
            if let Ok((source, message)) = bench.decoder.decode(address, &datagram) {
                bench.subject.handle(bench.now, source, message, &mut bench.out);
            }
        });
    }
}

/// Returns a member with names of typical length at the address with number `n`.
pub(crate) fn sample_member(id: MemberId, n: u32) -> Member {
    let address = |port| SocketAddr::from((Ipv4Addr::from(0x0a00_0001 + n), port));
    Member {
        id,
        incarnation: 0,
        revised: 0,
        service: format!("service-{}", n / 5).into(),
        version: "2025.01.1".into(),
        centre: format!("north-{}", n % 3).into(),
        region: "north".into(),
        peer: address(7_000),
        control: address(7_001),
        gossip: address(7_002),
        is_leaving: false,
        is_cold: false,
    }
}
