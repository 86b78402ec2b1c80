//! Serves callers' requests: sends attempts to the targets that the reducer selects and returns the answer.

mod head;

use std::{future::poll_fn, sync::Arc, time::Duration};

use compact_str::{CompactString, ToCompactString};
use futures_util::{
    StreamExt,
    future::{BoxFuture, FutureExt},
    stream::FuturesUnordered,
};
use http::{HeaderValue, Request, Response, Version, header, request::Parts};
use http_body::Body as _;
use hyper::body::Incoming;

use crate::{
    driver::Driver,
    early_runs::{Arrival, EarlyHandler},
    effect::{Attempt, CallStep, Hop},
    event::{AnswerHead, CallEvent, CallHead, Event, Failure},
    fingerprint::fingerprint,
    forwarder::{AttemptOutcome, Forwarder},
    headers::{self, HeaderNames},
    keys::CallKey,
    payload::{Body, Payload, ReadError},
    peer_memory::{Peer, PeerMemory},
    peer_requests::{self, Reply},
    peers::Peers,
    reducer::RequestSize,
    refusal::{Reason, Refusal},
    teams,
};

/// Timeout for reading a request body when the caller sets no deadline.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// The server for callers' requests.
#[derive(Clone)]
pub(crate) struct Ingress {
    pub(crate) driver: Arc<Driver>,
    pub(crate) names: Arc<HeaderNames>,
    pub(crate) peers: Peers,
    pub(crate) forwarder: Forwarder,
    pub(crate) memory: PeerMemory,
}

impl Ingress {
    /// Serves one request and returns the target's answer or a refusal.
    pub(crate) async fn serve(&self, req: Request<Incoming>) -> Response<Body> {
        let (parts, body) = req.into_parts();
        // Only a request that started early is to be served anew.
        let answer = self.answer(parts, Some(body)).await;
        answer.unwrap_or_else(|| refusal_response(&overloaded()))
    }

    /// Serves a request, which started early if it comes without `body`. Returns `None` if it did not run and must be
    /// served in its turn.
    async fn answer(&self, parts: Parts, body: Option<Incoming>) -> Option<Response<Body>> {
        let id = parts.headers.get(&self.names.request_id).cloned();
        let mut answer = match self.accept(parts, body).await {
            Ok(answer) => answer,
            Err(Rejection::Refused(refusal)) => refusal_response(&refusal),
            Err(Rejection::NotIdempotent) => return None,
        };
        let headers = answer.headers_mut();
        if let Some(id) = id
            && !headers.contains_key(&self.names.request_id)
        {
            headers.insert(self.names.request_id.clone(), id);
        }
        self.prepare_delivery(&mut answer);
        Some(answer)
    }

    async fn accept(
        &self,
        parts: Parts,
        body: Option<Incoming>,
    ) -> Result<Response<Body>, Rejection> {
        let id: CompactString =
            headers::text(&parts.headers, &self.names.request_id).unwrap_or_default().into();
        let is_early = body.is_none();
        match self.read(id.clone(), parts, body).await {
            Ok((head, parts, payload)) => self.route(head, parts, payload, is_early).await,
            Err(reason) => Err(self.driver.refuse(&id, reason).into()),
        }
    }

    /// Checks the head of a request and reads its body, or as much of it as is buffered.
    async fn read(
        &self,
        id: CompactString,
        mut parts: Parts,
        body: Option<Incoming>,
    ) -> Result<(CallHead, Parts, Payload), Reason> {
        let peer: Option<Peer> = parts.extensions.remove();
        let body_len = body.as_ref().map_or(0, |body| body.size_hint().lower());
        let size = RequestSize { head: headers::head_size(&parts), body: body_len };
        if let Some(reason) = self.driver.inspect(|_, reducer| reducer.find_excess(size)) {
            return Err(reason);
        }
        let mut timeout = head::read_timeout(&parts.headers, &self.names.deadline)?;
        if let Some(Arrival(at)) = parts.extensions.remove() {
            timeout = timeout.map(|timeout| timeout.saturating_sub(at.elapsed()));
        }
        head::set_origin_form(&mut parts);
        // Nodes and targets speak this version, whatever the caller does.
        parts.version = Version::HTTP_11;
        let host = headers::text(&parts.headers, &header::HOST).ok_or(Reason::Malformed)?;
        let path = parts.uri.path();
        if !self.driver.inspect(|_, reducer| reducer.may_have_route(host, path)) {
            return Err(Reason::NoRoute);
        }
        let host = host.into();
        let payload = match body {
            None => Payload::empty(),
            Some(body) => read_body(body, &parts, peer.as_ref(), timeout).await?,
        };
        // A caller may declare the field with the key hop-by-hop, since it is meant for this node.
        let key = teams::read_key(&parts.headers);
        headers::strip_hop_by_hop(&mut parts.headers);
        headers::strip_internal(&mut parts.headers);
        let service = self.driver.inspect(|_, reducer| reducer.local_service().clone());
        headers::set(&mut parts.headers, &self.names.caller, &service);
        parts.headers.remove(&self.names.team);
        let head = CallHead {
            id,
            host,
            path: parts.uri.path().to_compact_string(),
            timeout,
            can_resend: payload.is_complete(),
            key,
            fingerprint: fingerprint(&parts, &payload, &self.names.caller),
        };
        Ok((head, parts, payload))
    }

    async fn route(
        &self,
        head: CallHead,
        parts: Parts,
        mut payload: Payload,
        is_early: bool,
    ) -> Result<Response<Body>, Rejection> {
        let Some(call) = CallGuard::open(&self.driver) else {
            return Err(overloaded().into());
        };
        call.dispatch(CallEvent::Arrived(head));
        let sent = payload.buffered.len() as u64;
        let mut attempts = FuturesUnordered::new();
        let mut answers: Vec<(u32, Response<Body>)> = Vec::new();
        loop {
            tokio::select! {
                biased;
                step = call.next() => match step {
                    // The configuration has changed since the request started.
                    Some(CallStep::Attempt(attempt)) if is_early && !attempt.spec.is_idempotent => {
                        return Err(Rejection::NotIdempotent);
                    }
                    Some(CallStep::Attempt(attempt)) => {
                        attempts.push(self.attempt(attempt, &parts, &mut payload));
                    }
                    Some(CallStep::Deliver { attempt }) => {
                        let index = answers.iter().position(|(number, _)| *number == attempt);
                        let Some(index) = index else { continue };
                        let (_, answer) = answers.swap_remove(index);
                        return Ok(answer.map(|body| body.on_end(move || drop(call))));
                    }
                    Some(CallStep::Refuse(refusal)) => return Err(refusal.into()),
                    None => {
                        let reason = Reason::Stopping;
                        let refusal = Refusal { reason, may_have_run: true, retry_after: None };
                        return Err(refusal.into());
                    }
                },
                Some((attempt, reply)) = attempts.next() => {
                    let (event, answer) = split_reply(attempt, reply, sent);
                    let answer = answer.map(|answer| answer.map(|body| body.counted(&self.memory)));
                    answers.extend(answer.map(|answer| (attempt, answer)));
                    call.dispatch(event);
                }
            }
        }
    }

    /// Sends the request to a target's node. A buffered body is cloned; a streaming body is consumed, so that only one
    /// attempt can send it.
    fn attempt(
        &self,
        attempt: Attempt,
        parts: &Parts,
        payload: &mut Payload,
    ) -> BoxFuture<'static, (u32, Reply)> {
        let Attempt { number, hop, spec, identity, is_nested } = attempt;
        let this = self.clone();
        let mut parts = parts.clone();
        identity.apply(&mut parts.headers, &self.names.team);
        if is_nested {
            parts.headers.insert(headers::NESTED, HeaderValue::from_static("1"));
        }
        let Some(payload) = payload.for_attempt() else {
            return async move { (number, Reply::failed(Failure::BodyCut)) }.boxed();
        };
        async move {
            let reply = match hop {
                Hop::Local => {
                    let outcome = this.forwarder.run(None, &spec, parts, payload).await;
                    let (load, nominal_service) = this.driver.inspect(|now, reducer| {
                        (reducer.load_report(now), reducer.nominal_service_time(&spec.route))
                    });
                    Reply { outcome, load: Some(load), nominal_service }
                }
                Hop::Peer { member, address } => {
                    let pool = this.peers.pool(address);
                    let from = this.driver.inspect(|_, reducer| reducer.local_id());
                    peer_requests::send(&pool, (from, member), &spec, parts, payload).await
                }
            };
            (number, reply)
        }
        .boxed()
    }
}

impl EarlyHandler for Ingress {
    fn can_start(&self, parts: &Parts) -> bool {
        // In absolute form, which is rare, the URI names the host.
        let is_absolute = parts.uri.authority().is_some();
        let Some(host) = headers::text(&parts.headers, &header::HOST) else { return false };
        let path = parts.uri.path();
        !is_absolute && self.driver.inspect(|_, reducer| reducer.may_start_early(host, path))
    }

    fn run(&self, parts: Parts) -> BoxFuture<'static, Option<Response<Body>>> {
        let this = self.clone();
        async move { this.answer(parts, None).await }.boxed()
    }

    fn prepare_delivery(&self, answer: &mut Response<Body>) {
        if self.driver.inspect(|_, reducer| reducer.is_stopping()) {
            answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
}

/// The reason for which a request has no answer of a target.
enum Rejection {
    Refused(Refusal),
    /// The request started early, and may only run in its turn. It has not run.
    NotIdempotent,
}

impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Rejection {
        Rejection::Refused(refusal)
    }
}

/// Returns the refusal of a request beyond the most that the process serves.
fn overloaded() -> Refusal {
    let retry_after = Some(Duration::from_secs(1));
    Refusal { reason: Reason::Overloaded, may_have_run: false, retry_after }
}

/// Buffers the body of a request that has a route, if there is room for the request.
async fn read_body(
    body: Incoming,
    parts: &Parts,
    peer: Option<&Peer>,
    timeout: Option<Duration>,
) -> Result<Payload, Reason> {
    let read = async {
        let Some(peer) = peer else {
            return Payload::read(body).await.map_err(|_| ReadError::Incomplete);
        };
        peer.admit(parts.headers.len())?;
        Payload::read_counted(body, peer).await
    };
    match tokio::time::timeout(timeout.unwrap_or(DEFAULT_BODY_TIMEOUT), read).await {
        Ok(Ok(payload)) => Ok(payload),
        Ok(Err(ReadError::Incomplete)) => Err(Reason::BodyCut),
        Ok(Err(ReadError::NoRoom)) => Err(Reason::Overloaded),
        Err(_) => Err(Reason::BodyTimeout),
    }
}

/// Splits a reply into the event for the reducer and the answer, if any. `sent` is the size of the buffered part of
/// the request body in bytes.
fn split_reply(attempt: u32, reply: Reply, sent: u64) -> (CallEvent, Option<Response<Body>>) {
    let Reply { outcome, load, nominal_service } = reply;
    match outcome {
        AttemptOutcome::Answer(answer) => {
            let status = answer.status().as_u16();
            let size = u32::try_from(sent + answer.body().size_hint().lower()).unwrap_or(u32::MAX);
            let head = AnswerHead { status, nominal_service, size };
            (CallEvent::Answered { attempt, answer: head, load }, Some(*answer))
        }
        AttemptOutcome::Shed => (CallEvent::Shed { attempt, load }, None),
        AttemptOutcome::Refused { reason, wait } => {
            (CallEvent::Refused { attempt, reason, wait, load }, None)
        }
        AttemptOutcome::Failed(failure) => (CallEvent::Failed { attempt, failure }, None),
    }
}

/// Guard of a registered caller's request; dropping it reports the end of the request to the reducer.
struct CallGuard {
    driver: Arc<Driver>,
    key: CallKey,
}

impl CallGuard {
    fn open(driver: &Arc<Driver>) -> Option<CallGuard> {
        let key = driver.open_call()?;
        Some(CallGuard { driver: driver.clone(), key })
    }

    async fn next(&self) -> Option<CallStep> {
        poll_fn(|cx| self.driver.poll_call(self.key, cx)).await
    }

    fn dispatch(&self, event: CallEvent) {
        self.driver.dispatch(Event::Call(self.key, event));
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.driver.close_call(self.key);
    }
}

fn refusal_response(refusal: &Refusal) -> Response<Body> {
    let mut answer = Response::new(Body::default());
    *answer.status_mut() = refusal.status();
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static("0"));
    if refusal.reason == Reason::UnknownKey {
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Token"));
    }
    if let Some(after) = refusal.retry_after {
        headers::set(headers, &header::RETRY_AFTER, &format!("{:.3}", after.as_secs_f64()));
    }
    answer
}
