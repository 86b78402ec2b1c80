use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng};
use test_case::test_case;

use super::{Fleet, RetryBound, RetryBudget, RetryKind};
use crate::time::Time;

const BOUND: RetryBound = RetryBound { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) };

/// Returns what a node knows that has had the list of all nodes since its start.
fn fleet(nodes: usize) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.count(Time::ZERO, nodes);
    fleet.set_known(Time::ZERO);
    fleet
}

/// Guards against exceeding the bound when all nodes spend their balances at the same time. In one run, each of 12
/// nodes had saved half of the whole bound.
#[test]
fn all_nodes_together_stay_below_the_bound() {
    let rng = &mut SmallRng::seed_from_u64(1);
    const NODES: usize = 12;
    let mut sent = 0;
    let mut requests = 0;
    for _ in 0..NODES {
        let mut budget = RetryBudget::new(Time::ZERO, &BOUND, &fleet(NODES));
        // A long period without retries, in which the balance grows to its maximum.
        for _ in 0..2_000 {
            budget.deposit(&BOUND, &fleet(NODES));
        }
        // One window in which every request is retried.
        for step in 0..100 {
            let now = Time::from_micros(60_000_000 + step * 100_000);
            budget.deposit(&BOUND, &fleet(NODES));
            requests += 1;
            while budget.try_withdraw(now, &BOUND, &fleet(NODES), RetryKind::NotRun, rng) {
                sent += 1;
            }
        }
    }
    let allowed = 0.2 * f64::from(requests) + 60.0;
    assert!(f64::from(sent) <= allowed, "{sent} retries, allowed {allowed}");
    assert!(f64::from(sent) >= allowed / 3.0, "only {sent} retries, allowed {allowed}");
}

/// Guards against a node with few requests that can never retry.
#[test]
fn node_without_requests_has_a_share_of_the_slack() {
    let rng = &mut SmallRng::seed_from_u64(1);
    let (start, later) = (Time::ZERO + BOUND.window, Time::ZERO + 3 * BOUND.window);
    let mut budget = RetryBudget::new(start, &BOUND, &fleet(10));
    let mut taken = 0;
    while budget.try_withdraw(start, &BOUND, &fleet(10), RetryKind::NotRun, rng) {
        taken += 1;
    }
    // The balances and refills of 10 nodes share the slack of 60.
    assert!((1..=3).contains(&taken), "{taken}");
    assert!(budget.try_withdraw(later, &BOUND, &fleet(10), RetryKind::NotRun, rng));
}

/// Guards against shares of the bound that are too large because each node knows only few others, as after many restarts at once.
#[test_case(1; "each knows itself")]
#[test_case(3; "each knows three")]
fn nodes_that_do_not_know_each_other_yet_stay_below_the_bound(known: usize) {
    let rng = &mut SmallRng::seed_from_u64(1);
    const NODES: usize = 12;
    let mut sent = 0;
    for _ in 0..NODES {
        let start = Time::from_micros(60_000_000);
        let mut fleet = Fleet::default();
        fleet.count(start, known);
        let mut budget = RetryBudget::new(start, &BOUND, &fleet);
        for step in 0..100 {
            let now = start + Duration::from_millis(step * 100);
            if step == 20 {
                fleet.count(now, NODES);
                fleet.set_known(now);
            }
            while budget.try_withdraw(now, &BOUND, &fleet, RetryKind::NotRun, rng) {
                sent += 1;
            }
        }
    }
    assert!(f64::from(sent) <= BOUND.slack, "{sent} retries, allowed {}", BOUND.slack);
}

/// Guards against a second share for each node that is restarted in the middle of a window.
#[test]
fn a_restarted_node_does_not_have_its_share_again() {
    let rng = &mut SmallRng::seed_from_u64(1);
    const NODES: usize = 12;
    let mut sent = 0;
    for _ in 0..NODES {
        for start in [60, 63, 66].map(|seconds| Time::from_micros(seconds * 1_000_000)) {
            let mut known = Fleet::default();
            known.count(start, NODES);
            known.set_known(if start == Time::from_micros(60_000_000) {
                Time::ZERO
            } else {
                start
            });
            let mut budget = RetryBudget::new(start, &BOUND, &known);
            for step in 0..30 {
                let now = start + Duration::from_millis(step * 100);
                while budget.try_withdraw(now, &BOUND, &known, RetryKind::NotRun, rng) {
                    sent += 1;
                }
            }
        }
    }
    assert!(f64::from(sent) <= BOUND.slack, "{sent} retries, allowed {}", BOUND.slack);
}

/// Guards against larger shares of nodes that are cut off from each other and forget those on the other side.
#[test]
fn nodes_that_forget_others_keep_their_shares() {
    let mut cut_off = fleet(12);
    cut_off.count(Time::from_micros(30_000_000), 4);
    assert_eq!(cut_off.share(&BOUND), fleet(12).share(&BOUND));
    cut_off.count(Time::from_micros(70_000_000), 4);
    assert_eq!(cut_off.share(&BOUND), fleet(4).share(&BOUND), "they are gone");
}

/// Guards against savings of many nodes that together exceed the bound of a service with few requests.
#[test]
fn a_large_fleet_with_few_requests_stays_below_the_bound() {
    let rng = &mut SmallRng::seed_from_u64(1);
    const NODES: usize = 64;
    const REQUESTS: usize = 2;
    let mut sent = 0;
    for _ in 0..NODES {
        let mut budget = RetryBudget::new(Time::ZERO, &BOUND, &fleet(NODES));
        for _ in 0..100 {
            budget.deposit(&BOUND, &fleet(NODES));
        }
        let now = Time::from_micros(600_000_000);
        for _ in 0..REQUESTS {
            budget.deposit(&BOUND, &fleet(NODES));
            sent += usize::from(budget.try_withdraw(
                now,
                &BOUND,
                &fleet(NODES),
                RetryKind::NotRun,
                rng,
            ));
        }
    }
    let allowed = BOUND.ratio * (NODES * REQUESTS) as f64 + BOUND.slack;
    assert!(sent as f64 <= allowed, "{sent} retries, allowed {allowed}");
}

/// Guards against nodes of a large fleet that can never retry, because the share of each is below one retry.
#[test]
fn nodes_of_a_large_fleet_retry_sometimes() {
    const NODES: usize = 640;
    let rng = &mut SmallRng::seed_from_u64(1);
    let mut sent = 0;
    for _ in 0..NODES {
        let mut budget = RetryBudget::new(Time::ZERO, &BOUND, &fleet(NODES));
        let now = Time::from_micros(600_000_000);
        for _ in 0..10 {
            sent += usize::from(budget.try_withdraw(
                now,
                &BOUND,
                &fleet(NODES),
                RetryKind::NotRun,
                rng,
            ));
        }
    }
    // The reserves of all nodes together are 24 retries.
    assert!((10..=60).contains(&sent), "{sent} retries");
}
