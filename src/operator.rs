//! Operator commands: check, compare and apply the document, and show the state of a node.

use std::{
    fs::File,
    io::{self, Read, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
};

use snafu::{ResultExt, Snafu};

use crate::{
    document::{
        Document,
        diff::{Change, diff as compare},
        validate::{MAX_DOCUMENT_BYTES, parse, warnings},
    },
    platform::Platform,
    status::{StatusError, fetch},
    store::{COMMITS_PER_COLLECTION, CommitError, StoreError, collect, commit, load},
};

/// An operator's command failed.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The failure.
        source: io::Error,
    },
    /// The document is not valid; the problems have been printed.
    #[snafu(display("{}: {count} problems", path.display()))]
    Document {
        /// The path of the file.
        path: PathBuf,
        /// The number of problems.
        count: usize,
    },
    /// The document in force cannot be loaded.
    #[snafu(display("{source}"))]
    Load {
        /// The failure.
        source: StoreError,
    },
    /// The document was not applied, or it is unknown whether it was.
    #[snafu(display("{source}"))]
    Apply {
        /// The failure.
        source: CommitError,
    },
    /// The status of a node cannot be read.
    #[snafu(display("{source}"))]
    Status {
        /// The failure.
        source: StatusError,
    },
    /// The output cannot be written.
    #[snafu(display("output: {source}"))]
    Output {
        /// The failure.
        source: io::Error,
    },
}

/// Checks a file without the platform and prints every problem and warning, one per line.
///
/// # Errors
///
/// Fails if the file cannot be read or has problems.
pub fn check(file: &Path, out: &mut impl Write) -> Result<(), OperatorError> {
    let document = read_document(file, out)?;
    let (centres, services) = (document.centres.len(), document.services.len());
    writeln!(out, "valid: {centres} data centres, {services} services").context(OutputSnafu)
}

/// Prints what a file would change in the document in force, as one JSON line or as one line per change.
///
/// # Errors
///
/// Fails if the file cannot be read or has problems, or if the document in force cannot be loaded.
pub async fn diff<P: Platform>(
    file: &Path,
    platform: &P,
    json: bool,
    out: &mut impl Write,
) -> Result<(), OperatorError> {
    let to = read_document(file, &mut io::sink())?;
    let (revision, from) = match load(platform).await.context(LoadSnafu)? {
        None => (0, Document::default()),
        Some((index, document)) => (index.revision, document),
    };
    let changes = compare(&from, &to);
    if json {
        let line = serde_json::json!({ "revision": revision, "changes": changes });
        return writeln!(out, "{line}").context(OutputSnafu);
    }
    writeln!(out, "revision {revision}, {} changes", changes.len()).context(OutputSnafu)?;
    print_changes(&changes, out)
}

/// Applies a file as the revision after `expected`. If another revision was committed first, its changes
/// are printed.
///
/// The `submission` id of an earlier call whose outcome is unknown repeats that call.
///
/// # Errors
///
/// Fails if the file cannot be read or has problems, if another revision is in force, or if the platform fails.
pub async fn apply<P: Platform>(
    file: &Path,
    platform: &P,
    expected: u64,
    submission: Option<&str>,
    out: &mut impl Write,
) -> Result<(), OperatorError> {
    let document = read_document(file, out)?;
    let generated = format!("{:032x}", rand::random::<u128>());
    let submission = submission.unwrap_or(&generated);
    let committed = match commit(platform, expected, &document, submission).await {
        Ok(committed) => committed,
        Err(source) => {
            if let CommitError::Conflict { changes: Some(changes), .. } = &source {
                print_changes(changes, out)?;
            }
            return Err(OperatorError::Apply { source });
        }
    };
    let (revision, written) = (committed.index.revision, committed.written);
    writeln!(out, "applied: revision {revision}, {written} parts written").context(OutputSnafu)?;
    if revision.is_multiple_of(COMMITS_PER_COLLECTION)
        && let Err(e) = collect(platform).await
    {
        // The document is in force; a later call deletes the unused parts.
        writeln!(out, "warning: unused parts were not deleted: {e}").context(OutputSnafu)?;
    }
    Ok(())
}

/// Prints the state of a node, as tables or as one JSON line.
///
/// # Errors
///
/// Fails if the node cannot be reached or refuses access.
pub async fn status(
    node: SocketAddr,
    token: Option<&str>,
    json: bool,
    out: &mut impl Write,
) -> Result<(), OperatorError> {
    let status = fetch(node, token).await.context(StatusSnafu)?;
    if json {
        let line = serde_json::json!(status);
        return writeln!(out, "{line}").context(OutputSnafu);
    }
    status.print(out).context(OutputSnafu)
}

fn read_document(path: &Path, out: &mut impl Write) -> Result<Document, OperatorError> {
    let mut text = String::new();
    // Reads one byte past the limit, so that a longer file is rejected instead of truncated.
    File::open(path)
        .and_then(|file| file.take(MAX_DOCUMENT_BYTES as u64 + 1).read_to_string(&mut text))
        .context(FileSnafu { path })?;
    match parse(&text) {
        Ok(document) => {
            for warning in warnings(&document) {
                writeln!(out, "warning: {warning}").context(OutputSnafu)?;
            }
            Ok(document)
        }
        Err(problems) => {
            for problem in &problems {
                writeln!(out, "{problem}").context(OutputSnafu)?;
            }
            DocumentSnafu { path, count: problems.len() }.fail()
        }
    }
}

fn print_changes(changes: &[Change], out: &mut impl Write) -> Result<(), OperatorError> {
    changes.iter().try_for_each(|c| writeln!(out, "{c}")).context(OutputSnafu)
}
