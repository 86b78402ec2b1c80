//! Stamps and attempt tags of messages between nodes, and their text form in headers.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{identity::Identity, keys::MemberId};

/// Identifies one message between nodes, so that its destination acts on it at most once.
///
/// Attempts and forwarded requests both carry a stamp; see [`DuplicateFilter`](super::DuplicateFilter).
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The member that sent the message.
    pub sender: MemberId,
    /// A number that the sender uses once and that increases with each of its messages.
    pub sequence: u64,
    /// The only process lifetime that may act on the message.
    pub destination: MemberId,
}

/// Identifies one attempt to run a request.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptTag {
    /// The request's identity; its owner is the sender.
    pub identity: Identity,
    /// The number of the attempt, from 1. It restarts when the identity was released and begins again.
    pub attempt: u32,
    /// The sequence number, which is unique among all messages of the owner.
    pub sequence: u64,
    /// The only process lifetime of the target's node that may run the attempt.
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
        let [sender, sequence, destination] = fields(s)?;
        Ok(Stamp {
            sender: parse_field(sender)?,
            sequence: parse_field(sequence)?,
            destination: parse_field(destination)?,
        })
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
        let [identity, attempt, sequence, destination] = fields(s)?;
        Ok(AttemptTag {
            identity: parse_field(identity)?,
            attempt: parse_field(attempt)?,
            sequence: parse_field(sequence)?,
            destination: parse_field(destination)?,
        })
    }
}

/// Splits a text form into exactly `N` fields.
fn fields<const N: usize>(s: &str) -> Result<[&str; N], ParseTagError> {
    let fields: Vec<&str> = s.split(';').collect();
    fields.try_into().map_err(|_| ParseTagError)
}

/// Parses a field and accepts only the canonical form: numbers have no sign or leading zeros.
fn parse_field<T: FromStr + fmt::Display>(field: &str) -> Result<T, ParseTagError> {
    let value: T = field.parse().map_err(|_| ParseTagError)?;
    if value.to_string() == field { Ok(value) } else { Err(ParseTagError) }
}

/// The text form of a tag is not valid.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "a tag has an identity or member, numbers and a destination, separated by semicolons"
))]
pub struct ParseTagError;
