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
            key: None,
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

/// Returns a request of another node that may wait for ten seconds.
fn patient_work(from: u64) -> WorkHead {
    WorkHead {
        from: Some(MemberId(from)),
        objective: Duration::from_secs(10),
        full_objective: Duration::from_secs(10),
        timeout: Duration::from_secs(12),
        nominal_service: Duration::from_secs(2),
        ..work_head("/own/")
    }
}

fn refused_works(effects: &[Effect]) -> Vec<WorkKey> {
    let refused = effects.iter().filter_map(|effect| match effect {
        Effect::Work(key, WorkStep::Refuse { .. }) => Some(*key),
        _ => None,
    });
    refused.collect()
}

/// Guards against a request that waits at another node for a slot while its entry node ends: no node refused it, and its
/// caller got no answer.
#[test]
fn a_stopping_node_recalls_its_requests() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    let (_, effects) = node.call("/pay/1");
    let to = member(&attempt(&effects).expect("an attempt"));
    let recalled = |effects: &[Effect]| -> Vec<(u64, Duration)> {
        let recalls = effects.iter().filter_map(|effect| match effect {
            Effect::Recall { member, left, .. } => Some((member.0, *left)),
            _ => None,
        });
        recalls.collect()
    };
    let effects = node.apply(Event::Stop);
    assert_eq!(recalled(&effects), [(to, Duration::from_millis(5_700))]);
    let at = effects.iter().find_map(|effect| match effect {
        Effect::Arm { timer: Timer::StopRecall, after } => Some(*after),
        _ => None,
    });
    assert_eq!(at, Some(Duration::from_secs(5)));
    node.now = at_ms(5_000);
    let effects = node.apply(Event::Timer(Timer::StopRecall));
    assert_eq!(recalled(&effects), [(to, Duration::ZERO)]);
}

/// Guards against a recall that refuses what runs, what ends in time, or requests of other nodes.
#[test]
fn a_recall_refuses_what_would_not_end_in_time() {
    let mut node = TestNode::new(&[]).with_target();
    // The node learns how long the requests take.
    let (first, _) = node.work_with(patient_work(2));
    node.now = at_ms(2_000);
    node.apply(Event::Work(first, WorkEvent::Answered { status: 200 }));
    let running: Vec<WorkKey> = (0..8).map(|_| node.work_with(patient_work(2)).0).collect();
    let queued: Vec<WorkKey> = (0..16).map(|_| node.work_with(patient_work(2)).0).collect();
    let (other, _) = node.work_with(patient_work(3));
    assert_eq!(node.reducer.admission.in_progress(), 25);
    let left = Duration::from_millis(5_700);
    let refused = refused_works(&node.apply(Event::Recalled { from: MemberId(2), left }));
    assert!(!refused.is_empty() && refused.len() < queued.len(), "{}", refused.len());
    assert!(refused.iter().all(|key| queued.contains(key)));
    let left = Duration::ZERO;
    let rest = refused_works(&node.apply(Event::Recalled { from: MemberId(2), left }));
    assert_eq!(refused.len() + rest.len(), queued.len());
    assert!(!rest.contains(&other));
    for work in running {
        let effects = node.apply(Event::Work(work, WorkEvent::Answered { status: 200 }));
        assert!(refused_works(&effects).is_empty());
    }
}

/// Guards against callers whose connection ends without an answer at the end of the grace period.
#[test]
fn a_forced_end_answers_all_callers() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    let (key, _) = node.call("/pay/1");
    node.apply(Event::Stop);
    node.now = at_ms(5_700);
    let effects = node.apply(Event::Timer(Timer::StopDeadline));
    let refusal = refusal(&effects).expect("a refusal");
    assert_eq!((refusal.status().as_u16(), refusal.may_have_run), (502, true));
    let position = |wanted: &dyn Fn(&Effect) -> bool| effects.iter().position(wanted);
    let refused_at =
        position(&|effect| matches!(effect, Effect::Call(k, CallStep::Refuse(_)) if *k == key));
    assert!(refused_at < position(&|effect| *effect == Effect::Exit));
}

/// Guards against an attempt that begins during a stop and is queued elsewhere beyond its end.
#[test]
fn an_attempt_during_a_stop_must_end_before_it() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    let mut table = config(2);
    table.routes[1].timeout = Duration::from_secs(12);
    table.routes[1].objective = Duration::from_secs(10);
    node.apply(Event::Config(Arc::new(RouteTable::new(table))));
    let head = CallHead {
        id: "id".into(),
        host: "shop".into(),
        path: "/pay/1".into(),
        timeout: Some(Duration::from_secs(12)),
        can_resend: true,
        key: None,
        fingerprint: RequestHash::of(["pay".as_bytes()]),
    };
    let key = node.calls.insert(());
    let first = attempt(&node.apply(Event::Call(key, CallEvent::Arrived(head))));
    assert_eq!(first.map(|attempt| attempt.spec.objective), Some(Duration::from_secs(10)));
    node.apply(Event::Stop);
    node.now = at_ms(1_000);
    let (reason, wait) = (Reason::Overloaded, Duration::from_millis(80));
    let refused = CallEvent::Refused { attempt: 1, reason, wait, load: None };
    let second = attempt(&node.apply(Event::Call(key, refused))).expect("another attempt");
    let left = Duration::from_millis(4_700);
    assert_eq!((second.spec.objective, second.spec.timeout), (left, left));
}

/// Guards against a recall that arrives late, after a later one, and gives requests back the time that it took from them.
#[test]
fn a_late_recall_does_not_extend_the_time() {
    let mut node = TestNode::new(&[]).with_target();
    let (first, _) = node.work_with(patient_work(2));
    node.now = at_ms(2_000);
    node.apply(Event::Work(first, WorkEvent::Answered { status: 200 }));
    let running: Vec<WorkKey> = (0..8).map(|_| node.work_with(patient_work(2)).0).collect();
    let (queued, _) = node.work_with(patient_work(2));
    let recall =
        |left_ms| Event::Recalled { from: MemberId(2), left: Duration::from_millis(left_ms) };
    assert!(refused_works(&node.apply(recall(4_500))).is_empty());
    node.apply(recall(5_700));
    // Nothing has ended, so the request can no longer end in time.
    node.now = at_ms(5_000);
    let effects = node.apply(Event::Timer(Timer::Queue));
    assert_eq!(refused_works(&effects), [queued]);
    assert_eq!(node.reducer.admission.in_progress(), running.len());
}

/// Guards against a recall of a node that has no requests here, or of one that is unknown.
#[test]
fn a_recall_of_another_node_changes_nothing() {
    let mut node = TestNode::new(&[]).with_target();
    (0..12).for_each(|_| drop(node.work_with(patient_work(2))));
    let before = node.reducer.admission.in_progress();
    for from in [3, 99] {
        let recalled = Event::Recalled { from: MemberId(from), left: Duration::ZERO };
        assert!(refused_works(&node.apply(recalled)).is_empty());
    }
    assert_eq!(node.reducer.admission.in_progress(), before);
}
