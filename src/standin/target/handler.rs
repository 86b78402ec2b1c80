use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    body::{Body, to_bytes},
    extract::{Query, Request, State},
    http::{HeaderMap, HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
    routing::get,
};
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use tokio::{task::yield_now, time};

use super::{
    Behaviour, BehaviourError, CRASH_HEADER, DIGEST_HEADER, ID_HEADER, LoadView, NAME_HEADER,
    REASON_HEADER,
    behaviour::{Action, parse_control},
    state::{RefusalReason, Shared, Slot},
};

/// Maximum size of request and response bodies, which are held in memory.
const MAX_BODY_BYTES: usize = 16 << 20;
const MAX_CONTROL_BYTES: usize = 64 << 10;
/// Bounds the memory of the run counter.
const MAX_ID_BYTES: usize = 128;
/// The resolution of tokio's timer; shorter delays are spent in a busy loop.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);
/// The time left until the caller's deadline in milliseconds, as in `docs/design.md` section 4.1.
const DEADLINE_HEADER: &str = "poplarbarrow-deadline-ms";

type App = State<Arc<Shared>>;

pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/-/health", get(health))
        .route("/-/load", get(load))
        .route("/-/ran", get(runs))
        .route("/-/control", get(control).post(set_control))
        .fallback(request)
        .with_state(shared)
}

/// Waits for the given time: in a busy loop below the timer's resolution, otherwise asleep with an error of
/// half the resolution.
pub(super) async fn delay(d: Duration) {
    if d >= TIMER_RESOLUTION {
        // The timer rounds up to the next multiple of its resolution; subtracting half of it corrects the mean.
        time::sleep(d - TIMER_RESOLUTION / 2).await;
    } else if !d.is_zero() {
        let start = Instant::now();
        while start.elapsed() < d {
            yield_now().await;
        }
    }
}

#[derive(Serialize)]
struct Health {
    healthy: bool,
}

async fn health(State(shared): App) -> Response {
    let b = shared.behaviour();
    let past = shared.lagged_load(Duration::from_millis(b.health_lag_ms));
    let healthy = b.health_forced.unwrap_or(!past.draining);
    let status = if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    (status, Json(Health { healthy })).into_response()
}

async fn load(State(shared): App) -> Json<LoadView> {
    let b = shared.behaviour();
    let view = shared.lagged_load(Duration::from_millis(b.load_lag_ms));
    let scale = |n: u32| (f64::from(n) * b.load_factor).round() as u32;
    Json(LoadView { running: scale(view.running), queued: scale(view.queued), ..view })
}

#[derive(Deserialize)]
struct RunsQuery {
    id: Option<CompactString>,
}

async fn runs(State(shared): App, Query(query): Query<RunsQuery>) -> Response {
    match query.id {
        Some(id) => Json(shared.runs(&id)).into_response(),
        None => Json(shared.totals()).into_response(),
    }
}

async fn control(State(shared): App) -> Json<Behaviour> {
    Json(shared.behaviour())
}

async fn set_control(State(shared): App, request: Request) -> Response {
    let Ok(body) = to_bytes(request.into_body(), MAX_CONTROL_BYTES).await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    };
    match apply_control(&shared, &body) {
        Ok(()) => Json(shared.behaviour()).into_response(),
        Err(e) => (StatusCode::BAD_REQUEST, e.to_string()).into_response(),
    }
}

fn apply_control(shared: &Shared, body: &[u8]) -> Result<(), BehaviourError> {
    let (action, patch) = parse_control(body)?;
    shared.change(|b| b.merge(patch))?;
    match action {
        Some(Action::Crash) => shared.crash(),
        Some(Action::Cold) => shared.enter_cold_start(),
        None => {}
    }
    Ok(())
}

#[derive(Deserialize)]
struct RequestQuery {
    bytes: Option<usize>,
}

async fn request(State(shared): App, query: Query<RequestQuery>, request: Request) -> Response {
    let headers = request.headers();
    let id: Option<CompactString> =
        header_text(headers, ID_HEADER).filter(|id| !id.is_empty()).map(CompactString::from);
    let size = query.bytes;
    if id.as_ref().is_some_and(|id| id.len() > MAX_ID_BYTES)
        || size.is_some_and(|n| n > MAX_BODY_BYTES)
    {
        return StatusCode::BAD_REQUEST.into_response();
    }
    let deadline = header_text(headers, DEADLINE_HEADER).and_then(|v| v.parse().ok());
    let response = run(&shared, id.as_ref(), size, request);
    let mut response = match deadline {
        Some(ms) => time::timeout(Duration::from_millis(ms), response)
            .await
            .unwrap_or_else(|_| failure(StatusCode::GATEWAY_TIMEOUT, "deadline")),
        None => response.await,
    };
    let headers = response.headers_mut();
    if let Ok(name) = HeaderValue::from_str(&shared.name) {
        headers.insert(NAME_HEADER, name);
    }
    if let Some(Ok(id)) = id.as_deref().map(HeaderValue::from_str) {
        headers.insert(ID_HEADER, id);
    }
    response
}

async fn run(
    shared: &Arc<Shared>,
    id: Option<&CompactString>,
    size: Option<usize>,
    request: Request,
) -> Response {
    let slot = match shared.acquire_slot().await {
        Ok(slot) => slot,
        Err(RefusalReason::Shed) => return failure(StatusCode::SERVICE_UNAVAILABLE, "shed"),
        Err(RefusalReason::Drain) => return failure(StatusCode::SERVICE_UNAVAILABLE, "drain"),
        Err(RefusalReason::Cold) => return failure(StatusCode::INTERNAL_SERVER_ERROR, "cold"),
    };
    let (parts, body) = request.into_parts();
    let body = match to_bytes(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(_) => return StatusCode::BAD_REQUEST.into_response(),
    };
    slot.start(id);
    let b = shared.behaviour();
    if shared.draw_fault(b.fail_rate) {
        return finish_run(slot, id, failure(StatusCode::INTERNAL_SERVER_ERROR, "fail"));
    }
    if b.fail_prefix.as_deref().is_some_and(|p| parts.uri.path().starts_with(p)) {
        return finish_run(slot, id, failure(StatusCode::INTERNAL_SERVER_ERROR, "route"));
    }
    delay(shared.service_time(&b)).await;
    shared.wait_while_stalled().await;
    if header_text(&parts.headers, CRASH_HEADER) == Some("1") {
        shared.crash();
        // The crash drops the connection and therefore this future.
        return std::future::pending().await;
    }
    let digest = blake3::hash(&body);
    let content = size.map_or(body, |n| repeat_id(id, n));
    let response = encode_body(content, shared.draw_fault(b.cut_rate), b.chunked);
    let headers = [(DIGEST_HEADER, digest.to_hex().to_string())];
    finish_run(slot, id, (headers, response).into_response())
}

fn finish_run(slot: Slot, id: Option<&CompactString>, response: Response) -> Response {
    slot.finish(id);
    response
}

fn failure(status: StatusCode, reason: &'static str) -> Response {
    (status, [(REASON_HEADER, reason)]).into_response()
}

/// Builds the response body. With `cut`, it ends halfway, although the content length is that of the full
/// body, or without the last chunk if it is chunked.
fn encode_body(body: Bytes, cut: bool, chunked: bool) -> Response {
    if !cut && !chunked {
        return body.into_response();
    }
    let len = body.len();
    let part = if cut { body.slice(..len / 2) } else { body };
    let stream = futures::stream::unfold(0, move |step| {
        let part = part.clone();
        async move {
            match step {
                0 => Some((Ok(part), 1)),
                1 if cut => {
                    // Yielding makes hyper flush the first part before the error closes the connection.
                    yield_now().await;
                    Some((Err(io::Error::from(io::ErrorKind::ConnectionAborted)), 2))
                }
                _ => None,
            }
        }
    });
    let mut response = Body::from_stream(stream).into_response();
    if !chunked {
        response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(len));
    }
    response
}

/// Returns a body of `n` bytes that repeats the request id, so that a caller can detect a response to another
/// request.
fn repeat_id(id: Option<&CompactString>, n: usize) -> Bytes {
    let unit = id.map_or(&b"."[..], |id| id.as_bytes());
    unit.iter().copied().cycle().take(n).collect()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}
