//! At-most-once execution of requests that must not run twice.
//!
//! Each such request has an identity, and the member that issued it decides on every repeat of the request
//! ([`Owner`]). The target's node discards duplicate deliveries ([`DuplicateFilter`]). Idempotency keys that
//! callers choose are bound to identities by claims in the platform ([`Claim`]).
//!
//! Except for [`measure_cost`], nothing here does I/O or reads a clock: time and results arrive as arguments.
//! `docs/at-most-once.md` states what callers and operators can rely on; `docs/design.md`, section 5.6, gives
//! the reasons.

mod claim;
mod cost;
mod decision;
mod duplicates;
#[cfg(test)]
mod explore;
mod handover;
mod owner;
mod tag;

use std::{fmt, str::FromStr, sync::Arc, time::Duration};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::keys::MemberId;

pub use claim::{Claim, ClaimAction, ClaimBudget, ClaimEvent};
pub use cost::{IdentityCost, measure_cost};
pub use decision::{AttemptResult, BeginDecision, Settled};
pub use duplicates::{Delivery, DuplicateFilter};
pub use handover::{FinishedIdentity, FinishedOutcome, Handover, ImportError};
pub use owner::Owner;
pub use tag::{AttemptTag, ParseTagError, Stamp};

/// The maximum number of entries in an owner's table.
///
/// It holds [`OUTCOME_RETENTION`] (600 s) of 109 new identities a second. A node receives 158 calls a second on
/// average, of which a small part must run at most once.
pub const MAX_ENTRIES: usize = 65_536;

/// How long an owner keeps the outcome of a request after its end.
pub const OUTCOME_RETENTION: Duration = Duration::from_secs(600);

/// The maximum size of one answer (body and content type) that is stored for repeats, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1_024;

/// The maximum size of all answers stored for repeats, in bytes: an eighth of the 32 MB that a node may use.
pub const MAX_STORED_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;

/// The maximum length of an idempotency key that a caller chooses, in characters.
pub const MAX_KEY_LENGTH: usize = 128;

/// The minimum time for which the platform holds a claim. The lease is not renewed.
///
/// It exceeds [`OUTCOME_RETENTION`] plus [`CLAIM_TIMEOUT`], so every repeat that arrives within
/// [`OUTCOME_RETENTION`] of the first request finds the claim.
pub const CLAIM_LEASE: Duration = Duration::from_secs(3_600);

/// How long after the receipt of a request the result of its claim may still be used.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of claims of one node that wait for the rate limit.
pub const MAX_WAITING_CLAIMS: u32 = 32;

/// The rate at which all nodes together may write claims, per second.
///
/// The platform accepts several hundred writes a second. Each claim that conflicts also costs one of the
/// about 2,000 reads a second.
pub const FLEET_CLAIMS_PER_S: u64 = 200;

/// The maximum number of claimed keys that a node caches to answer repeats without the platform.
///
/// It holds 600 s of 27 claims a second, which exceeds the default `claim_rate`.
pub const MAX_CLAIMED_KEYS: usize = 16_384;

/// The maximum number of senders whose sequence numbers a node tracks; a region has 2,667 nodes on average.
pub const MAX_SENDERS: usize = 4_096;

/// The number of sequence numbers tracked for each sender.
///
/// A target has 12 slots and a short queue, so far fewer messages of one sender are in transit at once.
pub const SEQUENCE_WINDOW: usize = 64;

/// The maximum size of the outcomes handed over at a planned stop, in bytes: 15 s at 17 KB/s.
pub const MAX_HANDOVER_BYTES: usize = 256 * 1_024;

/// The maximum number of former owners whose outcomes a node holds.
pub const MAX_IMPORTS: usize = 4;

/// The first counter of the identities of requests that came without one. Callers never receive these.
const FIRST_ANONYMOUS: u64 = 1 << 63;

/// Identifies a request that runs at most once, and the member that decides on it.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The member that issued the identity. The owner never changes, and a member id stands for one process
    /// lifetime.
    pub owner: MemberId,
    /// The number that the owner assigned, unique among its identities.
    pub counter: u64,
}

impl Identity {
    /// Returns whether the identity was assigned to a request that came without one.
    pub const fn is_anonymous(self) -> bool {
        self.counter >= FIRST_ANONYMOUS
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.owner, self.counter)
    }
}

impl FromStr for Identity {
    type Err = ParseIdentityError;

    fn from_str(s: &str) -> Result<Identity, ParseIdentityError> {
        let (owner, counter) = s.split_once('.').ok_or(ParseIdentityError)?;
        let identity = Identity {
            owner: owner.parse().map_err(|_| ParseIdentityError)?,
            counter: counter.parse().map_err(|_| ParseIdentityError)?,
        };
        // Only the canonical text is an identity. A text with a sign, leading zeros or capitals is a key that the
        // caller chose.
        if identity.to_string() == s { Ok(identity) } else { Err(ParseIdentityError) }
    }
}

/// The text is not the canonical form of an identity.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "an issued identity is 16 lower-case hexadecimal digits, a dot and a decimal counter"
))]
pub struct ParseIdentityError;

/// An idempotency key that a caller chose, scoped to one service.
///
/// It is hashed to a fixed size for tables and platform keys.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IdempotencyKey([u8; 16]);

impl IdempotencyKey {
    /// Hashes a key of `service`; fails unless `text` has 1 to [`MAX_KEY_LENGTH`] visible ASCII characters.
    pub fn new(service: &str, text: &str) -> Result<IdempotencyKey, KeyError> {
        if text.is_empty()
            || text.len() > MAX_KEY_LENGTH
            || !text.bytes().all(|b| b.is_ascii_graphic())
        {
            return Err(KeyError);
        }
        Ok(IdempotencyKey(hash(&[service.as_bytes(), text.as_bytes()])))
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// The caller's key is empty, too long or contains characters other than visible ASCII.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a key has 1 to {MAX_KEY_LENGTH} visible ASCII characters"))]
pub struct KeyError;

/// The value of the `idempotency-key` header.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum PresentedIdentity {
    /// An identity that a node issued.
    Issued(Identity),
    /// A key that the caller chose.
    CallerKey(IdempotencyKey),
}

impl PresentedIdentity {
    /// Parses the header value. A text in the canonical form of an identity is read as one, any other as a key.
    pub fn parse(service: &str, text: &str) -> Result<PresentedIdentity, KeyError> {
        match text.parse() {
            Ok(identity) => Ok(PresentedIdentity::Issued(identity)),
            Err(ParseIdentityError) => {
                IdempotencyKey::new(service, text).map(PresentedIdentity::CallerKey)
            }
        }
    }
}

/// A hash of the request, to detect the reuse of an identity or key for a different request.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// Hashes the service, method, path with query, and content length. Bodies are streamed and not hashed.
    pub fn new(service: &str, method: &str, path: &str, length: Option<u64>) -> Fingerprint {
        let length = length.map_or([0xff; 9], |l| {
            let mut bytes = [0; 9];
            bytes[1..].copy_from_slice(&l.to_be_bytes());
            bytes
        });
        Fingerprint(hash(&[service.as_bytes(), method.as_bytes(), path.as_bytes(), &length]))
    }
}

fn hash(parts: &[&[u8]]) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        // The length prefix makes the input unambiguous: no two lists of parts yield the same bytes.
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let mut out = [0; 16];
    hasher.finalize_xof().fill(&mut out);
    out
}

/// A target's answer, stored for repeats of the request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The `content-type` header.
    pub content_type: Option<CompactString>,
    /// The complete body.
    pub body: Arc<[u8]>,
}

impl Answer {
    fn size(&self) -> usize {
        self.body.len() + self.content_type.as_ref().map_or(0, |t| t.len())
    }
}

#[cfg(test)]
mod tests;
