use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use test_case::test_case;

use super::read_timeout;
use crate::refusal::Reason;

fn read(values: &[&'static str]) -> Result<Option<Duration>, Reason> {
    let name = HeaderName::from_static("x-deadline");
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(&name, HeaderValue::from_static(value));
    }
    read_timeout(&headers, &name)
}

/// Guards against a deadline that a caller may state and that is refused as malformed.
#[test_case(&["1500"], Some(1_500); "whole milliseconds")]
#[test_case(&[" 1500.5 "], Some(1_500); "a fraction")]
#[test_case(&["1e3"], Some(1_000); "an exponent")]
#[test_case(&["0"], Some(0); "a deadline that has passed")]
#[test_case(&["99999999999999999999999999999999999999999999"], Some(3_600_000); "many digits")]
#[test_case(&["1e999"], Some(3_600_000); "more than any number")]
#[test_case(&[""], None; "empty")]
#[test_case(&[], None; "absent")]
#[test_case(&["900", "400", "700"], Some(400); "repeated")]
#[test_case(&["", "400"], Some(400); "repeated and empty")]
fn a_deadline_is_read(values: &[&'static str], expected: Option<u128>) {
    assert_eq!(read(values).map(|time| time.map(|time| time.as_millis())), Ok(expected));
}

/// Guards against text that counts as a deadline.
#[test_case("soon"; "a word")]
#[test_case("-5"; "negative")]
#[test_case("inf"; "infinity")]
#[test_case("NaN"; "not a number")]
#[test_case("1,5"; "two numbers")]
fn a_deadline_that_is_no_number_is_malformed(value: &'static str) {
    assert_eq!(read(&[value]), Err(Reason::Malformed));
    assert_eq!(read(&["400", value]), Err(Reason::Malformed));
}
