//! The node's replica of the operators' document, from which other nodes pull theirs.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    document::Document,
    store::{self, Digest, Index, StoreError},
};

/// The maximum number of parts in one control call. A part has about 4 KB, so a reply has up to 64 KB.
pub(crate) const MAX_PARTS_PER_CALL: usize = 16;

/// The number of revisions for which a replica remembers the changed parts; at 53,000 changes a day they cover
/// 52 s.
const MAX_HISTORY: usize = 32;

/// The timeout of a pull, after which another member is asked.
pub(crate) const PULL_TIMEOUT: Duration = Duration::from_secs(3);

/// The node's replica of the document, divided into parts.
#[derive(Clone, Default)]
pub(crate) struct Replica {
    snapshot: Arc<Mutex<Option<Arc<ConfigSnapshot>>>>,
}

/// A revision with all its parts.
pub(crate) struct ConfigSnapshot {
    pub(crate) index: Index,
    pub(crate) parts: BTreeMap<Digest, Bytes>,
    document: Arc<Document>,
    /// The changes of the latest installed revisions, the oldest first.
    history: VecDeque<RevisionChange>,
}

/// The parts that the installation of one revision changed.
#[derive(Clone)]
struct RevisionChange {
    /// The revision that was replaced.
    from: u64,
    /// The revision that replaced it.
    to: u64,
    /// The indices of the parts that differ.
    parts: Vec<u8>,
}

/// An index encoded as the difference from an earlier one, which is much smaller than the index itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct IndexDelta {
    revision: u64,
    submission: CompactString,
    globals: Digest,
    /// The parts that may differ, by their index.
    parts: Vec<(u8, Digest)>,
    /// The digest of the resulting index, which shows whether the difference was applied to the right one.
    index_digest: Digest,
}

/// The answer of a replica to another one that asks for its index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum IndexUpdate {
    /// The other replica's index is as new or newer.
    Unchanged,
    /// The difference from the other replica's index.
    Delta(IndexDelta),
    /// The encoded full index.
    Full(Vec<u8>),
}

impl ConfigSnapshot {
    /// Returns the update for another replica that holds the index of `revision`.
    pub(crate) fn update_since(&self, revision: u64) -> IndexUpdate {
        if revision >= self.index.revision {
            return IndexUpdate::Unchanged;
        }
        let encoded = self.index.encode();
        // If this replica skipped the other's revision, the difference may include parts that are equal.
        if self.history.front().is_none_or(|change| change.from > revision) {
            return IndexUpdate::Full(encoded.to_vec());
        }
        let history = self.history.iter().filter(|change| change.to > revision);
        let numbers: BTreeSet<u8> =
            history.flat_map(|change| change.parts.iter().copied()).collect();
        let part = |number: u8| Some((number, *self.index.parts.get(usize::from(number))?));
        IndexUpdate::Delta(IndexDelta {
            revision: self.index.revision,
            submission: self.index.submission.clone(),
            globals: self.index.globals,
            parts: numbers.into_iter().filter_map(part).collect(),
            index_digest: Digest::of(&encoded),
        })
    }

    /// Returns the index that results from `delta`, or `None` if it was computed from another index than this one.
    pub(crate) fn apply_delta(&self, delta: IndexDelta) -> Option<Index> {
        let IndexDelta { revision, submission, globals, parts, index_digest } = delta;
        let mut index = Index { revision, submission, globals, parts: self.index.parts.clone() };
        for (number, digest) in parts {
            *index.parts.get_mut(usize::from(number))? = digest;
        }
        (Digest::of(&index.encode()) == index_digest).then_some(index)
    }

    /// Returns the history after the installation of `index`, with at most [`MAX_HISTORY`] changes.
    fn history_to(&self, index: &Index) -> VecDeque<RevisionChange> {
        let differing =
            self.index.parts.iter().zip(&index.parts).zip(0..=u8::MAX).filter(|(p, _)| p.0 != p.1);
        let parts = differing.map(|(_, number)| number).collect();
        let change = RevisionChange { from: self.index.revision, to: index.revision, parts };
        let kept =
            self.history.iter().skip((self.history.len() + 1).saturating_sub(MAX_HISTORY)).cloned();
        kept.chain([change]).collect()
    }
}

impl Replica {
    /// Returns the current snapshot, if there is one.
    pub(crate) fn get(&self) -> Option<Arc<ConfigSnapshot>> {
        self.snapshot.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the revision of the current snapshot, or 0 without one.
    pub(crate) fn revision(&self) -> u64 {
        self.get().map_or(0, |snapshot| snapshot.index.revision)
    }

    /// Returns the digests of the parts of `index` that the current snapshot lacks.
    pub(crate) fn missing(&self, index: &Index) -> Vec<Digest> {
        let snapshot = self.get();
        let is_held = |digest: &Digest| {
            snapshot.as_ref().is_some_and(|snapshot| snapshot.parts.contains_key(digest))
        };
        index.digests().into_iter().filter(|digest| !is_held(digest)).collect()
    }

    /// Replaces the current snapshot by `index`, whose missing parts are in `fetched`, and returns the document.
    ///
    /// Returns `None` if the current snapshot is as new or newer, so that a sender cannot lower the revision.
    ///
    /// # Errors
    ///
    /// Fails if a part is missing or damaged; the current snapshot then stays in place.
    pub(crate) fn install(
        &self,
        index: Index,
        fetched: BTreeMap<Digest, Bytes>,
    ) -> Result<Option<Arc<Document>>, StoreError> {
        let mut current = self.snapshot.lock().unwrap_or_else(PoisonError::into_inner);
        if current.as_ref().is_some_and(|snapshot| snapshot.index.revision >= index.revision) {
            return Ok(None);
        }
        let mut parts = fetched;
        if let Some(snapshot) = current.as_ref() {
            for digest in index.digests() {
                if let Some(part) = snapshot.parts.get(&digest) {
                    parts.insert(digest, part.clone());
                }
            }
        }
        let document = match current.as_ref() {
            Some(snapshot) => {
                store::update(&snapshot.document, &snapshot.index, &snapshot.parts, &index, &parts)?
            }
            None => store::assemble(&index, &parts)?,
        };
        let document = Arc::new(document);
        let history =
            current.as_ref().map(|snapshot| snapshot.history_to(&index)).unwrap_or_default();
        *current =
            Some(Arc::new(ConfigSnapshot { index, parts, document: document.clone(), history }));
        Ok(Some(document))
    }
}

#[cfg(test)]
mod tests;
