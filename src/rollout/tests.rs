use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use test_case::test_case;

use super::{
    evidence::{Counts, Tally, WindowLength},
    *,
};
use crate::membership::MAX_PAYLOAD_BYTES;

/// The length of the rollout under test in seconds.
const LENGTH: u64 = 120;

/// The start of the rollout in milliseconds since the Unix epoch.
const START: u64 = 1_790_000_000_000;

const NODES: usize = 4;

fn version(name: &str, start: u64, end: u64) -> Version {
    Version { name: name.into(), start_ms: start, end_ms: end }
}

fn versions() -> Vec<Version> {
    vec![version("v1", 0, 0), version("v2", 1_000, 2_000), version("v3", 3_000, 4_000)]
}

/// Guards against traffic for versions that have not started, have no target or are rolled back.
#[test_case(0, &[0, 1, 2] => vec![1000, 0, 0]; "nothing before the start")]
#[test_case(1_000, &[0, 1, 2] => vec![990, 10, 0]; "first share at the start")]
#[test_case(1_500, &[0, 1, 2] => vec![495, 505, 0]; "half way")]
#[test_case(2_000, &[0, 1, 2] => vec![0, 1000, 0]; "all at the end")]
#[test_case(3_500, &[0, 1, 2] => vec![0, 495, 505]; "next version in sequence")]
#[test_case(9_000, &[0, 1, 2] => vec![0, 0, 1000]; "only the newest in the end")]
#[test_case(3_500, &[0, 2] => vec![495, 0, 505]; "share of the middle version falls back")]
#[test_case(9_000, &[0, 1] => vec![0, 1000, 0]; "share of the newest version falls back")]
#[test_case(1_500, &[1, 2] => vec![0, 1000, 0]; "nothing for the oldest version without targets")]
#[test_case(0, &[1, 2] => vec![0, 0, 0]; "nothing for versions that have not started")]
fn shares_follow_the_schedule(wall: u64, usable: &[usize]) -> Vec<u64> {
    let shares = shares(&versions(), WallTime::from_millis(wall), |i| usable.contains(&i));
    shares.iter().map(|share| (share * 1000.0).round() as u64).collect()
}

/// Guards against a selection that does not follow the shares, or that picks a version without a share.
#[test]
fn draw_follows_shares() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut drawn = [0; 3];
    for _ in 0..10_000 {
        drawn[pick_version(&[0.7, 0.0, 0.3], rng.random()).expect("a version")] += 1;
    }
    assert_eq!(drawn[1], 0);
    // Five standard deviations of a binomial draw are 229.
    assert!((2_771..=3_229).contains(&drawn[2]), "{drawn:?}");
    assert_eq!(pick_version(&[0.0, 0.0], 0.5), None);
}

/// Guards against a wrong tail of Fisher's test; the expected values are exact ratios of binomials.
#[test_case((3, 3), (0, 3), 0.05; "1 of 20 arrangements")]
#[test_case((2, 3), (0, 3), 0.2; "3 of 15 arrangements")]
#[test_case((0, 5), (3, 5), 1.0; "fewer hits than expected")]
#[test_case((30, 30), (0, 30), 8.455_6e-18; "far tail")]
fn p_value_is_exact(new: (u32, u32), old: (u32, u32), expected: f64) {
    let proportion = |(hits, trials)| Proportion { hits, trials };
    let p = judge::fisher_exact(proportion(new), proportion(old));
    assert!((p / expected - 1.0).abs() < 1e-4, "{p}");
}

/// The faults that the targets of a version show.
#[derive(Copy, Clone, Debug, PartialEq)]
enum Fault {
    None,
    /// 30% errors from the given second on.
    Errors(u64),
    /// Three times the latency from the given second on.
    Slow(u64),
    /// 30% errors while the version receives more than the given number of calls per second.
    Load(u64),
    /// 60% errors on one of two routes.
    Route,
    /// Eight times the latency in cold start, for the first half of the rollout.
    Cold,
    /// 30% errors of the old version from the given second on.
    Old(u64),
}

/// The mechanism that a run disables, to show that a test case depends on it.
#[derive(Copy, Clone, Debug, PartialEq)]
enum Disabled {
    Nothing,
    /// No evaluation of the evidence leads to a verdict.
    Judge,
    /// Reports do not say that a target is cold.
    ColdFlag,
    /// Old versions are not counted, so nothing is compared.
    Old,
    /// Members exchange nothing.
    Exchange,
}

struct Sim {
    document: Document,
    nodes: Vec<Rollouts>,
    rng: SmallRng,
    disabled: Disabled,
    /// The verdicts reached by any node, in order.
    verdicts: Vec<VerdictRecord>,
    /// Nodes that neither send nor receive messages.
    isolated: Vec<usize>,
}

impl Sim {
    fn new(seed: u64, disabled: Disabled) -> Sim {
        let service = || Service {
            versions: vec![version("v1", 0, 0), version("v2", START, START + LENGTH * 1_000)],
            routes: vec![Route { prefix: "/b".into(), method: None, idempotent: true }],
            ..Service::default()
        };
        let services = [("a".into(), service()), ("b".into(), service())].into();
        let document = Document { services, ..Document::default() };
        let mut nodes: Vec<_> = (0..NODES as u64).map(|i| Rollouts::new(MemberId(i))).collect();
        for node in &mut nodes {
            node.set_document(1, &document);
        }
        let rng = SmallRng::seed_from_u64(seed);
        Sim { document, nodes, rng, disabled, verdicts: Vec::new(), isolated: Vec::new() }
    }

    /// Simulates one second with the given calls to each service, and exchanges messages.
    fn run_second(&mut self, second: u64, calls: &[(&str, u64, Fault)]) {
        let wall = WallTime::from_millis(START + second * 1_000);
        let now = Time::from_micros(second * 1_000_000);
        for &(name, count, fault) in calls {
            for _ in 0..count {
                self.call(wall, second, name, count, fault);
            }
        }
        let node_count = if self.disabled == Disabled::Judge { usize::MAX >> 32 } else { NODES };
        for node in &mut self.nodes {
            let mut changes = Vec::new();
            if self.disabled == Disabled::Judge {
                node.evidence = Evidence::default();
            }
            node.tick(now, wall, node_count, &self.document, &mut changes);
            self.verdicts.extend(changes.into_iter().filter_map(|change| match change {
                RolloutChange::Verdict(record) => Some(record),
                RolloutChange::Stage(_) => None,
            }));
        }
        if self.disabled != Disabled::Exchange {
            self.exchange(wall);
        }
    }

    /// Lets each node send two messages, which is the number of its probes and acknowledgements per second.
    fn exchange(&mut self, wall: WallTime) {
        for from in 0..NODES {
            for _ in 0..2 {
                let to = (from + self.rng.random_range(1..NODES)) % NODES;
                if self.isolated.contains(&from) || self.isolated.contains(&to) {
                    continue;
                }
                let sender = self.nodes[from].local_id;
                let (verdicts, reports) =
                    (self.nodes[from].next_verdicts(), self.nodes[from].next_evidence(wall, 3));
                for verdict in verdicts {
                    self.nodes[to].apply_verdict(verdict.into());
                }
                for report in reports {
                    self.nodes[to].merge(wall, sender, &report);
                }
            }
        }
    }

    fn call(&mut self, wall: WallTime, second: u64, name: &str, count: u64, fault: Fault) {
        let node = self.rng.random_range(0..NODES);
        let service = &self.document.services[name];
        let shares = self.nodes[node].shares(name, &service.versions, wall, |_| true);
        let Some(index) = pick_version(&shares, self.rng.random()) else { return };
        let is_on_b = self.rng.random_bool(0.2);
        let is_new = index == 1;
        let load = shares[1] * count as f64;
        let error_rate = match fault {
            Fault::Errors(from) if is_new && second >= from => 0.3,
            Fault::Load(limit) if is_new && load > limit as f64 => 0.3,
            Fault::Route if is_new && is_on_b => 0.6,
            Fault::Old(from) if !is_new && second >= from => 0.3,
            _ => 0.02,
        };
        let is_cold = is_new && fault == Fault::Cold && second < LENGTH / 2;
        let slowdown = match fault {
            Fault::Slow(from) if is_new && second >= from => 3.0,
            Fault::Cold if is_cold => 8.0,
            _ => 1.0,
        };
        let ms = 4.0 * slowdown * -(1.0 - self.rng.random::<f64>()).ln();
        let is_error = self.rng.random_bool(error_rate);
        let outcome = if is_error {
            AttemptOutcome::Error
        } else {
            AttemptOutcome::Answer(Duration::from_secs_f64(ms / 1e3))
        };
        let route = route_hash(is_on_b.then(|| &service.routes[0]));
        let is_cold = is_cold && self.disabled != Disabled::ColdFlag;
        let version = service.versions[index].name.clone();
        let attempt =
            FirstAttempt { version, stratum: Stratum { route, is_local: node == 0 }, is_cold };
        if is_new || self.disabled != Disabled::Old {
            self.nodes[node].observe(wall, name, service, &attempt, outcome);
        }
    }

    fn stages(&self, name: &str) -> Vec<&'static str> {
        let wall = WallTime::from_millis(START + (LENGTH + 1) * 1_000);
        let status = |node: &Rollouts| {
            let all = node.status(wall, &self.document);
            all.iter().find(|s| s.service == name).expect("a rollout").stage.as_str()
        };
        let mut stages: Vec<_> = self.nodes.iter().map(status).collect();
        stages.dedup();
        stages
    }

    fn run(seed: u64, disabled: Disabled, calls: &[(&str, u64, Fault)]) -> Sim {
        let mut sim = Sim::new(seed, disabled);
        for second in 0..=LENGTH {
            sim.run_second(second, calls);
        }
        sim
    }
}

/// Guards against faulty versions that stay in service and sound ones that are rolled back. Each case ends
/// differently once the mechanism that it depends on is disabled.
#[test_case(60, Fault::Errors(0), Disabled::Judge, &["rolled-back"]; "bad at once")]
#[test_case(60, Fault::Errors(60), Disabled::Judge, &["rolled-back"]; "bad only later")]
#[test_case(60, Fault::Slow(0), Disabled::Judge, &["rolled-back"]; "slow at once")]
#[test_case(60, Fault::Slow(60), Disabled::Judge, &["rolled-back"]; "slow only later")]
#[test_case(60, Fault::Load(30), Disabled::Judge, &["rolled-back"]; "bad only under load")]
#[test_case(60, Fault::Route, Disabled::Judge, &["rolled-back"]; "bad on one route only")]
#[test_case(60, Fault::None, Disabled::Judge, &["done"]; "good")]
#[test_case(60, Fault::Cold, Disabled::ColdFlag, &["done"]; "good but slow while cold")]
#[test_case(60, Fault::Old(0), Disabled::Old, &["done"]; "old version failing at once")]
#[test_case(60, Fault::Old(60), Disabled::Old, &["done"]; "old version failing later")]
#[test_case(0, Fault::Errors(0), Disabled::Nothing, &["unjudged"]; "no traffic")]
fn rollout_ends(calls: u64, fault: Fault, disabled: Disabled, expected: &[&str]) {
    let sim = Sim::run(7, Disabled::Nothing, &[("a", calls, fault)]);
    assert_eq!(sim.stages("a"), expected, "{:?}", sim.verdicts);
    if disabled != Disabled::Nothing {
        let without = Sim::run(7, disabled, &[("a", calls, fault)]);
        assert_ne!(without.stages("a"), expected, "the case does not depend on {disabled:?}");
    }
}

/// Guards against a rollout that is called a success, or rolled back, after only a few requests.
#[test]
fn little_traffic_is_not_judged() {
    let mut sim = Sim::new(3, Disabled::Nothing);
    for second in 0..=LENGTH {
        sim.run_second(second, &[("a", u64::from(second % 12 == 0), Fault::Errors(0))]);
    }
    assert_eq!(sim.stages("a"), ["unjudged"]);
}

/// Guards against evidence about one service that counts against another.
#[test]
fn services_move_independently() {
    let sim =
        Sim::run(5, Disabled::Nothing, &[("a", 60, Fault::Errors(0)), ("b", 60, Fault::None)]);
    assert_eq!((sim.stages("a"), sim.stages("b")), (vec!["rolled-back"], vec!["done"]));
}

/// Guards against a fault on one route that is reported as a fault on all routes.
#[test]
fn verdict_names_the_route() {
    let sim = Sim::run(7, Disabled::Nothing, &[("a", 60, Fault::Route)]);
    assert_eq!(sim.verdicts[0].route.as_deref(), Some("/b"));
    assert_eq!(sim.verdicts[0].finding.measure, Measure::Errors);
}

/// Guards against a node that keeps sending to a faulty version after it missed the verdict.
#[test_case(Disabled::Nothing => vec!["rolled-back"]; "payload brings the verdict")]
#[test_case(Disabled::Exchange => vec!["rolled-back", "moving"]; "without exchange it is missed")]
fn missed_verdict_arrives(disabled: Disabled) -> Vec<&'static str> {
    let mut sim = Sim::new(7, Disabled::Nothing);
    sim.isolated = vec![3];
    sim.nodes[3].service_names.clear();
    for second in 0..40 {
        sim.run_second(second, &[("a", 60, Fault::Errors(0))]);
    }
    assert_eq!(sim.stages("a"), ["rolled-back", "moving"]);
    (sim.isolated, sim.disabled) = (vec![], disabled);
    sim.nodes[3].set_document(1, &sim.document);
    for second in 40..50 {
        sim.run_second(second, &[]);
    }
    sim.stages("a")
}

/// Guards against evidence that stays with the node that saw it: each node alone sees too few requests for a
/// verdict.
#[test_case(Disabled::Nothing => true; "exchanged")]
#[test_case(Disabled::Exchange => false; "kept apart")]
fn exchange_shows_what_one_node_cannot_see(disabled: Disabled) -> bool {
    let mut sim = Sim::new(11, disabled);
    for second in 0..60 {
        sim.run_second(second, &[("a", 6, Fault::Errors(0))]);
    }
    !sim.verdicts.is_empty()
}

/// Guards against more false alarms than [`MAX_FALSE_ALARM_RATE`] states: 200 rollouts of a sound version, evaluated
/// by four nodes, may raise 2 at a rate of 1%.
#[test]
fn false_alarms_are_rare() {
    let alarms = (0..200).filter(|&seed| {
        let sim = Sim::run(seed, Disabled::Nothing, &[("a", 30, Fault::None)]);
        !sim.verdicts.is_empty()
    });
    let limit = (200.0 * MAX_FALSE_ALARM_RATE) as usize;
    let alarms = alarms.count();
    assert!(alarms <= limit, "{alarms}");
}

/// Guards against a verdict that ends with an unrelated revision, outlives its schedule, or applies to the
/// baseline version.
#[test]
fn verdict_lasts_as_long_as_its_schedule() {
    let mut sim = Sim::run(7, Disabled::Nothing, &[("a", 60, Fault::Errors(0))]);
    let mut document = sim.document.clone();
    let node = &mut sim.nodes[0];
    let wall = WallTime::from_millis(START + LENGTH * 1_000);
    let share = |node: &Rollouts, document: &Document| {
        node.shares("a", &document.services["a"].versions, wall, |_| true)
    };
    document.services.remove("b");
    node.set_document(2, &document);
    assert_eq!(share(node, &document), [1.0, 0.0]);

    let a = document.services.get_mut("a").expect("the service");
    let old = a.versions[1].clone();
    a.versions[1].end_ms -= 1;
    node.set_document(3, &document);
    assert_eq!(share(node, &document), [0.0, 1.0]);
    // A member that still has the old document repeats the verdict.
    let finding = sim.verdicts[0].finding;
    let late = Verdict { rollout_id: RolloutId::new("a", &old), revision: 1, finding };
    assert!(!node.apply_verdict(late));
    // A verdict from a member with a newer document is applied before that document arrives.
    assert!(node.apply_verdict(Verdict { revision: 4, ..late }));
}

/// Guards against evidence that is counted twice when reports arrive repeatedly, late or over several members.
#[test]
fn merging_is_idempotent() {
    let mut sim = Sim::new(1, Disabled::Exchange);
    sim.run_second(0, &[]);
    sim.run_second(1, &[("a", 400, Fault::None)]);
    let wall = WallTime::from_millis(START + 1_000);
    let early = sim.nodes[1].next_evidence(wall, 3);
    sim.run_second(2, &[("a", 400, Fault::None)]);
    let mut reports = sim.nodes[1].next_evidence(wall, 3);
    reports.extend(early);
    let rollout_id = RolloutId::new("a", &sim.document.services["a"].versions[1]);
    let total = |node: &Rollouts| -> u32 {
        let sums = node.evidence.sums(wall, rollout_id, WindowLength::Long);
        sums.values().map(|tally| tally.new.ended + tally.old.ended).sum()
    };
    let expected = total(&sim.nodes[0]) + total(&sim.nodes[1]);
    let mut node = sim.nodes.swap_remove(0);
    for wire in reports.iter().chain(&reports) {
        node.merge(wall, MemberId(1), wire);
        // The same counts, forwarded by a third member.
        let report = wire.to_report(wall, MemberId(1)).expect("a report");
        node.merge(wall, MemberId(2), &WireEvidence::new(&report, MemberId(2)));
    }
    assert_eq!(total(&node), expected);
}

/// Guards against tables that grow without bound, and against reports that do not fit a message.
#[test]
fn tables_and_notes_are_bounded() {
    let mut sim = Sim::new(1, Disabled::Nothing);
    sim.run_second(0, &[("a", 1_000, Fault::None)]);
    let wall = WallTime::from_millis(START);
    let node = &mut sim.nodes[0];
    let full = Counts { ended: 9_999_999, errors: 99_999, buckets: [9_999; 16] };
    let rollout_id = RolloutId::new("a", &sim.document.services["a"].versions[1]);
    for source in 0..2 * evidence::MAX_SERIES as u64 {
        let report = EvidenceReport {
            rollout_id,
            source: MemberId(source + 10),
            stratum: Stratum { route: u16::MAX, is_local: true },
            window: WindowLength::Long.index_at(wall),
            tally: Tally { new: full.clone(), old: full.clone() },
        };
        let wire = WireEvidence::new(&report, MemberId(1));
        assert!(postcard::to_stdvec(&wire).expect("an encoding").len() <= MAX_PAYLOAD_BYTES);
        node.merge(wall, MemberId(1), &wire);
    }
    assert_eq!(node.evidence.len(), evidence::MAX_SERIES);
    assert!(node.evidence.rejected() > 0);
}
