//! Eras of the store, which rise each time it returns from an earlier copy of its state.

use std::{collections::BTreeMap, time::Duration};

use compact_str::CompactString;

use crate::{
    directory::MemberRecord,
    effect::{Effect, Record},
    node_status::NodeStatus,
    replica::{Position, Revisions, Topic},
    rollout::RolloutRecord,
    time::Time,
};

use super::Reducer;

/// The time for which nodes try to record a final rollout state again that the store may have lost. Operators may write
/// its order again only then, and the store may be slow or away once more.
const SAVE_LOST_TIME: Duration = Duration::from_secs(60);

/// What this node knows of the eras of the store.
#[derive(Debug, Default)]
pub(super) struct Eras {
    /// The era in which the store was first read. Nodes of builds that do not know eras are assumed to be in it.
    first: Option<u64>,
    /// The latest era that the store or another node has stated.
    latest: Option<u64>,
    /// When this node learned that the store had returned from an earlier copy of its state.
    changed_at: Option<Time>,
    /// The services whose final rollout state the store may have lost, and since when.
    lost_records: BTreeMap<CompactString, Time>,
}

impl Reducer {
    /// Returns the positions that another node states.
    pub(super) fn positions_of(&self, status: &NodeStatus) -> Revisions {
        let era = self.eras.first.unwrap_or_default();
        status.positions([era; 3])
    }

    /// Returns whether the store returned from an earlier copy of its state less than `time` ago.
    pub(super) fn is_just_restored(&self, now: Time, time: Duration) -> bool {
        self.eras.changed_at.is_some_and(|at| now.since(at) < time)
    }

    /// Returns whether the store has returned from an earlier copy of its state since this node's orders were read.
    pub(super) fn is_orders_era_outdated(&self) -> bool {
        self.eras.latest.is_some_and(|latest| self.revisions[Topic::Orders.index()].era < latest)
    }

    /// Records the eras of this node's replicas.
    pub(super) fn record_eras(&mut self, now: Time, revisions: &Revisions, out: &mut Vec<Effect>) {
        if let Some(position) = revisions.iter().find(|position| position.revision > 0) {
            self.eras.first.get_or_insert(position.era);
        }
        self.positions_seen(now, revisions, out);
    }

    /// Returns whether a topic is read in an era that is later than that of what this node knew of it.
    pub(super) fn is_restored(&self, topic: Topic) -> bool {
        let Position { era, revision } = self.revisions[topic.index()];
        revision > 0 && self.eras.latest.is_some_and(|latest| era < latest)
    }

    /// Learns of a new era from another node, which may have reached the store earlier.
    pub(super) fn status_eras_seen(
        &mut self,
        now: Time,
        status: &NodeStatus,
        out: &mut Vec<Effect>,
    ) {
        if status.extension.is_some() {
            self.positions_seen(now, &status.positions([0; 3]), out);
        }
    }

    fn positions_seen(&mut self, now: Time, positions: &[Position], out: &mut Vec<Effect>) {
        let known = positions.iter().filter(|position| position.revision > 0);
        if let Some(era) = known.map(|position| position.era).max() {
            self.era_seen(now, era, out);
        }
    }

    pub(super) fn era_seen(&mut self, now: Time, era: u64, out: &mut Vec<Effect>) {
        let previous = *self.eras.latest.get_or_insert(era);
        if era <= previous {
            return;
        }
        self.eras.latest = Some(era);
        self.eras.changed_at = Some(now);
        out.push(Effect::Log(Record::StoreEra { previous, era }));
        out.push(Effect::EndLease { era });
        let records = self.rollout_records.values().filter(|record| record.state.is_final());
        self.eras.lost_records = records.map(|record| (record.service.clone(), now)).collect();
    }

    /// Compares a recorded rollout state with the one that this node knows, and returns whether it is outdated: a store
    /// that has returned from an earlier copy of its state may hold a rollout as running that has ended, or the state of
    /// a rollout before it.
    pub(super) fn note_recorded_state(&mut self, now: Time, record: &RolloutRecord) -> bool {
        let RolloutRecord { service, version, state } = record;
        let known = self.rollout_records.get(service);
        let order = self.rollouts.get(service).map(|rollout| &rollout.order.version);
        let is_earlier_rollout =
            self.is_restored(Topic::Status) && order.is_some_and(|ordered| ordered != version);
        let is_outdated = known.is_some_and(|known| {
            let is_same = known.version == *version && !state.is_final();
            known.state.is_final() && (is_same || is_earlier_rollout)
        });
        if is_outdated {
            self.eras.lost_records.entry(service.clone()).or_insert(now);
        } else {
            self.eras.lost_records.remove(service);
        }
        is_outdated
    }

    /// Records final rollout states again that the store has lost, when it is this node's turn.
    pub(super) fn save_lost_records(&mut self, now: Time, out: &mut Vec<Effect>) {
        // Before the states of this era are read, it is not known which ones are lost.
        if Some(self.revisions[Topic::Status.index()].era) != self.eras.latest {
            return;
        }
        self.eras.lost_records.retain(|_, since| now.since(*since) < SAVE_LOST_TIME);
        for (service, since) in self.eras.lost_records.clone() {
            let Some(record) = self.rollout_records.get(&service).cloned() else { continue };
            // The outcome of an earlier order must not replace the state of the present one.
            let rollout = self.rollouts.get(&service);
            let is_current = rollout.is_some_and(|r| r.order.version == record.version);
            if is_current && self.is_turn_to_record(now, since) {
                out.push(Effect::SaveRollout(record));
            }
        }
    }

    /// Returns whether a record is of an earlier process at this node's address. Its lease may not have ended yet.
    pub(super) fn is_earlier_local(&self, record: &MemberRecord) -> bool {
        record.address == self.local.address && record.id != self.local.id
    }
}
