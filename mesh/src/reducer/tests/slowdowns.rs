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

fn has_measurement(effects: &[Effect]) -> bool {
    effects.contains(&Effect::MeasureSlowdown)
}

/// Guards against a request that starts by a slowdown that was measured before the target turned slow.
#[test]
fn a_request_waits_for_the_present_slowdown() {
    let mut node = TestNode::new(&[]).with_target();
    node.apply(health_at(100));
    assert!(matches!(step(&node.work_with(long_work()).1), Some(WorkStep::Run { .. })));
    node.now += Duration::from_millis(40);
    let (_, effects) = node.work_with(long_work());
    assert!(step(&effects).is_none() && has_measurement(&effects), "{effects:?}");
    let (_, effects) = node.work_with(long_work());
    assert!(step(&effects).is_none() && !has_measurement(&effects), "one check is enough");
    node.now += Duration::from_millis(1);
    let effects = node.apply(health_at(400));
    let refused = effects.iter().filter(|effect| {
        matches!(effect, Effect::Work(_, WorkStep::Refuse { reason: Reason::Overloaded, .. }))
    });
    assert_eq!(refused.count(), 2);
}

/// Guards against a request that waits for a target which does not answer checks, and against one that is decided after
/// its caller has left.
#[test]
fn a_request_does_not_wait_long_for_the_slowdown() {
    let mut node = TestNode::new(&[]).with_target();
    node.apply(health_at(100));
    node.now += Duration::from_millis(40);
    let (first, effects) = node.work_with(long_work());
    let is_armed = |effect: &Effect| matches!(effect, Effect::Arm { timer: Timer::Slowdown, .. });
    assert!(effects.iter().any(is_armed));
    let (second, _) = node.work_with(long_work());
    node.apply(Event::Work(first, WorkEvent::Cancelled));
    assert!(node.reducer.is_timer_needed(Timer::Slowdown));
    node.now += Duration::from_millis(20);
    let effects = node.apply(Event::Timer(Timer::Slowdown));
    let is_run = |effect: &Effect| matches!(effect, Effect::Work(key, WorkStep::Run { .. }) if *key == second);
    assert_eq!(effects.iter().filter(|effect| matches!(effect, Effect::Work(..))).count(), 1);
    assert!(effects.iter().any(is_run));
    assert!(!node.reducer.is_timer_needed(Timer::Slowdown));
}

/// Guards against checks of a target that never reports its slowdown, and for requests that are shorter than a check.
#[test]
fn a_slowdown_is_measured_only_where_it_helps() {
    let mut node = TestNode::new(&[]).with_target();
    node.now += Duration::from_millis(40);
    assert!(matches!(step(&node.work_with(long_work()).1), Some(WorkStep::Run { .. })));
    node.apply(health_at(100));
    node.now += Duration::from_millis(40);
    let short = WorkHead { nominal_service: Duration::from_millis(2), ..long_work() };
    assert!(matches!(step(&node.work_with(short).1), Some(WorkStep::Run { .. })));
}
