//! An open-loop load generator for loopback addresses.
//!
//! The sending times are fixed in advance, and latency is measured from the planned time, to avoid coordinated
//! omission: a slow response neither delays later requests nor hides its effect on them. One thread sends and
//! receives, and polls in a busy loop shortly before each sending time, because tokio's timer has a resolution
//! of 1 ms.

mod driver;
mod loopback;
mod report;
mod schedule;

use std::{io, time::Duration};

use compact_str::CompactString;
use http::Method;
use snafu::{ResultExt, Snafu, ensure};

pub use loopback::{LoopbackAddr, LoopbackError};
pub use report::{Comparison, Outcome, Report, Round, Spread};
pub use schedule::poisson;

use crate::usage::cpu_time;

/// Minimum number of rounds, so that the spread over rounds is meaningful.
pub const MIN_ROUNDS: u32 = 5;
/// Maximum number of rounds.
pub const MAX_ROUNDS: u32 = 100;
/// Maximum number of requests per route and round, which bounds the memory of outstanding requests.
pub const MAX_REQUESTS: u32 = 200_000;
/// Maximum rate in requests per second, which is what one sending thread achieves.
pub const MAX_RATE: f64 = 100_000.0;
/// Maximum size of request and response bodies in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Maximum planned duration of all rounds together.
pub const MAX_TOTAL_TIME: Duration = Duration::from_secs(600);
/// The time after which a request without a response is counted as failed.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A destination of the load; requests are sent to its addresses in turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name in reports.
    pub name: CompactString,
    /// The addresses.
    pub addrs: Vec<LoopbackAddr>,
}

/// The parameters of a run. In each round, all routes receive the same requests at the same planned offsets, one
/// route after the other. The order is reversed in every other round to cancel out drift in system performance.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The routes; the first one is the baseline of the comparison.
    pub routes: Vec<Route>,
    /// The value of the `Host` header.
    pub service: CompactString,
    /// The method of all requests; POST, PUT and PATCH requests have a body.
    pub method: Method,
    /// The path of all requests.
    pub path: CompactString,
    /// Whether each request has a unique `x-request-id`.
    pub has_ids: bool,
    /// The value of the `poplarbarrow-deadline-ms` header: the time left until the deadline in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The mean rate in requests per second.
    pub rate: f64,
    /// The number of requests per route and round.
    pub count: u32,
    /// The size of request bodies, and the size of response bodies requested with `?bytes=`; with 0, `?bytes=` is
    /// omitted.
    pub bytes: usize,
    /// The number of rounds.
    pub rounds: u32,
    /// Maximum number of connections to each address.
    pub connections: usize,
    /// The processes whose CPU time is measured.
    pub processes: Vec<Process>,
    /// The seed of the sending times.
    pub seed: u64,
}

/// A process whose CPU time is measured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Process {
    /// The name in reports.
    pub name: CompactString,
    /// The process id.
    pub pid: u32,
}

impl Process {
    /// Returns its CPU time in nanoseconds.
    fn cpu_time(&self) -> Result<u64, LoadError> {
        cpu_time(&self.pid.to_string()).context(ProcessSnafu { pid: self.pid })
    }
}

/// An error that prevents a plan from running.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// A value is out of bounds.
    #[snafu(display("{name} must be from {min} to {max}"))]
    Bounds {
        /// The name of the value.
        name: &'static str,
        /// Its lower bound.
        min: f64,
        /// Its upper bound.
        max: f64,
    },
    /// There are no routes, or a route has no addresses.
    #[snafu(display("no routes, or a route without addresses"))]
    NoRoute,
    /// The path is not a valid URI, or the service is not a valid header value.
    #[snafu(display("invalid path or service"))]
    Request {
        /// The cause.
        source: http::Error,
    },
    /// The CPU time of a process cannot be read.
    #[snafu(display("cannot read the CPU time of process {pid}"))]
    Process {
        /// The process id.
        pid: u32,
        /// The cause.
        source: io::Error,
    },
    /// The sending thread cannot start its runtime.
    #[snafu(display("cannot start the runtime"))]
    Runtime {
        /// The cause.
        source: io::Error,
    },
}

impl Plan {
    /// Checks that all values are within their bounds.
    ///
    /// # Errors
    ///
    /// Returns an error for the first value out of bounds.
    pub fn check(&self) -> Result<(), LoadError> {
        let bound = |name, value: f64, min: f64, max: f64| {
            ensure!((min..=max).contains(&value), BoundsSnafu { name, min, max });
            Ok(())
        };
        ensure!(!self.routes.is_empty(), NoRouteSnafu);
        ensure!(self.routes.iter().all(|r| !r.addrs.is_empty()), NoRouteSnafu);
        bound("rate", self.rate, 0.1, MAX_RATE)?;
        bound("count", f64::from(self.count), 1.0, f64::from(MAX_REQUESTS))?;
        bound("bytes", self.bytes as f64, 0.0, MAX_BODY_BYTES as f64)?;
        bound("rounds", f64::from(self.rounds), f64::from(MIN_ROUNDS), f64::from(MAX_ROUNDS))?;
        bound("connections", self.connections as f64, 1.0, 1000.0)?;
        let runs = f64::from(self.rounds) * self.routes.len() as f64;
        let span = f64::from(self.count) / self.rate * runs;
        bound("planned seconds", span, 0.0, MAX_TOTAL_TIME.as_secs_f64())
    }
}

/// Runs a plan to completion on the current thread, which is kept busy.
///
/// # Errors
///
/// Returns an error before the first request if the plan is invalid, and later if the CPU time of a process cannot
/// be read. Failed requests are only counted in the report.
pub fn run(plan: &Plan, mut progress: impl FnMut(&Round)) -> Result<Report, LoadError> {
    plan.check()?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    let drivers: Vec<_> = plan.routes.iter().map(|r| driver::Driver::new(plan, r)).collect();
    for driver in &drivers {
        runtime.block_on(driver.warm_up())?;
    }
    let mut rounds = Vec::new();
    for n in 0..plan.rounds {
        let offsets = poisson(plan.rate, plan.count, plan.seed.wrapping_add(u64::from(n)));
        let mut outcomes = vec![Outcome::default(); drivers.len()];
        let mut order: Vec<usize> = (0..drivers.len()).collect();
        if n % 2 == 1 {
            order.reverse();
        }
        for i in order {
            let before = cpu_times(plan)?;
            outcomes[i] = runtime.block_on(drivers[i].run(n, &offsets))?;
            let used = cpu_times(plan)?.into_iter().zip(before);
            let requests = f64::from(plan.count);
            let per_request =
                used.map(|(after, before)| after.saturating_sub(before) as f64 / 1e3 / requests);
            outcomes[i].cpu =
                plan.processes.iter().map(|p| p.name.clone()).zip(per_request).collect();
        }
        let round = Round::new(n + 1, outcomes);
        progress(&round);
        rounds.push(round);
    }
    Ok(Report::new(rounds))
}

fn cpu_times(plan: &Plan) -> Result<Vec<u64>, LoadError> {
    plan.processes.iter().map(Process::cpu_time).collect()
}

#[cfg(test)]
mod tests;
