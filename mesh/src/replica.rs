//! This node's replica of what the store holds, by topic.
//!
//! A few nodes watch the store; the others pull changes from them. Every entry carries the revision
//! of its last change, so that replicas from any source can be merged and never go back.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::store::{Change, Item, Update};

/// The maximum number of removed keys kept for nodes that are behind. A node that needs an older
/// one pulls the whole topic.
const MAX_REMOVED_KEYS: usize = 1_024;

/// A set of keys of the store with a prefix of its own.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Topic {
    /// The members of the deployment.
    Members,
    /// Operators' orders: configuration, rollouts and data centres out of service.
    Orders,
    /// The recorded states of rollouts.
    Status,
}

impl Topic {
    /// All topics, in the order of their indexes.
    pub const ALL: [Topic; 3] = [Topic::Members, Topic::Orders, Topic::Status];

    /// Returns the index in [`Revisions`].
    pub(crate) const fn index(self) -> usize {
        self as usize
    }

    /// Returns the name used in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Topic::Members => "members",
            Topic::Orders => "orders",
            Topic::Status => "status",
        }
    }
}

/// The revision up to which each topic is known.
pub(crate) type Revisions = [u64; 3];

/// A key with the revision of its last change, and its value unless it was removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    key: CompactString,
    revision: u64,
    value: Option<Bytes>,
}

/// The changes of a topic since a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Delta {
    pub(crate) topic: Topic,
    /// The revision up to which the changes are complete.
    pub(crate) revision: u64,
    /// Whether the delta holds the whole topic.
    is_full: bool,
    entries: Vec<Entry>,
}

impl Delta {
    /// Returns the approximate size in bytes.
    pub(crate) fn size(&self) -> usize {
        let size = |entry: &Entry| entry.key.len() + entry.value.as_ref().map_or(0, Bytes::len);
        self.entries.iter().map(size).sum()
    }
}

/// A replica of one topic.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replica {
    revision: u64,
    /// The revision and the value by key; the value is absent if the key was removed.
    entries: BTreeMap<CompactString, (u64, Option<Bytes>)>,
    /// Removed keys up to this revision may have been pruned.
    pruned_revision: u64,
}

impl Replica {
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a full list of the store. A list that is not newer than the replica has no effect.
    pub(crate) fn apply_list(&mut self, items: Vec<Item>, revision: u64) -> Option<Update> {
        if self.revision > 0 && revision <= self.revision {
            return None;
        }
        let entry =
            |item: Item| Entry { key: item.key, revision: item.revision, value: Some(item.value) };
        self.replace_all(items.into_iter().map(entry).collect(), revision);
        Some(Update::Listed(self.items()))
    }

    /// Applies the changes that a watch returned.
    pub(crate) fn apply_changes(&mut self, changes: Vec<Change>, revision: u64) -> Option<Update> {
        let entry = |change| match change {
            Change::Put(Item { key, value, revision }) => {
                Entry { key, revision, value: Some(value) }
            }
            Change::Removed { key, revision } => Entry { key, revision, value: None },
        };
        self.apply_entries(changes.into_iter().map(entry).collect(), revision)
    }

    /// Returns the changes since a revision, or the whole topic if the changes are not known any
    /// more.
    pub(crate) fn delta_since(&self, topic: Topic, revision: u64) -> Delta {
        let is_full = revision < self.pruned_revision || revision == 0;
        let is_wanted = |at: u64, value: &Option<Bytes>| {
            if is_full { value.is_some() } else { at > revision }
        };
        let wanted = self.entries.iter().filter(|(_, (at, value))| is_wanted(*at, value));
        let entry = |(key, (revision, value)): (&CompactString, &(u64, Option<Bytes>))| Entry {
            key: key.clone(),
            revision: *revision,
            value: value.clone(),
        };
        Delta { topic, revision: self.revision, is_full, entries: wanted.map(entry).collect() }
    }

    /// Merges the changes that another node sent.
    pub(crate) fn merge(&mut self, delta: Delta) -> Option<Update> {
        if delta.revision <= self.revision {
            return None;
        }
        if delta.is_full {
            self.replace_all(delta.entries, delta.revision);
            return Some(Update::Listed(self.items()));
        }
        self.apply_entries(delta.entries, delta.revision)
    }

    fn replace_all(&mut self, entries: Vec<Entry>, revision: u64) {
        let keys: BTreeSet<CompactString> = entries.iter().map(|entry| entry.key.clone()).collect();
        for (key, (at, value)) in &mut self.entries {
            if value.is_some() && !keys.contains(key) {
                (*at, *value) = (revision, None);
            }
        }
        for Entry { key, revision, value } in entries {
            self.entries.insert(key, (revision, value));
        }
        self.revision = revision;
        self.prune_removed();
    }

    fn apply_entries(&mut self, entries: Vec<Entry>, revision: u64) -> Option<Update> {
        let mut changes = Vec::new();
        for Entry { key, revision, value } in entries {
            let is_known = self.entries.get(&key).is_some_and(|(known, _)| *known >= revision);
            if is_known {
                continue;
            }
            self.entries.insert(key.clone(), (revision, value.clone()));
            changes.push(match value {
                Some(value) => Change::Put(Item { key, value, revision }),
                None => Change::Removed { key, revision },
            });
        }
        self.revision = self.revision.max(revision);
        self.prune_removed();
        (!changes.is_empty()).then_some(Update::Changed(changes))
    }

    fn items(&self) -> Vec<Item> {
        let item = |(key, (revision, value)): (&CompactString, &(u64, Option<Bytes>))| {
            let (key, revision) = (key.clone(), *revision);
            value.clone().map(|value| Item { key, value, revision })
        };
        self.entries.iter().filter_map(item).collect()
    }

    /// Prunes the oldest removed keys beyond [`MAX_REMOVED_KEYS`].
    fn prune_removed(&mut self) {
        let removed = self.entries.values().filter(|(_, value)| value.is_none());
        let mut removed: Vec<u64> = removed.map(|(at, _)| *at).collect();
        let Some(excess) = removed.len().checked_sub(MAX_REMOVED_KEYS).filter(|excess| *excess > 0)
        else {
            return;
        };
        removed.sort_unstable();
        self.pruned_revision = removed[excess - 1];
        let pruned_revision = self.pruned_revision;
        self.entries.retain(|_, (at, value)| value.is_some() || *at > pruned_revision);
    }
}

#[cfg(test)]
mod tests;
