//! Status datagrams, by which nodes exchange the state of their targets.
//!
//! The next datagram replaces a lost one; nothing depends on a single datagram.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    crash_guard::SuspectReport,
    directory::MemberRecord,
    keys::MemberId,
    replica::{Position, Revisions},
    report::LoadReport,
    rollout::RolloutProgress,
    tally::Tally,
};

/// The longest datagram in bytes that is read.
pub(crate) const MAX_BYTES: usize = 1_200;

/// The first byte of a datagram, which identifies the version of its format.
const FORMAT: u8 = 3;

/// The status of a node, as it sends it to other nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct NodeStatus {
    pub(crate) from: MemberId,
    /// The store revisions up to which the node has data, by topic.
    pub(crate) revisions: [u64; 3],
    /// Whether the node reaches the store.
    pub(crate) has_store: bool,
    /// Whether the node is stopping and takes no more requests.
    pub(crate) is_stopping: bool,
    /// The node's record, while it is so new that others may not have read it from the store.
    pub(crate) record: Option<MemberRecord>,
    /// The version of its target's software.
    pub(crate) version: CompactString,
    pub(crate) load: LoadReport,
    /// Counts of its target's answers in the current lifetime.
    pub(crate) tally: Tally,
    /// Rollouts in progress.
    pub(crate) rollouts: Vec<RolloutProgress>,
    /// Requests that were in progress at recent crashes.
    pub(crate) suspects: Vec<SuspectReport>,
    /// What follows the fields above, which nodes of earlier builds neither send nor read.
    #[serde(skip)]
    pub(crate) extension: Option<Extension>,
}

/// The part of a status that was added after the format was fixed.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Extension {
    /// The eras of the store revisions, by topic.
    pub(crate) eras: [u64; 3],
    /// The version of the configuration in force, or 0 if there is none.
    pub(crate) config_version: u64,
    /// What earlier builds take for the age of the orders. Theirs only says when the store last answered any call.
    pub(crate) store_age_ms: Option<u32>,
    /// The time in milliseconds since the orders of the node were known to be those of the store. It follows the fields above.
    #[serde(skip)]
    pub(crate) orders_age_ms: Option<u32>,
}

impl Extension {
    /// Returns the time since the orders of the node were known to be those of the store.
    pub(crate) fn orders_age(&self) -> Option<Duration> {
        self.orders_age_ms.map(|ms| Duration::from_millis(ms.into()))
    }
}

impl NodeStatus {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![FORMAT];
        let extension = self.extension.unwrap_or_default();
        if let Ok(body) = postcard::to_stdvec(&(self, extension, extension.orders_age_ms)) {
            bytes.extend(body);
        }
        bytes
    }

    /// Decodes a datagram, or returns `None` if it is not in this format.
    pub(crate) fn decode(bytes: &[u8]) -> Option<NodeStatus> {
        let (&FORMAT, body) = bytes.split_first()? else { return None };
        let (mut status, rest) = postcard::take_from_bytes::<NodeStatus>(body).ok()?;
        if let Ok((extension, rest)) = postcard::take_from_bytes::<Extension>(rest) {
            let orders_age_ms = postcard::from_bytes(rest).unwrap_or_default();
            status.extension = Some(Extension { orders_age_ms, ..extension });
        }
        Some(status)
    }

    /// Returns the positions up to which the node has data. A node whose build does not know eras counts as being in
    /// those given by `default_eras`.
    pub(crate) fn positions(&self, default_eras: [u64; 3]) -> Revisions {
        let eras = self.extension.map_or(default_eras, |extension| extension.eras);
        std::array::from_fn(|topic| Position { era: eras[topic], revision: self.revisions[topic] })
    }
}

#[cfg(test)]
mod tests;
