//! A node of the model.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    identity::{AttemptTag, Claim, DuplicateFilter, Identity, Owner},
    keys::MemberId,
};

/// A node with its pending work.
#[derive(Clone, Debug, Hash)]
pub(super) struct Node {
    pub(super) member: MemberId,
    pub(super) owner: Owner,
    pub(super) receipts: DuplicateFilter,
    /// Actions whose checks have passed and that have not been executed.
    pub(super) steps: Vec<Step>,
    /// Pending claims, by the send that this node received.
    pub(super) claims: BTreeMap<usize, Claim>,
    /// Sends that this node received and has not answered.
    pub(super) pending: BTreeSet<usize>,
    /// Attempts in progress, each with its send, the route of the response and the number of attempts of the send.
    pub(super) running: Vec<(AttemptTag, usize, Route, u8)>,
}

/// An action whose check has passed and that is executed in a separate transition.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Step {
    Begin { send: usize, identity: Identity, route: Route },
    Choose { send: usize, identity: Identity, route: Route, attempts: u8 },
    Run { tag: AttemptTag, send: usize },
}

/// Where a response goes: to the caller at this node, or to the node that forwarded the request.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Route {
    Local,
    Remote(MemberId),
}

impl Node {
    pub(super) fn new(member: MemberId) -> Node {
        Node {
            member,
            owner: Owner::new(member, 0),
            receipts: DuplicateFilter::new(),
            steps: Vec::new(),
            claims: BTreeMap::new(),
            pending: BTreeSet::new(),
            running: Vec::new(),
        }
    }
}
