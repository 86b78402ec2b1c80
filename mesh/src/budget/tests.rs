use std::time::Duration;

use test_case::test_case;

use super::{RetryBound, RetryBudget, RetryKind};
use crate::time::Time;

const BOUND: RetryBound = RetryBound { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) };

/// Guards against exceeding the bound when all nodes spend their balances at the same time. In one run, each of 12
/// nodes had saved half of the whole bound.
#[test]
fn all_nodes_together_stay_below_the_bound() {
    const NODES: usize = 12;
    let mut sent = 0;
    let mut requests = 0;
    for _ in 0..NODES {
        let mut budget = RetryBudget::new(Time::ZERO, &BOUND, NODES);
        // A long period without retries, in which the balance grows to its maximum.
        for _ in 0..2_000 {
            budget.deposit(&BOUND, NODES);
        }
        // One window in which every request is retried.
        for step in 0..100 {
            let now = Time::from_micros(60_000_000 + step * 100_000);
            budget.deposit(&BOUND, NODES);
            requests += 1;
            while budget.try_withdraw(now, &BOUND, NODES, RetryKind::NotRun) {
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
    let mut budget = RetryBudget::new(Time::ZERO, &BOUND, 10);
    let mut taken = 0;
    while budget.try_withdraw(Time::ZERO, &BOUND, 10, RetryKind::NotRun) {
        taken += 1;
    }
    // The balances and refills of 10 nodes share the slack of 60.
    assert!((1..=3).contains(&taken), "{taken}");
    assert!(budget.try_withdraw(Time::from_micros(20_000_000), &BOUND, 10, RetryKind::NotRun));
}

/// Guards against shares of the bound that are too large because each node knows only few others, as after many restarts at once.
#[test_case(1; "each knows itself")]
#[test_case(3; "each knows three")]
fn nodes_that_do_not_know_each_other_yet_stay_below_the_bound(known: usize) {
    const NODES: usize = 12;
    let mut sent = 0;
    for _ in 0..NODES {
        let start = Time::from_micros(60_000_000);
        let mut budget = RetryBudget::new(start, &BOUND, known);
        for step in 0..100 {
            let now = start + Duration::from_millis(step * 100);
            let nodes = if step < 20 { known } else { NODES };
            while budget.try_withdraw(now, &BOUND, nodes, RetryKind::NotRun) {
                sent += 1;
            }
        }
    }
    assert!(f64::from(sent) <= BOUND.slack, "{sent} retries, allowed {}", BOUND.slack);
}
