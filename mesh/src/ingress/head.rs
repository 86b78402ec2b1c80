//! Reads what a node needs from the head of a caller's request.

use std::time::Duration;

use http::{HeaderMap, HeaderName, header, request::Parts};

use crate::{headers, refusal::Reason};

/// Upper limit on the timeout in a caller's deadline header.
const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Reads the time that the caller will still wait, in milliseconds. Zero is a deadline that has passed, an empty value
/// states nothing, and the shortest of several values applies.
///
/// # Errors
///
/// Fails if a value is not a number or negative.
pub(super) fn read_timeout(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<Duration>, Reason> {
    let mut shortest = None;
    for value in headers.get_all(name) {
        let text = value.to_str().map_err(|_| Reason::Malformed)?.trim();
        if text.is_empty() {
            continue;
        }
        let timeout = parse_ms(text).ok_or(Reason::Malformed)?;
        shortest = Some(shortest.map_or(timeout, |shortest: Duration| shortest.min(timeout)));
    }
    Ok(shortest)
}

/// Parses a time in milliseconds. Times above [`MAX_TIMEOUT`] are reduced to it, however many digits they have.
fn parse_ms(text: &str) -> Option<Duration> {
    // The standard parser also takes `inf` and `nan` for numbers.
    let is_number = text.bytes().all(|byte| !byte.is_ascii_alphabetic() || b"eE".contains(&byte));
    let ms: f64 = text.parse().ok().filter(|ms| is_number && *ms >= 0.0)?;
    Some(Duration::from_secs_f64((ms / 1_000.0).min(MAX_TIMEOUT.as_secs_f64())))
}

/// Reduces a request in absolute form to origin form, in which targets expect it. The host of the URI then replaces the
/// `Host` header (RFC 9112, section 3.2.2).
pub(super) fn set_origin_form(parts: &mut Parts) {
    let Some(authority) = parts.uri.authority() else { return };
    let host = authority.as_str().rsplit_once('@').map_or(authority.as_str(), |(_, host)| host);
    headers::set(&mut parts.headers, &header::HOST, host);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    if let Ok(uri) = path.parse() {
        parts.uri = uri;
    }
}

#[cfg(test)]
mod tests;
