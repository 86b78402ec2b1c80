use test_case::test_case;

use super::{Reason, Refusal};

/// Guards against a status that promises "not run" for a request that may have run.
#[test]
fn what_may_have_run_is_never_promised_not_to_have() {
    for reason in Reason::ALL {
        let refusal = Refusal { reason, may_have_run: true, retry_after: None };
        let status = refusal.status().as_u16();
        assert!(![408, 421, 429, 503].contains(&status), "{reason:?} gives {status}");
    }
}

/// Guards against a caller that is told that its request may have run although it never left the node.
#[test_case(Reason::Overloaded, 503)]
#[test_case(Reason::NoTarget, 503)]
#[test_case(Reason::NoConfig, 503; "a node without configuration does not deny")]
#[test_case(Reason::Deadline, 503)]
#[test_case(Reason::NoRoute, 404)]
#[test_case(Reason::BodyTooLarge, 413)]
fn what_has_not_run_is_refused_truly(reason: Reason, status: u16) {
    let refusal = Refusal { reason, may_have_run: false, retry_after: None };
    assert_eq!(refusal.status().as_u16(), status);
}

/// Guards against a reason that is lost between nodes.
#[test]
fn a_reason_survives_its_text() {
    for reason in Reason::ALL {
        assert_eq!(Reason::parse(reason.as_str()), Some(reason));
    }
}
