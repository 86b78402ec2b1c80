use super::*;
use crate::replica::Topic;

/// Returns the status of the answer to a request for a route that the node's configuration lacks.
fn status_of_unknown_route(node: &mut TestNode) -> Option<u16> {
    refusal(&node.call("/added/1").1).map(|refusal| refusal.status().as_u16())
}

/// Guards against a final 404 for a route that was added by a configuration that only other nodes have read so far.
#[test]
fn a_node_behind_the_orders_of_another_does_not_deny_a_route() {
    let mut node = TestNode::new(&[(2, "stock", "a")]);
    let mut status = status_from(2, idle_load());
    status.revisions[Topic::Orders.index()] = 5;
    node.apply(Event::Status { status, source: address(2) });
    assert_eq!(status_of_unknown_route(&mut node), Some(503));
    node.apply(Event::Revisions(revisions([0, 5, 0])));
    assert_eq!(status_of_unknown_route(&mut node), Some(404));
}

/// Guards against a final 404 from a node whose configuration may be old because nobody it hears reaches the store.
#[test]
fn a_node_that_nobody_connects_to_the_store_does_not_deny_a_route() {
    let mut node = TestNode::new(&[(2, "stock", "a")]);
    node.apply(Event::Store { is_reachable: false });
    assert_eq!(status_of_unknown_route(&mut node), Some(404), "another node reaches the store");
    let status = NodeStatus { has_store: false, ..status_from(2, idle_load()) };
    node.apply(Event::Status { status, source: address(2) });
    assert_eq!(status_of_unknown_route(&mut node), Some(503));
    node.apply(Event::Store { is_reachable: true });
    assert_eq!(status_of_unknown_route(&mut node), Some(404));
}

/// Guards against a final 404 from a process that was suspended and has not heard since what changed in that time.
#[test]
fn a_node_that_was_suspended_does_not_deny_a_route() {
    let mut node = TestNode::new(&[(2, "stock", "a")]);
    node.now = at_ms(100);
    node.apply(Event::Timer(Timer::Tick));
    node.now = at_ms(3_000);
    assert_eq!(status_of_unknown_route(&mut node), Some(503), "before the tick that is due");
    node.apply(Event::Timer(Timer::Tick));
    assert_eq!(status_of_unknown_route(&mut node), Some(503), "after it");
    for ms in (3_100..=4_100).step_by(100) {
        node.now = at_ms(ms);
        node.apply(Event::Timer(Timer::Tick));
    }
    node.receive_status(2, idle_load());
    assert_eq!(status_of_unknown_route(&mut node), Some(404));
}
