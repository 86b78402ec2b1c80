use super::*;

/// Guards against a payment that is sent to a second target after its answer was lost.
#[test]
fn a_lost_answer_of_a_request_that_is_not_idempotent_ends_it() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    let (key, effects) = node.call("/pay/1");
    let first = attempt(&effects).expect("an attempt");
    let lost = CallEvent::Failed { attempt: first.number, failure: Failure::Lost };
    let effects = node.apply(Event::Call(key, lost));
    assert!(attempt(&effects).is_none());
    let refusal = refusal(&effects).expect("a refusal");
    assert_eq!((refusal.status().as_u16(), refusal.retry_after), (502, None));
}

/// Guards against a failed lookup that another target could have answered.
#[test]
fn a_lost_answer_of_an_idempotent_request_leads_to_another_target() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    // After some time the retry budget of the node allows a retry.
    node.now = at_ms(5_000);
    for id in [2, 3, 4] {
        node.receive_status(id, idle_load());
    }
    let (key, effects) = node.call("/read/1");
    let first = attempt(&effects).expect("an attempt");
    let lost = CallEvent::Failed { attempt: first.number, failure: Failure::Lost };
    let second = attempt(&node.apply(Event::Call(key, lost))).expect("another attempt");
    assert_ne!(member(&first), member(&second));
}

/// Guards against the refusal of a payment that was never sent to a target.
#[test]
fn a_request_that_was_not_sent_goes_to_another_target() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    let (key, effects) = node.call("/pay/1");
    let first = attempt(&effects).expect("an attempt");
    let failed = CallEvent::Failed { attempt: first.number, failure: Failure::NotSent };
    let second = attempt(&node.apply(Event::Call(key, failed))).expect("another attempt");
    assert_ne!(member(&first), member(&second));
}

/// Guards against a refusal that says "not run" after an attempt with an unknown outcome.
#[test]
fn a_deadline_with_an_open_attempt_is_answered_with_504() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    let (key, _) = node.call("/pay/1");
    node.now = at_ms(1_000);
    let effects = node.apply(Event::Timer(Timer::CallDeadline(key)));
    assert_eq!(refusal(&effects).map(|refusal| refusal.status().as_u16()), Some(504));
}

/// Guards against a refusal without a Retry-After time, or with one after which the objective can no longer be met.
#[test]
fn a_request_that_no_target_takes_is_refused_with_a_time_to_return() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    let (key, mut effects) = node.call("/pay/1");
    for _ in 0..10 {
        let Some(attempt) = attempt(&effects) else { break };
        let (reason, wait) = (Reason::Overloaded, Duration::from_millis(80));
        let refused = CallEvent::Refused { attempt: attempt.number, reason, wait, load: None };
        effects = node.apply(Event::Call(key, refused));
    }
    let refusal = refusal(&effects).expect("a refusal");
    assert_eq!(refusal.status().as_u16(), 503);
    let after = refusal.retry_after.expect("a time");
    assert!(after >= Duration::from_millis(80) && after <= Duration::from_millis(334), "{after:?}");
}
