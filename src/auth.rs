//! Authentication of requests between nodes by a shared key.

use std::fmt;

use crate::keys::MemberId;

/// The BLAKE3 derivation context, which separates this key from others derived from the cluster key.
const KEY_CONTEXT: &str = "poplarbarrow 2026 requests between nodes";

/// The length of a tag in hexadecimal digits.
const TAG_HEX_DIGITS: usize = 32;

/// The key that authenticates requests between nodes.
#[derive(Clone)]
pub(crate) struct RequestKey {
    key: [u8; 32],
}

impl RequestKey {
    /// Derives the key from the cluster key in the settings.
    pub(crate) fn new(text: &str) -> RequestKey {
        RequestKey { key: blake3::derive_key(KEY_CONTEXT, text.as_bytes()) }
    }

    /// Returns the authentication tag of a request; it covers the destination, so that other nodes reject it.
    pub(crate) fn tag(&self, to: MemberId, parts: &[&str]) -> Tag {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&to.0.to_be_bytes());
        for part in parts {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        Tag(hasher.finalize())
    }

    /// Returns whether a tag is valid, in constant time.
    pub(crate) fn verify(&self, tag: &str, to: MemberId, parts: &[&str]) -> bool {
        let expected = self.tag(to, parts).to_string();
        let difference = expected.bytes().zip(tag.bytes()).fold(0, |bits, (a, b)| bits | (a ^ b));
        tag.len() == TAG_HEX_DIGITS && difference == 0
    }
}

/// The authentication tag of one request.
pub(crate) struct Tag(blake3::Hash);

impl fmt::Display for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.to_hex()[..TAG_HEX_DIGITS])
    }
}

#[cfg(test)]
mod tests;
