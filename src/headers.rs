//! HTTP headers that nodes read and set; see `docs/http.md`.

use http::{HeaderMap, HeaderName, HeaderValue};
pub(crate) use poplarbarrow_mesh::headers::strip_hop_by_hop;

/// The remaining time for the request, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("poplarbarrow-deadline-ms");

/// The number of calls that precede this one in its call chain.
pub(crate) const DEPTH: HeaderName = HeaderName::from_static("poplarbarrow-depth");

/// The key under which a non-idempotent request runs at most once.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Whether a refused request may have run.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("poplarbarrow-outcome");

/// The reason for a refusal.
pub(crate) const REASON: HeaderName = HeaderName::from_static("poplarbarrow-reason");

/// The load report of a target, sent between nodes only.
pub(crate) const LOAD: HeaderName = HeaderName::from_static("poplarbarrow-load");

/// The envelope of a request between nodes; in an answer, `refused` if the node refused the request.
pub(crate) const ATTEMPT: HeaderName = HeaderName::from_static("poplarbarrow-attempt");

/// The authentication tag of a request between nodes.
pub(crate) const TAG: HeaderName = HeaderName::from_static("poplarbarrow-tag");

/// The service of a request between nodes; its authority is the address of a node.
pub(crate) const SERVICE: HeaderName = HeaderName::from_static("poplarbarrow-service");

/// Headers that only nodes may set; a caller or target could forge them.
const INTERNAL_HEADERS: [HeaderName; 6] = [LOAD, ATTEMPT, TAG, SERVICE, OUTCOME, REASON];

/// Removes the headers that only nodes may set.
pub(crate) fn strip_internal(headers: &mut HeaderMap) {
    for name in &INTERNAL_HEADERS {
        headers.remove(name);
    }
}

/// Parses the value of a header; returns `None` if the header is absent.
pub(crate) fn parse_u32(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<u32>, InvalidHeader> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| InvalidHeader)?;
    text.parse().map(Some).map_err(|_| InvalidHeader)
}

/// Sets a header to a value that is known to be visible ASCII; an invalid value is ignored.
pub(crate) fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// A header value does not have the documented format.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct InvalidHeader;

#[cfg(test)]
mod tests;
