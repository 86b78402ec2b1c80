//! The node's copy of the operators' document, from which other nodes copy it in turn.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;

use crate::{
    document::Document,
    store::{self, Digest, Index, StoreError},
};

/// The largest number of parts in one control call; at about 4 KB a part a reply has 64 KB.
pub(crate) const PARTS_PER_CALL: usize = 16;

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
        *current = Some(Arc::new(Held { index, parts, document: document.clone() }));
        Ok(Some(document))
    }
}

#[cfg(test)]
mod tests;
