use test_case::test_case;

use super::*;

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
