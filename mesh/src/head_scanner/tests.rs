use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use test_case::test_case;

use super::{Head, HeadScanner, MAX_FIELDS, MAX_HEAD_BYTES};

/// What the tests compare of a scanner: the positions, targets and body lengths of the heads, and whether it has ended.
type Scanned = (Vec<(u64, String, u64)>, bool);

fn scan_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Scanned {
    let mut scanner = HeadScanner::default();
    let heads = parts.into_iter().flat_map(|part| scanner.scan(part)).collect::<Vec<_>>();
    let describe = |head: &Head| {
        let target = head.parse().expect("the head can be parsed").uri().to_string();
        (head.position, target, head.body_len)
    };
    (heads.iter().map(describe).collect(), scanner.is_ended())
}

fn scan(text: &str) -> Scanned {
    scan_parts([text.as_bytes()])
}

/// Guards against a head or a boundary that depends on how the bytes arrive.
#[test]
fn every_cut_gives_the_same_heads() {
    let text = "GET /a HTTP/1.1\r\nhost: s\r\n\r\n\r\n\nGET /b HTTP/1.1\nhost: s\n\nPOST /c HTTP/1.1\r\n\
                Content-Length: 5\r\n\r\n\r\n\r\nxGET /d HTTP/1.1\r\nconnection: Keep-Alive\r\n\r\n\
                POST /e HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /f HTTP/1.1\r\n\r\n";
    let whole = scan(text);
    let found = whole.0.iter().map(|(_, target, len)| (target.as_str(), *len)).collect::<Vec<_>>();
    assert_eq!((found, whole.1), (vec![("/a", 0), ("/b", 0), ("/c", 5), ("/d", 0)], true));
    for (position, target, _) in &whole.0 {
        let head = &text[usize::try_from(*position).expect("a position")..];
        assert_eq!(head.split(' ').nth(1), Some(target.as_str()));
    }
    assert_eq!(scan_parts(text.as_bytes().chunks(1)), whole);
    for first in 0..text.len() {
        for second in first..text.len() {
            let bytes = text.as_bytes();
            let parts = [&bytes[..first], &bytes[first..second], &bytes[second..]];
            assert_eq!(scan_parts(parts), whole, "cut at {first} and {second}");
        }
    }
}

/// Guards against a scanner that goes on where the library may read another request, or none. The number of heads counts
/// the request itself; the one behind it must never be found.
#[test_case("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n", 0; "chunked body")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 1\r\n\r\nx", 0; "two lengths")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: +1\r\n\r\nx", 0; "length with a sign")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: 99999999999999999999\r\n\r\n", 0; "length beyond all bounds")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: 9223372036854775807\r\n\r\n", 1; "body without end")]
#[test_case("POST / HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 1\r\n\r\nx", 0; "body on demand")]
#[test_case("GET / HTTP/1.1\r\nupgrade: h2c\r\n\r\n", 0; "upgrade")]
#[test_case("CONNECT s:1 HTTP/1.1\r\n\r\n", 0; "connect")]
#[test_case("GET / HTTP/1.0\r\n\r\n", 0; "old version")]
#[test_case("GET / HTTP/1.1\r\nconnection: x, Close\r\n\r\n", 1; "last request")]
#[test_case("GET /\r\n\r\n", 0; "no version")]
#[test_case("GET / HTTP/1.1\r\nhost : s\r\n\r\n", 0; "malformed field")]
#[test_case("GET / HTTP/1.1\r\nx: a\r\n b\r\n\r\n", 0; "folded field")]
#[test_case("\rGET / HTTP/1.1\r\n\r\n", 0; "lone carriage return")]
fn ends_where_the_boundary_is_uncertain(text: &str, heads: usize) {
    let text = format!("{text}GET /behind HTTP/1.1\r\n\r\n");
    let whole = scan(&text);
    assert_eq!(whole.0.len(), heads, "{whole:?}");
    assert!(whole.0.iter().all(|(_, target, _)| target != "/behind"), "{whole:?}");
    assert_eq!(scan_parts(text.as_bytes().chunks(1)), whole);
}

/// Guards against a caller that makes the scanner buffer or parse without bound.
#[test_case(&format!("x: {}\r\n", "a".repeat(MAX_HEAD_BYTES - 23)), true; "largest head")]
#[test_case(&format!("x: {}\r\n", "a".repeat(MAX_HEAD_BYTES - 22)), false; "larger head")]
#[test_case(&"x: a\r\n".repeat(MAX_FIELDS), true; "most fields")]
#[test_case(&"x: a\r\n".repeat(MAX_FIELDS + 1), false; "more fields")]
fn heads_are_bounded(fields: &str, is_found: bool) {
    let text = format!("GET / HTTP/1.1\r\n{fields}\r\n");
    for size in [1, 100, text.len()] {
        let (heads, is_ended) = scan_parts(text.as_bytes().chunks(size));
        assert_eq!((heads.len(), is_ended), (usize::from(is_found), !is_found));
    }
    let mut scanner = HeadScanner::default();
    assert!(scanner.scan(&[b'a'; MAX_HEAD_BYTES + 1]).is_empty() && scanner.is_ended());
    assert_eq!(scanner.partial.capacity(), 0);
}

/// Guards against bodies that look like heads, and heads that look like bodies: any sequence of requests gives its own
/// heads, however it is cut.
#[test]
fn random_sequences_give_their_heads() {
    for seed in 0..2_000 {
        let rng = &mut SmallRng::seed_from_u64(seed);
        let (mut text, mut expected) = (Vec::new(), Vec::new());
        for number in 0..rng.random_range(1..12) {
            let newline = ["\r\n", "\n"][rng.random_range(0..2)];
            text.extend(newline.repeat(rng.random_range(0..3)).bytes());
            let body = b"GET / HTTP/1.1\r\n\r\n\n\n".repeat(rng.random_range(0..4));
            let body = &body[rng.random_range(0..=body.len())..];
            let position = text.len() as u64;
            expected.push((position, format!("/{number}"), body.len() as u64));
            let field = format!("x-{seed}: {}{newline}", "y".repeat(rng.random_range(0..200)));
            let length = format!("Content-LENGTH:{}{newline}", body.len());
            let length = if body.is_empty() && rng.random() { "" } else { &length };
            let line = format!("GET /{number} HTTP/1.1{newline}");
            text.extend([&line, &field, length, newline].concat().into_bytes());
            text.extend_from_slice(body);
        }
        let mut parts = Vec::new();
        let mut rest = text.as_slice();
        while !rest.is_empty() {
            let (part, behind) = rest.split_at(rng.random_range(1..=rest.len().min(300)));
            parts.push(part);
            rest = behind;
        }
        assert_eq!(scan_parts(parts), (expected, false), "seed {seed}");
    }
}
