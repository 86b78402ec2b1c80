use std::collections::BTreeSet;

use compact_str::CompactString;

use super::*;

/// Returns a node that has read the given orders, and learns that the store has returned from a copy.
fn restored_node(order: Option<RolloutOrder>, centres: &[&str]) -> TestNode {
    let mut node = TestNode::new(&THREE_MEMBERS);
    node.apply(Event::StoreEra(1));
    if order.is_some() {
        node.apply(Event::Rollout { service: "stock".into(), order });
    }
    node.apply(Event::Evacuated(names(centres)));
    node.apply(Event::Revisions([Position { era: 1, revision: 9 }; 3]));
    node.apply(Event::StoreEra(2));
    node
}

/// Ends the update that [`restored_node`] has begun.
fn complete(node: &mut TestNode) {
    node.apply(Event::Revisions([Position { era: 2, revision: 4 }; 3]));
}

fn names(names: &[&str]) -> BTreeSet<CompactString> {
    names.iter().map(|name| CompactString::from(*name)).collect()
}

fn order(version: &str) -> RolloutOrder {
    let duration = Duration::from_secs(20);
    RolloutOrder { service: "stock".into(), version: version.into(), duration }
}

fn wait(node: &mut TestNode, time: Duration) {
    node.now += time;
    node.apply(Event::Timer(Timer::Tick));
}

fn ordered_version(node: &TestNode) -> Option<&str> {
    node.reducer.rollouts.get("stock").map(|rollout| rollout.order.version.as_str())
}

/// Guards against requests to a data centre out of service in the time in which the store lacks its order.
#[test]
fn a_lost_evacuation_stays_in_force_for_a_while() {
    let mut node = restored_node(None, &["a", "b"]);
    node.apply(Event::Evacuated(names(&["c"])));
    complete(&mut node);
    assert_eq!(node.reducer.evacuated, names(&["a", "b", "c"]));
    node.apply(Event::Evacuated(names(&["b", "c"])));
    wait(&mut node, Duration::from_secs(9));
    assert_eq!(node.reducer.evacuated, names(&["a", "b", "c"]));
    wait(&mut node, Duration::from_secs(2));
    assert_eq!(node.reducer.evacuated, names(&["b", "c"]));
    node.apply(Event::Evacuated(names(&["c"])));
    assert_eq!(node.reducer.evacuated, names(&["c"]));
}

/// Guards against a bad version that gets all requests in the time in which the store lacks its order.
#[test]
fn a_lost_rollout_order_stays_in_force_for_a_while() {
    let mut node = restored_node(Some(order("v2")), &[]);
    node.apply(Event::Rollout { service: "stock".into(), order: None });
    complete(&mut node);
    wait(&mut node, Duration::from_secs(9));
    assert_eq!(ordered_version(&node), Some("v2"));
    wait(&mut node, Duration::from_secs(2));
    assert_eq!(ordered_version(&node), None);
}

/// Guards against an order that is dropped although the operator has written it again, and against one that stays
/// although the operator has removed it.
#[test]
fn an_order_written_again_is_no_longer_lost() {
    let mut node = restored_node(Some(order("v2")), &[]);
    node.apply(Event::Rollout { service: "stock".into(), order: Some(order("v1")) });
    complete(&mut node);
    assert_eq!(ordered_version(&node), Some("v2"), "the order before it is older");
    node.apply(Event::Rollout { service: "stock".into(), order: Some(order("v2")) });
    wait(&mut node, Duration::from_secs(11));
    assert_eq!(ordered_version(&node), Some("v2"));
    node.apply(Event::Rollout { service: "stock".into(), order: None });
    assert_eq!(ordered_version(&node), None);
}

/// Guards against an order that is ignored because it was first read after the store's return.
#[test]
fn a_restored_order_is_obeyed_at_once() {
    let mut node = restored_node(None, &[]);
    node.apply(Event::Rollout { service: "stock".into(), order: Some(order("v2")) });
    node.apply(Event::Evacuated(names(&["b"])));
    assert_eq!(ordered_version(&node), Some("v2"));
    assert_eq!(node.reducer.evacuated, names(&["b"]));
}

/// Guards against a rollout in a deployment that states no bound on the exposure of a faulty version.
#[test]
fn rollout_orders_are_ignored_without_a_bound_on_exposure() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    let limits = Limits { max_exposure: None, ..local_node().limits };
    node.apply(Event::Limits(limits));
    node.apply(Event::Rollout { service: "stock".into(), order: Some(order("v2")) });
    assert!(!node.reducer.has_active_rollout("stock"));
}
