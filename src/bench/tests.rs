use crate::{
    bench::{CASES, Case, Chooser, Outcome, compare, run},
    routing::Policy,
};

const LEAST_LOADED: Chooser = Chooser::Policy(Policy::LeastLoaded);

fn short(load: f64, faults: bool) -> Case {
    Case { load, faults, millis: 1_500, ..CASES[0] }
}

/// Guards against any source of randomness other than the seed.
#[test]
fn same_seed_same_outcome() {
    let case = Case { millis: 200, ..short(0.6, true) };
    for chooser in Chooser::ALL {
        assert_eq!(run(case, chooser, true, 7), run(case, chooser, true, 7), "{chooser:?}");
    }
    assert_ne!(run(case, LEAST_LOADED, true, 7), run(case, LEAST_LOADED, true, 8));
}

/// Guards against a default policy that is no better than the baselines while targets slow down and restart.
#[test]
fn least_loaded_avoids_degraded_targets() {
    let run = |chooser| run(short(0.6, true), chooser, true, 1);
    let degraded = |o: &Outcome| o.degraded as f64 / o.attempts as f64;
    let best = run(LEAST_LOADED);
    for policy in [Policy::Random, Policy::RoundRobin, Policy::TwoChoices] {
        let baseline = run(Chooser::Policy(policy));
        assert!(best.percentile(99.0) < baseline.percentile(99.0), "{policy:?}");
        assert!(degraded(&best) < degraded(&baseline), "{policy:?}");
    }
}

/// Guards against overload without admission control: answers then come after their deadlines.
#[test]
fn admission_keeps_goodput_under_overload() {
    let good = |admission| {
        let outcome = run(short(2.0, false), LEAST_LOADED, admission, 1);
        outcome.good as f64 / outcome.capacity
    };
    assert!(good(true) > 0.8);
    assert!(good(false) < 0.2);
}

/// Guards against measuring above the budget of each node, also in the model.
#[test]
fn measuring_stays_within_budget() {
    for bytes in [0, 1_000, 4_096] {
        let case = Case { measure_bytes: bytes, millis: 500, ..short(0.6, true) };
        let outcome = run(case, LEAST_LOADED, true, 1);
        assert!(outcome.target_bytes.max(outcome.caller_bytes) <= f64::from(bytes));
        assert_eq!(outcome.target_bytes > 0.0, bytes > 0);
    }
}

#[test]
fn comparison_lists_all_policies() {
    let mut out = Vec::new();
    compare(&mut out, Case { millis: 100, ..short(0.3, false) }, 1).unwrap();
    let text = String::from_utf8(out).unwrap();
    assert_eq!(text.lines().count(), 3 + Chooser::ALL.len());
}
