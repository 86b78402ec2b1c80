use std::time::Duration;

use bytes::Bytes;
use http::Response;
use slog::Logger;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, pause, sleep, sleep_until},
};

use super::{HeadLimits, serve};
use crate::{
    config::CallerLimits,
    payload::Body,
    peer_memory::{Endpoint, PeerMemory, ProcessLimits},
};

/// The limits in force: a connection is idle 70 s after an answer.
const LIMITS: CallerLimits = CallerLimits {
    max_head_bytes: 16 << 10,
    max_body_bytes: 1 << 20,
    idle_timeout: Duration::from_secs(60),
    head_timeout: Duration::from_secs(10),
};

/// The time that the server takes for an answer, which is longer than the timeouts of idle connections.
const ANSWER_TIME: Duration = Duration::from_secs(100);

/// The most bytes that a caller reads at once, so that a slow one needs many reads for a large answer.
const MAX_READ_BYTES: usize = 1 << 20;

const REQUEST: &str = "GET / HTTP/1.1\r\nhost: shop\r\n\r\n";

/// A connection to a server that runs until it is dropped. The clock is paused, so timers fire in their order.
struct Caller {
    stream: TcpStream,
    start: Instant,
    _stop: watch::Sender<bool>,
}

impl Caller {
    /// Connects to a server whose answers have `length` bytes each and take `answer_time`.
    async fn open(length: usize, answer_time: Duration) -> Caller {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let (stop, is_stopping) = watch::channel(false);
        let limits = watch::channel(HeadLimits::from(&LIMITS)).1;
        let log = Logger::root(slog::Discard, slog::o!());
        let body = Bytes::from(vec![b'x'; length]);
        let account = (PeerMemory::new(ProcessLimits::default(), |_| {}), Endpoint::Callers);
        tokio::spawn(serve(listener, account, is_stopping, limits, log, move |_| {
            let body = body.clone();
            async move {
                sleep(answer_time).await;
                Response::new(Body::from(body))
            }
        }));
        let stream = TcpStream::connect(address).await.expect("a connection");
        // Otherwise the second part of a head waits for an acknowledgement, which takes real time.
        stream.set_nodelay(true).expect("an open connection");
        pause();
        Caller { stream, start: Instant::now(), _stop: stop }
    }

    async fn send_at(&mut self, ms: u64, text: &str) {
        sleep_until(self.start + Duration::from_millis(ms)).await;
        self.stream.write_all(text.as_bytes()).await.expect("the server reads");
    }

    /// Returns the next bytes of an answer, or none if the server closed the connection.
    async fn receive(&mut self) -> Vec<u8> {
        let mut bytes = vec![0; MAX_READ_BYTES];
        let received = self.stream.read(&mut bytes).await.unwrap_or(0);
        bytes.truncate(received);
        bytes
    }
}

/// Guards against a request that is cut while it is running, since its head was still arriving at the idle timeout.
#[test_case(false; "first request")]
#[test_case(true; "later request")]
#[tokio::test]
async fn a_request_that_begins_at_the_idle_timeout_is_answered(is_later: bool) {
    let mut caller = Caller::open(0, ANSWER_TIME).await;
    let mut idle_since_ms = 0;
    if is_later {
        caller.send_at(0, REQUEST).await;
        assert!(caller.receive().await.starts_with(b"HTTP/1.1 200"));
        idle_since_ms = 100_000;
    }
    let (start, rest) = REQUEST.split_at(20);
    caller.send_at(idle_since_ms + 69_500, start).await;
    caller.send_at(idle_since_ms + 70_500, rest).await;
    let answer = String::from_utf8(caller.receive().await).expect("text");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

/// Guards against a connection that is held by a head that is never completed.
#[tokio::test]
async fn a_head_without_end_does_not_keep_its_connection() {
    let mut caller = Caller::open(0, ANSWER_TIME).await;
    for ms in [65_000, 67_000, 69_000] {
        caller.send_at(ms, "GET").await;
    }
    assert_eq!(caller.receive().await, b"");
    assert_eq!(caller.start.elapsed().as_secs(), 75);
}

/// Guards against a slow head that outlasts its time because the connection was checked before it began, and again only
/// after the idle timeout.
#[test_case(5_000; "soon after the connection began")]
#[test_case(40_000; "later")]
#[tokio::test]
async fn a_head_that_begins_after_a_check_has_its_own_time(begin_ms: u64) {
    let mut caller = Caller::open(0, ANSWER_TIME).await;
    for ms in [0, 3_000, 6_000] {
        caller.send_at(begin_ms + ms, "GET").await;
    }
    assert_eq!(caller.receive().await, b"");
    assert_eq!(caller.start.elapsed().as_secs(), begin_ms / 1_000 + 10);
}

/// Guards against an answer that is cut while a slow caller receives its last chunk, which the server took long before.
#[tokio::test]
async fn an_answer_to_a_slow_reader_is_complete() {
    const LENGTH: usize = 48 << 20;
    const READ_INTERVAL: Duration = Duration::from_secs(5);
    let mut caller = Caller::open(LENGTH, Duration::ZERO).await;
    caller.send_at(0, REQUEST).await;
    let first = caller.receive().await;
    let head_length = first.windows(4).position(|end| end == b"\r\n\r\n").expect("a head") + 4;
    let mut received = first.len() - head_length;
    while received < LENGTH {
        sleep(READ_INTERVAL).await;
        let bytes = caller.receive().await;
        assert!(!bytes.is_empty(), "{received} bytes after {:?}", caller.start.elapsed());
        received += bytes.len();
    }
    assert!(caller.start.elapsed() > 2 * ANSWER_TIME);
}
