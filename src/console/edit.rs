//! A change of one section of the document, as the pages carry it from form to commit.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::document::{Budgets, Centre, Document, Service};

/// The new content of one section of the document.
///
/// It is small where a document may have a megabyte, and can be combined with what others changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub(super) enum Edit {
    /// A service, which is removed if there is no content.
    Service {
        name: CompactString,
        service: Option<Service>,
    },
    Centres(BTreeMap<CompactString, Centre>),
    Budgets(Budgets),
}

impl Edit {
    /// Returns the document with the new content.
    pub(super) fn apply(&self, document: &Document) -> Document {
        let mut document = document.clone();
        match self.clone() {
            Edit::Service { name, service: Some(service) } => {
                document.services.insert(name, service);
            }
            Edit::Service { name, service: None } => {
                document.services.remove(&name);
            }
            Edit::Centres(centres) => document.centres = centres,
            Edit::Budgets(budgets) => document.budgets = budgets,
        }
        document
    }

    /// Returns the path of the section.
    pub(super) fn path(&self) -> String {
        match self {
            Edit::Service { name, .. } => format!("services.{name}"),
            Edit::Centres(_) => "centres".into(),
            Edit::Budgets(_) => "budgets".into(),
        }
    }

    /// Returns the new content; null if the section is removed.
    pub(super) fn value(&self) -> Value {
        match self {
            Edit::Service { service, .. } => json(service),
            Edit::Centres(centres) => json(centres),
            Edit::Budgets(budgets) => json(budgets),
        }
    }

    /// Returns the content that the section has in a document; null if it is absent.
    pub(super) fn value_in(&self, document: &Document) -> Value {
        match self {
            Edit::Service { name, .. } => json(&document.services.get(name)),
            Edit::Centres(_) => json(&document.centres),
            Edit::Budgets(_) => json(&document.budgets),
        }
    }

    /// Returns the same section with other content, or `None` if the content does not fit.
    pub(super) fn with(&self, value: Value) -> Option<Edit> {
        Some(match self {
            Edit::Service { name, .. } => {
                Edit::Service { name: name.clone(), service: read(value)? }
            }
            Edit::Centres(_) => Edit::Centres(read(value)?),
            Edit::Budgets(_) => Edit::Budgets(read(value)?),
        })
    }
}

fn json<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).expect("the document's types have string keys only")
}

fn read<T: DeserializeOwned>(value: Value) -> Option<T> {
    serde_json::from_value(value).ok()
}
