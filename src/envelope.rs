//! The header `poplarbarrow-attempt`, which states the purpose of a request between nodes.

use std::{fmt, str::FromStr};

use crate::{
    identity::{AttemptTag, Identity, Stamp},
    keys::MemberId,
};

/// The purpose of a request between nodes.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Envelope {
    /// A request for the load report only.
    Probe {
        /// The node that sends the probe.
        from: MemberId,
    },
    /// The first request on a connection, which only verifies that the process that answers is the intended member.
    Greet {
        /// The node that opened the connection.
        from: MemberId,
    },
    /// An attempt of an idempotent request.
    Run {
        /// The node that chose the target.
        from: MemberId,
    },
    /// An attempt of a request that runs at most once.
    RunOnce(AttemptTag),
    /// A request that is forwarded to the owner of its identity, or to the successor of the owner.
    Relay {
        /// The sender, the sequence number and the destination of the message.
        stamp: Stamp,
        /// The identity of the request.
        identity: Identity,
    },
}

impl Envelope {
    /// Returns the node that sent the request.
    pub(crate) fn sender(&self) -> MemberId {
        match self {
            Envelope::Probe { from } | Envelope::Greet { from } | Envelope::Run { from } => *from,
            Envelope::RunOnce(tag) => tag.identity.owner,
            Envelope::Relay { stamp, .. } => stamp.sender,
        }
    }
}

impl fmt::Display for Envelope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Envelope::Probe { from } => write!(f, "probe;{from}"),
            Envelope::Greet { from } => write!(f, "greet;{from}"),
            Envelope::Run { from } => write!(f, "run;{from}"),
            Envelope::RunOnce(tag) => write!(f, "once;{tag}"),
            Envelope::Relay { stamp, identity } => write!(f, "relay;{stamp};{identity}"),
        }
    }
}

impl FromStr for Envelope {
    type Err = ParseEnvelopeError;

    fn from_str(s: &str) -> Result<Envelope, ParseEnvelopeError> {
        fn read<T: FromStr>(text: &str) -> Result<T, ParseEnvelopeError> {
            text.parse().map_err(|_| ParseEnvelopeError)
        }
        let (kind, rest) = s.split_once(';').ok_or(ParseEnvelopeError)?;
        Ok(match kind {
            "probe" => Envelope::Probe { from: read(rest)? },
            "greet" => Envelope::Greet { from: read(rest)? },
            "run" => Envelope::Run { from: read(rest)? },
            "once" => Envelope::RunOnce(read(rest)?),
            "relay" => {
                let (stamp, identity) = rest.rsplit_once(';').ok_or(ParseEnvelopeError)?;
                Envelope::Relay { stamp: read(stamp)?, identity: read(identity)? }
            }
            _ => return Err(ParseEnvelopeError),
        })
    }
}

/// The header's value is malformed.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct ParseEnvelopeError;

#[cfg(test)]
mod tests;
