//! Requests that cannot be served as they are, and answers that break: each has a documented outcome.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
};

use axum::body::Body;
use http::Request;
use poplarbarrow::{
    logging,
    node::Node,
    platform::Memory,
    standin::target::{Config, Target},
    store,
};
use test_case::test_case;

#[allow(dead_code)] // Each test program uses a part of it.
#[path = "utils/client.rs"]
mod client;
#[path = "utils/fleet.rs"]
mod fleet;

async fn node(target: &Target, has_document: bool) -> Node {
    let platform = Memory::new();
    if has_document {
        let document = fleet::document(&["catalogue"]);
        store::commit(&platform, 0, &document, "first").await.expect("a commit");
    }
    let settings = fleet::settings("catalogue", target.addr());
    let node = Node::start_with(settings, platform, logging::silent()).await.expect("a node");
    fleet::eventually("the document is in force", || !has_document || node.revision() == 1).await;
    node
}

/// Guards against a refusal without its documented status, reason and outcome.
#[test_case("catalogue", "poplarbarrow-deadline-ms", "0", 504, "deadline"; "deadline already past")]
#[test_case("catalogue", "poplarbarrow-deadline-ms", "soon", 400, "malformed"; "deadline is no number")]
#[test_case("catalogue", "poplarbarrow-depth", "12", 508, "depth"; "chain too deep")]
#[test_case("catalogue", "poplarbarrow-depth", "-1", 400, "malformed"; "negative depth")]
#[test_case("catalogue", "idempotency-key", "two words", 400, "malformed"; "key with a space")]
#[test_case("nowhere", "x-any", "1", 404, "unknown-service"; "unknown service")]
#[test_case(":80", "x-any", "1", 400, "malformed"; "authority without a name")]
#[tokio::test]
async fn bad_request_is_refused(service: &str, name: &str, value: &str, status: u16, reason: &str) {
    let target = Target::start(Config::default()).await.expect("a target");
    let node = node(&target, true).await;
    let req = Request::post("/stock").header(name, value).body(Body::empty()).expect("a request");
    let answer = client::send(node.addresses().callers, service, req).await.expect("an answer");
    assert_eq!((answer.status, answer.header("poplarbarrow-reason")), (status, reason));
    assert_eq!(answer.header("poplarbarrow-outcome"), "not-run");
    assert_eq!(target.totals().started, 0);
}

/// Guards against a guess while the node has no document.
#[tokio::test]
async fn node_without_a_document_refuses() {
    let target = Target::start(Config::default()).await.expect("a target");
    let node = node(&target, false).await;
    let answer = client::get(node.addresses().callers, "catalogue", "/stock").await;
    assert_eq!((answer.status, answer.header("poplarbarrow-reason")), (503, "no-config"));
}

/// Guards against a hang or a false "unknown" when no target listens.
#[tokio::test]
async fn no_healthy_target_is_not_run() {
    let target = Target::start(Config::default()).await.expect("a target");
    let node = node(&target, true).await;
    target.stop().await;
    // Idle connections of the stopped target close; then no byte of a request can be sent.
    let mut answer = client::get(node.addresses().callers, "catalogue", "/stock").await;
    for _ in 0..100 {
        if answer.header("poplarbarrow-outcome") == "not-run" {
            break;
        }
        answer = client::get(node.addresses().callers, "catalogue", "/stock").await;
    }
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.header("poplarbarrow-outcome"), "not-run");
}

/// Guards against an answer that is cut short and looks whole.
#[test_case(false; "stated length")]
#[test_case(true; "chunked")]
#[tokio::test]
async fn cut_answer_is_visible_to_the_caller(chunked: bool) {
    let target = Target::start(Config::default()).await.expect("a target");
    let change = target.change(|behaviour| {
        behaviour.cut_rate = 1.0;
        behaviour.chunked = chunked;
    });
    change.expect("a valid change");
    let node = node(&target, true).await;
    let req = Request::get("/stock?bytes=100000").body(Body::empty()).expect("a request");
    let answer = client::send(node.addresses().callers, "catalogue", req).await;
    assert!(answer.is_none_or(|answer| answer.body.is_none()), "a cut answer passed as whole");
}

fn raw(addr: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream.write_all(request).expect("a request");
    // A server that closes with input unread resets the connection after its answer, at times before this end is shut
    // down. What it answered before can still be read.
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

/// Guards against a request whose body is cut short and that reaches the target as if it were whole.
#[tokio::test(flavor = "multi_thread")]
async fn cut_body_does_not_run() {
    let target = Target::start(Config::default()).await.expect("a target");
    let node = node(&target, true).await;
    let addr = node.addresses().callers;
    let request =
        b"POST /stock HTTP/1.1\r\nhost: catalogue\r\ncontent-length: 100\r\n\r\nonly a part";
    let answer = tokio::task::spawn_blocking(move || raw(addr, request)).await.expect("an answer");
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(target.totals().started, 0);
}

/// Guards against unbounded heads.
#[test_case("GET /stock HTTP/1.1\r\nhost: catalogue\r\nx: " , 20_000, "HTTP/1.1 431"; "head too large")]
#[test_case("GARBAGE\r\n\r\n", 0, "HTTP/1.1 400"; "no request")]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_head_is_refused(start: &str, filler: usize, expected: &str) {
    let target = Target::start(Config::default()).await.expect("a target");
    let node = node(&target, true).await;
    let addr = node.addresses().callers;
    let request = format!("{start}{}\r\n\r\n", "a".repeat(filler));
    let answer = tokio::task::spawn_blocking(move || raw(addr, request.as_bytes())).await;
    let answer = answer.expect("an answer");
    assert!(answer.starts_with(expected), "{answer}");
}
