//! Fetches the status of a node over HTTP.

use std::{net::SocketAddr, time::Duration};

use axum::body::Body;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use snafu::{ResultExt, Snafu, ensure};
use tokio::time;

use super::Status;

/// The time limit of a status request.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum size of a status in bytes: 8,192 members of less than 1 KB each.
const MAX_STATUS_BYTES: usize = 8 << 20;

/// The status of a node cannot be read.
#[derive(Debug, Snafu)]
pub enum StatusError {
    /// The token is not a valid header value.
    #[snafu(display("the token has characters that a header cannot carry"))]
    Token,
    /// The node does not answer.
    #[snafu(display("no answer from {node}: {source}"))]
    Connect {
        /// The operator address of the node.
        node: SocketAddr,
        /// The failure.
        source: hyper_util::client::legacy::Error,
    },
    /// The node does not answer in time.
    #[snafu(display("no answer from {node} in {} s", TIMEOUT.as_secs()))]
    Slow {
        /// The operator address of the node.
        node: SocketAddr,
    },
    /// The node requires a token, or another one.
    #[snafu(display("{node} refuses access; give its token with --token"))]
    Denied {
        /// The operator address of the node.
        node: SocketAddr,
    },
    /// The answer is not a status.
    #[snafu(display("{node} answers with status {status}; is it the operator address of a node?"))]
    Answer {
        /// The address.
        node: SocketAddr,
        /// The status code.
        status: StatusCode,
    },
    /// The answer is cut short or too long.
    #[snafu(display("the answer of {node} is incomplete: {source}"))]
    Body {
        /// The operator address of the node.
        node: SocketAddr,
        /// The failure.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The answer cannot be parsed as a status.
    #[snafu(display("the answer of {node} is no status: {source}"))]
    Form {
        /// The operator address of the node.
        node: SocketAddr,
        /// The failure.
        source: serde_json::Error,
    },
}

/// Reads the status of the node with the given operator address.
///
/// # Errors
///
/// Fails if the node does not answer, refuses the token or answers with something else.
pub async fn fetch(node: SocketAddr, token: Option<&str>) -> Result<Status, StatusError> {
    time::timeout(TIMEOUT, read(node, token)).await.unwrap_or_else(|_| SlowSnafu { node }.fail())
}

async fn read(node: SocketAddr, token: Option<&str>) -> Result<Status, StatusError> {
    let mut req = Request::get(format!("http://{node}/status"));
    if let Some(token) = token {
        req = req.header(header::AUTHORIZATION, format!("Bearer {token}"));
    }
    let req = req.body(Body::empty()).map_err(|_| StatusError::Token)?;
    let client = Client::builder(TokioExecutor::new()).build_http::<Body>();
    let answer = client.request(req).await.context(ConnectSnafu { node })?;
    let status = answer.status();
    ensure!(status != StatusCode::UNAUTHORIZED, DeniedSnafu { node });
    ensure!(status == StatusCode::OK, AnswerSnafu { node, status });
    let body = Limited::new(answer.into_body(), MAX_STATUS_BYTES).collect().await;
    let body = body.context(BodySnafu { node })?.to_bytes();
    serde_json::from_slice(&body).context(FormSnafu { node })
}
