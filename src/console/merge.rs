//! Three-way merge of concurrent changes of the same section.

use serde_json::{Map, Value};

use crate::document::{diff::item_key, read::join_path};

/// A field that both sides changed to different values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct MergeConflict {
    pub(super) path: String,
    pub(super) mine: Value,
    pub(super) theirs: Value,
}

/// Merges the changes from `base` to `mine` into `theirs`. Where both sides changed a field to different values, the
/// value of `mine` wins and the field is added to `conflicts`.
pub(super) fn merge(
    path: &str,
    base: &Value,
    mine: &Value,
    theirs: &Value,
    conflicts: &mut Vec<MergeConflict>,
) -> Value {
    if mine == base || mine == theirs {
        return theirs.clone();
    }
    if theirs == base {
        return mine.clone();
    }
    match (base, mine, theirs) {
        (Value::Object(base), Value::Object(mine), Value::Object(theirs)) => {
            Value::Object(merge_objects(path, base, mine, theirs, conflicts))
        }
        (Value::Array(base), Value::Array(mine), Value::Array(theirs)) => {
            Value::Array(merge_lists(path, base, mine, theirs, conflicts))
        }
        _ => {
            conflicts.push(MergeConflict {
                path: path.into(),
                mine: mine.clone(),
                theirs: theirs.clone(),
            });
            mine.clone()
        }
    }
}

fn merge_objects(
    path: &str,
    base: &Map<String, Value>,
    mine: &Map<String, Value>,
    theirs: &Map<String, Value>,
    conflicts: &mut Vec<MergeConflict>,
) -> Map<String, Value> {
    let get = |map: &Map<String, Value>, name: &str| map.get(name).cloned().unwrap_or_default();
    let mut merged = Map::new();
    for name in theirs.keys().chain(mine.keys().filter(|name| !theirs.contains_key(*name))) {
        let (b, m, t) = (get(base, name), get(mine, name), get(theirs, name));
        let value = merge(&join_path(path, name), &b, &m, &t, conflicts);
        // A null stands for a removed field. If both sides have the field, it is an optional field without a value.
        if !value.is_null() || (mine.contains_key(name) && theirs.contains_key(name)) {
            merged.insert(name.clone(), value);
        }
    }
    merged
}

/// Merges lists item by item. Items keep the order of `theirs`, new items of `mine` follow at the end, and versions
/// are sorted by their start.
fn merge_lists(
    path: &str,
    base: &[Value],
    mine: &[Value],
    theirs: &[Value],
    conflicts: &mut Vec<MergeConflict>,
) -> Vec<Value> {
    let find = |list: &[Value], id: &str| {
        list.iter().find(|v| item_key(v) == id).cloned().unwrap_or_default()
    };
    let mut ids: Vec<String> = theirs.iter().map(item_key).collect();
    for id in mine.iter().map(item_key) {
        if !ids.contains(&id) {
            ids.push(id);
        }
    }
    let mut merged: Vec<Value> = ids
        .iter()
        .map(|id| {
            let (b, m, t) = (find(base, id), find(mine, id), find(theirs, id));
            merge(&format!("{path}[{id}]"), &b, &m, &t, conflicts)
        })
        .filter(|value| !value.is_null())
        .collect();
    let start = |value: &Value| value.get("start_ms").and_then(Value::as_u64);
    merged.sort_by_key(|value| start(value).unwrap_or_default());
    merged
}

#[cfg(test)]
mod tests;
