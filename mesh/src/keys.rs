//! Small `Copy` keys and identifiers shared by all modules.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use snafu::Snafu;

new_key_type! {
    /// A caller's request in progress at the node that received it.
    pub struct CallKey;

    /// A request in progress, queued or running, at the target's node.
    pub struct WorkKey;

    /// A member in this node's directory.
    pub struct MemberKey;

    /// A service in this node's directory.
    pub struct ServiceKey;
}

/// Identifies one process lifetime of a node.
///
/// The id is random at each start, so another process at the same address is a different member.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for MemberId {
    type Err = ParseKeyError;

    fn from_str(s: &str) -> Result<MemberId, ParseKeyError> {
        // Each member has exactly one textual form; `from_str_radix` alone also accepts a sign and
        // upper-case digits.
        let is_digit = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
        if s.len() != 16 || !s.bytes().all(is_digit) {
            return Err(ParseKeyError);
        }
        u64::from_str_radix(s, 16).map(MemberId).map_err(|_| ParseKeyError)
    }
}

/// The text is not a valid identifier.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("an identifier has 16 lower-case hexadecimal digits"))]
pub struct ParseKeyError;
