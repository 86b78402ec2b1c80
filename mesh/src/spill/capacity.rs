//! The load that targets bear within the time to the objective.

use std::time::Duration;

use compact_str::CompactString;

use crate::report::LoadReport;

/// The time assumed for the way to another data centre and back. Nodes do not measure it; the highest known latency is
/// 4.4 ms in one direction.
const ROUND_TRIP: Duration = Duration::from_millis(9);

/// The rate assumed for the transfer between data centres in bytes per second: that of the slowest known link, 10 Mbit/s.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;

/// The multiple of the mean wait that must fit into the time to the objective: 95 per cent of exponentially distributed
/// waits are shorter.
const WAIT_MARGIN: f64 = 3.0;

/// The time in which a queue is to be drained. A queue is not demand but the sum of what exceeded the capacity so far, so
/// it counts as the additional load that is relieved if it is worked off in this time.
const DRAIN_TIME_S: f64 = 1.0;

/// The age up to which a report counts fully, and the time in which the free room of an older one is halved. Reports from
/// other data centres may be 2.5 s apart.
const FULL_AGE_S: f64 = 1.5;

/// The steps of the bisection in [`bearable_utilisation`]; the error is below a thousandth.
const BISECTION_STEPS: u32 = 10;

/// Whether requests travel to another data centre.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Travel {
    /// The targets are in the own data centre.
    Near,
    /// The targets are in another data centre.
    Far,
}

/// Returns the time that a request spends on the way to another data centre and back.
pub(crate) fn travel_time(size: f64) -> Duration {
    ROUND_TRIP + Duration::from_secs_f64(size.max(0.0) / LINK_BYTES_PER_S)
}

/// What the requests of a service need on average.
#[derive(Copy, Clone, Debug, PartialEq)]
pub(crate) struct MeanDemand {
    /// The nominal service time in seconds.
    pub(crate) service_s: f64,
    /// The time to the objective in seconds.
    pub(crate) objective_s: f64,
    /// The size of request and answer in bytes.
    pub(crate) size: f64,
    /// The requests per second that a cold target of the service tolerates, or 0 if it is unknown.
    pub(crate) cold_rate: f64,
}

/// The load of a service's targets in one data centre, in requests running at the targets' normal speed.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CentreLoad {
    pub(crate) centre: CompactString,
    /// The present load.
    pub(crate) load: f64,
    /// The load that the targets bear within the time to the objective.
    pub(crate) bearable: f64,
    /// The mean age of the reports.
    pub(crate) age: Duration,
    /// The number of targets.
    pub(crate) targets: u32,
    /// The requests that the targets run at the same time at most.
    pub(crate) limit: f64,
    /// How many more they could run now.
    pub(crate) idle: f64,
}

impl CentreLoad {
    pub(crate) fn new(centre: CompactString) -> CentreLoad {
        let (age, targets) = (Duration::ZERO, 0);
        CentreLoad { centre, load: 0.0, bearable: 0.0, age, targets, limit: 0.0, idle: 0.0 }
    }

    /// Adds a target that accepts requests.
    pub(crate) fn add(
        &mut self,
        age: Duration,
        report: &LoadReport,
        demand: &MeanDemand,
        travel: Travel,
    ) {
        let (load, bearable) = target_load(age, report, demand, travel);
        self.load += load;
        self.bearable += bearable;
        self.age = (self.age * self.targets + age) / (self.targets + 1);
        self.targets += 1;
        let in_progress = f64::from(report.running) + f64::from(report.queued);
        self.limit += f64::from(report.limit);
        self.idle += (f64::from(report.limit) - in_progress).max(0.0);
    }
}

/// Returns the present load of a target and the load that it bears.
fn target_load(
    age: Duration,
    report: &LoadReport,
    demand: &MeanDemand,
    travel: Travel,
) -> (f64, f64) {
    let slowdown = f64::from(report.slowdown.max(10)) / 100.0;
    let service = demand.service_s * slowdown;
    let queue_weight = (service / DRAIN_TIME_S).min(1.0);
    let in_progress = f64::from(report.running) + f64::from(report.queued) * queue_weight;
    let load = in_progress / slowdown;
    let journey = match travel {
        Travel::Near => 0.0,
        Travel::Far => travel_time(demand.size).as_secs_f64(),
    };
    let spare = demand.objective_s - journey - service;
    let limit = f64::from(report.limit.max(1));
    let mut bearable = bearable_utilisation(limit, spare / service.max(1e-6)) * limit / slowdown;
    // A target that fails its requests at once has no queue and looks free.
    bearable *= 1.0 - (f64::from(report.failure_permille) / 1_000.0).min(1.0);
    if report.is_cold {
        bearable = bearable.min(demand.cold_rate * demand.service_s);
    }
    let old = (age.as_secs_f64() - FULL_AGE_S).max(0.0) / FULL_AGE_S;
    let room = (bearable - load).max(0.0);
    (load, bearable - room * (1.0 - 0.5_f64.powf(old)))
}

/// Returns the highest utilisation of `limit` concurrent requests at which waits remain within `spare` service times.
///
/// The mean wait is that of Sakasegawa's approximation for M/M/c: u^(sqrt(2(c + 1)) - 1) / (c(1 - u)) service times.
fn bearable_utilisation(limit: f64, spare: f64) -> f64 {
    let wait = |u: f64| u.powf((2.0 * (limit + 1.0)).sqrt() - 1.0) / (limit * (1.0 - u));
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..BISECTION_STEPS {
        let middle = (low + high) / 2.0;
        if wait(middle) * WAIT_MARGIN <= spare { low = middle } else { high = middle }
    }
    low
}
