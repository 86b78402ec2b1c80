//! Loads the document from the platform.

use std::collections::BTreeMap;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use futures::future::try_join_all;
use snafu::ResultExt;

use super::{
    Digest, HISTORY_PREFIX, INDEX_KEY, Index, KEPT_INDEXES, PlatformSnafu, StoreError,
    UnsettledSnafu, assemble,
};
use crate::{document::Document, platform::Platform};

/// The number of parallel reads while a document is loaded.
const MAX_PARALLEL_READS: usize = 16;

/// The maximum number of attempts to load a document whose index changes meanwhile. At 0.61 changes per second and a
/// load of less than a second, two consecutive attempts rarely overlap a change.
const MAX_ATTEMPTS: usize = 5;

/// Reads the index and the platform's revision of its entry.
///
/// # Errors
///
/// Fails if the platform does, or if the index has an unknown form.
pub async fn read_index<P: Platform>(platform: &P) -> Result<Option<(Index, u64)>, StoreError> {
    match platform.get(INDEX_KEY).await.context(PlatformSnafu)? {
        None => Ok(None),
        Some(entry) => Ok(Some((Index::decode(&entry.value)?, entry.revision))),
    }
}

/// Loads the document in force, if there is one.
///
/// # Errors
///
/// Fails if the platform does, or if the stored document is damaged or invalid.
pub async fn load<P: Platform>(platform: &P) -> Result<Option<(Index, Document)>, StoreError> {
    for _ in 0..MAX_ATTEMPTS {
        let Some((index, entry)) = read_index(platform).await? else { return Ok(None) };
        match load_parts(platform, &index).await {
            Ok(document) => return Ok(Some((index, document))),
            // The parts of a replaced index may have been garbage-collected.
            Err(e @ StoreError::Missing { .. }) => match read_index(platform).await? {
                Some((_, now)) if now != entry => {}
                _ => return Err(e),
            },
            Err(e) => return Err(e),
        }
    }
    UnsettledSnafu.fail()
}

/// Loads the document of a former revision, if its index and parts are still kept.
///
/// # Errors
///
/// Fails if the platform does, or if the stored document is damaged or invalid.
pub async fn load_past<P: Platform>(
    platform: &P,
    revision: u64,
) -> Result<Option<Document>, StoreError> {
    let Some(index) = read_past(platform, revision).await? else { return Ok(None) };
    match load_parts(platform, &index).await {
        Ok(document) => Ok(Some(document)),
        Err(StoreError::Missing { .. }) => Ok(None),
        Err(e) => Err(e),
    }
}

pub(super) async fn read_past<P: Platform>(
    platform: &P,
    revision: u64,
) -> Result<Option<Index>, StoreError> {
    let entry = platform.get(&history_key(revision)).await.context(PlatformSnafu)?;
    let index = entry.map(|e| Index::decode(&e.value)).transpose()?;
    Ok(index.filter(|i| i.revision == revision))
}

pub(super) fn history_key(revision: u64) -> CompactString {
    format_compact!("{HISTORY_PREFIX}{}", revision % KEPT_INDEXES)
}

async fn load_parts<P: Platform>(platform: &P, index: &Index) -> Result<Document, StoreError> {
    let digests: Vec<Digest> = index.digests().into_iter().collect();
    let mut content = BTreeMap::new();
    for chunk in digests.chunks(MAX_PARALLEL_READS) {
        let reads = chunk.iter().map(|&digest| read_part(platform, digest));
        content.extend(try_join_all(reads).await?.into_iter().flatten());
    }
    assemble(index, &content)
}

async fn read_part<P: Platform>(
    platform: &P,
    digest: Digest,
) -> Result<Option<(Digest, Bytes)>, StoreError> {
    let entry = platform.get(&digest.key()).await.context(PlatformSnafu)?;
    Ok(entry.map(|e| (digest, e.value)))
}
