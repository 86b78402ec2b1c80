//! Eras of the store, which rise each time it returns from an earlier copy of its state.

use crate::{node_status::NodeStatus, replica::Revisions};

use super::Reducer;

impl Reducer {
    /// Returns whether another node knows a newer position of the store than this one.
    pub(super) fn is_behind(&self, status: &NodeStatus) -> bool {
        let eras = std::array::from_fn(|topic| {
            self.first_eras[topic].unwrap_or(self.revisions[topic].era)
        });
        status.positions(eras).iter().zip(&self.revisions).any(|(theirs, own)| theirs > own)
    }

    pub(super) fn record_first_eras(&mut self, revisions: &Revisions) {
        for (first, position) in self.first_eras.iter_mut().zip(revisions) {
            if position.revision > 0 {
                first.get_or_insert(position.era);
            }
        }
    }
}
