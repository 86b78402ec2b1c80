//! A caller for tests.

use std::net::SocketAddr;

use axum::body::Body;
use http::{HeaderMap, Request, header};
use http_body_util::BodyExt;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    /// The body, or `None` if it was cut short.
    pub(crate) body: Option<Vec<u8>>,
}

impl Answer {
    /// Returns a header as text, empty if it is absent.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

/// Sends a request to the node at `addr` and reads the whole answer; `None` if the connection broke.
pub(crate) async fn send(addr: SocketAddr, service: &str, req: Request<Body>) -> Option<Answer> {
    let (mut parts, body) = req.into_parts();
    let path = parts.uri.path_and_query().expect("a path");
    parts.uri = format!("http://{addr}{path}").parse().expect("a URI");
    if !service.is_empty() {
        parts.headers.insert(header::HOST, service.parse().expect("a service name"));
    }
    let client = Client::builder(TokioExecutor::new()).build_http::<Body>();
    let answer = client.request(Request::from_parts(parts, body)).await.ok()?;
    let (parts, body) = answer.into_parts();
    let body = body.collect().await.ok().map(|body| body.to_bytes().to_vec());
    Some(Answer { status: parts.status.as_u16(), headers: parts.headers, body })
}

/// Sends a GET request.
pub(crate) async fn get(addr: SocketAddr, service: &str, path: &str) -> Answer {
    let req = Request::get(path).body(Body::empty()).expect("a request");
    send(addr, service, req).await.expect("an answer")
}
