//! Templates of the pages between a form and its commit.

use askama::Template;
use http::StatusCode;
use serde_json::Value;

use crate::{
    console::{Frame, edit::Edit, form::Group, utc},
    document::diff::{Change, ChangeKind},
};

#[derive(Template)]
#[template(path = "form.html")]
pub(super) struct FormPage {
    pub(super) frame: Frame,
    pub(super) action: String,
    pub(super) expected: u64,
    pub(super) notice: String,
    pub(super) errors: Vec<(String, String)>,
    pub(super) groups: Vec<Group>,
    pub(super) can_remove: bool,
    pub(super) can_grow: bool,
}

/// An uncommitted change, carried in hidden fields of the review, conflict and result pages.
///
/// A repeated commit sends the same submission identity, by which the store recognises it.
pub(super) struct PendingEdit {
    pub(super) edit: String,
    pub(super) expected: u64,
    pub(super) submission: String,
}

#[derive(Template)]
#[template(path = "review.html")]
pub(super) struct Review {
    pub(super) frame: Frame,
    pub(super) changes: Vec<ChangeRow>,
    pub(super) warnings: Vec<String>,
    pub(super) ticket: PendingEdit,
}

#[derive(Template)]
#[template(path = "stale.html")]
pub(super) struct Stale {
    pub(super) frame: Frame,
    pub(super) current: u64,
    pub(super) was: u64,
    pub(super) mine: Vec<ChangeRow>,
    /// Changes that others made; `None` if the platform no longer stores revision `was`.
    pub(super) meanwhile: Option<Vec<ChangeRow>>,
    pub(super) clashes: Vec<String>,
    pub(super) combined: Vec<ChangeRow>,
    pub(super) problems: Vec<String>,
    pub(super) ticket: PendingEdit,
}

#[derive(Template)]
#[template(path = "result.html")]
pub(super) struct Outcome {
    pub(super) frame: Frame,
    pub(super) kind: OutcomeKind,
    pub(super) changes: Vec<ChangeRow>,
    pub(super) messages: Vec<String>,
    pub(super) ticket: PendingEdit,
}

#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum OutcomeKind {
    Committed { revision: u64 },
    Refused,
    Failed,
    Unknown,
}

/// A change as a row of a table.
pub(super) struct ChangeRow {
    pub(super) word: &'static str,
    pub(super) path: String,
    pub(super) from: String,
    pub(super) to: String,
}

impl From<&Change> for ChangeRow {
    fn from(change: &Change) -> ChangeRow {
        let path = change.path.to_string();
        let is_time = path.ends_with(".start_ms") || path.ends_with(".end_ms");
        let text = |value: &Value| match value.as_u64() {
            Some(ms) if is_time && ms > 0 => format!("{ms} ({}Z)", utc::format(ms)),
            _ => value.to_string(),
        };
        let (word, from, to) = match &change.kind {
            ChangeKind::Added { to } => ("added", String::new(), text(to)),
            ChangeKind::Removed { from } => ("removed", text(from), String::new()),
            ChangeKind::Changed { from, to } => ("changed", text(from), text(to)),
        };
        ChangeRow { word, path, from, to }
    }
}

impl PendingEdit {
    pub(super) fn new(edit: &Edit, expected: u64) -> PendingEdit {
        let submission = format!("{:032x}", rand::random::<u128>());
        let edit = serde_json::to_string(edit).expect("a change has string keys only");
        PendingEdit { edit, expected, submission }
    }
}

impl OutcomeKind {
    pub(super) fn status(self) -> StatusCode {
        match self {
            OutcomeKind::Committed { .. } => StatusCode::OK,
            OutcomeKind::Refused => StatusCode::UNPROCESSABLE_ENTITY,
            OutcomeKind::Failed | OutcomeKind::Unknown => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    pub(super) fn revision(self) -> u64 {
        match self {
            OutcomeKind::Committed { revision } => revision,
            _ => 0,
        }
    }

    pub(super) fn can_repeat(self) -> bool {
        matches!(self, OutcomeKind::Failed | OutcomeKind::Unknown)
    }

    pub(super) fn is_unknown(self) -> bool {
        self == OutcomeKind::Unknown
    }

    pub(super) fn is_refused(self) -> bool {
        self == OutcomeKind::Refused
    }
}

pub(super) fn change_rows(changes: &[Change]) -> Vec<ChangeRow> {
    changes.iter().map(ChangeRow::from).collect()
}
