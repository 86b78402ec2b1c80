use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use test_case::test_case;

use super::{TargetLoad, idle_timeout, read_load};
use crate::headers::HeaderNames;

pub(crate) fn names() -> HeaderNames {
    let name = HeaderName::from_static;
    HeaderNames {
        request_id: name("x-id"),
        deadline: name("x-deadline"),
        signature: name("x-signature"),
        target: name("x-target"),
        load: name("x-load"),
        not_executed: name("x-not-executed"),
        caller: name("x-caller"),
        instance: name("x-instance"),
        cold: name("x-cold"),
        team: name("x-team"),
    }
}

/// Guards against mixed-up fields of the load header.
#[test_case("3,0,12,400", Some((Some(12), Some(400))); "with slowdown")]
#[test_case("3, 0, 8", Some((Some(8), None)); "without slowdown")]
#[test_case("3", Some((None, None)); "too short")]
fn load_header_is_parsed(text: &'static str, expected: Option<(Option<u16>, Option<u32>)>) {
    let mut headers = HeaderMap::new();
    headers.insert("x-load", HeaderValue::from_static(text));
    let expected = expected.map(|(slots, slowdown)| TargetLoad { slots, slowdown });
    assert_eq!(read_load(&headers, &names()), expected);
}

/// Guards against reuse of a connection that the target is closing: the pool must know the keep-alive timeout.
#[test_case("timeout=5, max=100", Some(5))]
#[test_case("max=100", None)]
fn keep_alive_timeout_is_parsed(text: &'static str, seconds: Option<u64>) {
    let mut headers = HeaderMap::new();
    headers.insert("keep-alive", HeaderValue::from_static(text));
    assert_eq!(idle_timeout(&headers), seconds.map(Duration::from_secs));
}
