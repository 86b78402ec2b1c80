//! Edits of one section of the document, as the pages pass them from the form to the commit.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::document::{Budgets, Centre, Document, Service};

/// The new content of one section of the document.
///
/// Pages carry the edit in place of the document, which may take a megabyte. Unlike a whole document, an edit can be
/// merged with concurrent changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub(super) enum Edit {
    /// Adds or replaces a service, or removes it if `service` is `None`.
    Service {
        name: CompactString,
        service: Option<Service>,
    },
    Centres(BTreeMap<CompactString, Centre>),
    Budgets(Budgets),
}

impl Edit {
    /// Returns a copy of the document with the new content.
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
            Edit::Service { service, .. } => to_json(service),
            Edit::Centres(centres) => to_json(centres),
            Edit::Budgets(budgets) => to_json(budgets),
        }
    }

    /// Returns the content that the section has in a document; null if it is absent.
    pub(super) fn value_in(&self, document: &Document) -> Value {
        match self {
            Edit::Service { name, .. } => to_json(&document.services.get(name)),
            Edit::Centres(_) => to_json(&document.centres),
            Edit::Budgets(_) => to_json(&document.budgets),
        }
    }

    /// Returns an edit of the same section with other content, or `None` if the content has the wrong type.
    pub(super) fn with_value(&self, value: Value) -> Option<Edit> {
        Some(match self {
            Edit::Service { name, .. } => {
                Edit::Service { name: name.clone(), service: from_json(value)? }
            }
            Edit::Centres(_) => Edit::Centres(from_json(value)?),
            Edit::Budgets(_) => Edit::Budgets(from_json(value)?),
        })
    }
}

fn to_json<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).expect("the document's types have string keys only")
}

fn from_json<T: DeserializeOwned>(value: Value) -> Option<T> {
    serde_json::from_value(value).ok()
}
