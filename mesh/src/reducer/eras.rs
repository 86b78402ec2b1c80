//! Eras of the store, which rise each time it returns from an earlier copy of its state.

use crate::{
    directory::MemberRecord,
    effect::{Effect, Record},
    node_status::NodeStatus,
    replica::{Position, Revisions},
    time::Time,
};

use super::Reducer;

/// What this node knows of the eras of the store.
#[derive(Debug, Default)]
pub(super) struct Eras {
    /// The era in which each topic was first read. Nodes of builds that do not know eras are assumed to be in it.
    first: [Option<u64>; 3],
    /// The latest era that the store or another node has stated.
    latest: Option<u64>,
}

impl Reducer {
    /// Returns the positions that another node states.
    pub(super) fn positions_of(&self, status: &NodeStatus) -> Revisions {
        let eras = std::array::from_fn(|topic| {
            self.eras.first[topic].unwrap_or(self.revisions[topic].era)
        });
        status.positions(eras)
    }

    /// Records the eras of this node's replicas.
    pub(super) fn record_eras(&mut self, revisions: &Revisions, out: &mut Vec<Effect>) {
        for (first, position) in self.eras.first.iter_mut().zip(revisions) {
            if position.revision > 0 {
                first.get_or_insert(position.era);
            }
        }
        self.positions_seen(revisions, out);
    }

    /// Learns of a new era from another node, which may have reached the store earlier.
    pub(super) fn status_eras_seen(&mut self, status: &NodeStatus, out: &mut Vec<Effect>) {
        if status.extension.is_some() {
            self.positions_seen(&status.positions([0; 3]), out);
        }
    }

    fn positions_seen(&mut self, positions: &[Position], out: &mut Vec<Effect>) {
        let known = positions.iter().filter(|position| position.revision > 0);
        if let Some(era) = known.map(|position| position.era).max() {
            self.era_seen(era, out);
        }
    }

    pub(super) fn era_seen(&mut self, era: u64, out: &mut Vec<Effect>) {
        let previous = *self.eras.latest.get_or_insert(era);
        if era <= previous {
            return;
        }
        self.eras.latest = Some(era);
        out.push(Effect::Log(Record::StoreEra { previous, era }));
        out.push(Effect::RenewRecord { era });
    }

    /// Applies the list of members of a store that has returned from an earlier copy of its state.
    pub(super) fn members_restored(
        &mut self,
        now: Time,
        mut records: Vec<MemberRecord>,
        out: &mut Vec<Effect>,
    ) {
        records.retain(|record| !self.is_earlier_local(record));
        for record in &records {
            self.log_if_new(record, out);
        }
        self.directory.restore(now, records);
    }

    /// Returns whether a record is of an earlier process at this node's address. Its lease may not have ended yet.
    pub(super) fn is_earlier_local(&self, record: &MemberRecord) -> bool {
        record.address == self.local.address && record.id != self.local.id
    }
}
