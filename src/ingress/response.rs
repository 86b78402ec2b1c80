//! Responses to callers, and the results of attempts at other nodes.

use axum::body::Body;
use http::{HeaderValue, Response, StatusCode, header};

use crate::{
    event::Failure,
    headers,
    identity::Answer,
    load::LoadReport,
    refusal::{Outcome, Reason, Refusal},
};

/// The result of an attempt, known when the head of the answer has arrived or the attempt has failed.
pub(super) enum AttemptResult {
    Answer(Response<Body>, Option<LoadReport>),
    Refused(Refusal, Option<LoadReport>),
    Failed(Failure),
}

/// Builds the response to a repeated request from the stored answer.
pub(super) fn replay_response(stored: &Answer) -> Response<Body> {
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

/// Distinguishes an answer of the target from a refusal of its node by the internal attempt header, which the node
/// adds to refusals only.
pub(super) fn classify_response(mut answer: Response<Body>) -> AttemptResult {
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
