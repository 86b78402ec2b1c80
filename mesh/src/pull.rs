//! The messages by which a node pulls what another one knows of the store.
//!
//! Nodes of earlier builds read the first three parts of a query and the deltas at the beginning of an answer, and
//! ignore the rest. So whatever is added comes after them and may be missing.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    config::Config,
    keys::MemberId,
    replica::{Delta, Position, Replica, Revisions, Topic},
    teams::Access,
};

/// What the pulling node knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PullQuery {
    revisions: [u64; 3],
    /// The eras of the revisions; `None` if the node's build does not know eras.
    eras: Option<[u64; 3]>,
    /// The version of the configuration in force, or 0 if there is none; `None` if the node's build does not state it.
    pub(crate) config_version: Option<u64>,
    /// The pulling node; `None` if its build does not state it.
    pub(crate) from: Option<MemberId>,
}

impl PullQuery {
    pub(crate) fn new(from: MemberId, known: &Revisions, config_version: u64) -> PullQuery {
        PullQuery {
            revisions: known.map(|position| position.revision),
            eras: Some(known.map(|position| position.era)),
            config_version: Some(config_version),
            from: Some(from),
        }
    }

    /// Parses a query; parts that are missing or unreadable count as unknown.
    pub(crate) fn parse(query: &str) -> PullQuery {
        let parts: Vec<Option<u64>> = query.split(',').map(|part| part.parse().ok()).collect();
        let part = |index: usize| parts.get(index).copied().flatten();
        let triple = |first: usize| Some([part(first)?, part(first + 1)?, part(first + 2)?]);
        PullQuery {
            revisions: triple(0).unwrap_or_default(),
            eras: triple(3),
            config_version: part(6),
            from: part(7).map(MemberId),
        }
    }

    /// Returns the text that [`PullQuery::parse`] reads.
    pub(crate) fn format(&self) -> String {
        let eras = self.eras.unwrap_or_default();
        let from = self.from.map(|id| id.0);
        let parts = self.revisions.iter().chain(&eras).chain(&self.config_version).chain(&from);
        parts.map(u64::to_string).collect::<Vec<_>>().join(",")
    }

    /// Returns the position up to which the node knows a topic of which this node holds `replica`.
    pub(crate) fn position(&self, topic: Topic, replica: &Replica) -> Position {
        let era = replica.era_or_first(self.eras.map(|eras| eras[topic.index()]));
        Position { era, revision: self.revisions[topic.index()] }
    }
}

/// What a node returns to one that pulls.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PullAnswer {
    pub(crate) deltas: Vec<Delta>,
    /// The configuration in force, if it is newer than that of the pulling node.
    pub(crate) config: Option<Config>,
    /// What the configuration says of teams; `None` if the node's build does not know teams.
    pub(crate) access: Option<Access>,
}

/// The part of an answer that follows the deltas.
#[derive(Debug, Serialize, Deserialize)]
struct Extension {
    /// The eras of the deltas, by topic.
    eras: [u64; 3],
    config: Option<Config>,
    /// The keys of the deltas, by topic.
    keys: [Option<Vec<CompactString>>; 3],
}

/// The approximate size of one route of a configuration in bytes.
const ROUTE_BYTES: usize = 100;

impl PullAnswer {
    /// Returns the approximate size in bytes.
    pub(crate) fn size(&self) -> usize {
        let routes = self.config.as_ref().map_or(0, |config| config.routes.len());
        let deltas: usize = self.deltas.iter().map(Delta::size).sum();
        deltas + routes * ROUTE_BYTES + self.access.as_ref().map_or(0, Access::size)
    }

    pub(crate) fn encode(self) -> Vec<u8> {
        let PullAnswer { mut deltas, config, access } = self;
        let mut eras = [0; 3];
        let mut keys = [None, None, None];
        for delta in &mut deltas {
            eras[delta.topic.index()] = delta.era.unwrap_or_default();
            keys[delta.topic.index()] = delta.keys.take();
        }
        let encoded = postcard::to_stdvec(&deltas);
        let encoded =
            encoded.and_then(|bytes| postcard::to_extend(&Extension { eras, config, keys }, bytes));
        let encoded = encoded.and_then(|bytes| postcard::to_extend(&access, bytes));
        encoded.unwrap_or_default()
    }

    /// Decodes an answer, or returns `None` if it is invalid.
    pub(crate) fn decode(bytes: &[u8]) -> Option<PullAnswer> {
        let (mut deltas, rest) = postcard::take_from_bytes::<Vec<Delta>>(bytes).ok()?;
        let Ok((extension, rest)) = postcard::take_from_bytes(rest) else {
            return Some(PullAnswer { deltas, config: None, access: None });
        };
        let Extension { eras, config, mut keys } = extension;
        let access = postcard::from_bytes(rest).unwrap_or_default();
        for delta in &mut deltas {
            delta.era = Some(eras[delta.topic.index()]);
            delta.keys = keys[delta.topic.index()].take();
        }
        Some(PullAnswer { deltas, config, access })
    }
}

#[cfg(test)]
mod tests;
