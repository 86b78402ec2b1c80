//! The parents of nested calls: requests that the local target runs while it makes calls of its own.
//!
//! `docs/design/nested-calls.md` describes how a parent is recognised and what its calls inherit.

use std::time::Duration;

use crate::{event::CallHead, time::Time};

use super::{Reducer, works::Work};

/// The difference up to which the end of a call equals that of a request at the target. The target states whole
/// milliseconds, and the call is under way for some of them.
const END_TOLERANCE: Duration = Duration::from_millis(6);

/// Separates the id of a nested call from that of its parent before it, where targets form ids so.
const ID_SEPARATOR: char = '.';

/// What a nested call inherits from the request that it serves.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) struct Parent {
    pub(super) priority: u8,
    /// The time until which the call may end so that its parent can still be in time.
    pub(super) objective: Time,
}

impl Reducer {
    /// Returns the request at the local target that a caller's request serves, if it is a nested call.
    ///
    /// The id of a nested call may extend that of its parent. Otherwise a call that ends when a running request does is taken
    /// as its nested call; of several requests with that end, the one of the best priority counts.
    pub(super) fn find_parent(&self, now: Time, head: &CallHead) -> Option<Parent> {
        let running = || self.works.values().filter(|work| work.started.is_some());
        if let Some((parent_id, _)) = head.id.rsplit_once(ID_SEPARATOR)
            && let Some(work) = running().find(|work| work.id == parent_id)
        {
            return Some(parent(now, work));
        }
        let end = now + head.timeout?;
        let parents = running().filter(|work| is_same_end(work.deadline, end));
        let parents = parents.map(|work| parent(now, work));
        parents.min_by_key(|parent| (parent.priority, parent.objective))
    }
}

fn is_same_end(a: Time, b: Time) -> bool {
    a.since(b).max(b.since(a)) <= END_TOLERANCE
}

fn parent(now: Time, work: &Work) -> Parent {
    let ran = work.started.map_or(Duration::ZERO, |started| now.since(started));
    let left = work.nominal_service.saturating_sub(ran);
    let time = work.objective.since(now).saturating_sub(left);
    Parent { priority: work.priority, objective: now + time }
}
