use std::collections::BTreeSet;

use rand::{Rng as _, SeedableRng, rngs::SmallRng, seq::IndexedRandom as _};

use super::*;
use crate::event::AnswerHead;

const SIX_MEMBERS: [(u64, &str, &str); 6] = [
    (2, "stock", "a"),
    (3, "stock", "a"),
    (4, "stock", "a"),
    (5, "stock", "b"),
    (6, "stock", "b"),
    (7, "stock", "b"),
];

/// How an attempt ends, and whether the target ran the request or may have.
const OUTCOMES: [(&str, bool); 9] = [
    ("answered with 500", true),
    ("answered with 404", true),
    ("shed", false),
    ("overloaded", false),
    ("no target", false),
    ("not sent", false),
    ("lost", true),
    ("node lost", true),
    ("cut", true),
];

fn event(attempt: u32, outcome: &str) -> CallEvent {
    let answered = |status| {
        let answer = AnswerHead { status, nominal_service: None, size: 100 };
        CallEvent::Answered { attempt, answer, load: Some(idle_load()) }
    };
    let refused = |reason| {
        let wait = Duration::from_millis(20);
        CallEvent::Refused { attempt, reason, wait, load: Some(idle_load()) }
    };
    let failed = |failure| CallEvent::Failed { attempt, failure };
    match outcome {
        "answered with 500" => answered(500),
        "answered with 404" => answered(404),
        "shed" => CallEvent::Shed { attempt, load: Some(idle_load()) },
        "overloaded" => refused(Reason::Overloaded),
        "no target" => refused(Reason::NoTarget),
        "not sent" => failed(Failure::NotSent),
        "lost" => failed(Failure::Lost),
        "node lost" => failed(Failure::NodeLost),
        "cut" => failed(Failure::BodyCut),
        other => panic!("{other}"),
    }
}

/// Returns a node whose retry budget allows retries, and whose route allows `attempts` targets.
fn node_with_route(attempts: u8) -> TestNode {
    let mut node = TestNode::new(&SIX_MEMBERS);
    let mut table = config(2);
    table.routes.iter_mut().for_each(|route| route.attempts = attempts);
    node.apply(Event::Config(Arc::new(RouteTable::new(table))));
    node.now = at_ms(60_000);
    for _ in 0..60 {
        let (key, _) = node.call("/read/1");
        node.apply(Event::Call(key, CallEvent::Ended));
    }
    for (id, ..) in SIX_MEMBERS {
        node.receive_status(id, idle_load());
    }
    node
}

/// Guards against a request on three targets of a route that allows two: the first attempt was open when the second was lost.
#[test]
fn an_open_attempt_counts_among_the_targets_that_run_a_request() {
    let mut node = node_with_route(2);
    let (key, effects) = node.call("/read/1");
    let first = attempt(&effects).expect("an attempt");
    node.now = at_ms(60_200);
    let second = attempt(&node.apply(Event::Timer(Timer::Hedge(key)))).expect("a hedge");
    assert_ne!(member(&first), member(&second));
    let effects = node.apply(Event::Call(key, event(second.number, "lost")));
    assert_eq!(attempt(&effects), None, "a third target");
}

/// Guards against any order of outcomes that brings one request to more targets than its route allows.
#[test]
fn no_order_of_outcomes_exceeds_the_targets_that_a_route_allows() {
    let mut rng = SmallRng::seed_from_u64(35);
    let mut exceeded = BTreeSet::new();
    for _ in 0..2_000 {
        let allowed = rng.random_range(1..=3);
        let mut node = node_with_route(allowed);
        let path = if rng.random_bool(0.8) { "/read/1" } else { "/pay/1" };
        let (key, effects) = node.call(path);
        let is_hedge_timer =
            |effect: &Effect| matches!(effect, Effect::Arm { timer: Timer::Hedge(_), .. });
        let mut has_hedge = effects.iter().any(is_hedge_timer);
        let mut open: Vec<Attempt> = attempt(&effects).into_iter().collect();
        let mut ran: Vec<u64> = Vec::new();
        let mut history = Vec::new();
        for _ in 0..8 {
            node.now += Duration::from_millis(rng.random_range(0..60));
            let effects = if has_hedge && rng.random_bool(0.3) {
                has_hedge = false;
                history.push("hedge");
                node.apply(Event::Timer(Timer::Hedge(key)))
            } else if open.is_empty() {
                break;
            } else {
                let ended = open.swap_remove(rng.random_range(0..open.len()));
                let &(outcome, may_have_run) = OUTCOMES.choose(&mut rng).expect("an outcome");
                ran.extend(may_have_run.then(|| member(&ended)));
                history.push(outcome);
                node.apply(Event::Call(key, event(ended.number, outcome)))
            };
            open.extend(attempt(&effects));
            let reached: BTreeSet<u64> =
                ran.iter().copied().chain(open.iter().map(member)).collect();
            if reached.len() > usize::from(allowed) {
                exceeded.insert(format!(
                    "{path} allowed {allowed}, reached {}: {history:?}",
                    reached.len()
                ));
            }
        }
    }
    assert!(exceeded.is_empty(), "{} orders, such as {:?}", exceeded.len(), exceeded.first());
}
