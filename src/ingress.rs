//! Serves requests of callers: lets the reducer choose the target of each attempt and returns the answer.

mod guard;
mod head;
mod response;

use std::{net::SocketAddr, sync::Arc, time::Instant};

use axum::body::Body;
use compact_str::{CompactString, ToCompactString};
use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use http::{Request, Response, Uri, header, request::Parts};

use crate::{
    auth::RequestKey,
    body::ReplayableBody,
    crash_guard,
    driver::Driver,
    effect::{Attempt, AttemptKind, CallStep, Hop},
    envelope::Envelope,
    event::{CallEvent, CallHead, Failure, RequestIdentity, WorkHead},
    forwarder::{ForwardError, Forwarder},
    headers::{self, InvalidHeader},
    identity::{Identity, PresentedIdentity, Stamp},
    keys::MemberId,
    metrics::RequestStage,
    peer::Peers,
    pool::SendError,
    refusal::{Reason, Refusal},
};

use self::{
    guard::CallGuard,
    head::{fingerprint, is_identity_request, read_head},
    response::{AttemptResult, classify_response, replay_response},
};

pub(crate) use self::response::refusal_response;

/// Serves callers' requests.
#[derive(Clone)]
pub(crate) struct Ingress {
    pub(crate) driver: Arc<Driver>,
    pub(crate) local_id: MemberId,
    pub(crate) key: RequestKey,
    pub(crate) peers: Peers,
    pub(crate) forwarder: Forwarder,
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
