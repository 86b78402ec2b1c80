//! The head of a caller's request.

use std::time::Duration;

use axum::body::Body;
use compact_str::{CompactString, ToCompactString};
use http::{Method, Request, header, request::Parts};

use crate::{
    crash_guard::RequestHash,
    event::{CallHead, RequestIdentity},
    headers::{self, InvalidHeader},
    identity::{Fingerprint, PresentedIdentity},
};

/// The authority of requests to the node itself; the document rejects a service of this name.
const NODE_AUTHORITY: &str = "poplarbarrow";

/// Upper bound of the deadline in a caller's request; a longer one is cut to it.
const MAX_CALLER_TIMEOUT: Duration = Duration::from_secs(3_600);

pub(super) fn read_head(parts: &Parts) -> Result<CallHead, InvalidHeader> {
    let service = service_name(parts).ok_or(InvalidHeader)?;
    let timeout = headers::parse_u32(&parts.headers, &headers::DEADLINE)?;
    let timeout = timeout.map(|ms| Duration::from_millis(ms.into()).min(MAX_CALLER_TIMEOUT));
    let depth = headers::parse_u32(&parts.headers, &headers::DEPTH)?.unwrap_or(0);
    let length = headers::parse_u32(&parts.headers, &header::CONTENT_LENGTH)?;
    let presented = match parts.headers.get(headers::IDEMPOTENCY_KEY) {
        Some(value) => {
            let text = value.to_str().map_err(|_| InvalidHeader)?;
            Some(PresentedIdentity::parse(&service, text).map_err(|_| InvalidHeader)?)
        }
        None => None,
    };
    let path = parts.uri.path().to_compact_string();
    let fingerprint = fingerprint(&service, parts, length);
    let method = parts.method.clone();
    let identity = RequestIdentity { presented, relay_stamp: None };
    // `route` sets it after it has removed the internal and hop-by-hop headers, which it must not cover.
    let crash_fingerprint = RequestHash::default();
    Ok(CallHead { service, method, path, timeout, depth, fingerprint, identity, crash_fingerprint })
}

pub(super) fn fingerprint(service: &str, parts: &Parts, length: Option<u32>) -> Fingerprint {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Fingerprint::new(service, parts.method.as_str(), path, length.map(u64::from))
}

/// Returns whether the request asks the node to issue an identity.
pub(super) fn is_identity_request(req: &Request<Body>) -> bool {
    let host = req.uri().host().or_else(|| req.headers().get(header::HOST)?.to_str().ok());
    let is_for_node = host.is_some_and(|host| host.split(':').next() == Some(NODE_AUTHORITY));
    is_for_node && req.method() == Method::POST && req.uri().path() == "/identity"
}

/// Returns the host of the authority without its port, which is the name of the service.
fn service_name(parts: &Parts) -> Option<CompactString> {
    let from_uri = parts.uri.host().map(CompactString::from);
    from_uri.or_else(|| {
        let host = parts.headers.get(header::HOST)?.to_str().ok()?;
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        (!name.is_empty()).then(|| name.into())
    })
}
