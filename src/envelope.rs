//! What a request between nodes says about itself, in the header `poplarbarrow-attempt`.

use std::{fmt, str::FromStr};

use crate::{
    identity::{AttemptTag, Identity, Stamp},
    keys::MemberId,
};

/// The purpose of a request between nodes.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Envelope {
    /// A request for the load report alone.
    Probe {
        /// The node that asks.
        from: MemberId,
    },
    /// The first request on a connection, which only asks whether its destination is the process that answers.
    Greet {
        /// The node that asks.
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
        /// Marks the message.
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
            Envelope::RunOnce(tag) => {
                let AttemptTag { identity, attempt, sequence, destination } = tag;
                write!(f, "once;{identity};{attempt};{sequence};{destination}")
            }
            Envelope::Relay { stamp, identity } => {
                let Stamp { sender, sequence, destination } = stamp;
                write!(f, "relay;{sender};{sequence};{destination};{identity}")
            }
        }
    }
}

impl FromStr for Envelope {
    type Err = ParseEnvelopeError;

    fn from_str(s: &str) -> Result<Envelope, ParseEnvelopeError> {
        fn read<T: FromStr>(field: &str) -> Result<T, ParseEnvelopeError> {
            field.parse().map_err(|_| ParseEnvelopeError)
        }
        let fields: Vec<_> = s.split(';').collect();
        Ok(match fields[..] {
            ["probe", from] => Envelope::Probe { from: read(from)? },
            ["greet", from] => Envelope::Greet { from: read(from)? },
            ["run", from] => Envelope::Run { from: read(from)? },
            ["once", identity, attempt, sequence, destination] => Envelope::RunOnce(AttemptTag {
                identity: read(identity)?,
                attempt: read(attempt)?,
                sequence: read(sequence)?,
                destination: read(destination)?,
            }),
            ["relay", sender, sequence, destination, identity] => Envelope::Relay {
                stamp: Stamp {
                    sender: read(sender)?,
                    sequence: read(sequence)?,
                    destination: read(destination)?,
                },
                identity: read(identity)?,
            },
            _ => return Err(ParseEnvelopeError),
        })
    }
}

/// The header does not have a known form.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct ParseEnvelopeError;

#[cfg(test)]
mod tests;
