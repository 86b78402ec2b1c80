//! Fingerprints of requests for the crash guard, which blocks requests that crash the targets that run them.
//!
//! The crash guard itself is in the crate `poplarbarrow-mesh`, which both kinds of node use.

use http::{HeaderMap, HeaderName, Method, Uri, header};

pub(crate) use poplarbarrow_mesh::crash_guard::{
    BLOCK_CRASHES, CrashGuard, RequestHash, RequestStanding, Standing, SuspectReport,
};

use crate::headers;

/// Headers that differ each time the same request is sent, or that nodes and proxies add.
const VOLATILE_HEADERS: [HeaderName; 20] = [
    header::DATE,
    header::VIA,
    header::FORWARDED,
    header::HOST,
    header::EXPECT,
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    headers::IDEMPOTENCY_KEY,
    HeaderName::from_static("traceparent"),
    HeaderName::from_static("tracestate"),
    HeaderName::from_static("baggage"),
    HeaderName::from_static("b3"),
    HeaderName::from_static("x-request-id"),
    HeaderName::from_static("x-correlation-id"),
    HeaderName::from_static("x-real-ip"),
    HeaderName::from_static("x-amzn-trace-id"),
];

/// Name prefixes of further volatile headers.
const VOLATILE_PREFIXES: [&str; 3] = ["poplarbarrow-", "x-forwarded-", "x-b3-"];

/// Returns the fingerprint of a request: a hash of its service with its identity if the caller gave one, else with
/// its head.
///
/// The body is streamed, so only its length is part of the hash.
pub(crate) fn fingerprint(
    service: &str,
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
) -> RequestHash {
    let mut hasher = blake3::Hasher::new();
    let mut hash_part = |bytes: &[u8]| {
        // The length prefix keeps adjacent parts apart.
        hasher.update(&(bytes.len() as u64).to_be_bytes());
        hasher.update(bytes);
    };
    hash_part(service.as_bytes());
    if let Some(identity) = headers.get(headers::IDEMPOTENCY_KEY) {
        hash_part(identity.as_bytes());
    } else {
        hash_part(method.as_str().as_bytes());
        hash_part(uri.path().as_bytes());
        hash_part(uri.query().unwrap_or_default().as_bytes());
        let length = headers.get(header::CONTENT_LENGTH).map_or(&b""[..], |v| v.as_bytes());
        // An empty body may be sent with or without a length between nodes.
        hash_part(if length == b"0" { b"" } else { length });
        let mut stable: Vec<_> = headers.iter().filter(|(name, _)| is_stable(name)).collect();
        stable.sort_by_key(|(name, _)| name.as_str());
        for (name, value) in stable {
            hash_part(name.as_str().as_bytes());
            hash_part(value.as_bytes());
        }
    }
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    RequestHash::from_bytes(bytes)
}

fn is_stable(name: &HeaderName) -> bool {
    let is_volatile = VOLATILE_HEADERS.contains(name)
        || VOLATILE_PREFIXES.iter().any(|prefix| name.as_str().starts_with(prefix));
    !is_volatile
}

#[cfg(test)]
mod tests;
