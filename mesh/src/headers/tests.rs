use http::{HeaderMap, HeaderValue, Request, header};
use test_case::test_case;

use super::{ATTEMPT_ENVELOPE, NESTED, head_size, strip_hop_by_hop, strip_internal};

fn headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONNECTION, HeaderValue::from_static("close, x-hop"));
    headers.insert("x-hop", HeaderValue::from_static("1"));
    headers.insert("keep-alive", HeaderValue::from_static("timeout=5"));
    headers.insert("x-end", HeaderValue::from_static("1"));
    headers.insert(ATTEMPT_ENVELOPE, HeaderValue::from_static("forged"));
    headers.insert(NESTED, HeaderValue::from_static("forged"));
    headers
}

/// Guards against forwarded hop-by-hop headers, such as `Connection: close` from a target that is shutting down.
#[test]
fn hop_by_hop_headers_are_removed() {
    let mut headers = headers();
    strip_hop_by_hop(&mut headers);
    assert_eq!(headers.len(), 3);
    assert!(headers.contains_key("x-end"));
}

/// Guards against a caller that forges headers used between nodes.
#[test]
fn internal_headers_are_removed() {
    let mut headers = headers();
    strip_internal(&mut headers);
    assert!(!headers.contains_key(ATTEMPT_ENVELOPE) && !headers.contains_key(NESTED));
}

/// Guards against a head that counts as larger than the bytes that the caller sent.
#[test_case("/a/?b=c"; "origin form")]
#[test_case("http://shop:80/a/?b=c"; "absolute form")]
fn the_size_of_a_head_is_that_of_its_text(uri: &str) {
    let text = format!("GET {uri} HTTP/1.1\r\nhost: shop\r\nx-end: 1\r\n\r\n");
    let req = Request::get(uri).header("host", "shop").header("x-end", "1").body(());
    assert_eq!(head_size(&req.expect("a request").into_parts().0), text.len());
}
