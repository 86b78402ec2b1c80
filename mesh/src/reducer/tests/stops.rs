use super::*;

/// Guards against a request that is accepted shortly before the end of a graceful stop and cut off by it.
#[test]
fn a_stopping_node_takes_what_it_can_finish() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    node.apply(Event::Stop);
    node.now = at_ms(1_000);
    for id in [2, 3, 4] {
        node.receive_status(id, idle_load());
    }
    assert!(attempt(&node.call("/read/1").1).is_some());
    node.now = at_ms(5_000);
    let refusal = refusal(&node.call("/read/1").1).expect("a refusal");
    assert_eq!((refusal.reason, refusal.status().as_u16()), (Reason::Stopping, 503));
}

/// Guards against a node that exits while a request is in progress, and one that waits although none is.
#[test]
fn a_stop_ends_when_nothing_is_in_progress() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    let (key, _) = node.call("/read/1");
    node.apply(Event::Stop);
    node.now = at_ms(3_000);
    assert!(!node.apply(Event::Timer(Timer::Tick)).contains(&Effect::Exit));
    node.apply(Event::Call(key, CallEvent::Ended));
    assert!(node.apply(Event::Timer(Timer::Tick)).contains(&Effect::Exit));
}
