use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt as _};
use http::{HeaderValue, Request, Response, header, request::Parts};
use hyper::body::Incoming;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use slog::Logger;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, sleep},
};

use super::{
    Arrival, ConnectionRuns, EarlyHandler, EarlyRuns, MAX_HELD, MAX_PER_CONNECTION, MAX_PER_PROCESS,
};
use crate::{
    activity::Activity,
    gauges::GaugeValues,
    metrics::Metrics,
    payload::{Body, Payload},
    peer_memory::{Endpoint, Peer, PeerMemory, ProcessLimits},
    serve::{HeadLimits, Server},
};

/// A handler that answers a request with its target when the test releases it. Targets that begin with `/free` may start
/// early; those that begin with `/free/anew` must be served anew, the answers of early runs to those with `late` have expired,
/// and the answers to those with `close` close.
#[derive(Default)]
struct Stub {
    events: Mutex<Vec<String>>,
    released: watch::Sender<BTreeSet<String>>,
}

/// Records that a run was cancelled, unless it is disarmed.
struct RunGuard<'a>(&'a Stub, Option<String>);

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        if let Some(target) = &self.1 {
            self.0.record("cancelled", target);
        }
    }
}

impl Stub {
    fn record(&self, event: &str, target: &str) {
        self.events.lock().expect("a mutex").push(format!("{event} {target}"));
    }

    async fn work(&self, event: &str, parts: &Parts) -> Response<Body> {
        let target = parts.uri.to_string();
        self.record(event, &target);
        let mut guard = RunGuard(self, Some(target.clone()));
        let is_released =
            |released: &BTreeSet<String>| released.contains(&target) || released.contains("all");
        let _ = self.released.subscribe().wait_for(is_released).await;
        guard.1 = None;
        let mut body = Body::from(Bytes::from(target.clone()));
        if event == "early" && target.contains("late") {
            body = body.fail_at(Instant::now());
        }
        let mut answer = Response::new(body);
        if target.contains("close") {
            answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("Close"));
        }
        answer
    }

    /// Returns the events so far, in order, once there are as many as expected and all that could run has run.
    async fn events(&self, expected: &[&str]) -> Vec<String> {
        for _ in 0..2_000 {
            if self.events.lock().expect("a mutex").len() >= expected.len() {
                break;
            }
            sleep(Duration::from_millis(1)).await;
        }
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        let mut events = self.events.lock().expect("a mutex").clone();
        events.sort();
        events
    }
}

impl EarlyHandler for Arc<Stub> {
    fn can_start(&self, parts: &Parts) -> bool {
        parts.uri.path().starts_with("/free")
    }

    fn run(&self, parts: Parts) -> BoxFuture<'static, Option<Response<Body>>> {
        let this = self.clone();
        async move {
            let answer = this.work("early", &parts).await;
            (!parts.uri.path().starts_with("/free/anew")).then_some(answer)
        }
        .boxed()
    }

    fn prepare_delivery(&self, answer: &mut Response<Body>) {
        answer.headers_mut().insert("x-early", HeaderValue::from_static("1"));
    }
}

fn peer() -> Peer {
    let memory = PeerMemory::new(ProcessLimits::default(), |_| {});
    memory.connect(Endpoint::Callers).expect("room for a connection")
}

/// A server of the stub, and a connection to it.
struct Fixture {
    stub: Arc<Stub>,
    metrics: Arc<Metrics>,
    stop: watch::Sender<bool>,
    address: std::net::SocketAddr,
    stream: TcpStream,
}

impl Fixture {
    async fn start() -> Fixture {
        let stub = Arc::new(Stub::default());
        let metrics = Arc::new(Metrics::new());
        let early_runs = EarlyRuns::new(Arc::new(stub.clone()), metrics.clone());
        let handler = stub.clone();
        let handle = move |req: Request<Incoming>| {
            let stub = handler.clone();
            async move {
                let (parts, body) = req.into_parts();
                let _ = Payload::read(body).await;
                stub.work("served", &parts).await
            }
        };
        let stop = watch::Sender::new(false);
        let limits = watch::channel(HeadLimits::default()).1;
        let early_runs = Some(Arc::new(early_runs));
        let account = (PeerMemory::new(ProcessLimits::default(), |_| {}), Endpoint::Callers);
        let server = Server { account, stop: stop.subscribe(), limits, early_runs, handle };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(server.serve(listener, Logger::root(slog::Discard, slog::o!())));
        let stream = TcpStream::connect(address).await.expect("a connection");
        Fixture { stub, metrics, stop, address, stream }
    }

    async fn send(&mut self, targets: &[&str]) {
        let text: String = targets.iter().map(|target| request(target)).collect();
        self.stream.write_all(text.as_bytes()).await.expect("the server reads");
    }

    /// Returns the next answer: whether it comes from an early run, and its body.
    async fn receive(&mut self) -> Option<(bool, String)> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.stream.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).expect("text");
        let len = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let mut body = vec![0; len.expect("a length").parse().expect("a number")];
        self.stream.read_exact(&mut body).await.ok()?;
        Some((head.contains("x-early"), String::from_utf8(body).expect("text")))
    }

    fn release(&self, target: &str) {
        self.stub.released.send_modify(|released| {
            released.insert(target.to_owned());
        });
    }

    /// Returns the counter of early runs of this kind.
    fn count(&self, kind: &str) -> usize {
        let text = self.metrics.encode_text(&GaugeValues::default(), 0);
        let name = format!("poplarbarrow_early_runs_total{{kind=\"{kind}\"}} ");
        let value = text.lines().find_map(|line| line.strip_prefix(name.as_str()));
        value.map_or(0, |value| value.parse().expect("a number"))
    }
}

fn request(target: &str) -> String {
    let body = if target.contains("body") { "content-length: 3\r\n\r\nabc" } else { "\r\n" };
    format!("GET {target} HTTP/1.1\r\nhost: s\r\n{body}")
}

/// Returns what the library passes on for [`request`].
fn parts(target: &str) -> Parts {
    let req = Request::builder().uri(target).header("host", "s").body(());
    req.expect("a request").into_parts().0
}

/// Guards against requests that wait for the one before them, and against an answer that takes the place of another.
#[tokio::test]
async fn requests_run_at_the_same_time_and_answers_keep_their_order() {
    let targets = ["/free/a", "/free/b", "/free/c", "/free/d"];
    let mut fixture = Fixture::start().await;
    fixture.send(&targets).await;
    let expected = ["early /free/b", "early /free/c", "early /free/d", "served /free/a"];
    assert_eq!(fixture.stub.events(&expected).await, expected);
    for target in targets.iter().rev() {
        fixture.release(target);
    }
    for (index, target) in targets.into_iter().enumerate() {
        assert_eq!(fixture.receive().await, Some((index > 0, target.to_owned())));
    }
    assert_eq!((fixture.count("started"), fixture.count("discarded")), (3, 0));
}

/// Guards against a request that is started early although it, or one before it, may run only in its turn. What waits is
/// started when the one before it has been answered.
#[test_case(&["/free/a"], &[]; "nothing ahead")]
#[test_case(&["/turn/a", "/free/b", "/free/c"], &["early /free/c"]; "behind a request that is not idempotent")]
#[test_case(&["/free/a", "/turn/b", "/free/c"], &[]; "not idempotent itself")]
#[test_case(&["/free/a", "/free/body", "/free/c"], &[]; "with a body")]
#[test_case(&["/free/body", "/free/b", "/free/c"], &["early /free/c"]; "behind a body")]
#[tokio::test]
async fn requests_that_must_wait_are_not_started(targets: &[&str], then: &[&str]) {
    let mut fixture = Fixture::start().await;
    fixture.send(targets).await;
    let first = format!("served {}", targets[0]);
    assert_eq!(fixture.stub.events(&[&first]).await, std::slice::from_ref(&first));
    fixture.release(targets[0]);
    assert_eq!(fixture.receive().await, Some((false, targets[0].to_owned())));
    let served = targets.get(1).map(|second| format!("served {second}"));
    let mut expected = vec![first];
    expected.extend(then.iter().map(|event| (*event).to_owned()).chain(served));
    expected.sort();
    let count = expected.iter().map(String::as_str).collect::<Vec<_>>();
    assert_eq!(fixture.stub.events(&count).await, expected);
}

/// Guards against a caller that sends its next request after each answer, and whose requests take another path than before.
#[tokio::test]
async fn requests_in_turn_are_served_as_before() {
    let mut fixture = Fixture::start().await;
    fixture.release("all");
    for target in ["/free/a", "/turn/b", "/free/body", "/free/c"] {
        fixture.send(&[target]).await;
        assert_eq!(fixture.receive().await, Some((false, target.to_owned())));
    }
    assert_eq!(fixture.count("started"), 0);
}

/// Guards against runs for a caller that has left or whose connection closes: the requests were not read.
#[test_case(true, false, "/free/a"; "the caller leaves")]
#[test_case(false, true, "/free/a"; "a planned stop")]
#[tokio::test]
async fn runs_are_cancelled(leaves: bool, stops: bool, first: &str) {
    let mut fixture = Fixture::start().await;
    fixture.send(&[first, "/free/b", "/free/c"]).await;
    let served = format!("served {first}");
    let started = ["early /free/b", "early /free/c", &served];
    assert_eq!(fixture.stub.events(&started).await, started);
    // An answer that is ready is discarded as well.
    fixture.release("/free/c");
    fixture.stub.events(&started).await;
    let cancelled = format!("cancelled {first}");
    let mut expected = vec!["cancelled /free/b", "early /free/b", "early /free/c", &served];
    if leaves {
        expected.push(&cancelled);
        fixture.stream.shutdown().await.expect("an open connection");
    } else {
        fixture.stop.send_replace(stops);
        if stops {
            fixture.stub.events(&expected).await;
        }
        fixture.release(first);
        assert_eq!(fixture.receive().await, Some((false, first.to_owned())));
        assert_eq!(fixture.receive().await, None);
    }
    expected.sort_unstable();
    assert_eq!(fixture.stub.events(&expected).await, expected);
    assert_eq!((fixture.count("started"), fixture.count("discarded")), (2, 2));
}

/// Guards against a planned stop that closes a connection before the requests behind have been answered, although they run at
/// targets.
#[tokio::test]
async fn an_answer_does_not_close_before_the_runs_behind_it() {
    let mut fixture = Fixture::start().await;
    fixture.send(&["/free/close", "/free/b", "/free/c"]).await;
    let started = ["early /free/b", "early /free/c", "served /free/close"];
    assert_eq!(fixture.stub.events(&started).await, started);
    fixture.release("all");
    for (is_early, target) in [(false, "/free/close"), (true, "/free/b"), (true, "/free/c")] {
        assert_eq!(fixture.receive().await, Some((is_early, target.to_owned())));
    }
    assert_eq!((fixture.count("started"), fixture.count("discarded")), (2, 0));
    fixture.send(&["/free/close", "/turn/d"]).await;
    assert_eq!(fixture.receive().await, Some((false, "/free/close".to_owned())));
    assert_eq!(fixture.receive().await, None, "nothing runs behind the answer");
}

/// Guards against a request that is lost when its run finds that it may run only in its turn, or when the time of its answer
/// has passed before its turn.
#[test_case("/free/anew"; "only in its turn")]
#[test_case("/free/late"; "expired answer")]
#[tokio::test]
async fn a_request_whose_run_is_of_no_use_is_served_anew(second: &str) {
    let mut fixture = Fixture::start().await;
    fixture.release("all");
    fixture.send(&["/free/a", second, "/free/c"]).await;
    for (is_early, target) in [(false, "/free/a"), (false, second), (true, "/free/c")] {
        assert_eq!(fixture.receive().await, Some((is_early, target.to_owned())));
    }
    assert_eq!((fixture.count("started"), fixture.count("discarded")), (2, 1));
}

/// Guards against runs without bound on one connection and on many, and against requests that are lost beyond it.
#[tokio::test]
async fn runs_are_bounded() {
    const CONNECTIONS: usize = MAX_PER_PROCESS / MAX_PER_CONNECTION + 1;
    let mut fixture = Fixture::start().await;
    let targets = (0..100).map(|number| format!("/free/{number}")).collect::<Vec<_>>();
    let text: String = targets.iter().map(|target| request(target)).collect();
    fixture.stream.write_all(text.as_bytes()).await.expect("the server reads");
    let expected = vec![""; MAX_PER_CONNECTION + 1];
    assert_eq!(fixture.stub.events(&expected).await.len(), expected.len());
    assert_eq!(fixture.count("started"), MAX_PER_CONNECTION);
    assert!(fixture.count("delayed") > 0);
    let mut others = Vec::new();
    for _ in 1..CONNECTIONS {
        let mut stream = TcpStream::connect(fixture.address).await.expect("a connection");
        stream.write_all(text.as_bytes()).await.expect("the server reads");
        others.push(stream);
    }
    let expected = vec![""; MAX_PER_PROCESS + CONNECTIONS];
    assert_eq!(fixture.stub.events(&expected).await.len(), expected.len());
    assert_eq!(fixture.count("started"), MAX_PER_PROCESS);
    drop(others);
    fixture.release("all");
    for target in &targets {
        assert_eq!(fixture.receive().await.expect("an answer").1, *target);
    }
}

/// Guards against an answer to another request than the one that the library passes on, and against a time limit that does
/// not count from the arrival.
#[tokio::test]
async fn a_run_of_another_request_is_discarded() {
    let stub = Arc::new(Stub::default());
    let early_runs = EarlyRuns::new(Arc::new(stub.clone()), Arc::new(Metrics::new()));
    let runs = ConnectionRuns::new(Arc::new(early_runs), Activity::new(peer()));
    let text = ["/free/a", "/free/b", "/free/c", "/free/d"].map(request).concat();
    runs.receive(text.as_bytes());
    let expected = ["early /free/b", "early /free/c", "early /free/d"];
    assert_eq!(stub.events(&expected).await, expected);
    let mut first = parts("/free/a");
    assert!(runs.take(&mut first).is_none() && first.extensions.get::<Arrival>().is_none());
    let mut second = parts("/free/b");
    assert!(runs.take(&mut second).is_some() && second.extensions.get::<Arrival>().is_some());
    let mut third = parts("/free/c");
    third.headers.append("x", HeaderValue::from_static("1"));
    assert!(runs.take(&mut third).is_none());
    runs.receive(request("/free/e").as_bytes());
    runs.finish();
    let expected = ["cancelled /free/b", "cancelled /free/c", "cancelled /free/d"];
    let events = stub.events(&[""; 6]).await;
    assert_eq!(events.iter().filter(|event| event.starts_with("cancelled")).count(), 3);
    assert_eq!(events[..3], expected);
    assert!(runs.take(&mut parts("/free/d")).is_none());
}

/// Guards against a caller that does not read its answers and so keeps the places of others.
#[tokio::test(start_paused = true)]
async fn an_answer_is_not_held_for_ever() {
    let stub = Arc::new(Stub::default());
    stub.released.send_replace(BTreeSet::from(["all".to_owned()]));
    let shared = Arc::new(EarlyRuns::new(Arc::new(stub.clone()), Arc::new(Metrics::new())));
    let runs = ConnectionRuns::new(shared.clone(), Activity::new(peer()));
    runs.receive(["/free/a", "/free/b", "/free/c"].map(request).concat().as_bytes());
    assert!(runs.take(&mut parts("/free/a")).is_none());
    sleep(MAX_HELD / 2).await;
    let run = runs.take(&mut parts("/free/b")).expect("a run");
    assert!(run.answer().await.is_some());
    assert_eq!(shared.permits.available_permits(), MAX_PER_PROCESS - 1);
    sleep(MAX_HELD).await;
    assert_eq!(shared.permits.available_permits(), MAX_PER_PROCESS);
    let run = runs.take(&mut parts("/free/c")).expect("a run");
    assert!(run.answer().await.is_none());
}

/// Guards against a scanner that counts other requests than the library: in any sequence of requests, however it is cut,
/// each gets its own answer and no run is discarded.
#[tokio::test]
async fn random_sequences_agree_with_the_library() {
    for seed in 0..40 {
        let rng = &mut SmallRng::seed_from_u64(seed);
        let mut fixture = Fixture::start().await;
        fixture.release("all");
        let kind = |rng: &mut SmallRng| ["/free/", "/turn/", "/free/body/"][rng.random_range(0..3)];
        let targets = (0..30).map(|n| format!("{}{n}", kind(rng))).collect::<Vec<_>>();
        let text: String = targets.iter().map(|target| request(target)).collect();
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let (part, behind) = rest.split_at(rng.random_range(1..=rest.len()));
            fixture.stream.write_all(part).await.expect("the server reads");
            tokio::task::yield_now().await;
            rest = behind;
        }
        for target in &targets {
            let answer = fixture.receive().await;
            assert_eq!(answer.expect("an answer").1, *target, "seed {seed}");
        }
        assert_eq!(fixture.count("discarded"), 0, "seed {seed}");
    }
}
