use std::time::Duration;

use http::{HeaderMap, HeaderValue, Request, Response};
use hyper::body::Incoming;
use slog::{Discard, Logger, o};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
};

use super::{Envelope, format_outcome, parse_outcome, read_reply_head, send};
use crate::{
    effect::AttemptSpec,
    event::Failure,
    forwarder::AttemptOutcome,
    keys::MemberId,
    payload::{Body, Payload},
    peer_memory::{Endpoint, PeerMemory, ProcessLimits},
    pool::{Pool, PoolConfig},
    refusal::{Reason, Refusal},
    serve,
};

const POOL_CONFIG: PoolConfig = PoolConfig {
    max_head_bytes: 64 << 10,
    connect_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(5),
    max_idle: 1,
};

fn spec() -> AttemptSpec {
    AttemptSpec {
        service: "stock".into(),
        route: "näme".into(),
        priority: 1,
        is_idempotent: true,
        objective: Duration::from_millis(300),
        timeout: Duration::from_millis(800),
        full_objective: Duration::from_millis(400),
        nominal_service: Duration::from_millis(100),
        is_late: false,
    }
}

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

/// Guards against a refusal between nodes that the caller gets as an error of its own, which it does not retry.
#[test]
fn a_refusal_by_another_node_never_blames_the_caller() {
    for reason in Reason::ALL {
        let text = format_outcome(&AttemptOutcome::Refused { reason, wait: Duration::ZERO });
        let outcome = parse_outcome(&text.expect("text"));
        let AttemptOutcome::Refused { reason: parsed, .. } = outcome else { panic!("{reason:?}") };
        let refusal = Refusal { reason: parsed, may_have_run: false, retry_after: None };
        assert_eq!(refusal.status().as_u16(), 503, "{reason:?}");
    }
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
    let spec = spec();
    let text =
        Envelope { from: MemberId(6), to: MemberId(7), spec: spec.clone() }.encode().expect("text");
    assert!(text.is_ascii());
    let envelope = Envelope::decode(&text).expect("an envelope");
    assert_eq!((envelope.to, envelope.spec), (MemberId(7), spec));
    assert!(Envelope::decode("not an envelope").is_none());
}

/// Guards against an answer of another process at a node's address, or of the node's HTTP parser, that the caller gets as
/// the target's.
#[test_case(200; "success")]
#[test_case(404; "not found")]
#[test_case(431; "head too large")]
#[tokio::test]
async fn an_answer_that_no_node_gave_is_lost(status: u16) {
    let other = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let pool = Pool::new(other.local_addr().expect("an address"), POOL_CONFIG);
    tokio::spawn(async move {
        let (mut stream, _) = other.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 4_096]).await;
        let answer = format!("HTTP/1.1 {status} Other\r\ncontent-length: 0\r\n\r\n");
        stream.write_all(answer.as_bytes()).await.expect("the pool reads");
        std::future::pending::<()>().await;
    });
    // A server of its own gives the body that is sent on.
    let entry = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut caller =
        TcpStream::connect(entry.local_addr().expect("an address")).await.expect("a connection");
    let (outcomes, mut received) = mpsc::unbounded_channel();
    let handle = move |req: Request<Incoming>| {
        let (pool, outcomes) = (pool.clone(), outcomes.clone());
        async move {
            let (parts, body) = req.into_parts();
            let payload = Payload::read(body).await.expect("a body");
            let members = (MemberId(6), MemberId(7));
            let reply = send(&pool, members, &spec(), parts, payload).await;
            let is_lost = matches!(reply.outcome, AttemptOutcome::Failed(Failure::NodeLost));
            outcomes.send(is_lost).expect("the test waits");
            Response::new(Body::default())
        }
    };
    let (_stop, is_stopping) = watch::channel(false);
    let log = Logger::root(Discard, o!());
    let account = (PeerMemory::new(ProcessLimits::default(), |_| {}), Endpoint::Peers);
    tokio::spawn(serve::serve(
        entry,
        account,
        is_stopping,
        serve::default_head_limits(),
        log,
        handle,
    ));
    caller.write_all(b"GET / HTTP/1.1\r\nhost: shop\r\n\r\n").await.expect("the server reads");
    assert_eq!(received.recv().await, Some(true));
}
