//! Serves requests that other nodes send to the local target.

use std::time::Duration;

use axum::body::Body;
use compact_str::{CompactString, ToCompactString};
use http::{HeaderValue, Request, Response, StatusCode};

use crate::{
    crash_guard,
    driver::Driver,
    envelope::Envelope,
    event::{Failure, WorkHead},
    forwarder::ForwardError,
    headers,
    identity::{Identity, Stamp},
    ingress::{Ingress, refusal_response},
    reducer::Reducer,
    refusal::{Reason, Refusal},
};

/// The deadline of a request whose entry node sent none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves requests of other nodes.
#[derive(Clone)]
pub(crate) struct PeerServer {
    pub(crate) ingress: Ingress,
}

/// The kinds of requests between nodes.
enum PeerRequest {
    Probe,
    Greet,
    Run(WorkHead),
    Relay { service: CompactString, stamp: Stamp, identity: Identity },
}

impl PeerServer {
    /// Serves one request. Responses carry the load report within the measurement budget; refusals also carry the
    /// internal attempt header, which is removed from answers of targets, so that a target cannot forge it.
    pub(crate) async fn serve(&self, req: Request<Body>) -> Response<Body> {
        let head = match self.read_request(&req) {
            Ok(PeerRequest::Run(head)) => head,
            Ok(PeerRequest::Probe) => return self.load_response(),
            Ok(PeerRequest::Greet) => return no_content(),
            Ok(PeerRequest::Relay { service, stamp, identity }) => {
                let served = self.ingress.serve_relayed(service, stamp, identity, req).await;
                return served.unwrap_or_else(|refusal| self.refuse(refusal));
            }
            Err(refusal) => {
                slog::warn!(self.driver().log(), "request-rejected"; "reason" => refusal.reason.as_str());
                return self.refuse(refusal);
            }
        };
        match self.ingress.forwarder.run(head, req).await {
            Ok(mut answer) => {
                self.attach_load(&mut answer);
                answer
            }
            Err(ForwardError::Refused(refusal)) => self.refuse(refusal),
            Err(ForwardError::Failed(Failure::NotSent)) => {
                self.refuse(Refusal::not_run(Reason::NoTarget))
            }
            Err(ForwardError::Failed(Failure::Lost)) => {
                self.refuse(Refusal::unknown(Reason::AnswerLost))
            }
            Err(ForwardError::Failed(Failure::BodyCut)) => {
                self.refuse(Refusal::unknown(Reason::BodyCut))
            }
        }
    }

    /// Parses the internal headers and verifies their authentication tag.
    ///
    /// The tag covers the member id of the destination. If it does not match, the request may be meant for an earlier
    /// process at this address and may have run there, so the outcome in the refusal is "unknown".
    fn read_request(&self, req: &Request<Body>) -> Result<PeerRequest, Refusal> {
        let malformed = Refusal::not_run(Reason::Malformed);
        let text = |name| {
            req.headers()
                .get(name)
                .and_then(|value: &HeaderValue| value.to_str().ok())
                .ok_or(malformed)
        };
        let (tag, envelope) = (text(headers::TAG)?, text(headers::ATTEMPT)?);
        let service = text(headers::SERVICE)?;
        let path = req.uri().path();
        let parts = [req.method().as_str(), path, service, envelope];
        if !self.ingress.key.verify(tag, self.ingress.local_id, &parts) {
            return Err(Refusal::unknown(Reason::Malformed));
        }
        let envelope: Envelope = envelope.parse().map_err(|_| malformed)?;
        let timeout =
            headers::parse_u32(req.headers(), &headers::DEADLINE).map_err(|_| malformed)?;
        let timeout = timeout.map_or(DEFAULT_TIMEOUT, |ms| Duration::from_millis(ms.into()));
        let tag = match envelope {
            Envelope::Probe { .. } => return Ok(PeerRequest::Probe),
            Envelope::Greet { .. } => return Ok(PeerRequest::Greet),
            Envelope::Run { .. } => None,
            Envelope::RunOnce(tag) => Some(tag),
            Envelope::Relay { stamp, identity } => {
                return Ok(PeerRequest::Relay { service: service.into(), stamp, identity });
            }
        };
        Ok(PeerRequest::Run(WorkHead {
            service: service.into(),
            path: path.to_compact_string(),
            from: envelope.sender(),
            tag,
            timeout,
            crash_fingerprint: crash_guard::fingerprint(
                service,
                req.method(),
                req.uri(),
                req.headers(),
            ),
        }))
    }

    fn driver(&self) -> &Driver {
        &self.ingress.driver
    }

    /// Answers a probe with the load report. The probing node charges the probe to its own measurement budget.
    fn load_response(&self) -> Response<Body> {
        let mut answer = no_content();
        let report = self.driver().inspect(Reducer::load_report);
        headers::set(answer.headers_mut(), headers::LOAD, &report.encode());
        answer
    }

    fn refuse(&self, refusal: Refusal) -> Response<Body> {
        let mut answer = refusal_response(refusal);
        headers::set(answer.headers_mut(), headers::ATTEMPT, "refused");
        self.attach_load(&mut answer);
        answer
    }

    fn attach_load(&self, answer: &mut Response<Body>) {
        if let Some(report) = self.driver().budgeted_load_report() {
            headers::set(answer.headers_mut(), headers::LOAD, &report.encode());
        }
    }
}

fn no_content() -> Response<Body> {
    let mut answer = Response::new(Body::empty());
    *answer.status_mut() = StatusCode::NO_CONTENT;
    answer
}
