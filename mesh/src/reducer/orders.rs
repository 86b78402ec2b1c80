//! Operators' orders, and those that a store lacks after its return from an earlier copy of its state.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use compact_str::CompactString;

use crate::{
    effect::{Effect, Record},
    replica::Topic,
    rollout::RolloutOrder,
    time::Time,
};

use super::Reducer;

/// The time for which an order stays in force that the store has lost. Operators write it again, and the store may still be
/// slow after its return; without the order a bad version would get all requests meanwhile, or a data centre out of
/// service would get some.
const KEEP_TIME: Duration = Duration::from_secs(10);

/// Orders that stay in force although the store has lost them.
#[derive(Debug, Default)]
pub(super) struct KeptOrders {
    /// The data centres out of service according to the store.
    listed_centres: BTreeSet<CompactString>,
    /// The other data centres that stay out of service, and until when.
    centres: BTreeMap<CompactString, Time>,
    /// The services whose present rollout order stays, until when, and what the store holds instead.
    rollouts: BTreeMap<CompactString, (Time, Option<RolloutOrder>)>,
}

impl Reducer {
    /// Applies the set of data centres that are out of service according to the store.
    pub(super) fn evacuation_read(
        &mut self,
        now: Time,
        centres: BTreeSet<CompactString>,
        out: &mut Vec<Effect>,
    ) {
        if self.is_restored(Topic::Orders) {
            let lost = self.evacuated.difference(&centres).cloned();
            self.kept_orders.centres.extend(lost.map(|centre| (centre, now + KEEP_TIME)));
        }
        self.kept_orders.listed_centres = centres;
        self.update_evacuated(now, out);
    }

    fn update_evacuated(&mut self, now: Time, out: &mut Vec<Effect>) {
        let KeptOrders { listed_centres, centres, .. } = &mut self.kept_orders;
        centres.retain(|centre, until| now < *until && !listed_centres.contains(centre));
        let centres = listed_centres.iter().chain(centres.keys()).cloned().collect();
        self.set_evacuated(now, centres, out);
    }

    fn set_evacuated(
        &mut self,
        now: Time,
        centres: BTreeSet<CompactString>,
        out: &mut Vec<Effect>,
    ) {
        if self.evacuated == centres {
            return;
        }
        self.evacuated = centres;
        let centres: Vec<&str> = self.evacuated.iter().map(CompactString::as_str).collect();
        out.push(Effect::Log(Record::Evacuated { centres: centres.join(",").into() }));
        self.update_admission(now, out);
    }

    /// Applies the rollout order that the store holds for a service, or its absence.
    pub(super) fn rollout_read(
        &mut self,
        now: Time,
        service: CompactString,
        order: Option<RolloutOrder>,
        out: &mut Vec<Effect>,
    ) {
        let known = self.rollouts.get(&service).map(|rollout| &rollout.order.version);
        let is_other = known.is_some() && known != order.as_ref().map(|order| &order.version);
        if is_other && self.is_restored(Topic::Orders) {
            self.kept_orders.rollouts.insert(service, (now + KEEP_TIME, order));
            return;
        }
        self.kept_orders.rollouts.remove(&service);
        self.rollout_ordered(now, service, order, out);
    }

    /// Goes with the store where operators have not written a lost order again in time.
    pub(super) fn drop_kept_orders(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.kept_orders.centres.is_empty() {
            self.update_evacuated(now, out);
        }
        let rollouts = &mut self.kept_orders.rollouts;
        let is_due = |_: &CompactString, (until, _): &mut (Time, _)| now >= *until;
        let due: Vec<_> = rollouts.extract_if(.., is_due).collect();
        for (service, (_, order)) in due {
            self.rollout_ordered(now, service, order, out);
        }
    }
}
