//! The node's copy of the operators' document, from which other nodes copy it in turn.

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

/// The largest number of parts in one control call; at about 4 KB a part a reply has 64 KB.
pub(crate) const PARTS_PER_CALL: usize = 16;

/// The revisions for which a replica remembers what changed; at 53,000 changes a day they cover 52 s.
const STEPS: usize = 32;

/// The longest time of a pull; another member is asked after it.
pub(crate) const PULL_TIMEOUT: Duration = Duration::from_secs(3);

/// The node's copy of the document, by parts.
#[derive(Clone, Default)]
pub(crate) struct Replica {
    held: Arc<Mutex<Option<Arc<Held>>>>,
}

/// One revision with all its parts.
pub(crate) struct Held {
    pub(crate) index: Index,
    pub(crate) parts: BTreeMap<Digest, Bytes>,
    document: Arc<Document>,
    /// What the latest installations changed, the oldest first.
    steps: VecDeque<Step>,
}

/// What one installation changed.
#[derive(Clone)]
struct Step {
    /// The revision that was replaced.
    from: u64,
    /// The revision that replaced it.
    to: u64,
    /// The numbers of the parts that differ.
    parts: Vec<u8>,
}

/// An index as the difference from an earlier one, which is smaller than the index by far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Changes {
    revision: u64,
    submission: CompactString,
    globals: Digest,
    /// Parts that may differ, with their numbers.
    parts: Vec<(u8, Digest)>,
    /// The digest of the whole index, which shows whether the difference fits.
    whole: Digest,
}

/// What a replica tells another one about its index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum News {
    /// The index has not changed since, or has been replaced by an earlier one.
    Nothing,
    /// The difference.
    Changes(Changes),
    /// The whole index, encoded.
    Whole(Vec<u8>),
}

impl Held {
    /// Returns what another replica with the index of `revision` lacks.
    pub(crate) fn news(&self, revision: u64) -> News {
        if revision >= self.index.revision {
            return News::Nothing;
        }
        let whole = self.index.encode();
        // An installation that skipped the other's revision may name more parts than differ.
        if self.steps.front().is_none_or(|step| step.from > revision) {
            return News::Whole(whole.to_vec());
        }
        let steps = self.steps.iter().filter(|step| step.to > revision);
        let numbers: BTreeSet<u8> = steps.flat_map(|step| step.parts.iter().copied()).collect();
        let part = |number: u8| Some((number, *self.index.parts.get(usize::from(number))?));
        News::Changes(Changes {
            revision: self.index.revision,
            submission: self.index.submission.clone(),
            globals: self.index.globals,
            parts: numbers.into_iter().filter_map(part).collect(),
            whole: Digest::of(&whole),
        })
    }

    /// Returns the index that differs from this one as stated, unless the statement does not fit.
    pub(crate) fn changed(&self, changes: Changes) -> Option<Index> {
        let Changes { revision, submission, globals, parts, whole } = changes;
        let mut index = Index { revision, submission, globals, parts: self.index.parts.clone() };
        for (number, digest) in parts {
            *index.parts.get_mut(usize::from(number))? = digest;
        }
        (Digest::of(&index.encode()) == whole).then_some(index)
    }

    /// Returns what the installations up to and including that of `index` changed.
    fn steps_to(&self, index: &Index) -> VecDeque<Step> {
        let differing =
            self.index.parts.iter().zip(&index.parts).zip(0..=u8::MAX).filter(|(p, _)| p.0 != p.1);
        let parts = differing.map(|(_, number)| number).collect();
        let step = Step { from: self.index.revision, to: index.revision, parts };
        let kept = self.steps.iter().skip((self.steps.len() + 1).saturating_sub(STEPS)).cloned();
        kept.chain([step]).collect()
    }
}

impl Replica {
    /// Returns the copy, if there is one.
    pub(crate) fn get(&self) -> Option<Arc<Held>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the revision of the copy, or 0 without one.
    pub(crate) fn revision(&self) -> u64 {
        self.get().map_or(0, |held| held.index.revision)
    }

    /// Returns the parts of `index` that the copy lacks.
    pub(crate) fn missing(&self, index: &Index) -> Vec<Digest> {
        let held = self.get();
        let is_held =
            |digest: &Digest| held.as_ref().is_some_and(|held| held.parts.contains_key(digest));
        index.digests().into_iter().filter(|digest| !is_held(digest)).collect()
    }

    /// Replaces the copy by `index`, whose missing parts are `fetched`, and returns the document.
    ///
    /// Returns `None` if the copy is as new already: revisions only rise, whatever the sender says.
    ///
    /// # Errors
    ///
    /// Fails if a part is missing or damaged; the copy then stays as it is.
    pub(crate) fn install(
        &self,
        index: Index,
        fetched: BTreeMap<Digest, Bytes>,
    ) -> Result<Option<Arc<Document>>, StoreError> {
        let mut current = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if current.as_ref().is_some_and(|held| held.index.revision >= index.revision) {
            return Ok(None);
        }
        let mut parts = fetched;
        if let Some(held) = current.as_ref() {
            for digest in index.digests() {
                if let Some(part) = held.parts.get(&digest) {
                    parts.insert(digest, part.clone());
                }
            }
        }
        let document = match current.as_ref() {
            Some(held) => store::update(&held.document, &held.index, &held.parts, &index, &parts)?,
            None => store::assemble(&index, &parts)?,
        };
        let document = Arc::new(document);
        let steps = current.as_ref().map(|held| held.steps_to(&index)).unwrap_or_default();
        *current = Some(Arc::new(Held { index, parts, document: document.clone(), steps }));
        Ok(Some(document))
    }
}

#[cfg(test)]
mod tests;
