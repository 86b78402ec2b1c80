//! Names of the HTTP headers used by callers and targets and between nodes, and functions to read and set headers.

use http::{HeaderMap, HeaderName, HeaderValue, header, request::Parts};

/// Names of the headers exchanged with callers and targets, which differ between deployments.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The request id, which targets echo.
    pub request_id: HeaderName,
    /// The remaining timeout of the sender in milliseconds.
    pub deadline: HeaderName,
    /// The target's signature of an answer, which is forwarded unchanged.
    pub signature: HeaderName,
    /// The id of the target lifetime that must serve the request.
    pub target: HeaderName,
    /// The load of a target as a comma-separated list: running, queued, slots, slowdown in per cent.
    pub load: HeaderName,
    /// Present if the target did not run the request.
    pub not_executed: HeaderName,
    /// The service that sent the request.
    pub caller: HeaderName,
    /// The id of the target lifetime that answered.
    pub instance: HeaderName,
    /// The remaining cold-start time of the target in milliseconds.
    pub cold: HeaderName,
    /// The team that sent the request, as its entry node states it.
    pub team: HeaderName,
}

/// The envelope of an attempt: sender, receiver and parameters.
pub(crate) const ATTEMPT_ENVELOPE: HeaderName = HeaderName::from_static("poplarbarrow-order");

/// The load report of the target's node.
pub(crate) const LOAD_REPORT: HeaderName = HeaderName::from_static("poplarbarrow-report");

/// The service time of the request's route at normal speed, in microseconds.
pub(crate) const NOMINAL_SERVICE: HeaderName = HeaderName::from_static("poplarbarrow-usual");

/// Present if the request is a nested call: one that a target makes while it runs another request.
pub(crate) const NESTED: HeaderName = HeaderName::from_static("poplarbarrow-nested");

/// The outcome of an attempt that has no answer from the target.
pub(crate) const ATTEMPT_OUTCOME: HeaderName = HeaderName::from_static("poplarbarrow-ending");

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Removes the headers used between nodes, which a caller could forge.
pub(crate) fn strip_internal(headers: &mut HeaderMap) {
    for name in [&ATTEMPT_ENVELOPE, &LOAD_REPORT, &NOMINAL_SERVICE, &NESTED, &ATTEMPT_OUTCOME] {
        headers.remove(name);
    }
}

/// Returns the size of a request head in bytes as RFC 9112 writes it, without optional whitespace.
pub(crate) fn head_size(parts: &Parts) -> usize {
    let uri = &parts.uri;
    let scheme = uri.scheme_str().map_or(0, |scheme| scheme.len() + "://".len());
    let authority = uri.authority().map_or(0, |authority| authority.as_str().len());
    let path = uri.path_and_query().map_or(0, |path| path.as_str().len());
    let line = parts.method.as_str().len() + scheme + authority + path + "  HTTP/1.1\r\n".len();
    let field = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + ": \r\n".len()
    };
    line + parts.headers.iter().map(field).sum::<usize>() + "\r\n".len()
}

/// Returns a header value as text, or `None` if it is absent or not visible ASCII.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Sets a header; does nothing if the value is not valid.
pub(crate) fn set(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name.clone(), value);
    }
}

#[cfg(test)]
mod tests;
