//! The stand-in platform: an HTTP server for the in-memory platform, with call counters and fault injection.
//!
//! `GET /stats` returns the number of calls by kind as JSON. `POST /control` with a JSON body replaces the
//! injected faults, for example `{"outage": false, "slow_ms": 50, "lose": 1}`. The other requests are
//! described in [`crate::platform::http`].

use std::{future::Future, io, time::Duration};

use axum::{
    Json, Router,
    body::Body,
    extract::{Path, Query, State},
    response::{IntoResponse, Response},
    routing,
};
use bytes::Bytes;
use compact_str::CompactString;
use futures::stream;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::platform::{
    Expect, LeaseId, MAX_WAIT, Memory, Platform, PlatformError, Result,
    http::ErrorBody,
    memory::{Faults, Stats},
};

/// Serves a platform until `stop` is cancelled, then ends pending watches and completes open requests.
///
/// # Errors
///
/// Returns an error if the listener fails.
pub async fn serve(
    listener: TcpListener,
    memory: Memory,
    stop: CancellationToken,
) -> io::Result<()> {
    let router = Router::new()
        .route("/kv/{*key}", routing::get(get).put(put).delete(delete))
        .route("/list/", routing::get(list_all))
        .route("/list/{*prefix}", routing::get(list))
        .route("/watch/", routing::get(watch_all))
        .route("/watch/{*prefix}", routing::get(watch))
        .route("/lease", routing::post(lease))
        .route("/lease/{id}", routing::post(renew).delete(revoke))
        .route("/stats", routing::get(stats))
        .route("/control", routing::post(control))
        .with_state(Server { memory, stop: stop.clone() });
    axum::serve(listener, router).with_graceful_shutdown(stop.cancelled_owned()).await
}

#[derive(Clone)]
struct Server {
    memory: Memory,
    stop: CancellationToken,
}

impl Server {
    /// Completes a write even if the caller disconnects, as a real platform does.
    async fn write<T, F>(&self, call: impl FnOnce(Memory) -> F) -> Response
    where
        T: Serialize + Send + 'static,
        F: Future<Output = Result<T>> + Send + 'static,
    {
        match tokio::spawn(call(self.memory.clone())).await {
            Ok(result) => response(result),
            Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        }
    }

    async fn watch(&self, prefix: &str, query: &WatchQuery) -> Response {
        let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
        tokio::select! {
            result = self.memory.watch(prefix, query.after, wait) => response(result),
            () = self.stop.cancelled() => {
                response::<()>(Err(PlatformError::Unavailable { reason: "stopping".into() }))
            }
        }
    }
}

#[derive(Deserialize)]
struct WriteQuery {
    expect: CompactString,
    lease: Option<u64>,
}

#[derive(Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

#[derive(Deserialize)]
struct LeaseQuery {
    ttl_ms: u64,
}

async fn get(State(server): State<Server>, Path(key): Path<CompactString>) -> Response {
    match server.memory.get(&key).await {
        Ok(None) => StatusCode::NOT_FOUND.into_response(),
        Ok(Some(entry)) => response(Ok(entry)),
        Err(e) => response::<()>(Err(e)),
    }
}

async fn put(
    State(server): State<Server>,
    Path(key): Path<CompactString>,
    Query(query): Query<WriteQuery>,
    value: Bytes,
) -> Response {
    let Some(expect) = parse_expect(&query.expect) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let lease = query.lease.map(LeaseId);
    server.write(|memory| async move { memory.put(&key, value, expect, lease).await }).await
}

async fn delete(
    State(server): State<Server>,
    Path(key): Path<CompactString>,
    Query(query): Query<WriteQuery>,
) -> Response {
    let Some(expect) = parse_expect(&query.expect) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    server.write(|memory| async move { memory.delete(&key, expect).await }).await
}

async fn list(State(server): State<Server>, Path(prefix): Path<CompactString>) -> Response {
    response(server.memory.list(&prefix).await)
}

async fn list_all(State(server): State<Server>) -> Response {
    response(server.memory.list("").await)
}

async fn watch(
    State(server): State<Server>,
    Path(prefix): Path<CompactString>,
    Query(query): Query<WatchQuery>,
) -> Response {
    server.watch(&prefix, &query).await
}

async fn watch_all(State(server): State<Server>, Query(query): Query<WatchQuery>) -> Response {
    server.watch("", &query).await
}

async fn lease(State(server): State<Server>, Query(query): Query<LeaseQuery>) -> Response {
    let ttl = Duration::from_millis(query.ttl_ms);
    server.write(|memory| async move { memory.lease(ttl).await }).await
}

async fn renew(State(server): State<Server>, Path(id): Path<u64>) -> Response {
    server.write(|memory| async move { memory.renew(LeaseId(id)).await }).await
}

async fn revoke(State(server): State<Server>, Path(id): Path<u64>) -> Response {
    server.write(|memory| async move { memory.revoke(LeaseId(id)).await }).await
}

async fn stats(State(server): State<Server>) -> Json<Stats> {
    Json(server.memory.stats())
}

async fn control(State(server): State<Server>, Json(faults): Json<Faults>) -> Json<Faults> {
    server.memory.set_faults(faults);
    Json(faults)
}

fn parse_expect(expect: &str) -> Option<Expect> {
    match expect {
        "any" => Some(Expect::Any),
        "absent" => Some(Expect::Absent),
        revision => revision.parse().ok().map(Expect::Revision),
    }
}

fn response<T: Serialize>(result: Result<T>) -> Response {
    let (status, fault) = match result {
        Ok(value) => {
            return match postcard::to_allocvec(&value) {
                Ok(body) => body.into_response(),
                Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
            };
        }
        Err(PlatformError::Conflict { current }) => {
            (StatusCode::CONFLICT, ErrorBody::Conflict(current))
        }
        Err(PlatformError::TooLarge { size }) => {
            (StatusCode::PAYLOAD_TOO_LARGE, ErrorBody::TooLarge(size as u64))
        }
        Err(PlatformError::InvalidKey) => (StatusCode::BAD_REQUEST, ErrorBody::InvalidKey),
        Err(PlatformError::LeaseLost) => (StatusCode::GONE, ErrorBody::LeaseLost),
        Err(PlatformError::Unavailable { reason }) => {
            (StatusCode::SERVICE_UNAVAILABLE, ErrorBody::Unavailable(reason))
        }
        // An error in the body closes the connection, as when a response is lost.
        Err(PlatformError::Unknown { .. }) => {
            let lost = stream::once(async { Err::<Bytes, _>(io::Error::other("answer lost")) });
            return Body::from_stream(lost).into_response();
        }
    };
    let body = postcard::to_allocvec(&fault).unwrap_or_default();
    (status, body).into_response()
}
