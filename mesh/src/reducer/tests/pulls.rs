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
