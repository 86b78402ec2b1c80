//! The decisions of a node for the services that its callers use.

use std::{collections::BTreeMap, time::Duration};

use compact_str::{CompactString, format_compact};
use rand::rngs::SmallRng;

use super::{
    Spill,
    capacity::{CentreLoad, MeanDemand},
};
use crate::{effect::Record, gauges::RemoteShare, placement::Demand, time::Time};

/// The most services with a decision. Requests for further ones are placed by cost alone, which is logged.
const MAX_SERVICES: usize = 256;

/// The time without requests after which a service loses its decision.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// The weight of one request in the mean demand of its service.
const DEMAND_WEIGHT: f64 = 0.05;

/// The minimum interval of log lines about one service, so that a rise is seen in a few steps.
const SERVICE_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The minimum interval of log lines about all services of a node.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The minimum interval of log lines that say that the table is full.
const FULL_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// The change of a share that is logged.
const LOGGED_CHANGE: f64 = 0.05;

/// Gives the load of the targets of a service by data centre.
pub(crate) trait LoadSource {
    /// Returns the load of each data centre that may receive requests of the service.
    fn loads(&self, service: &str, demand: &MeanDemand) -> Vec<CentreLoad>;
}

#[derive(Clone, Debug)]
struct Entry {
    spill: Spill,
    demand: MeanDemand,
    /// When a request for the service last arrived.
    called: Time,
    /// When the share was last logged, and its value.
    logged: Option<(Time, f64)>,
}

/// The decisions for all services that callers of this node use.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpillTable {
    /// Sorted, so that the order of log lines is the same in each replay of the events.
    services: BTreeMap<CompactString, Entry>,
    logged: Option<Time>,
    /// A service that found no place in the table since the last decisions.
    left_out: Option<CompactString>,
    full_logged: Option<Time>,
}

impl SpillTable {
    /// Counts a request, and draws the data centre whose targets are preferred for it, if there is one.
    pub(crate) fn draw(
        &mut self,
        now: Time,
        service: &CompactString,
        demand: &Demand,
        rng: &mut SmallRng,
    ) -> Option<CompactString> {
        let new = MeanDemand {
            service_s: demand.nominal_service.as_secs_f64(),
            objective_s: demand.time_left.as_secs_f64(),
            size: demand.size.into(),
            cold_rate: 0.0,
        };
        if !self.services.contains_key(service) && self.services.len() >= MAX_SERVICES {
            self.left_out = Some(service.clone());
            return None;
        }
        let entry = self.services.entry(service.clone()).or_insert_with(|| Entry {
            spill: Spill::default(),
            demand: new,
            called: now,
            logged: None,
        });
        entry.called = now;
        let mean = &mut entry.demand;
        mean.service_s += (new.service_s - mean.service_s) * DEMAND_WEIGHT;
        mean.objective_s += (new.objective_s - mean.objective_s) * DEMAND_WEIGHT;
        mean.size += (new.size - mean.size) * DEMAND_WEIGHT;
        entry.spill.draw(demand, entry.demand.size, rng).cloned()
    }

    /// Counts an answer of a target in a data centre.
    pub(crate) fn record_answer(&mut self, service: &str, centre: &str) {
        if let Some(entry) = self.services.get_mut(service) {
            entry.spill.record_answer(centre);
        }
    }

    /// Updates the decisions of all services and returns the log lines about them.
    pub(crate) fn update(
        &mut self,
        now: Time,
        centre: &str,
        source: &impl LoadSource,
    ) -> Vec<Record> {
        self.services.retain(|_, entry| now.since(entry.called) < IDLE_TIME);
        for (service, entry) in &mut self.services {
            let loads = source.loads(service, &entry.demand);
            let nominal = Duration::from_secs_f64(entry.demand.service_s);
            entry.spill.update(now, centre, &loads, nominal);
        }
        self.log_change(now).into_iter().chain(self.log_full(now)).collect()
    }

    fn log_change(&mut self, now: Time) -> Option<Record> {
        if self.logged.is_some_and(|at| now.since(at) < LOG_INTERVAL) {
            return None;
        }
        let is_due = |entry: &Entry| {
            let (share, last) = (entry.spill.share(), entry.logged);
            let is_early = last.is_some_and(|(at, _)| now.since(at) < SERVICE_LOG_INTERVAL);
            let logged = last.map_or(0.0, |(_, share)| share);
            let is_changed = (share - logged).abs() >= LOGGED_CHANGE;
            !is_early && (is_changed || (share > 0.0) != (logged > 0.0))
        };
        let due = self.services.iter_mut().filter(|(_, entry)| is_due(entry));
        // The service whose last line is oldest comes first, so that none is left out for long.
        let (service, entry) = due.min_by_key(|(_, entry)| entry.logged.map(|(at, _)| at))?;
        let share = entry.spill.share();
        entry.logged = Some((now, share));
        self.logged = Some(now);
        let parts: Vec<String> =
            entry.spill.shares().map(|(centre, share)| format!("{centre}:{share:.3}")).collect();
        Some(Record::RemoteShare {
            service: service.clone(),
            reason: entry.spill.reason().as_str(),
            permille: (share * 1_000.0) as u16,
            centres: format_compact!("{}", parts.join(",")),
        })
    }

    fn log_full(&mut self, now: Time) -> Option<Record> {
        let service = self.left_out.take()?;
        if self.full_logged.is_some_and(|at| now.since(at) < FULL_LOG_INTERVAL) {
            return None;
        }
        self.full_logged = Some(now);
        let (reason, permille, centres) = ("table-full", 0, CompactString::default());
        Some(Record::RemoteShare { service, reason, permille, centres })
    }

    /// Returns the shares of all services with a decision, for the gauges.
    pub(crate) fn gauges(&self) -> Vec<RemoteShare> {
        let share = |(service, entry): (&CompactString, &Entry)| RemoteShare {
            service: service.clone(),
            reason: entry.spill.reason().as_str(),
            share: entry.spill.share(),
        };
        self.services.iter().map(share).collect()
    }
}
