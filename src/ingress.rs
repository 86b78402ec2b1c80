//! Serves requests of callers: lets the reducer choose the target of each attempt and returns the answer.

use std::{
    future::poll_fn,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use axum::body::Body;
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use futures::{
    StreamExt,
    future::{BoxFuture, ready},
    stream::{self, FuturesUnordered},
};
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri, header, request::Parts};
use http_body::Body as _;
use http_body_util::BodyExt;

use crate::{
    auth::RequestKey,
    body::{BodyEnd, IncompleteBody, ReplayableBody, Tracked},
    crash_guard::{self, RequestHash},
    driver::Driver,
    effect::{Attempt, AttemptKind, CallStep, Hop},
    envelope::Envelope,
    event::{CallEvent, CallHead, Event, Failure, RequestIdentity, WorkHead},
    forwarder::{ForwardError, Forwarder},
    headers::{self, InvalidHeader},
    identity::{Answer, Fingerprint, Identity, MAX_ANSWER_BYTES, PresentedIdentity, Stamp},
    keys::{CallKey, MemberId},
    load::LoadReport,
    metrics::RequestStage,
    peer::Peers,
    pool::SendError,
    refusal::{Outcome, Reason, Refusal},
};

/// The authority of requests to the node itself; the document rejects a service of this name.
const NODE_AUTHORITY: &str = "poplarbarrow";

/// Upper bound of the deadline in a caller's request; a longer one is cut to it.
const MAX_CALLER_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Serves callers' requests.
#[derive(Clone)]
pub(crate) struct Ingress {
    pub(crate) driver: Arc<Driver>,
    pub(crate) local_id: MemberId,
    pub(crate) key: RequestKey,
    pub(crate) peers: Peers,
    pub(crate) forwarder: Forwarder,
}

/// The result of an attempt, known when the head of the answer has arrived or the attempt has failed.
enum AttemptResult {
    Answer(Response<Body>, Option<LoadReport>),
    Refused(Refusal, Option<LoadReport>),
    Failed(Failure),
}

impl Ingress {
    /// Serves one request and returns the target's answer or a refusal.
    pub(crate) async fn serve(&self, req: Request<Body>) -> Response<Body> {
        if is_identity_request(&req) {
            return Response::new(Body::from(self.driver.issue_identity().to_string()));
        }
        let (parts, body) = req.into_parts();
        let served = match read_head(&parts) {
            Ok(head) => self.route(head, parts, body).await,
            Err(InvalidHeader) => Err(Refusal::not_run(Reason::Malformed)),
        };
        served.unwrap_or_else(refusal_response)
    }

    /// Serves a request that another node relayed because this node owns its identity.
    pub(crate) async fn serve_relayed(
        &self,
        service: CompactString,
        stamp: Stamp,
        identity: Identity,
        req: Request<Body>,
    ) -> Result<Response<Body>, Refusal> {
        let (parts, body) = req.into_parts();
        let mut head =
            read_head(&parts).map_err(|InvalidHeader| Refusal::not_run(Reason::Malformed))?;
        let length = headers::parse_u32(&parts.headers, &header::CONTENT_LENGTH).ok().flatten();
        head.fingerprint = fingerprint(&service, &parts, length);
        head.service = service;
        head.identity = RequestIdentity {
            presented: Some(PresentedIdentity::Issued(identity)),
            relay_stamp: Some(stamp),
        };
        self.route(head, parts, body).await
    }

    async fn route(
        &self,
        head: CallHead,
        mut parts: Parts,
        body: Body,
    ) -> Result<Response<Body>, Refusal> {
        let arrived = Instant::now();
        headers::strip_hop_by_hop(&mut parts.headers);
        headers::strip_internal(&mut parts.headers);
        let crash_fingerprint =
            crash_guard::fingerprint(&head.service, &parts.method, &parts.uri, &parts.headers);
        let head = CallHead { crash_fingerprint, ..head };
        let overloaded = Refusal::not_run(Reason::Overloaded);
        let call = CallGuard::open(&self.driver).ok_or(overloaded)?;
        let template = RequestTemplate { depth: head.depth, service: head.service.clone(), parts };
        let body = ReplayableBody::new(body);
        call.dispatch(CallEvent::Arrived(head));

        let mut attempts = FuturesUnordered::new();
        let mut answers: Vec<(u32, Response<Body>, Instant)> = Vec::new();
        loop {
            tokio::select! {
                biased;
                step = call.next() => match step {
                    Some(CallStep::Attempt(attempt)) => {
                        if attempt.number == 1 {
                            self.driver.metrics().record_duration(RequestStage::CallRequest, arrived.elapsed());
                        }
                        attempts.push(self.attempt(attempt, &template, body.reader()));
                    }
                    Some(CallStep::Deliver { attempt, should_store }) => {
                        let index = answers.iter().position(|(number, ..)| *number == attempt);
                        let Some(index) = index else { continue };
                        let (_, answer, received) = answers.swap_remove(index);
                        let answer = if should_store { call.store_answer(answer).await } else { answer };
                        self.driver.metrics().record_duration(RequestStage::CallAnswer, received.elapsed());
                        return Ok(call.track(answer));
                    }
                    Some(CallStep::Replay(answer)) => return Ok(replay_response(&answer)),
                    Some(CallStep::Refuse(refusal)) => return Err(refusal),
                    None => return Err(Refusal::unknown(Reason::Draining)),
                },
                Some((attempt, result)) = attempts.next() => {
                    let event = match result {
                        AttemptResult::Answer(answer, report) => {
                            let status = answer.status().as_u16();
                            answers.push((attempt, answer, Instant::now()));
                            CallEvent::Answered { attempt, status, report }
                        }
                        AttemptResult::Refused(refusal, report) => CallEvent::Refused { attempt, refusal, report },
                        AttemptResult::Failed(_) if body.has_failed() => {
                            CallEvent::Failed { attempt, failure: Failure::BodyCut, can_replay: false }
                        }
                        AttemptResult::Failed(failure) => {
                            CallEvent::Failed { attempt, failure, can_replay: body.can_replay() }
                        }
                    };
                    call.dispatch(event);
                }
            }
        }
    }

    fn attempt(
        &self,
        attempt: Attempt,
        template: &RequestTemplate,
        body: Body,
    ) -> BoxFuture<'static, (u32, AttemptResult)> {
        let ingress = self.clone();
        let number = attempt.number;
        let req = template.request(&attempt, body);
        let service = template.service.clone();
        Box::pin(async move {
            let result = match attempt.hop {
                Hop::Local => ingress.run_locally(service, attempt, req).await,
                Hop::Peer(addr) => ingress.send_to_peer(addr, service, attempt, req).await,
            };
            (number, result)
        })
    }

    async fn run_locally(
        &self,
        service: CompactString,
        attempt: Attempt,
        req: Request<Body>,
    ) -> AttemptResult {
        let tag = match attempt.kind {
            AttemptKind::RunOnce(tag) => Some(tag),
            AttemptKind::Run | AttemptKind::Relay { .. } => None,
        };
        let path = req.uri().path().to_compact_string();
        let crash_fingerprint =
            crash_guard::fingerprint(&service, req.method(), req.uri(), req.headers());
        let timeout = attempt.timeout;
        let head = WorkHead { service, path, from: self.local_id, tag, timeout, crash_fingerprint };
        match self.forwarder.run(head, req).await {
            Ok(answer) => AttemptResult::Answer(answer, self.driver.budgeted_load_report()),
            Err(ForwardError::Refused(refusal)) => {
                AttemptResult::Refused(refusal, self.driver.budgeted_load_report())
            }
            Err(ForwardError::Failed(failure)) => AttemptResult::Failed(failure),
        }
    }

    async fn send_to_peer(
        &self,
        addr: SocketAddr,
        service: CompactString,
        attempt: Attempt,
        mut req: Request<Body>,
    ) -> AttemptResult {
        let envelope = match attempt.kind {
            AttemptKind::Run => Envelope::Run { from: self.local_id },
            AttemptKind::RunOnce(tag) => Envelope::RunOnce(tag),
            AttemptKind::Relay { stamp, identity } => Envelope::Relay { stamp, identity },
        };
        let envelope = envelope.to_compact_string();
        let parts = [req.method().as_str(), req.uri().path(), &service, &envelope];
        let tag = self.key.tag(attempt.member, &parts).to_string();
        headers::set(req.headers_mut(), headers::TAG, &tag);
        headers::set(req.headers_mut(), headers::ATTEMPT, &envelope);
        headers::set(req.headers_mut(), headers::SERVICE, &service);
        match self.peers.send(addr, attempt.member, req).await {
            Ok(answer) => classify_response(answer.map(Body::new)),
            Err(SendError::NotSent) => AttemptResult::Failed(Failure::NotSent),
            Err(SendError::Lost) => AttemptResult::Failed(Failure::Lost),
        }
    }
}

/// The head of a request, from which the request of each attempt is built.
struct RequestTemplate {
    parts: Parts,
    service: CompactString,
    depth: u32,
}

impl RequestTemplate {
    fn request(&self, attempt: &Attempt, body: Body) -> Request<Body> {
        let mut parts = self.parts.clone();
        let timeout = attempt.timeout.as_millis().to_compact_string();
        headers::set(&mut parts.headers, headers::DEADLINE, &timeout);
        // The owner of an identity takes the place of the entry node, so a relay does not add to the call depth.
        let is_relay = matches!(attempt.kind, AttemptKind::Relay { .. });
        let depth = if is_relay { self.depth } else { self.depth + 1 };
        headers::set(&mut parts.headers, headers::DEPTH, &depth.to_compact_string());
        headers::set(&mut parts.headers, header::HOST, &self.service);
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        if let Ok(uri) =
            Uri::builder().scheme("http").authority(&*self.service).path_and_query(path).build()
        {
            parts.uri = uri;
        }
        Request::from_parts(parts, body)
    }
}

/// A registered request of a caller; dropping the guard reports to the reducer that the caller disconnected.
struct CallGuard {
    driver: Arc<Driver>,
    key: CallKey,
    is_open: bool,
}

impl CallGuard {
    fn open(driver: &Arc<Driver>) -> Option<CallGuard> {
        let key = driver.open_call()?;
        Some(CallGuard { driver: driver.clone(), key, is_open: true })
    }

    async fn next(&self) -> Option<CallStep> {
        poll_fn(|cx| self.driver.poll_call(self.key, cx)).await
    }

    fn dispatch(&self, event: CallEvent) {
        self.driver.dispatch(Event::Call(self.key, event));
    }

    /// Buffers a small answer completely, so that the reducer can store it for repeats with the same identity.
    async fn store_answer(&self, answer: Response<Body>) -> Response<Body> {
        let size = answer.body().size_hint().exact();
        if size.is_none_or(|size| size > MAX_ANSWER_BYTES as u64) {
            self.dispatch(CallEvent::AnswerRead(None));
            return answer;
        }
        let (parts, body) = answer.into_parts();
        let Ok(data) = body.collect().await else {
            self.dispatch(CallEvent::AnswerRead(None));
            return Response::from_parts(parts, incomplete_body());
        };
        let data = data.to_bytes();
        let content_type = parts.headers.get(header::CONTENT_TYPE);
        let content_type =
            content_type.and_then(|value| value.to_str().ok()).map(CompactString::from);
        let stored =
            Answer { status: parts.status.as_u16(), content_type, body: data.to_vec().into() };
        self.dispatch(CallEvent::AnswerRead(Some(stored)));
        Response::from_parts(parts, Body::from(data))
    }

    /// Keeps the request registered until the body of the answer ends.
    fn track(self, answer: Response<Body>) -> Response<Body> {
        answer.map(|body| Body::new(Tracked::new(body, move |end| self.close(end))))
    }

    fn close(mut self, end: BodyEnd) {
        self.is_open = false;
        self.driver.close_call(self.key, CallEvent::Ended(end));
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.is_open {
            self.driver.close_call(self.key, CallEvent::Ended(BodyEnd::Dropped));
        }
    }
}

/// Returns a body that fails at once, so that the caller sees that the answer is incomplete.
fn incomplete_body() -> Body {
    Body::from_stream(stream::once(ready(Err::<Bytes, _>(IncompleteBody))))
}

/// Builds the response to a repeated request from the stored answer.
fn replay_response(stored: &Answer) -> Response<Body> {
    let mut answer = Response::new(Body::from(stored.body.to_vec()));
    *answer.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    if let Some(content_type) = &stored.content_type {
        headers::set(answer.headers_mut(), header::CONTENT_TYPE, content_type);
    }
    answer
}

/// Builds the response for a refused request.
pub(crate) fn refusal_response(refusal: Refusal) -> Response<Body> {
    let mut answer = Response::new(Body::empty());
    *answer.status_mut() = refusal.reason.status();
    let headers = answer.headers_mut();
    headers.insert(headers::OUTCOME, HeaderValue::from_static(refusal.outcome.as_str()));
    headers.insert(headers::REASON, HeaderValue::from_static(refusal.reason.as_str()));
    answer
}

fn read_head(parts: &Parts) -> Result<CallHead, InvalidHeader> {
    let service = service_name(parts).ok_or(InvalidHeader)?;
    let timeout = headers::parse_u32(&parts.headers, &headers::DEADLINE)?;
    let timeout = timeout.map(|ms| Duration::from_millis(ms.into()).min(MAX_CALLER_TIMEOUT));
    let depth = headers::parse_u32(&parts.headers, &headers::DEPTH)?.unwrap_or(0);
    let length = headers::parse_u32(&parts.headers, &header::CONTENT_LENGTH)?;
    let presented = match parts.headers.get(headers::IDEMPOTENCY_KEY) {
        Some(value) => {
            let text = value.to_str().map_err(|_| InvalidHeader)?;
            Some(PresentedIdentity::parse(&service, text).map_err(|_| InvalidHeader)?)
        }
        None => None,
    };
    let path = parts.uri.path().to_compact_string();
    let fingerprint = fingerprint(&service, parts, length);
    let method = parts.method.clone();
    let identity = RequestIdentity { presented, relay_stamp: None };
    // `route` sets it after it has removed the internal and hop-by-hop headers, which it must not cover.
    let crash_fingerprint = RequestHash::default();
    Ok(CallHead { service, method, path, timeout, depth, fingerprint, identity, crash_fingerprint })
}

fn fingerprint(service: &str, parts: &Parts, length: Option<u32>) -> Fingerprint {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Fingerprint::new(service, parts.method.as_str(), path, length.map(u64::from))
}

/// Returns whether the request asks the node to issue an identity.
fn is_identity_request(req: &Request<Body>) -> bool {
    let host = req.uri().host().or_else(|| req.headers().get(header::HOST)?.to_str().ok());
    let is_for_node = host.is_some_and(|host| host.split(':').next() == Some(NODE_AUTHORITY));
    is_for_node && req.method() == Method::POST && req.uri().path() == "/identity"
}

/// Returns the host of the authority without its port, which is the name of the service.
fn service_name(parts: &Parts) -> Option<CompactString> {
    let from_uri = parts.uri.host().map(CompactString::from);
    from_uri.or_else(|| {
        let host = parts.headers.get(header::HOST)?.to_str().ok()?;
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        (!name.is_empty()).then(|| name.into())
    })
}

/// Distinguishes an answer of the target from a refusal of its node by the internal attempt header, which the node
/// adds to refusals only.
fn classify_response(mut answer: Response<Body>) -> AttemptResult {
    let report = answer.headers_mut().remove(headers::LOAD);
    let report = report.and_then(|value| LoadReport::parse(value.to_str().ok()?).ok());
    let is_refused = answer.headers_mut().remove(headers::ATTEMPT).is_some();
    if !is_refused {
        return AttemptResult::Answer(answer, report);
    }
    let text =
        |name| answer.headers().get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    let reason = text(headers::REASON).and_then(Reason::parse).unwrap_or(Reason::AnswerLost);
    let refusal = match text(headers::OUTCOME) {
        Some(outcome) if outcome == Outcome::NotRun.as_str() => Refusal::not_run(reason),
        _ => Refusal::unknown(reason),
    };
    AttemptResult::Refused(refusal, report)
}
