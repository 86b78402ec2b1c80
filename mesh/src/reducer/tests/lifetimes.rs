use super::*;
use crate::target::HeartbeatReply;

fn heartbeat_of(id: &str, started_ms: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        lifetime: Lifetime { id: id.into(), started_ms: Some(started_ms) },
        service: "own".into(),
        address: address(9),
        version: "v1".into(),
        slots: 10,
        is_leaving: false,
        cold_left: Duration::ZERO,
        sequence,
    }
}

/// Guards against a target that is out of service for good: the answer to a request for its previous lifetime ended the
/// current one, whose heartbeats were refused from then on.
#[test]
fn a_late_answer_to_an_earlier_lifetime_does_not_end_the_current_one() {
    let mut node = TestNode::new(&[]).with_target();
    let (work, effects) = node.work();
    assert!(matches!(step(&effects), Some(WorkStep::Run { lifetime, .. }) if lifetime == "t"));
    let heartbeat = heartbeat_of("t2", 2, 1);
    let reply = node.reducer.heartbeat(node.now, &heartbeat, &mut Vec::new());
    assert_eq!(reply, HeartbeatReply::Accepted);
    let health = Health { id: Some("t2".into()), ..healthy() };
    node.apply(Event::Health(Some(health)));
    node.apply(Event::Work(work, WorkEvent::Misdirected));
    let reply = node.reducer.heartbeat(node.now, &heartbeat_of("t2", 2, 2), &mut Vec::new());
    assert_eq!(reply, HeartbeatReply::Accepted);
    let (_, effects) = node.work_with_path("/own/2");
    assert!(matches!(step(&effects), Some(WorkStep::Run { lifetime, .. }) if lifetime == "t2"));
}

/// Guards against requests for a lifetime after another one has answered in its place.
#[test]
fn a_misdirected_request_ends_the_lifetime_that_it_was_for() {
    let mut node = TestNode::new(&[]).with_target();
    let (work, _) = node.work();
    node.apply(Event::Work(work, WorkEvent::Misdirected));
    let (_, effects) = node.work_with_path("/own/2");
    assert!(matches!(step(&effects), Some(WorkStep::Refuse { reason: Reason::NoTarget, .. })));
}
