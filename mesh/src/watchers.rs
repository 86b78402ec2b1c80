//! Selection of the nodes that watch the store for the others.
//!
//! Every change costs one call per watcher, and the store's rate limits grow more slowly than the
//! deployment. So one node in each data centre watches, and a few in all if there are few data
//! centres; the others pull changes from them.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::{directory::MemberRecord, keys::MemberId};

/// The number of watchers in each data centre.
const WATCHERS_PER_CENTRE: usize = 1;

/// The minimum number of watchers in all, so that the loss of one is covered at once.
const MIN_WATCHERS: usize = 3;

/// What decides whether a node watches the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WatcherCandidate {
    pub(crate) id: MemberId,
    pub(crate) centre: CompactString,
    /// Whether the node reports that it can reach the store.
    pub(crate) has_store: bool,
}

/// Returns whether node `local` watches the store, where `nodes` holds all nodes that are alive,
/// including `local`.
///
/// The nodes with the lowest ids watch. One of them that cannot reach the store keeps trying, and
/// the next node that can reach it watches meanwhile.
pub(crate) fn is_watcher(local: &WatcherCandidate, nodes: &[WatcherCandidate]) -> bool {
    let is_among_first = |in_scope: &dyn Fn(&WatcherCandidate) -> bool, watchers: usize| {
        let ahead = || nodes.iter().filter(|node| node.id < local.id && in_scope(node));
        let is_first = ahead().count() < watchers;
        let is_next = local.has_store && ahead().filter(|node| node.has_store).count() < watchers;
        is_first || is_next
    };
    is_among_first(&|node| node.centre == local.centre, WATCHERS_PER_CENTRE)
        || is_among_first(&|_| true, MIN_WATCHERS)
}

/// Returns those of the nodes that watch the store if all of them reach it.
pub(crate) fn first_of<'a>(nodes: impl Iterator<Item = &'a MemberRecord>) -> Vec<&'a MemberRecord> {
    let mut nodes: Vec<&MemberRecord> = nodes.collect();
    nodes.sort_unstable_by_key(|node| node.id);
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut first = Vec::new();
    for (index, node) in nodes.into_iter().enumerate() {
        let count = counts.entry(node.centre.as_str()).or_default();
        *count += 1;
        if index < MIN_WATCHERS || *count <= WATCHERS_PER_CENTRE {
            first.push(node);
        }
    }
    first
}

/// The members that a node records in the store.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum RecorderScope {
    /// Those of its data centre.
    Centre,
    /// Those of its data centre, and others that nobody has recorded for some time.
    All,
}

/// Returns which members node `local` records: those of its data centre if it is the first one there that reaches the
/// store, and all if it is the first of all.
pub(crate) fn recorder_scope(
    local: &WatcherCandidate,
    nodes: &[WatcherCandidate],
) -> Option<RecorderScope> {
    let mut ahead = nodes.iter().filter(|node| node.has_store && node.id < local.id).peekable();
    if !local.has_store {
        None
    } else if ahead.peek().is_none() {
        Some(RecorderScope::All)
    } else if ahead.all(|node| node.centre != local.centre) {
        Some(RecorderScope::Centre)
    } else {
        None
    }
}

#[cfg(test)]
mod tests;
