use super::*;

/// Returns the head of a request that takes 330 ms at normal speed and whose objective is a second away.
fn long_work() -> WorkHead {
    WorkHead {
        objective: Duration::from_secs(1),
        full_objective: Duration::from_secs(1),
        timeout: Duration::from_millis(2_500),
        nominal_service: Duration::from_millis(330),
        ..work_head("/own/")
    }
}

fn health_at(percent: u32) -> Event {
    Event::Health(Some(Health { slowdown: Some(percent), ..healthy() }))
}

/// Lets the target alternate between slow phases of 300 ms and normal ones of 900 ms for some seconds. Its last phase is
/// a slow one that has just begun.
fn alternate_phases(node: &mut TestNode) {
    for step in 0..240 {
        node.now += Duration::from_millis(50);
        node.apply(health_at(if step % 24 < 6 { 400 } else { 100 }));
    }
    node.now += Duration::from_millis(50);
    node.apply(health_at(400));
}

/// Guards against a long request that starts at a target which is slow for a moment: it keeps that slowdown to its end and
/// is late, while another target could have served it in time.
#[test]
fn a_target_that_is_slow_for_a_moment_refuses_a_long_request() {
    let mut node = TestNode::new(&[]).with_target();
    alternate_phases(&mut node);
    let refused = step(&node.work_with(long_work()).1);
    assert!(matches!(refused, Some(WorkStep::Refuse { reason: Reason::Overloaded, .. })));
    node.now += Duration::from_millis(50);
    node.apply(health_at(100));
    assert!(matches!(step(&node.work_with(long_work()).1), Some(WorkStep::Run { .. })));
}
