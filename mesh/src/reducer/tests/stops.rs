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

/// Guards against a request that is taken for shorter than its deadline allows and cut off at the end of the grace period.
#[test]
fn a_stopping_node_refuses_what_its_deadline_lets_outlast_the_stop() {
    let mut table = config(2);
    table.routes[1].timeout = Duration::from_secs(5);
    let mut node = TestNode::new(&THREE_MEMBERS);
    node.apply(Event::Config(Arc::new(RouteTable::new(table))));
    node.apply(Event::Stop);
    let call = |node: &mut TestNode, timeout_s: u64| {
        let head = CallHead {
            id: "id".into(),
            host: "shop".into(),
            path: "/pay/1".into(),
            timeout: Some(Duration::from_secs(timeout_s)),
            can_resend: true,
            fingerprint: RequestHash::of(["pay".as_bytes()]),
        };
        let key = node.calls.insert(());
        node.apply(Event::Call(key, CallEvent::Arrived(head)))
    };
    node.now = at_ms(2_000);
    for id in [2, 3, 4] {
        node.receive_status(id, idle_load());
    }
    assert!(attempt(&call(&mut node, 3)).is_some());
    let refusal = refusal(&call(&mut node, 4)).expect("a refusal");
    assert_eq!((refusal.reason, refusal.may_have_run), (Reason::Stopping, false));
}
