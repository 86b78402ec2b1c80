//! Instructions and notifications to the driver.

use std::net::SocketAddr;

use super::message::{Member, Message};
use crate::keys::MemberId;

/// An instruction or notification to the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The destination.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// A member joined, or refuted its death.
    Joined(Member),
    /// A live member's record changed.
    Changed(Member),
    /// A live member became suspected of a failure, or is no longer. Nodes should prefer other members meanwhile.
    Suspected {
        /// The member.
        id: MemberId,
        /// Whether the member is now suspected.
        is_suspected: bool,
    },
    /// A member is no longer live.
    Lost {
        /// The member.
        id: MemberId,
        /// The reason.
        reason: LossReason,
    },
    /// A live member has a higher configuration revision. Repeated with each message until
    /// [`set_revision`](super::Membership::set_revision) catches up.
    Revision {
        /// The member.
        from: MemberId,
        /// Its revision.
        revision: u64,
    },
    /// A live member sent a payload. Repeated with each message.
    Payload {
        /// The member.
        from: MemberId,
        /// The payload.
        payload: Vec<u8>,
    },
    /// The join has pulled the complete table.
    Synced,
    /// The table is full of live members; records were refused since the previous report.
    TableFull {
        /// The number of refused records.
        refused: u64,
    },
}

/// Why a member is no longer live.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The member answered no probes and did not refute the suspicion.
    Failed,
    /// The member announced its stop.
    Left,
    /// Another process answers at the member's address.
    Replaced,
}

/// Events counted since the start.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Claims of suspicion or death that this node refuted about itself.
    pub refutations: u64,
    /// Messages not sent because the byte budget was used up.
    pub throttled: u64,
    /// Records refused because the table is full.
    pub refused: u64,
    /// Records refused because they are not valid or belong to another region.
    pub invalid: u64,
    /// Pauses of this process.
    pub pauses: u64,
}
