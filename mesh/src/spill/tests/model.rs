//! Nodes and targets of a few data centres without a network, in steps of 10 ms.

use std::{collections::VecDeque, time::Duration};

use rand::{Rng as _, SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use crate::{
    keys::{MemberId, MemberKey},
    placement::{Candidate, Demand, Distance, choose},
    report::LoadReport,
    spill::{CentreLoad, LoadSource, MeanDemand, SpillTable, Travel},
    time::Time,
};

const CENTRES: [&str; 4] = ["a", "b", "c", "d"];
const LIMIT: usize = 8;
const SERVICE_MS: u64 = 100;
const STEP_MS: u64 = 10;
const ONE_WAY_MS: u64 = 4;
const STATUS_DELAY_MS: u64 = 100;
const USUAL_STATUS_MS: u64 = 400;
const MAX_ATTEMPTS: usize = 4;

#[derive(Copy, Clone)]
struct Request {
    node: usize,
    centre: usize,
    service_ms: u64,
    objective: u64,
}

struct Target {
    key: MemberKey,
    centre: usize,
    running: Vec<(u64, Request)>,
    queue: VecDeque<Request>,
    past: VecDeque<LoadReport>,
}

impl Target {
    fn report(&self, is_open: bool) -> LoadReport {
        LoadReport {
            running: self.running.len() as u16,
            queued: self.queue.len() as u16,
            limit: LIMIT as u16,
            slowdown: 100,
            service_us: SERVICE_MS as u32 * 1_000,
            is_open,
            ..LoadReport::default()
        }
    }

    /// Queues a request or, as admission does, refuses it if it is not expected to be in time.
    fn admit(&mut self, now: u64, request: Request) -> bool {
        let ahead = (self.running.len() + self.queue.len() + 1).saturating_sub(LIMIT);
        let wait = SERVICE_MS * ahead as u64 / LIMIT as u64;
        let is_admitted = now + wait + SERVICE_MS <= request.objective;
        if is_admitted {
            self.queue.push_back(request);
        }
        is_admitted
    }
}

pub(super) struct Node {
    pub(super) centre: usize,
    pub(super) table: SpillTable,
    status_ms: u64,
    /// The known report of each target and its arrival, and the requests sent since.
    known: Vec<(u64, LoadReport, u32)>,
    rng: SmallRng,
}

struct View<'a> {
    model: &'a Model,
    node: &'a Node,
}

impl LoadSource for View<'_> {
    fn loads(&self, _: &str, demand: &MeanDemand) -> Vec<CentreLoad> {
        let View { model, node } = *self;
        let mut loads: Vec<CentreLoad> = Vec::new();
        for (target, (at, report, _)) in model.targets.iter().zip(&node.known) {
            let travel = if target.centre == node.centre { Travel::Near } else { Travel::Far };
            if report.is_open && !model.is_evacuated[target.centre] {
                let name = CENTRES[target.centre];
                if loads.last().is_none_or(|load| load.centre != name) {
                    loads.push(CentreLoad::new(name.into()));
                }
                let age = Duration::from_millis(model.now - at);
                loads.last_mut().unwrap().add(age, report, demand, travel);
            }
        }
        loads
    }
}

/// What happened to the requests that arrived in one second.
#[derive(Copy, Clone, Debug, Default)]
pub(super) struct Second {
    pub(super) arrived: f64,
    /// Requests refused or answered after the objective.
    pub(super) late: f64,
    /// Requests sent to other data centres, by data centre.
    pub(super) received: [f64; 4],
    /// The mean share of the nodes of each data centre.
    pub(super) shares: [f64; 4],
}

pub(super) struct Model {
    pub(super) now: u64,
    /// The requests per second of the callers in each data centre.
    pub(super) rates: Vec<f64>,
    /// The time to the objective.
    pub(super) objective_ms: u64,
    /// Data centres out of service, which all nodes know.
    pub(super) is_evacuated: [bool; 4],
    /// Data centres that have failed, which nodes notice when a request fails.
    pub(super) is_lost: [bool; 4],
    pub(super) nodes: Vec<Node>,
    targets: Vec<Target>,
    has_spill: bool,
    seconds: Vec<Second>,
    rng: SmallRng,
}

impl Model {
    /// Creates data centres with these numbers of targets and, in each, two nodes with reports that are 100 to 500 ms old.
    pub(super) fn new(targets: &[usize], has_spill: bool, seed: u64) -> Model {
        let mut keys = SlotMap::with_key();
        let centres = targets.iter().enumerate();
        let centres = centres.flat_map(|(centre, &count)| vec![centre; count]);
        let target = |centre| Target {
            key: keys.insert(()),
            centre,
            running: Vec::new(),
            queue: VecDeque::new(),
            past: VecDeque::new(),
        };
        let all: Vec<Target> = centres.map(target).collect();
        let node = |index: usize| Node {
            centre: index / 2,
            table: SpillTable::default(),
            status_ms: USUAL_STATUS_MS,
            known: all.iter().map(|target| (0, target.report(true), 0)).collect(),
            rng: SmallRng::seed_from_u64(seed + index as u64),
        };
        Model {
            now: 2_000,
            rates: vec![0.0; targets.len()],
            objective_ms: 500,
            is_evacuated: [false; 4],
            is_lost: [false; 4],
            nodes: (0..2 * targets.len()).map(node).collect(),
            targets: all,
            has_spill,
            seconds: Vec::new(),
            rng: SmallRng::seed_from_u64(seed ^ 99),
        }
    }

    /// Gives every second node reports at this interval only.
    pub(super) fn slow_reports(&mut self, status_ms: u64) {
        self.nodes.iter_mut().step_by(2).for_each(|node| node.status_ms = status_ms);
    }

    /// Runs for some seconds and returns what happened in each of them.
    pub(super) fn run(&mut self, seconds: usize) -> Vec<Second> {
        self.seconds = vec![Second::default(); seconds];
        for step in 0..seconds * 100 {
            self.now += STEP_MS;
            let second = step / 100;
            self.finish_requests(second);
            self.send_reports();
            if step % 10 == 9 {
                self.decide(second);
            }
            for centre in 0..self.rates.len() {
                let mut expected = self.rates[centre] * STEP_MS as f64 / 1_000.0;
                while self.rng.random_range(0.0..1.0) < expected / (1.0 + expected) {
                    self.arrive(centre, second);
                    expected = self.rates[centre] * STEP_MS as f64 / 1_000.0;
                }
            }
        }
        self.seconds.clone()
    }

    fn finish_requests(&mut self, second: usize) {
        let now = self.now;
        for (index, target) in self.targets.iter_mut().enumerate() {
            let (ended, running) = target.running.iter().partition(|(end, _)| *end <= now);
            target.running = running;
            let ended: Vec<(u64, Request)> = ended;
            while target.running.len() < LIMIT
                && let Some(request) = target.queue.pop_front()
            {
                if now + SERVICE_MS > request.objective {
                    self.seconds[second].late += 1.0;
                } else {
                    target.running.push((now + request.service_ms, request));
                }
            }
            let is_lost = self.is_lost[target.centre];
            let report = target.report(!is_lost);
            target.past.push_front(report);
            target.past.truncate((STATUS_DELAY_MS / STEP_MS) as usize + 1);
            for (end, request) in ended {
                let travel = if request.centre == target.centre { 0 } else { 2 * ONE_WAY_MS };
                let is_late = is_lost || end + travel > request.objective;
                self.seconds[second].late += f64::from(u8::from(is_late));
                let node = &mut self.nodes[request.node];
                if !is_lost {
                    node.table.record_answer("s", CENTRES[target.centre]);
                }
                if node.status_ms <= USUAL_STATUS_MS {
                    node.known[index] = (now, report, 0);
                }
            }
        }
    }

    fn send_reports(&mut self) {
        for (index, target) in self.targets.iter().enumerate() {
            let Some(report) = target.past.back().filter(|_| !self.is_lost[target.centre]) else {
                continue;
            };
            for node in &mut self.nodes {
                if (self.now + index as u64 * 70).is_multiple_of(node.status_ms) {
                    node.known[index] = (self.now, *report, 0);
                }
            }
        }
    }

    fn decide(&mut self, second: usize) {
        let now = Time::from_micros(self.now * 1_000);
        for index in 0..self.nodes.len() {
            let mut table = std::mem::take(&mut self.nodes[index].table);
            let centre = self.nodes[index].centre;
            table.update(now, CENTRES[centre], &View { model: self, node: &self.nodes[index] });
            let share = table.gauges().first().map_or(0.0, |gauge| gauge.share);
            self.seconds[second].shares[centre] += share / 20.0;
            self.nodes[index].table = table;
        }
    }

    fn arrive(&mut self, centre: usize, second: usize) {
        let now = self.now;
        let node_index = centre * 2 + self.rng.random_range(0..2);
        let service_ms = SERVICE_MS * self.rng.random_range(50..=150) / 100;
        let objective = now + self.objective_ms;
        let request = Request { node: node_index, centre, service_ms, objective };
        self.seconds[second].arrived += 1.0;
        let mut tried = Vec::new();
        while tried.len() < MAX_ATTEMPTS
            && let Some(index) = self.choose(node_index, &tried)
        {
            let target = &mut self.targets[index];
            if target.centre != centre {
                self.seconds[second].received[target.centre] += 1.0;
            }
            let is_admitted = !self.is_lost[target.centre] && target.admit(now, request);
            if is_admitted {
                self.nodes[node_index].known[index].2 += 1;
                return;
            }
            let report = target.report(!self.is_lost[target.centre]);
            self.nodes[node_index].known[index] = (now, report, 0);
            tried.push(index);
        }
        self.seconds[second].late += 1.0;
    }

    fn choose(&mut self, index: usize, tried: &[usize]) -> Option<usize> {
        let node = &mut self.nodes[index];
        let demand = Demand {
            nominal_service: Duration::from_millis(SERVICE_MS),
            time_left: Duration::from_millis(self.objective_ms),
            size: 5_000,
        };
        let candidate = |(target, (at, report, sent)): (&Target, &(u64, LoadReport, u32))| {
            let is_near = target.centre == node.centre;
            Candidate {
                key: target.key,
                id: MemberId(0),
                load: Some((Duration::from_millis(self.now - at), *report)),
                sent: *sent,
                distance: if is_near { Distance::SameCentre } else { Distance::OtherCentre },
                is_unresponsive: false,
            }
        };
        let all = self.targets.iter().zip(&node.known).enumerate();
        let is_open = |(index, (target, known)): &(usize, (&Target, &(u64, LoadReport, u32)))| {
            known.1.is_open && !self.is_evacuated[target.centre] && !tried.contains(index)
        };
        let open = all.filter(is_open);
        let open: Vec<(usize, Candidate)> =
            open.map(|(target, pair)| (self.targets[target].centre, candidate(pair))).collect();
        let now = Time::from_micros(self.now * 1_000);
        let is_first = self.has_spill && tried.is_empty();
        let drawn =
            is_first.then(|| node.table.draw(now, &"s".into(), &demand, &mut node.rng)).flatten();
        let in_centre = |(centre, _): &&(usize, Candidate)| {
            drawn.as_ref().is_some_and(|drawn| CENTRES[*centre] == drawn)
        };
        let preferred: Vec<Candidate> = open.iter().filter(in_centre).map(|(_, c)| *c).collect();
        let choice = choose(&preferred, &demand, &mut node.rng)
            .filter(|choice| choice.cost <= demand.time_left)
            .or_else(|| {
                let all: Vec<Candidate> = open.iter().map(|(_, c)| *c).collect();
                choose(&all, &demand, &mut node.rng)
            })?;
        self.targets.iter().position(|target| target.key == choice.key)
    }
}

/// Returns the share of requests that were answered in time.
pub(super) fn in_time(seconds: &[Second]) -> f64 {
    let sum = |value: fn(&Second) -> f64| seconds.iter().map(value).sum::<f64>();
    1.0 - sum(|second| second.late) / sum(|second| second.arrived)
}

/// Returns the attempts at other data centres for each request.
pub(super) fn away(seconds: &[Second]) -> f64 {
    let received = |second: &Second| second.received.iter().sum::<f64>();
    seconds.iter().map(received).sum::<f64>()
        / seconds.iter().map(|second| second.arrived).sum::<f64>()
}
