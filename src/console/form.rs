//! Forms as data: the fields that were posted, their errors, and what a page shows.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
};

/// The most rows of one list in a form, which exceeds the limits of the document.
const MAX_ROWS: usize = 128;

/// The values of a form by the names of their fields.
#[derive(Clone, Debug, Default)]
pub(super) struct Fields(BTreeMap<String, String>);

/// Messages by the name of the field or group; an empty name means the whole form.
#[derive(Clone, Debug, Default)]
pub(super) struct Errors(BTreeMap<String, Vec<String>>);

/// A set of fields that belong together.
pub(super) struct Group {
    /// The name under which errors of the whole group are found.
    pub(super) name: String,
    pub(super) legend: String,
    pub(super) errors: Vec<String>,
    pub(super) inputs: Vec<Input>,
}

/// One field.
pub(super) struct Input {
    pub(super) name: String,
    pub(super) label: &'static str,
    pub(super) hint: String,
    pub(super) kind: Kind,
    pub(super) value: String,
    pub(super) errors: Vec<String>,
}

/// How a field is shown.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Text,
    Number,
    /// A time in UTC.
    Time,
    Check,
    Choice(&'static [(&'static str, &'static str)]),
    /// A value that identifies a row and cannot be changed.
    Fixed,
}

impl Fields {
    /// Returns a value without surrounding space, empty if it is absent.
    pub(super) fn get(&self, name: &str) -> &str {
        self.0.get(name).map_or("", |value| value.trim())
    }

    pub(super) fn has(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    pub(super) fn set(&mut self, name: impl Into<String>, value: impl ToString) {
        self.0.insert(name.into(), value.to_string());
    }

    /// Sets a field that is present only if it is true, as a check box is.
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

    /// Returns the rows of a list that are neither empty nor marked for removal.
    pub(super) fn kept(&self, list: &str, identity: &[&str]) -> Vec<usize> {
        let is_kept = |row: &usize| {
            let field = |name: &str| cell(list, *row, name);
            !self.has(&field("remove")) && identity.iter().any(|n| !self.get(&field(n)).is_empty())
        };
        self.rows(list).into_iter().filter(is_kept).collect()
    }

    /// Adds empty rows to a list and returns their numbers.
    pub(super) fn grow(&mut self, list: &str, field: &str, count: usize) -> Range<usize> {
        let next = self.rows(list).last().map_or(0, |last| last.saturating_add(1));
        let rows = next..next.saturating_add(count);
        for row in rows.clone() {
            self.set(cell(list, row, field), "");
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

    /// Lists all messages with the names of their fields.
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
        kind: Kind,
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
        self.kind == Kind::Time
    }

    pub(super) fn is_number(&self) -> bool {
        self.kind == Kind::Number
    }

    pub(super) fn is_check(&self) -> bool {
        self.kind == Kind::Check
    }

    pub(super) fn is_fixed(&self) -> bool {
        self.kind == Kind::Fixed
    }

    pub(super) fn choices(&self) -> &'static [(&'static str, &'static str)] {
        match self.kind {
            Kind::Choice(choices) => choices,
            _ => &[],
        }
    }

    /// Returns the ids of the texts that describe the field.
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
pub(super) fn cell(list: &str, row: usize, field: &str) -> String {
    format!("{list}[{row}].{field}")
}
