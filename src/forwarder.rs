//! Forwards admitted requests to the local target.

use std::{future::poll_fn, sync::Arc, time::Instant};

use axum::body::Body;
use http::{HeaderValue, Request, Response, Version, header};

use crate::{
    body::{BodyEnd, Tracked},
    driver::Driver,
    effect::WorkStep,
    event::{Event, Failure, WorkEvent, WorkHead},
    headers,
    keys::WorkKey,
    metrics::RequestStage,
    pool::{Pool, SendError},
    refusal::{Reason, Refusal},
};

/// Forwards admitted requests to the local target.
#[derive(Clone)]
pub(crate) struct Forwarder {
    driver: Arc<Driver>,
    pool: Pool,
}

/// The reason why a request got no answer from the target.
#[derive(Debug)]
pub(crate) enum ForwardError {
    /// This node refused the request.
    Refused(Refusal),
    /// The request could not be sent, or the connection to the target failed before the head of the answer arrived.
    Failed(Failure),
}

impl Forwarder {
    pub(crate) fn new(driver: Arc<Driver>, pool: Pool) -> Forwarder {
        Forwarder { driver, pool }
    }

    /// Waits for admission, sends the request to the target and returns the answer with a streaming body.
    ///
    /// A request that must run at most once continues after its caller has disconnected, because cancelling it could
    /// leave its work half done.
    pub(crate) async fn run(
        &self,
        head: WorkHead,
        req: Request<Body>,
    ) -> Result<Response<Body>, ForwardError> {
        let runs_once = head.tag.is_some();
        let run = self.clone().admit_and_send(head, req);
        if !runs_once {
            return run.await;
        }
        let lost = ForwardError::Failed(Failure::Lost);
        tokio::spawn(run).await.unwrap_or(Err(lost))
    }

    async fn admit_and_send(
        self,
        head: WorkHead,
        req: Request<Body>,
    ) -> Result<Response<Body>, ForwardError> {
        let arrived = Instant::now();
        let overloaded = ForwardError::Refused(Refusal::not_run(Reason::Overloaded));
        let work = WorkGuard::open(&self.driver).ok_or(overloaded)?;
        work.dispatch(WorkEvent::Arrived(head));
        match work.next().await {
            Some(WorkStep::Run) => {}
            Some(WorkStep::Refuse(refusal)) => return Err(ForwardError::Refused(refusal)),
            None => return Err(ForwardError::Refused(Refusal::not_run(Reason::Draining))),
        }
        let req = rewrite_for_target(req);
        self.driver.metrics().record_duration(RequestStage::WorkRequest, arrived.elapsed());
        match self.pool.send(req).await {
            Ok(answer) => {
                let received = Instant::now();
                let (mut parts, body) = answer.into_parts();
                work.dispatch(WorkEvent::Answered { status: parts.status.as_u16() });
                headers::strip_hop_by_hop(&mut parts.headers);
                headers::strip_internal(&mut parts.headers);
                let body =
                    Tracked::new(Body::new(body), move |end| work.close(WorkEvent::Ended(end)));
                self.driver.metrics().record_duration(RequestStage::WorkAnswer, received.elapsed());
                Ok(Response::from_parts(parts, Body::new(body)))
            }
            Err(error) => {
                let failure = match error {
                    SendError::NotSent => Failure::NotSent,
                    SendError::Lost => Failure::Lost,
                };
                work.close(WorkEvent::Failed(failure));
                Err(ForwardError::Failed(failure))
            }
        }
    }
}

/// A registered request; dropping the guard reports to the reducer that the entry node disconnected.
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

    fn close(mut self, event: WorkEvent) {
        self.is_open = false;
        self.driver.close_work(self.key, event);
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        if self.is_open {
            self.driver.close_work(self.key, WorkEvent::Ended(BodyEnd::Dropped));
        }
    }
}

/// Rewrites a request for the target: HTTP/1.1 with an origin-form URI, a `Host` header and no internal headers.
fn rewrite_for_target(req: Request<Body>) -> Request<Body> {
    let (mut parts, body) = req.into_parts();
    headers::strip_hop_by_hop(&mut parts.headers);
    headers::strip_internal(&mut parts.headers);
    if !parts.headers.contains_key(header::HOST)
        && let Some(authority) = parts.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        parts.headers.insert(header::HOST, host);
    }
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    if let Ok(uri) = path.parse() {
        parts.uri = uri;
    }
    parts.version = Version::HTTP_11;
    Request::from_parts(parts, body)
}
