//! Messages between regions. They share the transport and the byte budget of gossip, but not the member table.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::{
    MAX_ENVELOPE_BYTES, MAX_MESSAGE_BYTES, Membership, Output, SYNC_RESERVE_BYTES,
    budget::UDP_HEADER_BYTES,
    message::{Body, Member, Message, encoded_bytes},
};
use crate::{keys::MemberId, time::Time};

/// The bytes per second that a node may send to other regions: a third of
/// [`GOSSIP_BYTES_PER_S`](super::GOSSIP_BYTES_PER_S), to which they count as well. It covers 256 subscriptions, each
/// renewed every 20 s with an answer of 150 bytes: 1,920 B/s.
pub const CROSS_REGION_BYTES_PER_S: u32 = 2_000;

/// The addresses at which other nodes reach a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// The member.
    pub id: MemberId,
    /// Its data centre.
    pub centre: CompactString,
    /// Its region.
    pub region: CompactString,
    /// Its address for datagrams.
    pub gossip: SocketAddr,
    /// Its address for calls between nodes.
    pub peer: SocketAddr,
}

/// A message about the members of a service in the sender's or the receiver's region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrossRegion {
    /// Requests the members of a service and their changes for a limited time, or renews an earlier request.
    Subscribe {
        /// The service.
        service: CompactString,
        /// The digest of the members that the sender holds, or 0.
        digest: u64,
    },
    /// Lists the members of a service in the sender's region, in place of all earlier lists.
    Members {
        /// The service.
        service: CompactString,
        /// The digest of the members.
        digest: u64,
        /// The members, as many as fit a datagram.
        members: Vec<Member>,
    },
    /// Confirms that the members of a service have the digest that the subscriber holds.
    Unchanged {
        /// The service.
        service: CompactString,
        /// The digest of the members.
        digest: u64,
    },
    /// Requests contacts in other regions from a member of the sender's region.
    AskContacts,
    /// Lists one contact for each data centre.
    Contacts(Vec<Contact>),
}

impl CrossRegion {
    /// Returns a message with as many of `members` as fit a datagram, and their digest.
    pub(crate) fn members_message(
        service: &CompactString,
        members: impl IntoIterator<Item = Member>,
    ) -> (u64, CrossRegion) {
        let empty =
            CrossRegion::Members { service: service.clone(), digest: u64::MAX, members: vec![] };
        // The body's tag and the message's other fields take up to 15 bytes.
        let mut room = MAX_MESSAGE_BYTES - encoded_bytes(&empty) - 15;
        let mut fitting = vec![];
        for member in members {
            // Incarnations change with refutations, which don't concern other regions.
            let member = Member { incarnation: 0, ..member };
            let bytes = encoded_bytes(&member);
            if bytes > room {
                break;
            }
            room -= bytes;
            fitting.push(member);
        }
        let digest = digest(&fitting);
        (digest, CrossRegion::Members { service: service.clone(), digest, members: fitting })
    }
}

/// Hashes the listed members. The result is never 0, which stands for no members.
fn digest(members: &[Member]) -> u64 {
    let bytes = postcard::to_allocvec(members).unwrap_or_default();
    let hash = blake3::hash(&bytes);
    let first = hash.as_bytes().first_chunk().copied().unwrap_or_default();
    u64::from_le_bytes(first).max(1)
}

impl Membership {
    /// Sends a message to or about another region if the byte budgets allow it, and returns whether it was sent.
    pub(crate) fn send_cross_region(
        &mut self,
        now: Time,
        to: SocketAddr,
        message: CrossRegion,
        out: &mut Vec<Output>,
    ) -> bool {
        self.budget.refill(now);
        self.cross_region_budget.refill(now);
        let body = Body::CrossRegion(message);
        let message = Message { revision: self.revision, payload: vec![], updates: vec![], body };
        let cost = encoded_bytes(&message) + MAX_ENVELOPE_BYTES + UDP_HEADER_BYTES;
        let has_room = cost + SYNC_RESERVE_BYTES <= self.budget.available();
        let is_sent =
            has_room && self.cross_region_budget.try_spend(cost) && self.budget.try_spend(cost);
        if is_sent {
            out.push(Output::Send { to, message });
        } else {
            self.counters.throttled += 1;
        }
        is_sent
    }
}
