//! The time in which a revision reaches all members of a region.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

use super::Slope;
use crate::{
    keys::MemberId,
    membership::{self, Membership, Message, Output, Settings, Source, TICK},
    time::Time,
};

/// Members of a region. All of them hold the whole table, so that larger regions would take gigabytes.
const SIZES: [u32; 4] = [64, 128, 256, 512];

/// The seats that receive a revision from the platform: three in each of two data centres, which is the average
/// of a region (20 data centres in 9 regions).
const SEATS: usize = 6;

/// One way between members.
const ONE_WAY: Duration = Duration::from_millis(1);

/// The time of a pull: connection, two calls and their processing.
const PULL_TIME: Duration = Duration::from_millis(50);

/// The time in which members settle before the revision.
const SETTLE: Duration = Duration::from_secs(3);

/// The time in which a revision may spread.
const PATIENCE: Duration = Duration::from_secs(30);

/// The seeds of one measurement; the times are the means over them.
const RUNS: u64 = 3;

/// How a revision spread through a region.
#[derive(Copy, Clone, Debug, PartialEq)]
pub(super) struct Spread {
    /// The time until 99 of 100 members had the revision, in seconds.
    pub(super) most: f64,
    /// The time until all members had it, in seconds.
    pub(super) all: f64,
}

pub(super) fn measure(seed: u64) -> Vec<Slope> {
    let spreads = SIZES.map(|members| {
        let runs: Vec<Spread> = (0..RUNS).map(|run| spread(members, seed + run)).collect();
        (f64::from(members).log2(), runs)
    });
    let over = |id, unit, value: &dyn Fn(&Spread) -> f64| {
        let mean = |runs: &[Spread]| runs.iter().map(value).sum::<f64>() / runs.len() as f64;
        let points = spreads.iter().map(|(size, runs)| (*size, mean(runs)));
        Slope::new(id, unit, "log2 of the members of the region", points.collect())
    };
    vec![
        over("spread.most", "s", &|spread| spread.most),
        over("spread.all", "s", &|spread| spread.all),
    ]
}

enum Event {
    Tick(usize),
    Arrive { to: usize, from: Source, message: Box<Message> },
    Pulled { member: usize, revision: u64 },
    Revise,
}

struct Region {
    members: Vec<Membership>,
    revisions: Vec<u64>,
    is_pulling: Vec<bool>,
    numbers: HashMap<SocketAddr, usize>,
    ids: HashMap<MemberId, usize>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Event>,
    sequence: u64,
    now: Time,
}

/// Lets a revision spread through a region of real members that all know each other.
pub(super) fn spread(count: u32, seed: u64) -> Spread {
    let mut region = Region::new(count, seed);
    let revised = Time::ZERO + SETTLE;
    region.push(revised, Event::Revise);
    let total = region.members.len();
    let reached = |region: &Region| region.revisions.iter().filter(|r| **r == 2).count();
    region.run(revised + PATIENCE, |region| reached(region) * 100 >= total * 99);
    let most = region.now.since(revised);
    region.run(revised + PATIENCE, |region| reached(region) == total);
    let all = region.now.since(revised);
    Spread { most: most.as_secs_f64(), all: all.as_secs_f64() }
}

impl Region {
    fn new(count: u32, seed: u64) -> Region {
        let mut rng = SmallRng::seed_from_u64(seed);
        let infos: Vec<_> =
            (0..count).map(|n| membership::sample(MemberId(rng.random()), n)).collect();
        let mut region = Region {
            members: Vec::new(),
            revisions: vec![1; infos.len()],
            is_pulling: vec![false; infos.len()],
            numbers: infos.iter().enumerate().map(|(n, info)| (info.gossip, n)).collect(),
            ids: infos.iter().enumerate().map(|(n, info)| (info.id, n)).collect(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            now: Time::ZERO,
        };
        for (n, info) in infos.iter().enumerate() {
            let mut member = Membership::new(info.clone(), Settings::default(), seed + n as u64);
            for other in &infos {
                member.introduce(other.clone());
            }
            member.set_revision(1);
            region.members.push(member);
            region.push(Time::ZERO + TICK.mul_f64(rng.random_range(0.0..1.0)), Event::Tick(n));
        }
        region
    }

    fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Processes events until `is_done`, or until the given time.
    fn run(&mut self, end: Time, is_done: impl Fn(&Region) -> bool) {
        while !is_done(self)
            && let Some(Reverse((now, number))) = self.queue.pop()
        {
            if now > end {
                // It is processed by the next run.
                self.queue.push(Reverse((now, number)));
                return;
            }
            self.now = now;
            if let Some(event) = self.events.remove(&number) {
                self.apply(now, event);
            }
        }
    }

    fn apply(&mut self, now: Time, event: Event) {
        let mut out = Vec::new();
        let number = match event {
            Event::Tick(n) => {
                self.members[n].tick(now, &mut out);
                self.push(now + TICK, Event::Tick(n));
                n
            }
            Event::Arrive { to, from, message } => {
                self.members[to].handle(now, from, *message, &mut out);
                to
            }
            Event::Pulled { member, revision } => {
                self.is_pulling[member] = false;
                self.revise(member, revision);
                member
            }
            Event::Revise => {
                for seat in 0..SEATS.min(self.members.len()) {
                    self.revise(seat, 2);
                }
                0
            }
        };
        self.outputs(now, number, out);
    }

    fn revise(&mut self, member: usize, revision: u64) {
        self.revisions[member] = revision;
        self.members[member].set_revision(revision);
    }

    fn outputs(&mut self, now: Time, number: usize, out: Vec<Output>) {
        let me = self.members[number].me();
        let from = Source { id: me.id, address: me.gossip };
        for output in out {
            match output {
                Output::Send { to, message } => {
                    if let Some(&to) = self.numbers.get(&to) {
                        let message = Box::new(message);
                        self.push(now + ONE_WAY, Event::Arrive { to, from, message });
                    }
                }
                Output::Revision { from, .. } if !self.is_pulling[number] => {
                    let Some(&source) = self.ids.get(&from) else { continue };
                    self.is_pulling[number] = true;
                    let revision = self.revisions[source];
                    self.push(now + PULL_TIME, Event::Pulled { member: number, revision });
                }
                _ => {}
            }
        }
    }
}
