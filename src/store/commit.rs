//! Commits a document: writes the parts, then replaces the index by a compare-and-swap.

use bytes::Bytes;
use compact_str::CompactString;
use snafu::{ResultExt, Snafu, ensure};

use super::{
    INDEX_KEY, Index, MAX_SUBMISSION_BYTES, StoreError,
    load::{history_key, load, load_past, read_index, read_past},
    split,
};
use crate::{
    document::{
        Document,
        diff::{Change, diff},
        validate::{Problem, validate},
    },
    platform::{Expect, Platform, PlatformError},
};

/// The maximum number of attempts at a write whose answers are lost. Every write of a commit is safe to retry: parts
/// and history entries have the same content each time, and the index is replaced by a compare-and-swap.
const MAX_ATTEMPTS: usize = 3;

/// A commit that is in force, or was until a later one replaced it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Committed {
    /// The index of the new revision.
    pub index: Index,
    /// The number of parts that were written.
    pub written: usize,
}

/// A commit failed.
#[derive(Debug, Snafu)]
pub enum CommitError {
    /// The document breaks the rules; nothing was written.
    #[snafu(display("the document has {} problems, the first: {}", problems.len(), problems[0]))]
    Invalid {
        /// The problems, at least one.
        problems: Vec<Problem>,
    },
    /// The submission identity is empty or too long; nothing was written.
    #[snafu(display("a submission identity has 1 to {MAX_SUBMISSION_BYTES} bytes"))]
    Submission,
    /// Another revision than the expected one is in force; this call committed nothing.
    #[snafu(display("revision {current} is in force, not the expected revision {expected}"))]
    Conflict {
        /// The expected revision.
        expected: u64,
        /// The revision in force; 0 if there is none.
        current: u64,
        /// What changed from the expected revision to the one in force, if the expected one is still kept.
        changes: Option<Vec<Change>>,
    },
    /// A platform call or a check failed, and this call committed nothing. It says nothing about an earlier call
    /// with the same submission identity whose outcome was unknown.
    #[snafu(display("this call committed nothing: {source}"))]
    Failed {
        /// The failure.
        source: StoreError,
    },
    /// The document may or may not be in force. Committing it again with the same submission identity and
    /// expected revision is safe and resolves it.
    #[snafu(display("the outcome is unknown; repeat it with submission {submission}"))]
    Unknown {
        /// The submission identity.
        submission: CompactString,
    },
}

/// Commits a document as the revision after `expected`, which is 0 if there is none yet.
///
/// The submission identity must be new for each document. It tells this commit from others when an answer is
/// lost; a repeated commit of the same submission succeeds without effect.
///
/// # Errors
///
/// Fails if the document is invalid, if another revision is in force, or if the platform fails.
pub async fn commit<P: Platform>(
    platform: &P,
    expected: u64,
    document: &Document,
    submission: &str,
) -> Result<Committed, CommitError> {
    ensure!((1..=MAX_SUBMISSION_BYTES).contains(&submission.len()), SubmissionSnafu);
    let problems = validate(document);
    ensure!(problems.is_empty(), InvalidSnafu { problems });
    let parts = split(document).context(FailedSnafu)?;
    let ours = Index {
        revision: expected + 1,
        submission: submission.into(),
        parts: parts.names,
        globals: parts.globals,
    };
    let current = read_index(platform).await.context(FailedSnafu)?;
    if current.as_ref().map_or(0, |(i, _)| i.revision) != expected {
        return if is_in_force(platform, &ours, current.map(|(i, _)| i)).await? == Some(true) {
            Ok(Committed { index: ours, written: 0 })
        } else {
            conflict(platform, expected).await
        };
    }

    let kept = current.as_ref().map(|(i, _)| i.digests()).unwrap_or_default();
    let mut written = 0;
    for (digest, content) in parts.content {
        // A part that an earlier revision used may be about to be garbage-collected, so it is written again: the
        // collector keeps parts written after the index.
        if !kept.contains(&digest) {
            write(platform, &digest.key(), content).await.context(FailedSnafu)?;
            written += 1;
        }
    }
    if let Some((index, _)) = &current {
        let key = history_key(index.revision);
        write(platform, &key, index.encode()).await.context(FailedSnafu)?;
    }
    swap(platform, &ours, current.map(|(_, entry)| entry)).await?;
    Ok(Committed { index: ours, written })
}

/// Replaces the index if the revision of its entry is still `entry`.
async fn swap<P: Platform>(
    platform: &P,
    ours: &Index,
    entry: Option<u64>,
) -> Result<(), CommitError> {
    let expect = entry.map_or(Expect::Absent, Expect::Revision);
    let unknown = || UnknownSnafu { submission: ours.submission.clone() }.build();
    let mut uncertain = false;
    for _ in 0..MAX_ATTEMPTS {
        match platform.put(INDEX_KEY, ours.encode(), expect, None).await {
            Ok(_) => return Ok(()),
            Err(PlatformError::Unknown { .. }) => uncertain = true,
            Err(PlatformError::Conflict { .. }) if !uncertain => {
                return conflict(platform, ours.revision - 1).await;
            }
            Err(PlatformError::Conflict { .. }) => {
                let current = read_index(platform).await.map_err(|_| unknown())?;
                let current = current.map(|(index, _)| index);
                return match is_in_force(platform, ours, current).await {
                    Ok(Some(true)) => Ok(()),
                    Ok(Some(false)) => conflict(platform, ours.revision - 1).await,
                    Ok(None) | Err(_) => Err(unknown()),
                };
            }
            Err(_) if uncertain => return Err(unknown()),
            Err(source) => {
                return Err(StoreError::Platform { source }).context(FailedSnafu);
            }
        }
    }
    // The last answer was lost too, so read the index to learn the outcome.
    match read_index(platform).await {
        Ok(Some((index, _))) if index == *ours => Ok(()),
        _ => Err(unknown()),
    }
}

/// Returns whether `ours` was committed, even if it has been replaced since, or `None` if the history no longer
/// tells.
async fn is_in_force<P: Platform>(
    platform: &P,
    ours: &Index,
    current: Option<Index>,
) -> Result<Option<bool>, CommitError> {
    Ok(match current {
        Some(index) if index.revision == ours.revision => Some(index == *ours),
        Some(index) if index.revision > ours.revision => {
            // The commit that replaced ours recorded it in the history first.
            let past = read_past(platform, ours.revision).await.context(FailedSnafu)?;
            past.map(|index| index == *ours)
        }
        _ => Some(false),
    })
}

async fn conflict<P: Platform, T>(platform: &P, expected: u64) -> Result<T, CommitError> {
    let (current, to) = match load(platform).await.context(FailedSnafu)? {
        None => (0, Document::default()),
        Some((index, document)) => (index.revision, document),
    };
    let from = match expected {
        0 => Some(Document::default()),
        _ => load_past(platform, expected).await.context(FailedSnafu)?,
    };
    let changes = from.map(|from| diff(&from, &to));
    ConflictSnafu { expected, current, changes }.fail()
}

/// Writes a value unconditionally and retries lost answers. The content is the same for every writer of the key.
async fn write<P: Platform>(platform: &P, key: &str, value: Bytes) -> Result<(), StoreError> {
    let mut attempts = 1;
    loop {
        match platform.put(key, value.clone(), Expect::Any, None).await {
            Ok(_) => return Ok(()),
            Err(PlatformError::Unknown { .. }) if attempts < MAX_ATTEMPTS => attempts += 1,
            Err(source) => return Err(StoreError::Platform { source }),
        }
    }
}
