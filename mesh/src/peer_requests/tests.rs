use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use test_case::test_case;

use super::{Envelope, format_outcome, parse_outcome, read_reply_head};
use crate::{
    effect::AttemptSpec, event::Failure, forwarder::AttemptOutcome, keys::MemberId, refusal::Reason,
};

/// Guards against an outcome that the entry node decodes as another one, such as "not run" for a lost answer.
#[test]
fn outcome_round_trips_through_its_header() {
    let refused =
        AttemptOutcome::Refused { reason: Reason::Overloaded, wait: Duration::from_micros(1_500) };
    let text = format_outcome(&refused).expect("text");
    assert!(matches!(
        parse_outcome(&text),
        AttemptOutcome::Refused { reason: Reason::Overloaded, wait } if wait == Duration::from_micros(1_500)
    ));
    let text = format_outcome(&AttemptOutcome::Shed).expect("text");
    assert!(matches!(parse_outcome(&text), AttemptOutcome::Shed));
    let text = format_outcome(&AttemptOutcome::Failed(Failure::Lost)).expect("text");
    assert!(matches!(parse_outcome(&text), AttemptOutcome::Failed(Failure::Lost)));
}

/// Guards against unknown text that is taken as proof that a request did not run.
#[test_case(""; "empty")]
#[test_case("unknown"; "unknown word")]
fn unknown_text_is_parsed_as_lost(text: &str) {
    assert!(matches!(parse_outcome(text), AttemptOutcome::Failed(Failure::Lost)));
}

/// Guards against the answer of another process, at the address of a node that is gone, that is taken as the target's.
#[test_case(None; "no load report")]
#[test_case(Some("unreadable"); "an unreadable load report")]
fn only_a_reply_of_a_node_is_accepted(load: Option<&'static str>) {
    let mut headers = HeaderMap::new();
    headers.insert("poplarbarrow-ending", HeaderValue::from_static("shed"));
    if let Some(load) = load {
        headers.insert("poplarbarrow-report", HeaderValue::from_static(load));
    }
    assert!(read_reply_head(&headers).is_none());
    headers.insert("poplarbarrow-report", HeaderValue::from_static("1,0,8,100,900,0,1"));
    assert!(read_reply_head(&headers).is_some_and(|head| head.outcome.is_some()));
}

/// Guards against an envelope that is not a valid header value, for instance because of a non-ASCII route name.
#[test]
fn envelope_round_trips_through_its_header() {
    let spec = AttemptSpec {
        service: "stock".into(),
        route: "näme".into(),
        priority: 1,
        is_idempotent: true,
        objective: Duration::from_millis(300),
        timeout: Duration::from_millis(800),
        full_objective: Duration::from_millis(400),
        nominal_service: Duration::from_millis(100),
        is_late: false,
    };
    let text =
        Envelope { from: MemberId(6), to: MemberId(7), spec: spec.clone() }.encode().expect("text");
    assert!(text.is_ascii());
    let envelope = Envelope::decode(&text).expect("an envelope");
    assert_eq!((envelope.to, envelope.spec), (MemberId(7), spec));
    assert!(Envelope::decode("not an envelope").is_none());
}
