use http::{HeaderMap, Method};
use test_case::test_case;

use super::*;

fn request(path: &str, headers: &[(&'static str, &str)]) -> RequestHash {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.append(*name, value.parse().expect("a value"));
    }
    fingerprint("orders", &Method::POST, &path.parse().expect("a path"), &map)
}

/// Guards against a repeated send that is not recognised, and against requests taken for each other.
#[test_case("/a", &[("x-request-id", "2"), ("traceparent", "t")] => true; "volatile headers")]
#[test_case("/a", &[("poplarbarrow-deadline-ms", "9"), ("poplarbarrow-depth", "1")] => true; "internal headers")]
#[test_case("/a", &[("host", "10.0.0.1:80"), ("x-forwarded-for", "10.0.0.2")] => true; "way of the request")]
#[test_case("/a", &[("content-length", "0")] => true; "empty body with a length")]
#[test_case("/a", &[("content-length", "7")] => false; "other length")]
#[test_case("/a", &[("accept", "text/html")] => false; "other header")]
#[test_case("/a?b", &[] => false; "other query")]
#[test_case("/b", &[] => false; "other path")]
#[test_case("/a", &[("idempotency-key", "k")] => false; "identity")]
fn is_same_as_plain_request(path: &str, headers: &[(&'static str, &str)]) -> bool {
    request(path, headers) == request("/a", &[])
}

/// Guards against an identity that does not decide alone, and against the order of headers.
#[test]
fn identity_and_order_of_headers() {
    let key = ("idempotency-key", "k");
    assert_eq!(request("/a", &[key, ("accept", "a")]), request("/b", &[key]));
    let (one, two) = (("accept", "a"), ("range", "b"));
    assert_eq!(request("/a", &[one, two]), request("/a", &[two, one]));
}
