//! The share of the demand that goes to other data centres, as a node decides it.

use super::*;

/// Applies ten seconds of requests while the target of the own data centre has this load, and returns the members that
/// the last requests were sent to and the log lines about shares.
fn play(node: &mut TestNode, load: LoadReport) -> (Vec<u64>, Vec<Effect>) {
    let (mut chosen, mut logged) = (Vec::new(), Vec::new());
    let start = node.now;
    for step in 1..=100 {
        node.now = start + Duration::from_millis(100 * step);
        node.receive_status(2, load);
        node.receive_status(4, idle_load());
        let is_share = |effect: &Effect| matches!(effect, Effect::Log(Record::RemoteShare { .. }));
        logged.extend(node.apply(Event::Timer(Timer::Tick)).into_iter().filter(is_share));
        let (key, effects) = node.call("/read/1");
        chosen.extend(attempt(&effects).map(|attempt| member(&attempt)));
        node.apply(Event::Call(key, CallEvent::Ended));
    }
    (chosen.split_off(50), logged)
}

/// Guards against a node that sends traffic away without a shortage, keeps all of it during one, or logs each change.
#[test]
fn a_node_sends_traffic_away_only_during_a_shortage() {
    let mut node = TestNode::new(&[(2, "stock", "a"), (4, "stock", "b")]);
    let (chosen, logged) = play(&mut node, LoadReport { running: 4, ..idle_load() });
    assert!(chosen.iter().all(|&member| member == 2) && logged.is_empty());
    assert_eq!(node.reducer.gauge_values(node.now).remote_shares[0].share, 0.0);

    let (chosen, logged) = play(&mut node, LoadReport { running: 9, queued: 6, ..idle_load() });
    assert!(chosen.iter().filter(|&&member| member == 4).count() > 5, "{chosen:?}");
    assert!((1..=3).contains(&logged.len()), "{logged:?}");
    let shares = node.reducer.gauge_values(node.now).remote_shares;
    assert!(shares.len() == 1 && shares[0].share > 0.1, "{shares:?}");
}

/// Guards against traffic to a data centre out of service or one whose nodes are silent.
#[test]
fn an_unusable_data_centre_has_no_share() {
    let busy = LoadReport { running: 9, queued: 6, ..idle_load() };
    let mut node = TestNode::new(&[(2, "stock", "a"), (4, "stock", "b")]);
    play(&mut node, busy);
    let share = |node: &TestNode| node.reducer.gauge_values(node.now).remote_shares[0].share;
    assert!(share(&node) > 0.1);
    node.apply(Event::Evacuated(["b".into()].into()));
    let (chosen, _) = play(&mut node, busy);
    assert!(chosen.iter().all(|&member| member == 2) && share(&node) == 0.0);
    node.apply(Event::Evacuated(Default::default()));
    play(&mut node, busy);
    assert!(share(&node) > 0.1);
    for _ in 0..30 {
        node.now += Duration::from_millis(100);
        node.receive_status(2, busy);
        node.apply(Event::Timer(Timer::Tick));
    }
    assert_eq!(share(&node), 0.0);
}
