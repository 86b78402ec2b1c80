//! The parents of nested calls: requests that the local target runs while it makes calls of its own.
//!
//! `docs/design/nested-calls.md` describes how a parent is recognised and what its calls inherit.

use std::time::Duration;

use crate::{event::CallHead, time::Time};

use super::{Reducer, works::Work};

/// The difference up to which the end of a call equals that of a request at the target. The target states whole
/// milliseconds, and the call is under way for some of them.
const END_TOLERANCE: Duration = Duration::from_millis(6);

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
    /// Nested calls end when their parent does. Of several requests with that end, the call may serve any, so it gets the
    /// best priority.
    pub(super) fn find_parent(&self, now: Time, head: &CallHead) -> Option<Parent> {
        let end = now + head.timeout?;
        let is_parent = |work: &&Work| work.started.is_some() && is_same_end(work.deadline, end);
        let parents = self.works.values().filter(is_parent).map(|work| parent(now, work));
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
