//! Garbage collection of parts that no kept index references.

use std::collections::BTreeSet;

use compact_str::CompactString;
use snafu::ResultExt;

use super::{HISTORY_PREFIX, Index, PART_PREFIX, PlatformSnafu, StoreError, read_index};
use crate::platform::{Expect, Platform, PlatformError};

/// The number of commits between two collections. A collection lists all parts (about 1 MB), so at 53,000 changes a
/// day there are 3,300 of them a day.
pub const COMMITS_PER_COLLECTION: u64 = 16;

/// The maximum number of parts that one collection deletes. A commit usually replaces one or two parts, so a
/// collection can delete twice as many as have been added since the last one.
pub const MAX_COLLECTED_PARTS: usize = 64;

/// Deletes up to [`MAX_COLLECTED_PARTS`] parts that neither the index nor the kept former indexes reference, and
/// returns their number.
///
/// It is safe to run concurrently with commits and other collections. A commit reads its base index and then writes
/// each part that the base lacks, so no commit that can still succeed needs an unreferenced part written before the
/// current index. The deletion fails if the part has been written again.
///
/// # Errors
///
/// Fails if the platform does, or if an index has an unknown form; what was deleted until then stays deleted.
pub async fn collect<P: Platform>(platform: &P) -> Result<usize, StoreError> {
    let Some((index, entry)) = read_index(platform).await? else { return Ok(0) };
    let mut kept = index.digests();
    for (_, past) in platform.list(HISTORY_PREFIX).await.context(PlatformSnafu)?.entries {
        kept.extend(Index::decode(&past.value)?.digests());
    }
    let kept: BTreeSet<CompactString> = kept.into_iter().map(|d| d.key()).collect();
    let parts = platform.list(PART_PREFIX).await.context(PlatformSnafu)?;
    let garbage = parts
        .entries
        .into_iter()
        .filter(|(key, part)| part.revision < entry && !kept.contains(key))
        .take(MAX_COLLECTED_PARTS);
    let mut deleted = 0;
    for (key, part) in garbage {
        match platform.delete(&key, Expect::Revision(part.revision)).await {
            Ok(_) => deleted += 1,
            // Written again or already deleted. After a lost answer, the next collection tries again if necessary.
            Err(PlatformError::Conflict { .. } | PlatformError::Unknown { .. }) => {}
            Err(source) => return Err(StoreError::Platform { source }),
        }
    }
    Ok(deleted)
}
