//! Guards the stand-in target: a fault switch that does nothing would make every test that relies on it pass.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use poplarbarrow::standin::target::{
    Behaviour, Config, DIGEST_HEADER, ID_HEADER, LoadView, REASON_HEADER, Runs, Target, Totals,
    capacity,
};
use serde_json::{Value, json};
use test_case::test_case;

type Http = Client<HttpConnector, Full<Bytes>>;

struct Fixture {
    target: Target,
    http: Http,
}

impl Fixture {
    async fn new(control: Value) -> Fixture {
        let behaviour = serde_json::from_value(control).unwrap();
        let target = Target::start(Config { behaviour, ..Config::default() }).await.unwrap();
        Fixture { target, http: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Sends a request; the result is `None` if the connection broke before the head of the answer.
    fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> impl Future<Output = Option<Response<hyper::body::Incoming>>> + Send + use<> {
        let uri = format!("http://{}{path}", self.target.addr());
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::from(body.to_owned())).unwrap();
        let http = self.http.clone();
        async move { http.request(request).await.ok() }
    }

    async fn get(&self, path: &str) -> (StatusCode, Bytes) {
        let answer = self.send("GET", path, &[], "").await.unwrap();
        (answer.status(), answer.collect().await.unwrap().to_bytes())
    }

    async fn json<T: serde::de::DeserializeOwned>(&self, path: &str) -> T {
        serde_json::from_slice(&self.get(path).await.1).unwrap()
    }

    async fn control(&self, control: Value) -> StatusCode {
        self.send("POST", "/-/control", &[], &control.to_string()).await.unwrap().status()
    }

    /// Waits until the true load satisfies `done`.
    async fn until(&self, done: impl Fn(&LoadView) -> bool) {
        while !done(&self.target.load()) {
            tokio::task::yield_now().await;
        }
    }
}

#[derive(Debug, PartialEq)]
enum Seen {
    Answer(u16, &'static str),
    CutBody,
    NoAnswer,
}

use Seen::{Answer, CutBody, NoAnswer};

#[test_case(json!({}), &[], Answer(200, ""); "no fault")]
#[test_case(json!({"fail_rate": 1.0}), &[], Answer(500, "fail"); "fails fast")]
#[test_case(json!({"fail_prefix": "/pay"}), &[], Answer(500, "route"); "fails on the route")]
#[test_case(json!({"fail_prefix": "/other"}), &[], Answer(200, ""); "fails on another route only")]
#[test_case(json!({"draining": true}), &[], Answer(503, "drain"); "drains")]
#[test_case(json!({"cut_rate": 1.0}), &[], CutBody; "cuts a body with a length")]
#[test_case(json!({"cut_rate": 1.0, "chunked": true}), &[], CutBody; "cuts a chunked body")]
#[test_case(json!({"chunked": true}), &[], Answer(200, ""); "sends chunks")]
#[test_case(json!({"stall": true}), &[("poplarbarrow-deadline-ms", "1")], Answer(504, "deadline"); "stalls past a deadline")]
#[test_case(json!({"service_us": 2_000, "slowdown": 1000.0}), &[("poplarbarrow-deadline-ms", "1")], Answer(504, "deadline"); "slows down past a deadline")]
#[test_case(json!({}), &[("x-standin-crash", "1")], NoAnswer; "crashes on a marked request")]
#[test_case(json!({}), &[("x-standin-crash", "0")], Answer(200, ""); "does not crash on another value")]
#[tokio::test]
async fn fault_switch(control: Value, headers: &[(&str, &str)], expected: Seen) {
    let f = Fixture::new(json!({"connect_us": 0})).await;
    assert_eq!(f.control(control).await, StatusCode::OK);
    let seen = match f.send("POST", "/pay/1", headers, "a body").await {
        None => NoAnswer,
        Some(answer) => {
            let status = answer.status().as_u16();
            let reason =
                answer.headers().get(REASON_HEADER).map(|v| v.to_str().unwrap().to_owned());
            match answer.collect().await {
                Err(_) => CutBody,
                Ok(body) => {
                    if status == 200 {
                        assert_eq!(body.to_bytes(), "a body");
                    }
                    Answer(status, reason.unwrap_or_default().leak())
                }
            }
        }
    };
    assert_eq!(seen, expected);
}

#[test_case(r#"{"slot": 1}"#; "unknown field")]
#[test_case(r#"{"slots": 0}"#; "value out of range")]
#[test_case(r#"{"fail_rate": 1.5}"#; "rate above one")]
#[test_case(r#"{"action": "explode"}"#; "unknown action")]
#[test_case(r#"[]"#; "no object")]
#[test_case(r#"{"#; "no JSON")]
#[tokio::test]
async fn control_refuses(body: &str) {
    let f = Fixture::new(json!({})).await;
    let answer = f.send("POST", "/-/control", &[], body).await.unwrap();
    assert_eq!(answer.status(), StatusCode::BAD_REQUEST);
    assert_eq!(f.target.behaviour(), Behaviour::default());
}

/// Guards against answers that a caller cannot tell from another caller's.
#[tokio::test]
async fn answer_shows_its_request() {
    let f = Fixture::new(json!({})).await;
    let answer = f.send("POST", "/a?bytes=5", &[(ID_HEADER, "ab")], "hello").await.unwrap();
    assert_eq!(answer.headers()[ID_HEADER], "ab");
    assert_eq!(answer.headers()[DIGEST_HEADER], blake3::hash(b"hello").to_hex().as_str());
    assert_eq!(answer.collect().await.unwrap().to_bytes(), "ababa");
}

/// Guards the counts on which tests of at-most-once execution rest, across refusals and a crash.
#[tokio::test]
async fn runs_are_counted() {
    let f = Fixture::new(json!({})).await;
    let send = |id: &'static str, crash| {
        f.send("POST", "/", &[(ID_HEADER, id), ("x-standin-crash", crash)], "")
    };
    send("a", "0").await.unwrap();
    send("a", "0").await.unwrap();
    f.target.change(|b| b.draining = true).unwrap();
    send("b", "0").await.unwrap();
    f.target.change(|b| b.draining = false).unwrap();
    assert!(send("c", "1").await.is_none());

    assert_eq!(f.target.runs("a"), Runs { started: 2, finished: 2 });
    assert_eq!(f.target.runs("b"), Runs { started: 0, finished: 0 });
    assert_eq!(f.target.runs("c"), Runs { started: 1, finished: 0 });
    let totals = f.target.totals();
    assert_eq!((totals.started, totals.repeated, totals.refused), (3, 1, 1));
}

/// Guards against a crash that spares other connections, or after which the target does not return.
#[tokio::test]
async fn crash_breaks_all_connections_until_revival() {
    let f = Fixture::new(json!({"stall": true})).await;
    let other = tokio::spawn(f.send("GET", "/", &[], ""));
    f.until(|l| l.running == 1).await;
    assert_eq!(f.control(json!({"stall": true, "action": "crash"})).await, StatusCode::OK);
    assert!(other.await.unwrap().is_none());
    f.target.change(|b| b.stall = false).unwrap();
    while f.send("GET", "/", &[], "").await.is_none() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(f.target.load().running, 0);
    assert_eq!(f.target.totals().crashes, 1);
}

/// Guards against requests that keep a slot or a place in the queue after their peer has gone.
#[tokio::test]
async fn dropped_request_frees_its_slot() {
    let f = Fixture::new(json!({"slots": 1, "stall": true})).await;
    let running = tokio::spawn(f.send("GET", "/", &[(ID_HEADER, "running")], ""));
    f.until(|l| l.running == 1).await;
    let queued = tokio::spawn(f.send("GET", "/", &[(ID_HEADER, "queued")], ""));
    f.until(|l| l.queued == 1).await;
    queued.abort();
    f.until(|l| l.queued == 0).await;
    running.abort();
    f.until(|l| l.running == 0).await;
    assert_eq!(f.target.runs("queued").started, 0);
    assert_eq!(f.target.totals().cancelled, 2);
}

/// Guards the bounds: slots hold, the excess waits, and the excess over the shedding limit is refused.
#[tokio::test]
async fn sheds_over_its_limit() {
    let f = Fixture::new(json!({"slots": 2, "shed_limit": 3, "stall": true})).await;
    let held: Vec<_> = (0..3).map(|_| tokio::spawn(f.send("GET", "/", &[], ""))).collect();
    f.until(|l| l.running == 2 && l.queued == 1).await;
    let answer = f.send("GET", "/", &[], "").await.unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.headers()[REASON_HEADER], "shed");
    f.target.change(|b| b.stall = false).unwrap();
    for request in held {
        assert_eq!(request.await.unwrap().unwrap().status(), StatusCode::OK);
    }
}

/// Guards against a reduction of the slots that waiting requests undo.
#[tokio::test]
async fn fewer_slots_hold_with_a_queue() {
    let f = Fixture::new(json!({"slots": 2, "stall": true})).await;
    let mut running: Vec<_> = (0..2).map(|_| tokio::spawn(f.send("GET", "/", &[], ""))).collect();
    f.until(|l| l.running == 2).await;
    let queued = tokio::spawn(f.send("GET", "/", &[], ""));
    f.until(|l| l.queued == 1).await;
    f.target.change(|b| b.slots = 1).unwrap();
    running.pop().unwrap().abort();
    f.until(|l| l.running == 1).await;
    assert_eq!(f.target.load().queued, 1);
    f.target.change(|b| b.stall = false).unwrap();
    assert!(queued.await.unwrap().is_some());
}

#[test_case(0, 0, 2; "begins with the first slots")]
#[test_case(50, 1000, 7; "half way by both")]
#[test_case(100, 500, 7; "time is slower")]
#[test_case(50, 9000, 7; "requests are slower")]
#[test_case(100, 1000, 12; "warm")]
fn cold_capacity(done: u32, age_ms: u64, slots: u32) {
    let b = Behaviour { cold_requests: 100, cold_ms: 1000, ..Behaviour::default() };
    assert_eq!(capacity(&b, done, Duration::from_millis(age_ms)), slots);
}

/// Guards against a cold target that takes full load, and against warmth that survives an overload.
#[tokio::test]
async fn overload_while_cold_fails() {
    let cold = json!({"slots": 3, "cold_slots": 1, "cold_requests": 2, "cold_overload": 2, "cold_fail_ms": 0});
    let f = Fixture::new(cold).await;
    f.get("/").await;
    assert_eq!(f.target.load().slots, 2);
    f.target.change(|b| b.stall = true).unwrap();
    let held: Vec<_> = (0..4).map(|_| tokio::spawn(f.send("GET", "/", &[], ""))).collect();
    f.until(|l| l.running + l.queued == 4).await;
    let answer = f.send("GET", "/", &[], "").await.unwrap();
    assert_eq!(answer.headers()[REASON_HEADER], "cold");
    assert_eq!(f.target.load().slots, 1);
    f.target.change(|b| b.stall = false).unwrap();
    for request in held {
        assert!(request.await.unwrap().is_some());
    }
    assert!(!f.target.load().cold);
    f.control(json!({"action": "cold"})).await;
    assert!(f.target.load().cold);
}

#[test_case(json!({}), 200, 1; "truthful")]
#[test_case(json!({"load_factor": 3.0, "health_forced": false}), 503, 3; "wrong")]
#[test_case(json!({"load_lag_ms": 3_600_000, "health_lag_ms": 3_600_000}), 200, 0; "lagging")]
#[tokio::test]
async fn reports(control: Value, health: u16, running: u32) {
    let mut control = control;
    control["stall"] = true.into();
    let f = Fixture::new(control).await;
    let held = tokio::spawn(f.send("GET", "/", &[], ""));
    f.until(|l| l.running == 1).await;
    assert_eq!(f.get("/-/health").await.0.as_u16(), health);
    assert_eq!(f.json::<LoadView>("/-/load").await.running, running);
    held.abort();
}

/// Guards against a drain that the health endpoint hides, unless it is told to lag.
#[test_case(0, 503; "at once")]
#[test_case(3_600_000, 200; "with lag")]
#[tokio::test]
async fn drain_shows_in_health(lag: u64, status: u16) {
    let f = Fixture::new(json!({"health_lag_ms": lag})).await;
    f.target.change(|b| b.draining = true).unwrap();
    assert_eq!(f.get("/-/health").await.0.as_u16(), status);
}

/// Guards the limit on connections, beyond which a real target would refuse too.
#[tokio::test]
async fn connections_are_bounded() {
    let f = Fixture::new(json!({"connections": 1, "stall": true})).await;
    let held = tokio::spawn(f.send("GET", "/", &[], ""));
    f.until(|l| l.running == 1).await;
    assert!(f.send("GET", "/", &[], "").await.is_none());
    let Totals { connections, connections_refused, .. } = f.target.totals();
    assert_eq!(connections, 1);
    assert!(connections_refused >= 1);
    held.abort();
}

/// Guards against a planned stop that interrupts a request.
#[tokio::test]
async fn stop_finishes_requests() {
    let f = Fixture::new(json!({"service_us": 20_000})).await;
    let held = tokio::spawn(f.send("GET", "/", &[], ""));
    f.until(|l| l.running == 1).await;
    f.target.stop().await;
    assert_eq!(held.await.unwrap().unwrap().status(), StatusCode::OK);
}

/// Guards the reproducibility of trials: one seed gives one sequence of faults.
#[tokio::test]
async fn faults_follow_the_seed() {
    let mut sequences = Vec::new();
    for _ in 0..2 {
        let behaviour = Behaviour { fail_rate: 0.5, ..Behaviour::default() };
        let config = Config { seed: 7, behaviour, ..Config::default() };
        let target = Target::start(config).await.unwrap();
        let f = Fixture { target, http: Client::builder(TokioExecutor::new()).build_http() };
        let mut sequence = Vec::new();
        for _ in 0..20 {
            sequence.push(f.get("/").await.0);
        }
        sequences.push(sequence);
    }
    assert_eq!(sequences[0], sequences[1]);
}
