//! Forwards admitted requests to the local target and validates its answers.

use std::{future::poll_fn, ops::RangeInclusive, sync::Arc, time::Duration};

use compact_str::CompactString;
use http::{
    HeaderMap, HeaderValue, Request, Response, StatusCode, Version, header, request::Parts,
};
use http_body::Body as _;
use hyper::body::Incoming;
use tokio::time::{self, Instant};

use crate::{
    driver::Driver,
    effect::{AttemptSpec, WorkStep},
    event::{Event, Failure, WorkEvent, WorkHead},
    fingerprint::fingerprint,
    headers::{self, HeaderNames},
    keys::{MemberId, WorkKey},
    payload::{Body, Payload},
    pool::{IdHash, Pool, PooledConnection, SendError},
    refusal::Reason,
    teams,
    usage::Usage,
};

/// Extra time, beyond the caller's timeout, for a request that continues after its caller has gone away.
const ORPHAN_GRACE: Duration = Duration::from_secs(1);

/// The maximum time for reading the body of an answer that is discarded. A connection whose body takes longer is closed.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Safety margin before the target's keep-alive timeout. A connection is not reused within it, because the target could
/// close it while a request is on its way.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(900);

/// Admits requests and forwards them to the local target.
#[derive(Clone)]
pub(crate) struct Forwarder {
    pub(crate) driver: Arc<Driver>,
    pub(crate) names: Arc<HeaderNames>,
    pub(crate) pool: Pool,
    pub(crate) usage: Usage,
}

/// The outcome of an attempt at the target's node.
pub(crate) enum AttemptOutcome {
    /// The target answered.
    Answer(Box<Response<Body>>),
    /// The target reported that it did not run the request.
    Shed,
    /// The node refused the request, which did not run.
    Refused { reason: Reason, wait: Duration },
    /// No valid answer was received.
    Failed(Failure),
}

impl Forwarder {
    /// Waits for admission, sends the request to the target and returns the outcome.
    ///
    /// A request that is not idempotent continues when its caller goes away, because cancelling it could leave it
    /// partially executed.
    pub(crate) async fn run(
        &self,
        from: Option<MemberId>,
        spec: &AttemptSpec,
        parts: Parts,
        payload: Payload,
    ) -> AttemptOutcome {
        let id = headers::text(&parts.headers, &self.names.request_id).unwrap_or_default().into();
        let head = WorkHead {
            from,
            id,
            service: spec.service.clone(),
            route: spec.route.clone(),
            priority: spec.priority,
            objective: spec.objective,
            full_objective: spec.full_objective,
            timeout: spec.timeout,
            nominal_service: spec.nominal_service,
            is_late: spec.is_late,
            is_nested: parts.headers.contains_key(&headers::NESTED),
            team: teams::read_team(&parts.headers, &self.names.team),
            fingerprint: fingerprint(&parts, &payload, &self.names.caller),
        };
        let Some(mut work) = WorkGuard::open(&self.driver) else {
            return AttemptOutcome::Refused { reason: Reason::Overloaded, wait: Duration::ZERO };
        };
        work.dispatch(WorkEvent::Arrived(head));
        let (lifetime, timeout) = match work.next().await {
            Some(WorkStep::Run { lifetime, timeout }) => (lifetime, timeout),
            Some(WorkStep::Refuse { reason, wait }) => {
                work.is_open = false;
                return AttemptOutcome::Refused { reason, wait };
            }
            None => {
                return AttemptOutcome::Refused { reason: Reason::Stopping, wait: Duration::ZERO };
            }
        };
        let exchange = self.clone().exchange(work, lifetime, timeout, parts, payload);
        let exchange = time::timeout(timeout + ORPHAN_GRACE, exchange);
        let outcome = if spec.is_idempotent {
            exchange.await.ok()
        } else {
            tokio::spawn(exchange).await.ok().and_then(Result::ok)
        };
        outcome.unwrap_or(AttemptOutcome::Failed(Failure::Lost))
    }

    async fn exchange(
        self,
        mut work: WorkGuard,
        lifetime: CompactString,
        timeout: Duration,
        parts: Parts,
        mut payload: Payload,
    ) -> AttemptOutcome {
        let deadline = Instant::now() + timeout;
        let id = parts.headers.get(&self.names.request_id).cloned();
        let Some(req) = self.prepare_request(parts, &mut payload, &lifetime, timeout) else {
            work.close(WorkEvent::Failed(Failure::BodyCut));
            return AttemptOutcome::Failed(Failure::BodyCut);
        };
        let id_hash = IdHash::of(id.as_ref().map_or(b"", HeaderValue::as_bytes));
        let begun = self.usage.begin(req.headers(), &self.names);
        let undo_count = || {
            if let Some(begun) = begun {
                begun.undo();
            }
        };
        let sent = self.pool.send_unless_refused(req, Some(id_hash)).await;
        let (answer, mut conn) = match sent {
            Ok(sent) => sent,
            Err(SendError::Unreachable) => {
                undo_count();
                work.close(WorkEvent::Failed(Failure::NotSent));
                self.driver.dispatch(Event::Health(None));
                return AttemptOutcome::Refused { reason: Reason::NoTarget, wait: Duration::ZERO };
            }
            Err(SendError::NotSent) => {
                undo_count();
                work.close(WorkEvent::Failed(Failure::NotSent));
                return AttemptOutcome::Refused { reason: Reason::NoTarget, wait: Duration::ZERO };
            }
            Err(SendError::Lost) => {
                work.close(WorkEvent::Failed(Failure::Lost));
                return AttemptOutcome::Failed(Failure::Lost);
            }
        };
        let headers = answer.headers();
        if let Err(cause) = check_answer(&answer, id.as_ref(), &self.names) {
            // Requests and answers on the connection may be out of sync, so it is closed.
            slog::warn!(self.driver.log(), "answer-rejected"; "cause" => cause.as_str(),
                "id" => id.as_ref().and_then(|id| id.to_str().ok()),
                "status" => answer.status().as_u16());
            work.close(WorkEvent::Failed(Failure::Lost));
            return AttemptOutcome::Failed(Failure::Lost);
        }
        if let Some(slowdown) = read_load(headers, &self.names).and_then(|load| load.slowdown) {
            self.driver.dispatch(Event::Slowdown(slowdown));
        }
        if let Some(idle) = idle_timeout(headers) {
            conn.limit_idle(idle.saturating_sub(IDLE_TIMEOUT_MARGIN));
        }
        let is_shed = headers.contains_key(&self.names.not_executed);
        if is_shed || answer.status() == StatusCode::MISDIRECTED_REQUEST {
            conn.mark_refused(id_hash);
            undo_count();
        }
        if answer.status() == StatusCode::MISDIRECTED_REQUEST {
            let is_other = headers::text(headers, &self.names.instance)
                .is_none_or(|instance| instance != lifetime.as_str());
            work.close(if is_other { WorkEvent::Misdirected } else { WorkEvent::Shed });
            drain(answer, conn);
            return AttemptOutcome::Refused { reason: Reason::NoTarget, wait: Duration::ZERO };
        }
        if is_shed {
            work.close(WorkEvent::Shed);
            drain(answer, conn);
            return AttemptOutcome::Shed;
        }
        self.accept_answer(work, answer, conn, deadline).await
    }

    /// Buffers a small answer completely before it is returned, so that a truncated one is detected. A large one is
    /// streamed until the deadline.
    async fn accept_answer(
        &self,
        mut work: WorkGuard,
        answer: Response<Incoming>,
        conn: PooledConnection,
        deadline: Instant,
    ) -> AttemptOutcome {
        let (parts, body) = answer.into_parts();
        let Ok(mut payload) = Payload::read(body).await else {
            work.close(WorkEvent::Failed(Failure::Lost));
            return AttemptOutcome::Failed(Failure::Lost);
        };
        let status = parts.status.as_u16();
        let is_complete = payload.is_complete();
        let Some(body) = payload.take() else {
            work.close(WorkEvent::Failed(Failure::Lost));
            return AttemptOutcome::Failed(Failure::Lost);
        };
        let body = if is_complete {
            conn.release();
            work.close(WorkEvent::Answered { status });
            body
        } else {
            body.fail_at(deadline).on_complete(move || {
                conn.release();
                work.close(WorkEvent::Answered { status });
            })
        };
        let mut parts = parts;
        headers::strip_hop_by_hop(&mut parts.headers);
        headers::strip_internal(&mut parts.headers);
        if is_complete && !parts.headers.contains_key(header::CONTENT_LENGTH) {
            headers::set(
                &mut parts.headers,
                &header::CONTENT_LENGTH,
                &body.size_hint().exact().unwrap_or(0).to_string(),
            );
        }
        AttemptOutcome::Answer(Box::new(Response::from_parts(parts, body)))
    }

    fn prepare_request(
        &self,
        mut parts: Parts,
        payload: &mut Payload,
        lifetime: &str,
        timeout: Duration,
    ) -> Option<Request<Body>> {
        headers::strip_hop_by_hop(&mut parts.headers);
        headers::strip_internal(&mut parts.headers);
        // An entry node of an earlier build, or one with an earlier configuration, leaves the key in place.
        if self.driver.inspect(|_, reducer| reducer.config().is_some_and(|c| c.has_teams())) {
            teams::remove_keys(&mut parts.headers);
        }
        headers::set(&mut parts.headers, &self.names.target, lifetime);
        let ms = timeout.as_millis().max(1).to_string();
        headers::set(&mut parts.headers, &self.names.deadline, &ms);
        Some(Request::from_parts(parts, payload.take()?))
    }
}

/// The highest slowdown that is taken from a target, as a percentage of the nominal service time.
const MAX_SLOWDOWN_PERCENT: f64 = 10_000.0;

/// The reason for which an answer is not taken as the target's answer to a request.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
enum Mismatch {
    /// Its status or version is not that of a final response.
    NotFinal,
    /// It names no request.
    MissingId,
    /// It answers another request.
    OtherId,
    /// It succeeds without a signature, or with a content encoding.
    NotSigned,
    /// Its status promises that the request did not run, but the target does not state so.
    UnprovenRefusal,
}

impl Mismatch {
    /// Returns the name used in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Mismatch::NotFinal => "not-final",
            Mismatch::MissingId => "missing-id",
            Mismatch::OtherId => "other-id",
            Mismatch::NotSigned => "not-signed",
            Mismatch::UnprovenRefusal => "unproven-refusal",
        }
    }
}

/// Checks whether an answer can be the target's answer to the request with this id, and is proof of what it states.
///
/// Targets echo the id. An answer without it may belong to an earlier request or health check on the connection.
fn check_answer<B>(
    answer: &Response<B>,
    id: Option<&HeaderValue>,
    names: &HeaderNames,
) -> Result<(), Mismatch> {
    if !is_final(answer) {
        return Err(Mismatch::NotFinal);
    }
    let (status, headers) = (answer.status(), answer.headers());
    let id = id.filter(|id| !id.is_empty());
    let mut echoes = headers.get_all(&names.request_id).iter().filter(|echo| !echo.is_empty());
    if !echoes.all(|echo| Some(echo) == id) {
        return Err(Mismatch::OtherId);
    }
    if id.is_some() && headers.get(&names.request_id).is_none_or(HeaderValue::is_empty) {
        return Err(Mismatch::MissingId);
    }
    let is_signed = headers.contains_key(&names.signature);
    if status.is_success() && (!is_signed || headers.contains_key(header::CONTENT_ENCODING)) {
        return Err(Mismatch::NotSigned);
    }
    let is_promise = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    if is_promise && !headers.contains_key(&names.not_executed) {
        return Err(Mismatch::UnprovenRefusal);
    }
    Ok(())
}

/// The valid statuses of a final response. The HTTP library also takes a switch of the protocol that nobody has asked for, and
/// statuses up to 999.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Returns whether an answer is a valid final response of the protocol.
fn is_final<B>(answer: &Response<B>) -> bool {
    answer.version() == Version::HTTP_11 && FINAL_STATUSES.contains(&answer.status().as_u16())
}

/// The load that a target reports in its answers.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct TargetLoad {
    pub(crate) slots: Option<u16>,
    pub(crate) slowdown: Option<u32>,
}

/// Parses the load header of a target.
pub(crate) fn read_load(headers: &HeaderMap, names: &HeaderNames) -> Option<TargetLoad> {
    let text = headers::text(headers, &names.load)?;
    let mut parts = text.split(',').map(str::trim).skip(2);
    let slots = parts.next().and_then(|slots| slots.parse().ok());
    let slowdown = parts.next().and_then(|value| value.parse::<f64>().ok());
    let slowdown = slowdown.filter(|percent| (1.0..=MAX_SLOWDOWN_PERCENT).contains(percent));
    let slowdown = slowdown.map(|percent| percent as u32);
    Some(TargetLoad { slots, slowdown })
}

/// Parses the keep-alive timeout that the target announces, if any.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.parse().ok().map(Duration::from_secs)
}

/// Reads the rest of an answer that is discarded, so that its connection can be reused. This does not delay the outcome,
/// because the body may never end.
fn drain(answer: Response<Incoming>, conn: PooledConnection) {
    if answer.body().is_end_stream() {
        return conn.release();
    }
    tokio::spawn(async move {
        let read = time::timeout(DRAIN_TIMEOUT, Payload::read(answer.into_body())).await;
        if read.is_ok_and(|payload| payload.is_ok_and(|payload| payload.is_complete())) {
            conn.release();
        }
    });
}

/// Guard of a registered request. Dropping it reports to the reducer that the request was cancelled, which has no
/// effect on a request that has already ended.
struct WorkGuard {
    driver: Arc<Driver>,
    key: WorkKey,
    is_open: bool,
}

impl WorkGuard {
    fn open(driver: &Arc<Driver>) -> Option<WorkGuard> {
        let key = driver.open_work()?;
        Some(WorkGuard { driver: driver.clone(), key, is_open: true })
    }

    async fn next(&self) -> Option<WorkStep> {
        poll_fn(|cx| self.driver.poll_work(self.key, cx)).await
    }

    fn dispatch(&self, event: WorkEvent) {
        self.driver.dispatch(Event::Work(self.key, event));
    }

    fn close(&mut self, event: WorkEvent) {
        if std::mem::replace(&mut self.is_open, false) {
            self.driver.close_work(self.key, event);
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.is_open = true;
        self.close(WorkEvent::Cancelled);
    }
}

#[cfg(test)]
mod tests;
