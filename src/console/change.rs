//! Request handlers that take a change from its form through validation and review to the commit.

mod pages;

use std::sync::Arc;

use axum::{Extension, extract::State, response::Response};
use http::{StatusCode, Uri};

use crate::{
    document::{
        Document,
        diff::{Change, diff},
        validate::{validate, warnings},
    },
    platform::Platform,
    store::{self, COMMITS_PER_COLLECTION, CommitError},
};

use super::{
    Console, Page,
    access::{PostedForm, Session},
    edit::Edit,
    form::{Errors, Fields},
    html,
    merge::{MergeConflict, merge},
};

use pages::{FormPage, Outcome, OutcomeKind, PendingEdit, Review, Stale, change_rows};

/// Shows a form with the values of the document that this node uses.
pub(super) async fn show<P: Platform>(
    State(console): State<Arc<Console<P>>>,
    Extension(session): Extension<Session>,
    uri: Uri,
) -> Response {
    let Some(page) = Page::from_path(uri.path()) else { return not_found() };
    let (revision, document) = console.document();
    let Some(fields) = page.fields(&document) else { return not_found() };
    form_page(&console, session, &page, revision, &fields, &Errors::default(), "")
}

/// Validates a posted form and shows the resulting change for review, or the form with its errors.
pub(super) async fn submit<P: Platform>(
    State(console): State<Arc<Console<P>>>,
    Extension(session): Extension<Session>,
    uri: Uri,
    PostedForm(mut fields): PostedForm,
) -> Response {
    let Some(page) = Page::from_path(uri.path()) else { return not_found() };
    let Ok(expected) = fields.get("expected").parse() else { return bad_request() };
    let (revision, document) = console.document();
    if fields.has("more") {
        page.add_empty_rows(&mut fields);
        return form_page(&console, session, &page, expected, &fields, &Errors::default(), "");
    }
    let base = if expected == revision {
        Some(document.clone())
    } else {
        match console.document_at(expected).await {
            Ok(base) => base,
            Err(error) => {
                let notice =
                    format!("The document cannot be read, so nothing was changed: {error}");
                let errors = Errors::default();
                return form_page(&console, session, &page, expected, &fields, &errors, &notice);
            }
        }
    };
    let edit = match &page {
        Page::Service(name) if fields.has("remove") => {
            Ok(Edit::Service { name: name.into(), service: None })
        }
        _ => page.edit(&fields, base.as_deref().unwrap_or(&document)),
    };
    let edit = match edit {
        Ok(edit) => edit,
        Err(errors) => {
            return form_page(&console, session, &page, expected, &fields, &errors, "");
        }
    };
    match base {
        Some(base) if expected >= revision => {
            review_page(&console, session, &edit, expected, &base)
        }
        base => conflict_page(
            &console,
            session,
            &edit,
            (expected, base.as_deref()),
            (revision, &document),
        ),
    }
}

/// Shows the form again with the values of a change that was under review.
pub(super) async fn reopen<P: Platform>(
    State(console): State<Arc<Console<P>>>,
    Extension(session): Extension<Session>,
    PostedForm(posted): PostedForm,
) -> Response {
    let Some((edit, expected)) = read_pending_edit(&posted) else { return bad_request() };
    let (_, document) = console.document();
    let page = Page::for_edit(&edit, &document);
    let edited = edit.apply(&document);
    let fields = match &edit {
        // `Page::NewService` does not hold the service's name, so the fields are taken from the page of that service.
        Edit::Service { name, service: Some(_) } if page == Page::NewService => {
            Page::Service(name.to_string()).fields(&edited)
        }
        Edit::Service { service: None, .. } => page.fields(&document),
        _ => page.fields(&edited),
    };
    let Some(fields) = fields else { return not_found() };
    form_page(&console, session, &page, expected, &fields, &Errors::default(), "")
}

/// Commits a reviewed change and shows the outcome.
pub(super) async fn commit<P: Platform>(
    State(console): State<Arc<Console<P>>>,
    Extension(session): Extension<Session>,
    PostedForm(fields): PostedForm,
) -> Response {
    let Some((edit, expected)) = read_pending_edit(&fields) else { return bad_request() };
    let submission = fields.get("submission").to_owned();
    let ticket =
        PendingEdit { edit: fields.get("edit").into(), expected, submission: submission.clone() };
    let mut changes = Vec::new();
    let outcome = |kind, changes: &[Change], messages| {
        let page = Outcome {
            frame: console.frame(session, "Change"),
            kind,
            changes: change_rows(changes),
            messages,
            ticket,
        };
        html(kind.status(), &page)
    };
    let base = match console.document_at(expected).await {
        Ok(base) => base,
        Err(error) => return outcome(OutcomeKind::Failed, &changes, vec![error.to_string()]),
    };
    if let Some(base) = &base {
        let document = edit.apply(base);
        changes = diff(base, &document);
        let result = store::commit(&*console.platform, expected, &document, &submission);
        let (kind, messages) = match result.await {
            Ok(committed) => {
                let revision = committed.index.revision;
                slog::info!(console.driver.log(), "operator-commit"; "revision" => revision,
                    "submission" => committed.index.submission.as_str());
                let messages = delete_unused_parts(&console, revision).await;
                (OutcomeKind::Committed { revision }, messages)
            }
            Err(CommitError::Invalid { problems }) => {
                (OutcomeKind::Refused, problems.iter().map(ToString::to_string).collect())
            }
            Err(error @ CommitError::Submission) => (OutcomeKind::Refused, vec![error.to_string()]),
            Err(CommitError::Failed { source }) => (OutcomeKind::Failed, vec![source.to_string()]),
            Err(CommitError::Unknown { .. }) => (OutcomeKind::Unknown, Vec::new()),
            Err(CommitError::Conflict { .. }) => {
                return resolve_conflict(&console, session, &edit, expected, Some(base), outcome)
                    .await;
            }
        };
        return outcome(kind, &changes, messages);
    }
    resolve_conflict(&console, session, &edit, expected, None, outcome).await
}

/// Loads the stored document after a commit that expected another revision, and offers the change merged into it.
async fn resolve_conflict<P: Platform>(
    console: &Console<P>,
    session: Session,
    edit: &Edit,
    expected: u64,
    base: Option<&Document>,
    outcome: impl FnOnce(OutcomeKind, &[Change], Vec<String>) -> Response,
) -> Response {
    match store::load(&*console.platform).await {
        Ok(loaded) => {
            let (revision, document) =
                loaded.map_or_else(Default::default, |(index, d)| (index.revision, d));
            conflict_page(console, session, edit, (expected, base), (revision, &document))
        }
        Err(error) => outcome(OutcomeKind::Failed, &[], vec![error.to_string()]),
    }
}

fn review_page<P: Platform>(
    console: &Console<P>,
    session: Session,
    edit: &Edit,
    expected: u64,
    base: &Document,
) -> Response {
    let document = edit.apply(base);
    let page = Review {
        frame: console.frame(session, "Review the change"),
        changes: change_rows(&diff(base, &document)),
        warnings: warnings(&document).iter().map(ToString::to_string).collect(),
        ticket: PendingEdit::new(edit, expected),
    };
    html(StatusCode::OK, &page)
}

/// Shows the operator's change beside the concurrent changes of others, and offers a merge of both.
///
/// `base` is the document that the operator edited, at revision `was`; `latest` is the present one, at revision
/// `current`.
fn conflict_page<P: Platform>(
    console: &Console<P>,
    session: Session,
    edit: &Edit,
    (was, base): (u64, Option<&Document>),
    (current, latest): (u64, &Document),
) -> Response {
    let mut clashes = Vec::new();
    let combined = match base {
        None => edit.clone(),
        Some(base) => {
            let (from, to) = (edit.value_in(base), edit.value_in(latest));
            let value = merge(&edit.path(), &from, &edit.value(), &to, &mut clashes);
            edit.with_value(value).unwrap_or_else(|| edit.clone())
        }
    };
    let document = combined.apply(latest);
    let describe =
        |MergeConflict { path, mine, theirs }| format!("{path}: you {mine}, meanwhile {theirs}");
    let page = Stale {
        frame: console.frame(session, "The document has changed"),
        current,
        was,
        mine: change_rows(&diff(base.unwrap_or(latest), &edit.apply(base.unwrap_or(latest)))),
        meanwhile: base.map(|base| change_rows(&diff(base, latest))),
        clashes: clashes.into_iter().map(describe).collect(),
        combined: change_rows(&diff(latest, &document)),
        problems: validate(&document).iter().map(ToString::to_string).collect(),
        ticket: PendingEdit::new(&combined, current),
    };
    html(StatusCode::CONFLICT, &page)
}

fn form_page<P: Platform>(
    console: &Console<P>,
    session: Session,
    page: &Page,
    expected: u64,
    fields: &Fields,
    errors: &Errors,
    notice: &str,
) -> Response {
    let status = match (errors.is_empty(), notice.is_empty()) {
        (false, _) => StatusCode::UNPROCESSABLE_ENTITY,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        (true, true) => StatusCode::OK,
    };
    let page = FormPage {
        frame: console.frame(session, page.title()),
        action: page.path(),
        expected,
        notice: notice.into(),
        errors: errors.list(),
        groups: page.groups(fields, errors),
        can_remove: page.can_remove(),
        can_grow: page.can_grow(),
    };
    html(status, &page)
}

/// Deletes parts that the document no longer refers to, once every [`COLLECT_EVERY`] revisions.
///
/// Returns a message on failure, which does no harm, because a later commit tries again.
async fn delete_unused_parts<P: Platform>(console: &Console<P>, revision: u64) -> Vec<String> {
    if !revision.is_multiple_of(COMMITS_PER_COLLECTION) {
        return Vec::new();
    }
    let collected = store::collect(&*console.platform).await;
    collected.err().map(|e| format!("unused parts were not deleted: {e}")).into_iter().collect()
}

fn read_pending_edit(fields: &Fields) -> Option<(Edit, u64)> {
    let edit = serde_json::from_str(fields.get("edit")).ok()?;
    Some((edit, fields.get("expected").parse().ok()?))
}

fn not_found() -> Response {
    plain(StatusCode::NOT_FOUND, "there is no such page; see / for the pages\n")
}

fn bad_request() -> Response {
    plain(StatusCode::BAD_REQUEST, "the form lacks a field; reload the page and send it again\n")
}

fn plain(status: StatusCode, text: &'static str) -> Response {
    let mut response = Response::new(text.into());
    *response.status_mut() = status;
    response
}
