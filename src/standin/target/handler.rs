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
    state::{Refused, Shared, Slot},
};

/// The largest request and answer body, in bytes; bodies are held in memory.
const MAX_BODY: usize = 16 << 20;
/// The largest control request, in bytes.
const MAX_CONTROL: usize = 64 << 10;
/// The longest request id, in bytes, which bounds the memory of the counter.
const MAX_ID: usize = 128;
/// Work shorter than this spins, because tokio's timer has a resolution of 1 ms.
const TIMER_STEP: Duration = Duration::from_millis(1);
/// The time remaining to the caller in milliseconds, as in `docs/design.md` section 4.1.
const DEADLINE_HEADER: &str = "poplarbarrow-deadline-ms";

type App = State<Arc<Shared>>;

pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/-/health", get(health))
        .route("/-/load", get(load))
        .route("/-/ran", get(ran))
        .route("/-/control", get(control).post(set_control))
        .fallback(request)
        .with_state(shared)
}

/// Takes the given time: spins below the timer's resolution, and sleeps with half a step of error above it.
pub(super) async fn work(d: Duration) {
    if d >= TIMER_STEP {
        // The timer rounds up to the next step, so half a step less makes the mean right.
        time::sleep(d - TIMER_STEP / 2).await;
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
    let past = shared.load_before(Duration::from_millis(b.health_lag_ms));
    let healthy = b.health_forced.unwrap_or(!past.draining);
    let status = if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    (status, Json(Health { healthy })).into_response()
}

async fn load(State(shared): App) -> Json<LoadView> {
    let b = shared.behaviour();
    let view = shared.load_before(Duration::from_millis(b.load_lag_ms));
    let scale = |n: u32| (f64::from(n) * b.load_factor).round() as u32;
    Json(LoadView { running: scale(view.running), queued: scale(view.queued), ..view })
}

#[derive(Deserialize)]
struct RanQuery {
    id: Option<CompactString>,
}

async fn ran(State(shared): App, Query(query): Query<RanQuery>) -> Response {
    match query.id {
        Some(id) => Json(shared.runs(&id)).into_response(),
        None => Json(shared.totals()).into_response(),
    }
}

async fn control(State(shared): App) -> Json<Behaviour> {
    Json(shared.behaviour())
}

async fn set_control(State(shared): App, request: Request) -> Response {
    let Ok(body) = to_bytes(request.into_body(), MAX_CONTROL).await else {
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
        Some(Action::Cold) => shared.chill(),
        None => {}
    }
    Ok(())
}

#[derive(Deserialize)]
struct RunQuery {
    bytes: Option<usize>,
}

async fn request(State(shared): App, query: Query<RunQuery>, request: Request) -> Response {
    let headers = request.headers();
    let id: Option<CompactString> =
        text(headers, ID_HEADER).filter(|id| !id.is_empty()).map(CompactString::from);
    let size = query.bytes;
    if id.as_ref().is_some_and(|id| id.len() > MAX_ID) || size.is_some_and(|n| n > MAX_BODY) {
        return StatusCode::BAD_REQUEST.into_response();
    }
    let deadline = text(headers, DEADLINE_HEADER).and_then(|v| v.parse().ok());
    let answer = run(&shared, id.as_ref(), size, request);
    let mut answer = match deadline {
        Some(ms) => time::timeout(Duration::from_millis(ms), answer)
            .await
            .unwrap_or_else(|_| failed(StatusCode::GATEWAY_TIMEOUT, "deadline")),
        None => answer.await,
    };
    let headers = answer.headers_mut();
    if let Ok(name) = HeaderValue::from_str(&shared.name) {
        headers.insert(NAME_HEADER, name);
    }
    if let Some(Ok(id)) = id.as_deref().map(HeaderValue::from_str) {
        headers.insert(ID_HEADER, id);
    }
    answer
}

async fn run(
    shared: &Arc<Shared>,
    id: Option<&CompactString>,
    size: Option<usize>,
    request: Request,
) -> Response {
    let slot = match shared.slot().await {
        Ok(slot) => slot,
        Err(Refused::Shed) => return failed(StatusCode::SERVICE_UNAVAILABLE, "shed"),
        Err(Refused::Drain) => return failed(StatusCode::SERVICE_UNAVAILABLE, "drain"),
        Err(Refused::Cold) => return failed(StatusCode::INTERNAL_SERVER_ERROR, "cold"),
    };
    let (parts, body) = request.into_parts();
    let body = match to_bytes(body, MAX_BODY).await {
        Ok(body) => body,
        Err(_) => return StatusCode::BAD_REQUEST.into_response(),
    };
    slot.start(id);
    let b = shared.behaviour();
    if shared.hits(b.fail_rate) {
        return finish(slot, id, failed(StatusCode::INTERNAL_SERVER_ERROR, "fail"));
    }
    if b.fail_prefix.as_deref().is_some_and(|p| parts.uri.path().starts_with(p)) {
        return finish(slot, id, failed(StatusCode::INTERNAL_SERVER_ERROR, "route"));
    }
    work(shared.service_time(&b)).await;
    shared.unstalled().await;
    if text(&parts.headers, CRASH_HEADER) == Some("1") {
        shared.crash();
        // The crash drops this connection and with it this future.
        return std::future::pending().await;
    }
    let digest = blake3::hash(&body);
    let answer = size.map_or(body, |n| fill(id, n));
    let answer = encode(answer, shared.hits(b.cut_rate), b.chunked);
    let headers = [(DIGEST_HEADER, digest.to_hex().to_string())];
    finish(slot, id, (headers, answer).into_response())
}

fn finish(slot: Slot, id: Option<&CompactString>, answer: Response) -> Response {
    slot.finish(id);
    answer
}

fn failed(status: StatusCode, reason: &'static str) -> Response {
    (status, [(REASON_HEADER, reason)]).into_response()
}

/// Builds the answer body; a cut one states its full length, or has no last chunk, and ends halfway.
fn encode(body: Bytes, cut: bool, chunked: bool) -> Response {
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
                    // The pause makes hyper flush the first part before the error closes the connection.
                    yield_now().await;
                    Some((Err(io::Error::from(io::ErrorKind::ConnectionAborted)), 2))
                }
                _ => None,
            }
        }
    });
    let mut answer = Body::from_stream(stream).into_response();
    if !chunked {
        answer.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(len));
    }
    answer
}

/// Returns a body of `n` bytes that repeats the request id, so that a caller can tell its own answer.
fn fill(id: Option<&CompactString>, n: usize) -> Bytes {
    let unit = id.map_or(&b"."[..], |id| id.as_bytes());
    unit.iter().copied().cycle().take(n).collect()
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}
