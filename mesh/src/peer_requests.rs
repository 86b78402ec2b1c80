//! Requests between nodes: sent by the entry node and served by the target's node.

use std::{str::FromStr, sync::Arc, time::Duration};

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};
use http::{
    HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header, request::Parts,
};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::{self, Instant};

use crate::{
    compression,
    driver::Driver,
    effect::AttemptSpec,
    event::{Event, Failure},
    forwarder::{AttemptOutcome, Forwarder},
    headers,
    keys::MemberId,
    payload::{Body, Payload, ReadError},
    peer_memory::{Peer, PeerMemory},
    pool::{Pool, SendError},
    recall::{self, Recall},
    refusal::Reason,
    report::LoadReport,
    topic_replicas::{self, TopicReplicas},
    usage,
};

/// Timeout for reading the body of a request that states none.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Metadata of a request between nodes.
#[derive(Debug, Serialize, Deserialize)]
struct Envelope {
    /// The entry node.
    from: MemberId,
    /// The intended receiver; a node with another id at the same address refuses the request.
    to: MemberId,
    spec: AttemptSpec,
}

impl Envelope {
    /// Encodes the envelope as a header value: base64 of a compact binary form, because every request between data
    /// centres carries it.
    fn encode(&self) -> Option<String> {
        postcard::to_stdvec(self).ok().map(|bytes| URL_SAFE_NO_PAD.encode(bytes))
    }

    fn decode(text: &str) -> Option<Envelope> {
        postcard::from_bytes(&URL_SAFE_NO_PAD.decode(text).ok()?).ok()
    }
}

/// The outcome of an attempt, with the load and the nominal service time that the target's node reported.
pub(crate) struct Reply {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) load: Option<LoadReport>,
    pub(crate) nominal_service: Option<Duration>,
}

impl Reply {
    pub(crate) const fn failed(failure: Failure) -> Reply {
        Reply { outcome: AttemptOutcome::Failed(failure), load: None, nominal_service: None }
    }
}

/// Sends a request to the node of a target.
pub(crate) async fn send(
    pool: &Pool,
    (from, to): (MemberId, MemberId),
    spec: &AttemptSpec,
    mut parts: Parts,
    mut payload: Payload,
) -> Reply {
    let deadline = Instant::now() + spec.timeout;
    let envelope = Envelope { from, to, spec: spec.clone() };
    let Some(text) = envelope.encode() else { return Reply::failed(Failure::NotSent) };
    headers::set(&mut parts.headers, &headers::ATTEMPT_ENVELOPE, &text);
    // Reduces an absolute-form URI to path and query, because the request would otherwise be forwarded in absolute
    // form.
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let Ok(uri) = Uri::from_str(path) else { return Reply::failed(Failure::NotSent) };
    parts.uri = uri;
    let Some(body) = payload.take() else { return Reply::failed(Failure::BodyCut) };
    match pool.send(Request::from_parts(parts, body)).await {
        Ok((answer, conn)) => {
            let (mut parts, body) = answer.into_parts();
            let headers = &mut parts.headers;
            let Some(ReplyHead { load, nominal_service, outcome }) = read_reply_head(headers)
            else {
                return Reply::failed(Failure::NodeLost);
            };
            headers::strip_internal(headers);
            headers::strip_hop_by_hop(headers);
            let Ok(mut payload) = Payload::read(body).await else {
                return Reply {
                    outcome: AttemptOutcome::Failed(Failure::NodeLost),
                    load: Some(load),
                    nominal_service,
                };
            };
            let is_complete = payload.is_complete();
            let Some(body) = payload.take() else { return Reply::failed(Failure::NodeLost) };
            let body = if is_complete {
                conn.release();
                body
            } else {
                body.fail_at(deadline).on_complete(move || conn.release())
            };
            let outcome = outcome.unwrap_or_else(|| {
                AttemptOutcome::Answer(Box::new(Response::from_parts(parts, body)))
            });
            Reply { outcome, load: Some(load), nominal_service }
        }
        Err(SendError::Unreachable | SendError::NotSent) => Reply::failed(Failure::NotSent),
        Err(SendError::Lost) => Reply::failed(Failure::NodeLost),
    }
}

/// What a node adds to the head of its reply.
struct ReplyHead {
    load: LoadReport,
    nominal_service: Option<Duration>,
    /// The outcome of an attempt without an answer of the target.
    outcome: Option<AttemptOutcome>,
}

/// Reads the head of a reply. Every node reports its load, so a reply without it comes from another process that listens
/// at the node's address, or was made by the HTTP server before the request reached the node; `None` is returned then.
fn read_reply_head(headers: &HeaderMap) -> Option<ReplyHead> {
    let load = LoadReport::parse(headers::text(headers, &headers::LOAD_REPORT)?)?;
    let nominal_service = headers::text(headers, &headers::NOMINAL_SERVICE);
    let nominal_service = nominal_service.and_then(|us| us.parse().ok());
    let outcome = headers::text(headers, &headers::ATTEMPT_OUTCOME).map(parse_outcome);
    Some(ReplyHead { load, nominal_service: nominal_service.map(Duration::from_micros), outcome })
}

/// The server for requests of other nodes.
#[derive(Clone)]
pub(crate) struct PeerServer {
    pub(crate) driver: Arc<Driver>,
    pub(crate) forwarder: Forwarder,
    pub(crate) replicas: TopicReplicas,
    pub(crate) memory: PeerMemory,
}

impl PeerServer {
    pub(crate) async fn serve(&self, req: Request<Incoming>) -> Response<Body> {
        if req.uri().path() == topic_replicas::PATH {
            let encodings = headers::text(req.headers(), &header::ACCEPT_ENCODING);
            let is_compressed = encodings == Some(compression::ENCODING);
            return self.replicas.serve_pull(req.uri().query(), is_compressed);
        }
        if req.uri().path() == usage::gather::PATH {
            if req.method() == Method::POST {
                return usage::handover::receive(&self.forwarder.usage, req.into_body()).await;
            }
            return usage::gather::serve(&self.forwarder.usage, req.uri().query());
        }
        if req.uri().path() == recall::PATH {
            return self.recalled(req.uri().query().and_then(Recall::parse));
        }
        let (mut parts, body) = req.into_parts();
        let peer: Option<Peer> = parts.extensions.remove();
        let envelope = read_envelope(&parts.headers);
        // The body is read also of a request that is refused, so that its connection stays usable.
        let limit = envelope.as_ref().map_or(BODY_TIMEOUT, |envelope| envelope.spec.timeout);
        let payload = match time::timeout(limit, read_body(body, &parts, peer.as_ref())).await {
            Ok(Ok(payload)) => payload,
            Ok(Err(ReadError::NoRoom)) => return self.answer(refused(Reason::Overloaded), ""),
            Ok(Err(ReadError::Incomplete)) | Err(_) => {
                return self.answer(AttemptOutcome::Failed(Failure::BodyCut), "");
            }
        };
        let Some(Envelope { from, to, spec }) = envelope else {
            return self.answer(refused(Reason::Unreadable), "");
        };
        if to != self.driver.inspect(|_, reducer| reducer.local_id()) {
            return self.answer(refused(Reason::WrongMember), "");
        }
        let outcome = self.forwarder.run(Some(from), &spec, parts, payload).await;
        self.answer(outcome, &spec.route)
    }

    /// Handles the recall of a node that stops. One that is meant for another process at this address has no effect.
    fn recalled(&self, recall: Option<Recall>) -> Response<Body> {
        let local_id = self.driver.inspect(|_, reducer| reducer.local_id());
        if let Some(Recall { from, left, .. }) = recall.filter(|recall| recall.to == local_id) {
            self.driver.dispatch(Event::Recalled { from, left });
        }
        let mut response = Response::new(Body::default());
        response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from_static("0"));
        response
    }

    fn answer(&self, outcome: AttemptOutcome, route: &str) -> Response<Body> {
        let (load, nominal_service) = self.driver.inspect(|now, reducer| {
            (reducer.load_report(now), reducer.nominal_service_time(route))
        });
        let text = format_outcome(&outcome);
        let mut answer = match outcome {
            AttemptOutcome::Answer(answer) => answer.map(|body| body.counted(&self.memory)),
            AttemptOutcome::Shed | AttemptOutcome::Refused { .. } | AttemptOutcome::Failed(_) => {
                let mut answer = Response::new(Body::default());
                *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                answer.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from_static("0"));
                answer
            }
        };
        let headers = answer.headers_mut();
        headers::set(headers, &headers::LOAD_REPORT, &load.encode());
        if let Some(nominal_service) = nominal_service {
            headers::set(
                headers,
                &headers::NOMINAL_SERVICE,
                &nominal_service.as_micros().to_string(),
            );
        }
        if let Some(text) = text {
            headers::set(headers, &headers::ATTEMPT_OUTCOME, &text);
        }
        answer
    }
}

async fn read_body(
    body: Incoming,
    parts: &Parts,
    peer: Option<&Peer>,
) -> Result<Payload, ReadError> {
    let Some(peer) = peer else {
        return Payload::read(body).await.map_err(|_| ReadError::Incomplete);
    };
    peer.admit(parts.headers.len())?;
    Payload::read_counted(body, peer).await
}

fn refused(reason: Reason) -> AttemptOutcome {
    AttemptOutcome::Refused { reason, wait: Duration::ZERO }
}

fn read_envelope(headers: &HeaderMap) -> Option<Envelope> {
    Envelope::decode(headers::text(headers, &headers::ATTEMPT_ENVELOPE)?)
}

fn format_outcome(outcome: &AttemptOutcome) -> Option<String> {
    match outcome {
        AttemptOutcome::Answer(_) => None,
        AttemptOutcome::Shed => Some("shed".into()),
        AttemptOutcome::Refused { reason, wait } => {
            Some(format!("refused {} {}", reason.as_str(), wait.as_micros()))
        }
        AttemptOutcome::Failed(failure) => Some(failure.as_str().into()),
    }
}

/// Parses an outcome. Unknown text yields `Lost`, which leaves open whether the request ran. Earlier builds refuse an
/// envelope that they cannot read as `malformed`, which is not the caller's fault.
fn parse_outcome(text: &str) -> AttemptOutcome {
    let mut words = text.split(' ');
    match words.next() {
        Some("shed") => AttemptOutcome::Shed,
        Some("refused") => {
            let reason = words.next().and_then(Reason::parse).unwrap_or(Reason::Overloaded);
            let reason = if reason.is_callers_fault() { Reason::Unreadable } else { reason };
            let wait = words.next().and_then(|us| us.parse().ok()).unwrap_or(0);
            AttemptOutcome::Refused { reason, wait: Duration::from_micros(wait) }
        }
        Some("body-cut") => AttemptOutcome::Failed(Failure::BodyCut),
        _ => AttemptOutcome::Failed(Failure::Lost),
    }
}

#[cfg(test)]
mod tests;
