//! The difference between two documents, for people and as JSON.

use std::{collections::BTreeMap, fmt};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Document, read::join_path};

/// A changed field, or an added or removed entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The path, such as `services.orders.versions[v2].end_ms`. Routes and versions appear under their key, not
    /// their position.
    pub path: CompactString,
    /// The kind of change, with the values.
    #[serde(flatten)]
    pub kind: ChangeKind,
}

/// The kind of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "lowercase")]
pub enum ChangeKind {
    /// The path is new.
    Added {
        /// The new value.
        to: Value,
    },
    /// The path no longer exists.
    Removed {
        /// The former value.
        from: Value,
    },
    /// The path has another value.
    Changed {
        /// The former value.
        from: Value,
        /// The new value.
        to: Value,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ChangeKind::Added { to } => write!(f, "+ {}: {to}", self.path),
            ChangeKind::Removed { from } => write!(f, "- {}: {from}", self.path),
            ChangeKind::Changed { from, to } => write!(f, "~ {}: {from} -> {to}", self.path),
        }
    }
}

/// Returns the changes that lead from one document to another, in the order of their paths.
pub fn diff(from: &Document, to: &Document) -> Vec<Change> {
    let mut out = Vec::new();
    diff_entries("centres", &from.centres, &to.centres, &mut out);
    diff_entries("services", &from.services, &to.services, &mut out);
    if from.budgets != to.budgets {
        diff_values("budgets", &json(&from.budgets), &json(&to.budgets), &mut out);
    }
    out
}

/// Compares the typed entries first, so that only entries that differ are converted to JSON.
fn diff_entries<T: PartialEq + Serialize>(
    path: &str,
    from: &BTreeMap<CompactString, T>,
    to: &BTreeMap<CompactString, T>,
    out: &mut Vec<Change>,
) {
    for (name, a) in from {
        let path = join_path(path, name);
        match to.get(name) {
            None => push(path, ChangeKind::Removed { from: json(a) }, out),
            Some(b) if a != b => diff_values(&path, &json(a), &json(b), out),
            Some(_) => {}
        }
    }
    for (name, b) in to.iter().filter(|(name, _)| !from.contains_key(*name)) {
        push(join_path(path, name), ChangeKind::Added { to: json(b) }, out);
    }
}

fn diff_values(path: &str, from: &Value, to: &Value, out: &mut Vec<Change>) {
    match (from, to) {
        _ if from == to => {}
        (Value::Object(a), Value::Object(b)) => {
            for (name, x) in a {
                match b.get(name) {
                    None => {
                        push(join_path(path, name), ChangeKind::Removed { from: x.clone() }, out);
                    }
                    Some(y) => diff_values(&join_path(path, name), x, y, out),
                }
            }
            for (name, y) in b.iter().filter(|(name, _)| !a.contains_key(*name)) {
                push(join_path(path, name), ChangeKind::Added { to: y.clone() }, out);
            }
        }
        (Value::Array(a), Value::Array(b)) => diff_lists(path, a, b, out),
        _ => {
            let kind = ChangeKind::Changed { from: from.clone(), to: to.clone() };
            push(path.into(), kind, out);
        }
    }
}

fn diff_lists(path: &str, from: &[Value], to: &[Value], out: &mut Vec<Change>) {
    let find = |list: &[Value], id: &str| list.iter().position(|v| item_key(v) == id);
    for a in from {
        let id = item_key(a);
        let path = format!("{path}[{id}]");
        match find(to, &id) {
            None => push(path, ChangeKind::Removed { from: a.clone() }, out),
            Some(i) => diff_values(&path, a, &to[i], out),
        }
    }
    for b in to.iter().filter(|b| find(from, &item_key(b)).is_none()) {
        push(format!("{path}[{}]", item_key(b)), ChangeKind::Added { to: b.clone() }, out);
    }
    // The order of versions is significant, so a different order alone is also a change.
    let order = |list: &[Value], other: &[Value]| -> Vec<String> {
        list.iter().map(item_key).filter(|id| find(other, id).is_some()).collect()
    };
    let (a, b) = (order(from, to), order(to, from));
    if a != b {
        push(path.into(), ChangeKind::Changed { from: a.into(), to: b.into() }, out);
    }
}

/// Returns the key of a list item: method and prefix of a route, or the name of a version.
pub(crate) fn item_key(value: &Value) -> String {
    let text = |name: &str| value.get(name).and_then(Value::as_str);
    match (text("name"), text("method"), text("prefix")) {
        (Some(name), ..) => name.into(),
        (None, Some(method), Some(prefix)) => format!("{method} {prefix}"),
        (None, _, Some(prefix)) => prefix.into(),
        _ => value.to_string(),
    }
}

fn push(path: String, kind: ChangeKind, out: &mut Vec<Change>) {
    out.push(Change { path: path.into(), kind });
}

fn json<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).expect("the document's types have string keys only")
}

#[cfg(test)]
mod tests;
