use super::*;
use crate::node_status::Extension;

/// Returns positions with these eras and revisions.
fn positions(eras: [u64; 3], revisions: [u64; 3]) -> Revisions {
    std::array::from_fn(|n| Position { era: eras[n], revision: revisions[n] })
}

fn status_with(eras: Option<[u64; 3]>, revisions: [u64; 3], config_version: u64) -> NodeStatus {
    let extension = eras.map(|eras| Extension { eras, config_version });
    NodeStatus { revisions, extension, ..status_from(2, idle_load()) }
}

fn pulls(node: &mut TestNode, status: NodeStatus) -> bool {
    node.apply(Event::PullEnded);
    let effects = node.apply(Event::Status { status, source: address(2) });
    effects.iter().any(|effect| matches!(effect, Effect::Pull(_)))
}

/// Guards against a node that ignores what others know since the store has returned from a copy.
#[test]
fn a_node_of_a_newer_era_is_ahead() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    node.apply(Event::Revisions(positions([1; 3], [9; 3])));
    assert!(!pulls(&mut node, status_with(Some([1; 3]), [9; 3], 1)));
    assert!(pulls(&mut node, status_with(Some([1, 2, 1]), [9, 4, 9], 1)));
    node.apply(Event::Revisions(positions([2; 3], [4; 3])));
    assert!(!pulls(&mut node, status_with(Some([1; 3]), [9; 3], 1)));
    assert!(pulls(&mut node, status_with(Some([2; 3]), [4, 4, 5], 1)));
}

/// Guards against pulls from a node whose build does not know eras and which holds what the store has lost.
#[test]
fn a_status_without_eras_is_of_the_first_one() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    node.apply(Event::Revisions(positions([1; 3], [9; 3])));
    assert!(pulls(&mut node, status_with(None, [10, 9, 9], 1)));
    node.apply(Event::Revisions(positions([2; 3], [4; 3])));
    assert!(!pulls(&mut node, status_with(None, [10, 9, 9], 1)));
}
