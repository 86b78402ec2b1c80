use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use hdrhistogram::Histogram;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use tokio::{
    net::TcpStream,
    sync::Semaphore,
    task::yield_now,
    time::{sleep, timeout},
};
use tokio_util::task::TaskTracker;

use super::{LoadError, LoopbackAddr, Outcome, Plan, REQUEST_TIMEOUT, RequestSnafu, Route};

/// The last part of a wait is spent in a busy loop, because tokio's timer may wake up send_delay by its resolution of
/// 1 ms.
const BUSY_WAIT: Duration = Duration::from_millis(2);
/// Requests sent to each address before the first round, to open connections and warm up the code.
const WARM_UP_REQUESTS: usize = 50;
/// Concurrent requests of the warm-up, which is also the number of connections it opens.
const WARM_UP_CONCURRENCY: usize = 5;
const ID_HEADER: &str = "x-request-id";
const REASON_HEADER: &str = "poplarbarrow-reason";
const DEADLINE_HEADER: &str = "poplarbarrow-deadline-ms";

/// Sends the requests of one route over connections that are reused across rounds.
pub(super) struct Driver<'a> {
    plan: &'a Plan,
    route: CompactString,
    uri: CompactString,
    body: Bytes,
    pools: Vec<Arc<Pool>>,
}

impl<'a> Driver<'a> {
    pub(super) fn new(plan: &'a Plan, route: &Route) -> Driver<'a> {
        let with_body = [Method::POST, Method::PUT, Method::PATCH].contains(&plan.method);
        let sep = if plan.path.contains('?') { '&' } else { '?' };
        let uri = match plan.bytes {
            0 => plan.path.clone(),
            n => format_compact!("{}{sep}bytes={n}", plan.path),
        };
        Driver {
            plan,
            route: route.name.clone(),
            uri,
            body: Bytes::from(vec![b'x'; if with_body { plan.bytes } else { 0 }]),
            pools: route.addrs.iter().map(|a| Arc::new(Pool::new(*a, plan.connections))).collect(),
        }
    }

    /// Opens connections and sends requests whose outcomes are not recorded.
    pub(super) async fn warm_up(&self) -> Result<(), LoadError> {
        for pool in &self.pools {
            for _ in 0..WARM_UP_REQUESTS / WARM_UP_CONCURRENCY {
                let calls = (0..WARM_UP_CONCURRENCY)
                    .map(|_| Ok(pool.call(self.request(None)?, self.plan.bytes)))
                    .collect::<Result<Vec<_>, LoadError>>()?;
                futures::future::join_all(calls).await;
            }
        }
        Ok(())
    }

    /// Sends one request at each offset and waits for all responses.
    pub(super) async fn run(&self, round: u32, offsets: &[Duration]) -> Result<Outcome, LoadError> {
        let requests = (0..offsets.len())
            .map(|n| self.request(self.id(round, n)))
            .collect::<Result<Vec<_>, _>>()?;
        let recorder = Arc::new(Mutex::new(RoundRecorder::new()));
        let calls = TaskTracker::new();
        let start = Instant::now() + BUSY_WAIT;
        for ((n, offset), request) in offsets.iter().enumerate().zip(requests) {
            let due = start + *offset;
            wait_until(due).await;
            let send_delay = due.elapsed();
            let pool = self.pools[n % self.pools.len()].clone();
            let (recorder, size) = (recorder.clone(), self.plan.bytes);
            calls.spawn(async move {
                let result = pool.call(request, size).await;
                let latency = due.elapsed();
                recorder
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .add(result, latency, send_delay);
            });
        }
        calls.close();
        calls.wait().await;
        let mut recorder = recorder.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(recorder.finish(self.route.clone()))
    }

    fn id(&self, round: u32, n: usize) -> Option<CompactString> {
        let Plan { has_ids, seed, .. } = self.plan;
        has_ids.then(|| format_compact!("{seed}-{}-{round}-{n}", self.route))
    }

    fn request(&self, id: Option<CompactString>) -> Result<Request<Full<Bytes>>, LoadError> {
        let mut request = Request::builder()
            .method(self.plan.method.clone())
            .uri(self.uri.as_str())
            .header(header::HOST, self.plan.service.as_str());
        if let Some(id) = id {
            request = request.header(ID_HEADER, id.as_str());
        }
        if let Some(ms) = self.plan.deadline_ms {
            request = request.header(DEADLINE_HEADER, ms);
        }
        request.body(Full::new(self.body.clone())).context(RequestSnafu)
    }
}

/// Sleeps, then yields in a busy loop so that the runtime can handle sockets that are ready.
async fn wait_until(due: Instant) {
    loop {
        let left = due.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        if left > BUSY_WAIT {
            sleep(left - BUSY_WAIT).await;
        } else {
            yield_now().await;
        }
    }
}

/// Why a request was not successful.
enum Failure {
    Refused(CompactString),
    Other(CompactString),
}

fn other_failure(what: &'static str) -> Failure {
    Failure::Other(CompactString::const_new(what))
}

struct RoundRecorder {
    outcome: Outcome,
    latency: Histogram<u64>,
    send_delay: Histogram<u64>,
}

impl RoundRecorder {
    fn new() -> RoundRecorder {
        // Longer times are recorded as this maximum of twice the timeout; they occur only if the sender was suspended.
        let max = 2 * u64::try_from(REQUEST_TIMEOUT.as_nanos()).unwrap_or(u64::MAX / 2);
        let histogram = || Histogram::new_with_bounds(1, max, 3).expect("the bounds are valid");
        RoundRecorder { outcome: Outcome::default(), latency: histogram(), send_delay: histogram() }
    }

    fn add(&mut self, result: Result<(), Failure>, latency: Duration, send_delay: Duration) {
        let ns = |d: Duration| u64::try_from(d.as_nanos()).unwrap_or(u64::MAX);
        self.outcome.sent += 1;
        self.send_delay.saturating_record(ns(send_delay));
        match result {
            Ok(()) => {
                self.outcome.ok += 1;
                self.latency.saturating_record(ns(latency));
            }
            Err(Failure::Refused(reason)) => *self.outcome.refused.entry(reason).or_default() += 1,
            Err(Failure::Other(what)) => *self.outcome.failed.entry(what).or_default() += 1,
        }
    }

    fn finish(&mut self, route: CompactString) -> Outcome {
        let mut outcome = std::mem::take(&mut self.outcome);
        outcome.route = route;
        outcome.set_percentiles(&self.latency, &self.send_delay);
        outcome
    }
}

/// A pool of keep-alive connections to one address.
struct Pool {
    addr: LoopbackAddr,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
    permits: Semaphore,
}

impl Pool {
    fn new(addr: LoopbackAddr, connections: usize) -> Pool {
        Pool { addr, idle: Mutex::default(), permits: Semaphore::new(connections) }
    }

    async fn call(&self, request: Request<Full<Bytes>>, size: usize) -> Result<(), Failure> {
        let exchange = self.exchange(request, size);
        timeout(REQUEST_TIMEOUT, exchange).await.unwrap_or_else(|_| Err(other_failure("timeout")))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>, size: usize) -> Result<(), Failure> {
        let _permit = self.permits.acquire().await.map_err(|_| other_failure("connect"))?;
        let id = request.headers().get(ID_HEADER).cloned();
        let has_body = request.method() != Method::HEAD;
        let mut conn = self.connection().await?;
        let response = conn.send_request(request).await.map_err(|_| other_failure("lost"))?;
        let (head, body) = response.into_parts();
        let len = body.collect().await.map_err(|_| other_failure("cut"))?.to_bytes().len();
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(conn);
        if let Some(reason) = head.headers.get(REASON_HEADER).and_then(|v| v.to_str().ok()) {
            return Err(Failure::Refused(reason.into()));
        }
        if !head.status.is_success() {
            return Err(Failure::Other(format_compact!("status-{}", head.status.as_u16())));
        }
        let has_wrong_id = head.headers.get(ID_HEADER).is_some_and(|v| Some(v) != id.as_ref());
        if has_wrong_id || (has_body && size > 0 && len != size) {
            return Err(other_failure("mismatch"));
        }
        Ok(())
    }

    async fn connection(&self) -> Result<SendRequest<Full<Bytes>>, Failure> {
        loop {
            let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
            let Some(mut conn) = idle else { break };
            if conn.ready().await.is_ok() {
                return Ok(conn);
            }
        }
        let stream =
            TcpStream::connect(self.addr.addr()).await.map_err(|_| other_failure("connect"))?;
        stream.set_nodelay(true).map_err(|_| other_failure("connect"))?;
        let (conn, task) =
            handshake(TokioIo::new(stream)).await.map_err(|_| other_failure("connect"))?;
        tokio::spawn(task);
        Ok(conn)
    }
}

#[cfg(test)]
mod tests;
