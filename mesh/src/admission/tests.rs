use std::time::Duration;

use compact_str::CompactString;
use slotmap::SlotMap;
use test_case::test_case;

use super::{AdmissionController, AdmissionRequest, Decision, Dequeued, WorkOutcome};
use crate::{keys::WorkKey, refusal::Reason, time::Time};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1_000)
}

/// An admission controller with the requests that were sent to it.
struct Harness {
    /// The route of each request.
    keys: SlotMap<WorkKey, CompactString>,
    controller: AdmissionController,
}

impl Harness {
    /// A controller of a target with 10 slots and a measured service time of 100 ms.
    fn new() -> Harness {
        let mut controller = AdmissionController::new();
        controller.set_slots(10);
        controller.set_closed(None);
        let mut harness = Harness { keys: SlotMap::with_key(), controller };
        let work = harness.admit(at(0), &request(0, 10_000)).0;
        harness.controller.finish(at(100), work, WorkOutcome::Answer);
        harness
    }

    fn admit(&mut self, now: Time, request: &AdmissionRequest) -> (WorkKey, Decision) {
        let key = self.keys.insert(request.route.clone());
        (key, self.controller.admit(now, key, request))
    }

    /// Starts requests up to the concurrency limit.
    fn fill(&mut self, now: Time) -> Vec<WorkKey> {
        let request = request(0, 60_000);
        let admitted = (0..8).map(|_| self.admit(now, &request));
        admitted
            .map(|(key, decision)| (decision == Decision::Run).then_some(key))
            .map(|k| k.expect("room"))
            .collect()
    }
}

fn request(priority: u8, objective: u64) -> AdmissionRequest {
    AdmissionRequest {
        route: "stock".into(),
        team: None,
        priority,
        objective: at(objective),
        deadline: at(objective + 1_000),
        is_late: false,
        is_nested: false,
        full_objective: ms(300),
        nominal_service: ms(100),
    }
}

fn is_refused(decision: Decision, expected: Reason) -> bool {
    matches!(decision, Decision::Refuse { reason, .. } if reason == expected)
}

/// Guards against using all slots of a target, which slows down all of its requests.
#[test]
fn some_slots_stay_free() {
    let mut harness = Harness::new();
    harness.fill(at(200));
    assert_eq!(harness.admit(at(200), &request(0, 60_000)).1, Decision::Queue);
    assert_eq!(harness.controller.report(at(200)).limit, 8);
}

/// Guards against queueing a request whose objective cannot be met.
#[test]
fn request_that_would_miss_its_objective_is_refused_at_once() {
    let mut harness = Harness::new();
    harness.fill(at(200));
    let (_, decision) = harness.admit(at(200), &request(0, 290));
    assert!(is_refused(decision, Reason::Overloaded), "{decision:?}");
    let Decision::Refuse { wait, .. } = decision else { unreachable!() };
    assert!(wait > Duration::ZERO);
}

/// Guards against starting a request before a queued one of higher priority.
#[test]
fn higher_priority_starts_first() {
    let mut harness = Harness::new();
    let running = harness.fill(at(200));
    let low = harness.admit(at(200), &request(2, 60_000)).0;
    let high = harness.admit(at(201), &request(0, 60_000)).0;
    assert_eq!(
        harness.controller.finish(at(300), running[0], WorkOutcome::Answer),
        [Dequeued::Run(high)]
    );
    assert_eq!(
        harness.controller.finish(at(301), running[1], WorkOutcome::Answer),
        [Dequeued::Run(low)]
    );
}

/// Guards against keeping a request in the queue until its objective has passed.
#[test]
fn queued_request_is_refused_when_it_becomes_late() {
    let mut harness = Harness::new();
    harness.fill(at(200));
    let (queued, decision) = harness.admit(at(200), &request(0, 350));
    assert_eq!(decision, Decision::Queue);
    assert!(harness.controller.advance(at(210)).is_empty());
    let next = harness.controller.advance(at(300));
    assert!(
        matches!(next[..], [Dequeued::Refuse { work, reason: Reason::Overloaded, .. }] if work == queued)
    );
}

/// Guards against late requests that take capacity from requests in time.
#[test]
fn late_requests_run_only_in_spare_capacity() {
    let mut harness = Harness::new();
    let late = AdmissionRequest { is_late: true, ..request(0, 0) };
    let late = AdmissionRequest { deadline: at(60_000), ..late };
    for _ in 0..4 {
        assert_eq!(harness.admit(at(200), &late).1, Decision::Run);
    }
    assert!(is_refused(harness.admit(at(200), &late).1, Reason::Overloaded));
    assert_eq!(harness.admit(at(200), &request(0, 60_000)).1, Decision::Run);
}

/// Guards against reserving capacity for requests in time at a target that is too slow for any to be in time.
#[test]
fn late_requests_use_all_capacity_if_none_can_be_in_time() {
    let mut harness = Harness::new();
    harness.controller.update_slowdown(at(200), 1_000);
    let late = AdmissionRequest { is_late: true, deadline: at(60_000), ..request(0, 0) };
    let decisions = (0..9).map(|_| harness.admit(at(2_200), &late).1);
    assert_eq!(decisions.filter(|decision| *decision == Decision::Run).count(), 8);
}

/// Guards against exceeding the permitted request rate of a target in cold start in any second, and against using less
/// than 70 % of it, also after a period without requests.
#[test_case(20)]
#[test_case(32)]
#[test_case(120)]
fn cold_target_gets_its_permitted_rate(bound: u32) {
    let mut harness = Harness::new();
    harness.controller.set_cold_rate(at(200), Some(bound.into()));
    let mut started: Vec<u64> = Vec::new();
    for now in 1_200..4_200 {
        let mut runs = 0;
        if harness.admit(at(now), &request(0, 60_000)).1 == Decision::Run {
            runs += 1;
        }
        let next = harness.controller.advance(at(now));
        runs += next.iter().filter(|next| matches!(next, Dequeued::Run(_))).count();
        for running in harness.controller.running.clone() {
            let next = harness.controller.finish(at(now), running.work, WorkOutcome::Answer);
            runs += next.iter().filter(|next| matches!(next, Dequeued::Run(_))).count();
        }
        started.extend(std::iter::repeat_n(now, runs));
    }
    let in_second =
        |from: u64| started.iter().filter(|at| (from..from + 1_000).contains(*at)).count();
    let max = (1_200..3_200).map(in_second).max().expect("some time");
    assert!(max <= bound as usize, "{max} requests in one second");
    let min = (1_200..3_200).map(in_second).min().expect("some time");
    assert!(
        min as f64 >= f64::from(bound) * 0.7,
        "only {min} requests in one second, permitted {bound}"
    );
}

/// Guards against admitting requests for a target out of service, and against leaving queued ones without a decision.
#[test]
fn closing_refuses_queued_requests_too() {
    let mut harness = Harness::new();
    harness.fill(at(200));
    let (queued, _) = harness.admit(at(200), &request(0, 60_000));
    let next = harness.controller.set_closed(Some(Reason::OutOfService));
    let expected =
        Dequeued::Refuse { work: queued, reason: Reason::OutOfService, wait: Duration::ZERO };
    assert_eq!(next, [expected]);
    assert!(is_refused(harness.admit(at(200), &request(0, 60_000)).1, Reason::OutOfService));
}

/// Guards against starting a request that will be late because of a slowdown, while another target may be fast.
#[test]
fn slowdown_refuses_requests_that_would_be_late() {
    let mut harness = Harness::new();
    harness.controller.update_slowdown(at(200), 1_000);
    assert!(is_refused(harness.admit(at(2_200), &request(0, 2_500)).1, Reason::Overloaded));
    harness.controller.update_slowdown(at(200), 100);
    assert_eq!(harness.admit(at(2_210), &request(0, 2_500)).1, Decision::Run);
}

/// Guards against an estimate that is never corrected: an idle target would get no request if the measured service time
/// is longer than the objective.
#[test]
fn idle_target_admits_a_request_to_measure_its_service_time() {
    let mut harness = Harness::new();
    assert_eq!(harness.admit(at(200), &request(0, 250)).1, Decision::Run);
    assert!(is_refused(harness.admit(at(200), &request(0, 250)).1, Reason::Overloaded));
}

/// Guards against a load report without the failure rate, and against a rate that does not decay.
#[test]
fn reported_failure_rate_rises_and_decays() {
    let mut harness = Harness::new();
    for _ in 0..20 {
        let (key, _) = harness.admit(at(200), &request(0, 60_000));
        harness.controller.finish(at(200), key, WorkOutcome::Failure);
    }
    let failing = harness.controller.report(at(200)).failure_permille;
    assert!(failing > 600, "{failing}");
    assert!(harness.controller.report(at(4_200)).failure_permille <= failing / 4 + 1);
}

/// Guards against requests that fail because of a nested call and take slots from requests that would succeed. The
/// target gets twice its capacity, and seven in ten requests of the route with the higher priority fail.
#[test]
fn mostly_failing_routes_leave_slots_to_others() {
    let mut harness = Harness::new();
    let mut running: Vec<(Time, WorkKey, WorkOutcome)> = Vec::new();
    let (mut succeeded, mut started_count) = (0, 0);
    for step in 0..1_000 {
        let now = at(1_000 + step * 10);
        let mut started = Vec::new();
        running.sort_by_key(|&(end, ..)| end);
        while running.first().is_some_and(|&(end, ..)| end <= now) {
            let (_, key, outcome) = running.remove(0);
            succeeded += usize::from(outcome == WorkOutcome::Answer);
            let dequeued = harness.controller.finish(now, key, outcome);
            started.extend(dequeued.into_iter().filter_map(|next| match next {
                Dequeued::Run(key) => Some(key),
                Dequeued::Refuse { .. } => None,
            }));
        }
        let route = if step % 2 == 0 { "pay" } else { "read" };
        let priority = u8::from(route == "read");
        let request =
            AdmissionRequest { route: route.into(), ..request(priority, 1_000 + step * 10 + 500) };
        let (key, decision) = harness.admit(now, &request);
        started.extend((decision == Decision::Run).then_some(key));
        for key in started {
            started_count += 1;
            let is_failure = harness.keys[key] == "pay" && started_count % 10 < 7;
            let outcome = if is_failure { WorkOutcome::Failure } else { WorkOutcome::Answer };
            running.push((now + ms(160), key, outcome));
        }
    }
    // Eight slots at 160 ms per request serve 50 requests per second, for ten seconds.
    assert!(succeeded > 350, "{succeeded} of 500 requests succeeded");
}

/// Guards against a nested call that waits behind new requests of the same priority, whose own calls would then find no room
/// either, and against one that goes ahead of more urgent requests.
#[test]
fn nested_calls_go_before_new_requests_of_the_same_priority() {
    let mut harness = Harness::new();
    let running = harness.fill(at(0));
    let nested = AdmissionRequest { is_nested: true, ..request(1, 60_000) };
    let arrivals = [request(1, 30_000), request(0, 50_000), nested, request(2, 20_000)];
    let queued: Vec<WorkKey> =
        arrivals.iter().map(|request| harness.admit(at(0), request).0).collect();
    let started: Vec<Dequeued> = running
        .into_iter()
        .take(4)
        .flat_map(|key| harness.controller.finish(at(100), key, WorkOutcome::Answer))
        .collect();
    let expected = [queued[1], queued[2], queued[0], queued[3]].map(Dequeued::Run);
    assert_eq!(started, expected);
}
