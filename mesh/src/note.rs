//! Datagrams in which nodes tell each other the state of their targets.
//!
//! A lost note is replaced by the next one; nothing depends on a single note.

use serde::{Deserialize, Serialize};

use crate::{directory::Tally, keys::MemberId, report::LoadReport, rollout::RolloutNote};

/// The longest datagram that is read.
pub(crate) const MAX_BYTES: usize = 512;

/// The first byte of a note; it changes with the format.
const FORMAT: u8 = 1;

/// What a node tells about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Note {
    pub(crate) from: MemberId,
    /// The version of its configuration.
    pub(crate) config: u64,
    pub(crate) load: LoadReport,
    /// What its target has answered in this lifetime.
    pub(crate) tally: Tally,
    /// Rollouts in progress.
    pub(crate) rollouts: Vec<RolloutNote>,
}

impl Note {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![FORMAT];
        if let Ok(body) = postcard::to_stdvec(self) {
            bytes.extend(body);
        }
        bytes
    }

    /// Reads a datagram; anything that is not a note is ignored.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Note> {
        let (&FORMAT, body) = bytes.split_first()? else { return None };
        postcard::from_bytes(body).ok()
    }
}

#[cfg(any())]
mod tests;
