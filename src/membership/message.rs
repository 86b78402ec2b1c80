//! Member records, claims about members, and the messages that carry them.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use super::CrossRegion;
use crate::keys::MemberId;

/// The largest datagram in bytes; it fits the IPv6 minimum MTU of 1,280 bytes with its headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// The largest part of a datagram outside the message: sender id and sequence number (10 bytes each as
/// variable-length integers) and the 32-byte tag.
pub const MAX_ENVELOPE_BYTES: usize = 52;

/// The largest encoded message in bytes.
pub const MAX_MESSAGE_BYTES: usize = MAX_DATAGRAM_BYTES - MAX_ENVELOPE_BYTES;

/// The largest opaque payload in bytes; it leaves 900 bytes of a datagram to membership.
pub const MAX_PAYLOAD_BYTES: usize = 200;

/// The longest service, version, data centre or region name in bytes, so that any record fits a datagram.
pub const MAX_NAME_BYTES: usize = 64;

/// The record that a node announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The id of the process lifetime.
    pub id: MemberId,
    /// The version of this record within the process lifetime; only the member itself raises it.
    pub incarnation: u32,
    /// The incarnation at which another field of the record last changed. A refutation does not change it, so members
    /// that hold the record need only a [`Claim`].
    pub revised: u32,
    /// The service of the target beside the node.
    pub service: CompactString,
    /// The version of the target.
    pub version: CompactString,
    /// The data centre.
    pub centre: CompactString,
    /// The region; records of other regions are ignored.
    pub region: CompactString,
    /// The address for HTTP/2 calls between nodes.
    pub peer: SocketAddr,
    /// The address for `tarpc` control calls.
    pub control: SocketAddr,
    /// The address for gossip datagrams.
    pub gossip: SocketAddr,
    /// Whether the member is about to stop and accepts no new work.
    pub is_leaving: bool,
    /// Whether the target is in cold start.
    pub is_cold: bool,
}

impl Member {
    /// Checks the limits within which other members accept the record.
    pub fn validate(&self) -> Result<(), InvalidMember> {
        for name in [&self.service, &self.version, &self.centre, &self.region] {
            ensure!(name.len() <= MAX_NAME_BYTES, NameTooLongSnafu { bytes: name.len() });
        }
        for address in [self.peer, self.control, self.gossip] {
            ensure!(
                address.port() != 0 && !address.ip().is_unspecified(),
                AddressSnafu { address }
            );
        }
        Ok(())
    }

    /// Compares all fields but the id, the region and the incarnations.
    pub(super) fn has_same_info(&self, other: &Member) -> bool {
        self.is_leaving == other.is_leaving
            && self.is_cold == other.is_cold
            && self.version == other.version
            && self.service == other.service
            && self.centre == other.centre
            && (self.peer, self.control, self.gossip) == (other.peer, other.control, other.gossip)
    }
}

/// A member's record is not valid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum InvalidMember {
    /// A name is longer than [`MAX_NAME_BYTES`].
    #[snafu(display("a name has {bytes} bytes, more than {MAX_NAME_BYTES}"))]
    NameTooLong {
        /// The length of the name in bytes.
        bytes: usize,
    },
    /// An address cannot be reached by others.
    #[snafu(display("address {address} has no port or no host"))]
    Address {
        /// The address.
        address: SocketAddr,
    },
}

/// The state of a member. The order is the precedence of claims about the same incarnation.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// The member answers probes.
    Alive,
    /// A probe failed; the member may still refute.
    Suspect,
    /// The member did not refute in time. A higher incarnation revives it.
    Dead,
    /// The member announced its stop. The state is final.
    Left,
}

impl State {
    /// Returns whether the member counts as a member of the region.
    pub fn is_live(self) -> bool {
        self <= State::Suspect
    }
}

/// A statement about the state of one member, without its record.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The member in question.
    pub id: MemberId,
    /// The incarnation to which the claim applies.
    pub incarnation: u32,
    /// [`Member::revised`] at that incarnation, which shows whether a held record is out of date.
    pub revised: u32,
    /// The claimed state.
    pub state: State,
}

impl Claim {
    /// Returns whether this claim replaces `held`, an earlier claim about the same member.
    ///
    /// The rule is a total order, so members that have received the same claims hold the same state, whatever the order
    /// of arrival.
    pub fn supersedes(&self, held: &Claim) -> bool {
        match (self.state, held.state) {
            (_, State::Left) => false,
            (State::Left, _) => true,
            _ => (self.incarnation, self.state) > (held.incarnation, held.state),
        }
    }
}

/// A record of a member or a claim about one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The full record of a live member.
    Record {
        /// The record.
        member: Member,
        /// Whether the member is suspected.
        is_suspect: bool,
    },
    /// A claim about a member whose record the receiver may hold.
    Claim(Claim),
}

impl Update {
    /// Returns the claim that the update makes.
    pub fn claim(&self) -> Claim {
        match self {
            Update::Record { member, is_suspect } => Claim {
                id: member.id,
                incarnation: member.incarnation,
                revised: member.revised,
                state: if *is_suspect { State::Suspect } else { State::Alive },
            },
            Update::Claim(claim) => *claim,
        }
    }
}

/// The verified origin of a message.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// The member that sent the message.
    pub id: MemberId,
    /// The address from which it came and to which responses are sent.
    pub address: SocketAddr,
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The configuration revision in force at the sender.
    pub revision: u64,
    /// Data of other components, at most [`MAX_PAYLOAD_BYTES`].
    pub payload: Vec<u8>,
    /// Piggybacked updates.
    pub updates: Vec<Update>,
    /// The purpose of the message.
    pub body: Body,
}

/// The purpose of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests an [`Body::Ack`]; any process at the address responds.
    Ping {
        /// The number to repeat in the response.
        probe: u32,
        /// The member expected at the address.
        target: MemberId,
    },
    /// Requests the receiver to ping `target` on the sender's behalf.
    PingRequest {
        /// The number to repeat in the response.
        probe: u32,
        /// The member to ping.
        target: MemberId,
        /// The gossip address of the member.
        address: SocketAddr,
    },
    /// Responds to a ping, directly or through a relay.
    Ack {
        /// The number from the request.
        probe: u32,
        /// The member that responded to the ping.
        subject: MemberId,
    },
    /// Carries updates only.
    Gossip,
    /// Requests the receiver's own record.
    Identify,
    /// Requests records of live members in ascending order of id.
    Pull {
        /// The number to repeat in the response.
        pull: u32,
        /// The lowest id to send.
        first: MemberId,
        /// The services to which the request is limited; all if empty.
        services: Vec<CompactString>,
        /// Whether a member may respond whose own table is incomplete.
        accept_partial: bool,
    },
    /// Responds to a pull.
    Chunk {
        /// The number from the request.
        pull: u32,
        /// Whether the sender's own table is complete.
        is_synced: bool,
        /// The id at which the next request starts; none after the last record.
        next: Option<MemberId>,
        /// The records.
        records: Vec<Update>,
    },
    /// Starts an anti-entropy exchange.
    Digest {
        /// A hash for each slice of the id space.
        slices: Vec<u32>,
    },
    /// Lists the claims that the sender holds about ids between `first` and `last` inclusive.
    Listing {
        /// The lowest id.
        first: MemberId,
        /// The highest id.
        last: MemberId,
        /// The claims in ascending order of id.
        claims: Vec<Claim>,
    },
    /// Sends updates that the receiver lacks.
    Records {
        /// The updates.
        records: Vec<Update>,
        /// Members whose records the sender requests in return.
        wanted: Vec<MemberId>,
    },
    /// Concerns members of services in other regions.
    CrossRegion(CrossRegion),
}

/// Returns the encoded size in bytes.
pub(crate) fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    postcard::serialize_with_flavor(value, postcard::ser_flavors::Size::default())
        .unwrap_or(usize::MAX / 2)
}
