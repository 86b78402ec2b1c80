//! Data model of forms: posted fields, validation errors, and the inputs that a page shows.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
};

/// Maximum number of rows that are read of one list. It exceeds the document's own limits, which are checked later.
const MAX_ROWS: usize = 128;

/// Values of a form by field name.
#[derive(Clone, Debug, Default)]
pub(super) struct Fields(BTreeMap<String, String>);

/// Error messages by the name of the field or group; an empty name stands for the whole form.
#[derive(Clone, Debug, Default)]
pub(super) struct Errors(BTreeMap<String, Vec<String>>);

/// Fields that the page shows together under a legend.
pub(super) struct Group {
    /// Key of the group's own messages in [`Errors`].
    pub(super) name: String,
    pub(super) legend: String,
    pub(super) errors: Vec<String>,
    pub(super) inputs: Vec<Input>,
}

/// A field with its label, value and errors.
pub(super) struct Input {
    pub(super) name: String,
    pub(super) label: &'static str,
    pub(super) hint: String,
    pub(super) kind: InputKind,
    pub(super) value: String,
    pub(super) errors: Vec<String>,
}

/// Type of the HTML control for a field.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum InputKind {
    Text,
    Number,
    /// A date and time in UTC.
    Time,
    Check,
    Choice(&'static [(&'static str, &'static str)]),
    /// A hidden field that identifies a row and cannot be edited.
    Fixed,
}

impl Fields {
    /// Returns the trimmed value of a field, or an empty text if the field is absent.
    pub(super) fn get(&self, name: &str) -> &str {
        self.0.get(name).map_or("", |value| value.trim())
    }

    pub(super) fn has(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    pub(super) fn set(&mut self, name: impl Into<String>, value: impl ToString) {
        self.0.insert(name.into(), value.to_string());
    }

    /// Sets the field of a check box, which browsers send only if it is checked.
    pub(super) fn set_flag(&mut self, name: impl Into<String>, value: bool) {
        if value {
            self.0.insert(name.into(), "on".into());
        }
    }

    /// Returns the numbers of the rows of a list, from names such as `routes[3].prefix`.
    pub(super) fn rows(&self, list: &str) -> Vec<usize> {
        let number = |name: &String| {
            let (row, _) = name.strip_prefix(list)?.strip_prefix('[')?.split_once(']')?;
            row.parse().ok()
        };
        let rows: BTreeSet<usize> = self.0.keys().filter_map(number).collect();
        rows.into_iter().take(MAX_ROWS).collect()
    }

    /// Returns the rows of a list that have a value in one of `key_fields` and are not marked for removal.
    pub(super) fn filled_rows(&self, list: &str, key_fields: &[&str]) -> Vec<usize> {
        let is_filled = |row: &usize| {
            let field = |name: &str| field_name(list, *row, name);
            !self.has(&field("remove"))
                && key_fields.iter().any(|n| !self.get(&field(n)).is_empty())
        };
        self.rows(list).into_iter().filter(is_filled).collect()
    }

    /// Adds empty rows to a list and returns their numbers.
    pub(super) fn add_rows(&mut self, list: &str, field: &str, count: usize) -> Range<usize> {
        let next = self.rows(list).last().map_or(0, |last| last.saturating_add(1));
        let rows = next..next.saturating_add(count);
        for row in rows.clone() {
            self.set(field_name(list, row, field), "");
        }
        rows
    }
}

impl FromIterator<(String, String)> for Fields {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(pairs: I) -> Fields {
        Fields(pairs.into_iter().collect())
    }
}

impl Errors {
    pub(super) fn add(&mut self, name: impl Into<String>, message: impl Into<String>) {
        self.0.entry(name.into()).or_default().push(message.into());
    }

    pub(super) fn get(&self, name: &str) -> Vec<String> {
        self.0.get(name).cloned().unwrap_or_default()
    }

    pub(super) fn has(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns all messages, each with the name of its field.
    pub(super) fn list(&self) -> Vec<(String, String)> {
        let each = |(name, messages): (&String, &Vec<String>)| {
            messages.iter().map(|m| (name.clone(), m.clone())).collect::<Vec<_>>()
        };
        self.0.iter().flat_map(each).collect()
    }
}

impl Input {
    pub(super) fn new(
        name: impl Into<String>,
        label: &'static str,
        kind: InputKind,
        fields: &Fields,
        errors: &Errors,
    ) -> Input {
        let name = name.into();
        let value = fields.get(&name).into();
        Input { errors: errors.get(&name), name, label, hint: String::new(), kind, value }
    }

    pub(super) fn hint(mut self, hint: impl Into<String>) -> Input {
        self.hint = hint.into();
        self
    }

    pub(super) fn is_time(&self) -> bool {
        self.kind == InputKind::Time
    }

    pub(super) fn is_number(&self) -> bool {
        self.kind == InputKind::Number
    }

    pub(super) fn is_check(&self) -> bool {
        self.kind == InputKind::Check
    }

    pub(super) fn is_fixed(&self) -> bool {
        self.kind == InputKind::Fixed
    }

    pub(super) fn choices(&self) -> &'static [(&'static str, &'static str)] {
        match self.kind {
            InputKind::Choice(choices) => choices,
            _ => &[],
        }
    }

    /// Returns the `aria-describedby` value: the ids of the hint and of the error message, where present.
    pub(super) fn described_by(&self) -> String {
        let hint = (!self.hint.is_empty()).then(|| format!("{}-hint", self.name));
        let error = (!self.errors.is_empty()).then(|| format!("{}-error", self.name));
        [hint, error].into_iter().flatten().collect::<Vec<_>>().join(" ")
    }
}

impl Group {
    pub(super) fn new(
        name: impl Into<String>,
        legend: impl Into<String>,
        errors: &Errors,
        inputs: Vec<Input>,
    ) -> Group {
        let name = name.into();
        Group { errors: errors.get(&name), name, legend: legend.into(), inputs }
    }
}

/// Returns the name of a field in a row of a list.
pub(super) fn field_name(list: &str, row: usize, field: &str) -> String {
    format!("{list}[{row}].{field}")
}
