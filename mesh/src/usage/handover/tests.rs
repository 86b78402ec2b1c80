use super::{HandOver, MAX_KEPT, MAX_RECEIVERS, MemberId, Received, SocketAddr, receivers};

fn hand_over(source: u64, window: u64, count: u64) -> HandOver {
    HandOver { source, windows: vec![(window, [("a".into(), count)].into())] }
}

/// Guards against counts that are included for another window or twice, and against memory that grows with each stop.
#[test]
fn hand_overs_are_kept_by_source() {
    let mut received = Received::default();
    received.insert(hand_over(1, 7, 5));
    received.insert(hand_over(1, 7, 6));
    received.insert(hand_over(2, 8, 1));
    let answers = received.answers(7);
    assert_eq!(answers.len(), 1);
    assert_eq!((answers[0].source, answers[0].counts["a"]), (1, 6));
    for source in 10..10 + MAX_KEPT as u64 {
        received.insert(hand_over(source, 9, 1));
    }
    assert_eq!(received.answers(9).len(), MAX_KEPT);
    assert!(received.answers(7).is_empty(), "the oldest is dropped");
}

/// Guards against a hand-over that misses the holder, and against one to each member of a large deployment.
#[test]
fn the_holder_and_the_candidates_get_the_counts() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let members = || (1..=100).rev().map(|n| (MemberId(n), address(n as u16))).collect::<Vec<_>>();
    assert_eq!(receivers(members(), None).len(), MAX_RECEIVERS);
    let ports: Vec<u16> =
        receivers(members(), Some(MemberId(90))).iter().map(SocketAddr::port).collect();
    assert_eq!(ports, [1, 2, 3, 90]);
    assert!(receivers(Vec::new(), Some(MemberId(90))).is_empty());
}
