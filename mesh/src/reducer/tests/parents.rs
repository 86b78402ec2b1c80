use test_case::test_case;

use super::*;

/// Returns a node whose target runs requests with these priorities, which end `end` milliseconds after they were sent.
fn node_that_runs(works: &[(u8, u64)]) -> TestNode {
    let mut node = TestNode::new(&THREE_MEMBERS).with_target();
    for &(priority, end) in works {
        let head = WorkHead { priority, timeout: Duration::from_millis(end), ..work_head("/own/") };
        node.work_with(head);
    }
    node
}

/// Returns the attempt of a request on a route of priority 5 whose caller waits for `timeout` milliseconds.
fn attempt_of(node: &mut TestNode, timeout: Option<u64>) -> Attempt {
    attempt_with_id(node, "nested", timeout)
}

fn attempt_with_id(node: &mut TestNode, id: &str, timeout: Option<u64>) -> Attempt {
    let mut config = config(2);
    config.routes[0].priority = 5;
    node.apply(Event::Config(Arc::new(RouteTable::new(config))));
    let head = CallHead {
        id: id.into(),
        host: "shop".into(),
        path: "/read/1".into(),
        timeout: timeout.map(Duration::from_millis),
        can_resend: true,
        key: None,
        fingerprint: RequestHash::of([b"nested".as_slice()]),
    };
    let key = node.calls.insert(());
    let effects = node.apply(Event::Call(key, CallEvent::Arrived(head)));
    attempt(&effects).expect("an attempt")
}

/// Guards against a nested call that waits behind requests of lower priority than the one that it serves, and against an
/// ordinary request that is taken for a nested call.
#[test_case(&[(1, 900)], Some(900), Some(1); "the same end")]
#[test_case(&[(1, 900)], Some(896), Some(1); "an end some milliseconds earlier")]
#[test_case(&[(1, 900)], Some(904), Some(1); "an end some milliseconds later")]
#[test_case(&[(1, 900)], Some(850), None; "an earlier end")]
#[test_case(&[(1, 900)], Some(950), None; "a later end")]
#[test_case(&[(1, 900)], None, None; "no end")]
#[test_case(&[], Some(900), None; "nothing runs")]
#[test_case(&[(3, 901), (1, 899), (2, 900)], Some(900), Some(1); "several with this end")]
#[test_case(&[(0, 700), (3, 900)], Some(900), Some(3); "another with a better priority")]
#[test_case(&[(9, 900)], Some(900), Some(5); "a parent of lower priority than the route")]
fn a_nested_call_has_the_priority_of_its_parent(
    works: &[(u8, u64)],
    timeout: Option<u64>,
    inherited: Option<u8>,
) {
    let mut node = node_that_runs(works);
    let attempt = attempt_of(&mut node, timeout);
    assert_eq!(attempt.is_nested, inherited.is_some());
    assert_eq!(attempt.spec.priority, inherited.unwrap_or(5));
}

/// Guards against a nested call with a shorter time than its parent that is taken for an ordinary request, and against a
/// request that names one which does not run here.
#[test_case("id.1", true; "the id of the parent and a suffix")]
#[test_case("id.", true; "an empty suffix")]
#[test_case("id", false; "the id of the parent itself")]
#[test_case("other.1", false; "an id that does not run here")]
#[test_case(".1", false; "no id before the suffix")]
#[test_case("id.1.2", false; "a call of a call that runs elsewhere")]
fn a_nested_call_names_its_parent(id: &str, is_nested: bool) {
    let mut node = TestNode::new(&THREE_MEMBERS).with_target();
    node.work_with(WorkHead { priority: 1, ..work_head("/own/") });
    let attempt = attempt_with_id(&mut node, id, Some(400));
    assert_eq!(
        (attempt.is_nested, attempt.spec.priority),
        (is_nested, if is_nested { 1 } else { 5 })
    );
}

/// Guards against a nested call that is refused because it would miss the objective of its own route, while the request that
/// it serves would still be in time.
#[test]
fn a_nested_call_has_the_time_that_its_parent_can_spare() {
    let mut node = TestNode::new(&THREE_MEMBERS).with_target();
    let (objective, timeout) = (Duration::from_secs(2), Duration::from_millis(2_500));
    let nominal_service = Duration::from_millis(200);
    node.work_with(WorkHead { objective, timeout, nominal_service, ..work_head("/own/") });
    let attempt = attempt_of(&mut node, Some(2_500));
    assert_eq!(attempt.spec.objective, Duration::from_millis(1_800));
}

/// Guards against a parent without time to spare that shortens the time of its call.
#[test]
fn a_nested_call_keeps_the_objective_of_its_route() {
    let mut node = TestNode::new(&THREE_MEMBERS).with_target();
    let objective = Duration::from_millis(300);
    node.work_with(WorkHead { objective, ..work_head("/own/") });
    let attempt = attempt_of(&mut node, Some(1_000));
    assert_eq!(attempt.spec.objective, Duration::from_millis(500));
}
