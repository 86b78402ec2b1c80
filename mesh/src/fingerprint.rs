//! The fingerprint by which a request is recognised when its caller sends it again under another
//! id.

use http::{HeaderName, request::Parts};

use crate::{
    crash_guard::RequestHash,
    payload::{MAX_BUFFERED_BYTES, Payload},
};

/// Hashes what all sends of a request have in common: method, path with query, caller and body.
///
/// Of a body that is not buffered completely, only the part that every node buffers is hashed, and
/// its length if one was declared.
pub(crate) fn fingerprint(parts: &Parts, payload: &Payload, caller: &HeaderName) -> RequestHash {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let caller = parts.headers.get(caller).map_or(&b""[..], |value| value.as_bytes());
    let body = &payload.buffered[..payload.buffered.len().min(MAX_BUFFERED_BYTES)];
    let length = payload.length.unwrap_or(0).to_be_bytes();
    let length = if payload.is_complete() { &b""[..] } else { &length };
    RequestHash::of([parts.method.as_str().as_bytes(), path.as_bytes(), caller, body, length])
}
