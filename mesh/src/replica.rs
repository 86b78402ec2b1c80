//! This node's replica of what the store holds, by topic.
//!
//! A few nodes watch the store; the others pull changes from them. Every entry carries the revision
//! of its last change, so that replicas from any source can be merged and never go back. When the
//! store has returned from an earlier copy of its state, its era rises and the revisions start again
//! from those of the copy; what a replica holds of an earlier era is then replaced as a whole.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

pub(crate) use crate::store::Position;
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

/// The position up to which each topic is known.
pub(crate) type Revisions = [Position; 3];

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
    /// The era of all revisions; `None` if the sender's build does not know eras. It is sent apart
    /// from the delta, because such a build cannot skip a field.
    #[serde(skip)]
    pub(crate) era: Option<u64>,
    /// Whether the delta holds the whole topic.
    is_full: bool,
    entries: Vec<Entry>,
    /// All keys that exist, if the sender may lack removals since the receiver's position. They are
    /// sent apart from the delta, as the era is.
    #[serde(skip)]
    pub(crate) keys: Option<Vec<CompactString>>,
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
    position: Position,
    /// The era in which the store was first read. Other nodes that do not know eras are assumed to be
    /// in it.
    first_era: Option<u64>,
    /// The revision and the value by key; the value is absent if the key was removed.
    entries: BTreeMap<CompactString, (u64, Option<Bytes>)>,
    /// Removed keys up to this revision may have been pruned.
    pruned_revision: u64,
    /// The revision of the last list. Keys that were added and removed before it are not known.
    listed_revision: u64,
    /// Whether a preliminary list was applied.
    has_preliminary: bool,
}

impl Replica {
    pub(crate) fn position(&self) -> Position {
        self.position
    }

    /// Records the era in which this node first read any topic.
    pub(crate) fn set_first_era(&mut self, era: u64) {
        self.first_era.get_or_insert(era);
    }

    /// Applies a full list of the store. A list that is not newer than the replica has no effect.
    pub(crate) fn apply_list(&mut self, items: Vec<Item>, position: Position) -> Option<Update> {
        if self.position.revision > 0 && position <= self.position {
            return None;
        }
        let entry =
            |item: Item| Entry { key: item.key, revision: item.revision, value: Some(item.value) };
        self.replace_all(items.into_iter().map(entry).collect(), position);
        Some(Update::Listed(self.items()))
    }

    /// Applies a list that may be older than other data of its position, such as the result of a
    /// stale read, so that the replica has something until a list with a position arrives. The same list again has no effect.
    pub(crate) fn apply_preliminary(&mut self, items: Vec<Item>) -> Option<Update> {
        if self.position.revision > 0 {
            return None;
        }
        let entry = |item: Item| (item.key, (item.revision, Some(item.value)));
        let entries = items.into_iter().map(entry).collect();
        let is_new = !std::mem::replace(&mut self.has_preliminary, true) || self.entries != entries;
        self.entries = entries;
        is_new.then(|| Update::Listed(self.items()))
    }

    /// Applies the changes that a watch returned. Changes of another era have no effect, because
    /// they are not the changes since the replica's position.
    pub(crate) fn apply_changes(
        &mut self,
        changes: Vec<Change>,
        position: Position,
    ) -> Option<Update> {
        if position.era != self.position.era {
            return None;
        }
        let entry = |change| match change {
            Change::Put(Item { key, value, revision }) => {
                Entry { key, revision, value: Some(value) }
            }
            Change::Removed { key, revision } => Entry { key, revision, value: None },
        };
        self.apply_entries(changes.into_iter().map(entry).collect(), position.revision)
    }

    /// Returns the changes since a position, or the whole topic if the changes are not known any
    /// more.
    pub(crate) fn delta_since(&self, topic: Topic, known: Position) -> Delta {
        let revision = known.revision;
        let is_full =
            known.era != self.position.era || revision < self.pruned_revision || revision == 0;
        let is_wanted = |at: u64, value: &Option<Bytes>| {
            if is_full { value.is_some() } else { at > revision }
        };
        let wanted = self.entries.iter().filter(|(_, (at, value))| is_wanted(*at, value));
        let entry = |(key, (revision, value)): (&CompactString, &(u64, Option<Bytes>))| Entry {
            key: key.clone(),
            revision: *revision,
            value: value.clone(),
        };
        let Position { era, revision } = self.position;
        let entries = wanted.map(entry).collect();
        let keys = (!is_full && known.revision < self.listed_revision).then(|| self.keys());
        Delta { topic, revision, era: Some(era), is_full, entries, keys }
    }

    /// Merges the changes that another node sent. Changes since a position of another era have no
    /// effect.
    pub(crate) fn merge(&mut self, delta: Delta) -> Option<Update> {
        let era = self.era_or_first(delta.era);
        let position = Position { era, revision: delta.revision };
        if position <= self.position {
            return None;
        }
        if delta.is_full {
            self.replace_all(delta.entries, position);
            return Some(Update::Listed(self.items()));
        }
        if era != self.position.era {
            return None;
        }
        if delta.keys.is_some() {
            self.listed_revision = self.listed_revision.max(delta.revision);
        }
        let mut entries = delta.entries;
        entries.extend(self.missing_from(delta.keys, delta.revision));
        self.apply_entries(entries, delta.revision)
    }

    /// Returns the era that another node states, or the first one of this replica if it states none.
    /// A node that does not know eras ignores a store that has returned from a copy.
    pub(crate) fn era_or_first(&self, era: Option<u64>) -> u64 {
        era.or(self.first_era).unwrap_or(self.position.era)
    }

    fn replace_all(&mut self, entries: Vec<Entry>, position: Position) {
        let Position { era, revision } = position;
        let is_first = self.position.revision == 0;
        if !is_first && era != self.position.era {
            // The removed keys of the earlier era say nothing about keys of this one.
            self.entries.clear();
            self.pruned_revision = revision;
        }
        let keys: BTreeSet<CompactString> = entries.iter().map(|entry| entry.key.clone()).collect();
        for (key, (at, value)) in &mut self.entries {
            if value.is_some() && !keys.contains(key) {
                (*at, *value) = (revision, None);
            }
        }
        for Entry { key, revision, value } in entries {
            self.entries.insert(key, (revision, value));
        }
        self.position = position;
        self.listed_revision = revision;
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
        self.position.revision = self.position.revision.max(revision);
        self.prune_removed();
        (!changes.is_empty()).then_some(Update::Changed(changes))
    }

    /// Returns all keys that exist.
    fn keys(&self) -> Vec<CompactString> {
        let existing = self.entries.iter().filter(|(_, (_, value))| value.is_some());
        existing.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the removals of the keys that are not among those that exist elsewhere.
    fn missing_from(&self, keys: Option<Vec<CompactString>>, revision: u64) -> Vec<Entry> {
        let Some(keys) = keys else { return Vec::new() };
        let keys: BTreeSet<CompactString> = keys.into_iter().collect();
        let missing = self.keys().into_iter().filter(|key| !keys.contains(key));
        missing.map(|key| Entry { key, revision, value: None }).collect()
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
