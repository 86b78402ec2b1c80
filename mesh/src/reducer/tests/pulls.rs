use super::*;
use crate::event::PullOutcome;

fn status_with(from: u64, known: [u64; 3]) -> Event {
    let status = NodeStatus { revisions: known, ..status_from(from, idle_load()) };
    Event::Status { status, source: address(from) }
}

fn node() -> TestNode {
    let mut node = TestNode::new(&THREE_MEMBERS);
    node.apply(Event::Revisions(revisions([1, 1, 1])));
    node
}

fn is_pull_from(effects: &[Effect], id: u64) -> bool {
    effects.contains(&Effect::Pull(address(id)))
}

/// Guards against a configuration that only a node of another data centre has and that is never pulled, because the
/// members keep changing and are pulled from nodes of the own data centre.
#[test]
fn newer_members_nearby_do_not_hide_newer_orders_elsewhere() {
    let mut node = node();
    node.apply(status_with(4, [1, 5, 1]));
    let mut has_asked = false;
    for round in 2..20 {
        node.now = at_ms(round * 100);
        let mut effects = node.apply(status_with(2, [round, 1, 1]));
        effects.extend(node.apply(Event::Timer(Timer::Tick)));
        has_asked |= is_pull_from(&effects, 4);
        if is_pull_from(&effects, 2) {
            node.apply(Event::Revisions(revisions([round, 1, 1])));
        }
        node.apply(Event::PullEnded(PullOutcome::Done));
    }
    assert!(has_asked);
}

/// Guards against a pull that brings only members and is not followed by one for the orders until the next status.
#[test]
fn a_pull_without_the_orders_is_followed_by_another() {
    let mut node = node();
    assert!(is_pull_from(&node.apply(status_with(2, [3, 5, 1])), 2));
    node.apply(Event::Revisions(revisions([3, 1, 1])));
    node.apply(Event::PullEnded(PullOutcome::Done));
    node.now = at_ms(300);
    assert!(is_pull_from(&node.apply(Event::Timer(Timer::Tick)), 2));
}

/// Guards against a node that never learns of a member that registered after this node had read the store.
#[test]
fn a_status_of_an_unknown_member_leads_to_a_pull() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    let mut unknown = status_from(9, idle_load());
    unknown.revisions = [5, 0, 0];
    let effects = node.apply(Event::Status { status: unknown.clone(), source: address(9) });
    assert!(effects.contains(&Effect::Pull(address(9))));
    let effects = node.apply(Event::Status { status: unknown, source: address(9) });
    assert!(!effects.contains(&Effect::Pull(address(9))), "one pull at a time");
}

/// Guards against traffic between data centres for changes that nodes of the same data centre are about to have.
#[test]
fn pulls_from_another_data_centre_are_delayed() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    let mut far = status_from(4, idle_load());
    far.revisions = [5, 0, 0];
    let effects = node.apply(Event::Status { status: far.clone(), source: address(4) });
    assert!(!effects.contains(&Effect::Pull(address(4))));
    node.now = at_ms(400);
    let effects = node.apply(Event::Status { status: far, source: address(4) });
    assert!(effects.contains(&Effect::Pull(address(4))));
}

/// Guards against a configuration that no node of this data centre has and that is pulled only after the next status
/// from another data centre, which may take seconds.
#[test]
fn a_delayed_pull_needs_no_further_status() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    let mut far = status_from(4, idle_load());
    far.revisions = [0, 5, 0];
    node.apply(Event::Status { status: far, source: address(4) });
    node.now = at_ms(100);
    assert!(!node.apply(Event::Timer(Timer::Tick)).contains(&Effect::Pull(address(4))));
    node.now = at_ms(300);
    assert!(node.apply(Event::Timer(Timer::Tick)).contains(&Effect::Pull(address(4))));
    node.now = at_ms(400);
    assert!(!node.apply(Event::Timer(Timer::Tick)).contains(&Effect::Pull(address(4))));
}
