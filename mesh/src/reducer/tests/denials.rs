use test_case::test_case;

use super::*;
use crate::{config::CallerLimits, effect::Record, reducer::RequestSize};

/// Guards against a caller that gets 400, and does not retry, because a node broke off the body of its request.
#[test_case(true, Reason::AnswerLost; "a buffered body")]
#[test_case(false, Reason::BodyCut; "a streamed body")]
fn a_body_that_broke_off_between_nodes_is_not_the_callers_fault(can_resend: bool, reason: Reason) {
    let mut node = TestNode::new(&THREE_MEMBERS);
    let (key, effects) = node.call_with_body("/pay/1", can_resend);
    let number = attempt(&effects).expect("an attempt").number;
    let cut = CallEvent::Failed { attempt: number, failure: Failure::BodyCut };
    let refusal = refusal(&node.apply(Event::Call(key, cut))).expect("a refusal");
    assert_eq!((refusal.status().as_u16(), refusal.reason), (502, reason));
}

/// Guards against a lookup that is refused although its body is still buffered and another target can run it.
#[test]
fn a_buffered_body_that_broke_off_between_nodes_is_sent_again() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    // After some time the retry budget of the node allows a retry.
    node.now = at_ms(5_000);
    for id in [2, 3, 4] {
        node.receive_status(id, idle_load());
    }
    let (key, effects) = node.call("/read/1");
    let first = attempt(&effects).expect("an attempt");
    let cut = CallEvent::Failed { attempt: first.number, failure: Failure::BodyCut };
    let second = attempt(&node.apply(Event::Call(key, cut))).expect("another attempt");
    assert_ne!(member(&first), member(&second));
}

/// Guards against an upload that a busy target's node refuses and that is sent again without its body, which the first
/// attempt has consumed: the caller got 400 for it.
#[test_case(Reason::Overloaded; "overloaded")]
#[test_case(Reason::NoTarget; "no target")]
fn a_streamed_request_that_was_refused_has_not_run_and_ends(reason: Reason) {
    let mut node = TestNode::new(&THREE_MEMBERS);
    let (key, effects) = node.call_with_body("/pay/1", false);
    let number = attempt(&effects).expect("an attempt").number;
    let wait = Duration::from_millis(50);
    let refused = CallEvent::Refused { attempt: number, reason, wait, load: None };
    let effects = node.apply(Event::Call(key, refused));
    assert!(attempt(&effects).is_none(), "{effects:?}");
    let refusal = refusal(&effects).expect("a refusal");
    assert_eq!((refusal.status().as_u16(), refusal.reason), (503, reason));
    assert!(refusal.retry_after.is_some());
}

fn size(head: usize, body: u64) -> RequestSize {
    RequestSize { head, body }
}

fn config_with_limits(version: u64, max_head_bytes: usize, max_body_bytes: u64) -> Event {
    let limits = CallerLimits { max_head_bytes, max_body_bytes, ..CallerLimits::default() };
    Event::Config(Arc::new(RouteTable::new(Config { limits, ..config(version) })))
}

/// Guards against a limit that is applied although a newer configuration has raised it, or not applied at all.
#[test]
fn sizes_are_limited_by_the_configuration_in_force() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    node.apply(config_with_limits(2, 1_000, 5_000));
    assert_eq!(node.reducer.find_excess(size(1_000, 5_000)), None);
    assert_eq!(node.reducer.find_excess(size(1_001, 0)), Some(Reason::HeadTooLarge));
    assert_eq!(node.reducer.find_excess(size(100, 5_001)), Some(Reason::BodyTooLarge));
    node.apply(config_with_limits(3, 2_000, 6_000));
    assert_eq!(node.reducer.find_excess(size(1_001, 5_001)), None);
}

/// Guards against a request that is refused for good by an older configuration although the one in force may allow it.
#[test]
fn a_node_that_cannot_read_the_newest_configuration_denies_nothing() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    let denied = [Reason::HeadTooLarge, Reason::BodyTooLarge, Reason::NoRoute, Reason::UnknownKey];
    let refuse = |node: &mut TestNode, reason| {
        let mut out = Vec::new();
        let refusal = node.reducer.refuse_early(node.now, "id", reason, &mut out);
        let is_logged = matches!(&out[..], [Effect::Log(Record::Refuse { refusal: logged, .. })] if *logged == refusal);
        assert!(is_logged, "{out:?}");
        (refusal.reason, refusal.retry_after.is_some())
    };
    for reason in denied {
        assert_eq!(refuse(&mut node, reason), (reason, false));
    }
    assert_eq!(
        refusal(&node.call("/new/1").1).map(|refusal| refusal.reason),
        Some(Reason::NoRoute)
    );
    node.apply(Event::ConfigUnreadable);
    for reason in denied {
        assert_eq!(refuse(&mut node, reason), (Reason::StaleConfig, true));
    }
    let stale = refusal(&node.call("/new/1").1).expect("a refusal");
    assert_eq!((stale.status().as_u16(), stale.retry_after.is_some()), (503, true));
    assert_eq!(refuse(&mut node, Reason::Malformed), (Reason::Malformed, false));
    node.apply(Event::Config(Arc::new(RouteTable::new(config(2)))));
    for reason in denied {
        assert_eq!(refuse(&mut node, reason), (reason, false));
    }
}
