//! Tags of messages between nodes, with the text form that headers carry.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{identity::Identity, keys::MemberId};

/// Marks one message between nodes, so that its destination acts on it at most once.
///
/// Attempts and forwarded requests both carry a stamp; see [`Receipts`](super::Receipts).
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The sender.
    pub sender: MemberId,
    /// A number that the sender uses once and that increases with each of its messages.
    pub sequence: u64,
    /// The process lifetime that may act on the message.
    pub destination: MemberId,
}

/// Marks one attempt to run a request.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptTag {
    /// The request's identity; its owner is the sender.
    pub identity: Identity,
    /// The number of the attempt within the current send, from 1.
    pub attempt: u32,
    /// The sequence number, which is unique among all messages of the owner.
    pub sequence: u64,
    /// The process lifetime of the target's node that may run the attempt.
    pub destination: MemberId,
}

impl AttemptTag {
    /// Returns the stamp that the target's node checks.
    pub const fn stamp(self) -> Stamp {
        Stamp {
            sender: self.identity.owner,
            sequence: self.sequence,
            destination: self.destination,
        }
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{};{};{}", self.sender, self.sequence, self.destination)
    }
}

impl FromStr for Stamp {
    type Err = ParseTagError;

    fn from_str(s: &str) -> Result<Stamp, ParseTagError> {
        let mut fields = s.split(';');
        let stamp = Stamp {
            sender: field(&mut fields)?,
            sequence: field(&mut fields)?,
            destination: field(&mut fields)?,
        };
        if fields.next().is_some() { Err(ParseTagError) } else { Ok(stamp) }
    }
}

impl fmt::Display for AttemptTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{};{};{};{}", self.identity, self.attempt, self.sequence, self.destination)
    }
}

impl FromStr for AttemptTag {
    type Err = ParseTagError;

    fn from_str(s: &str) -> Result<AttemptTag, ParseTagError> {
        let mut fields = s.split(';');
        let tag = AttemptTag {
            identity: field(&mut fields)?,
            attempt: field(&mut fields)?,
            sequence: field(&mut fields)?,
            destination: field(&mut fields)?,
        };
        if fields.next().is_some() { Err(ParseTagError) } else { Ok(tag) }
    }
}

fn field<'a, T: FromStr>(fields: &mut impl Iterator<Item = &'a str>) -> Result<T, ParseTagError> {
    fields.next().ok_or(ParseTagError)?.parse().map_err(|_| ParseTagError)
}

/// The text form of a tag is not valid.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "a tag has an identity or member, numbers and a destination, separated by semicolons"
))]
pub struct ParseTagError;
