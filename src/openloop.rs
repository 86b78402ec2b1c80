//! An open-loop load driver for loopback addresses.
//!
//! The sending times are fixed beforehand, and latency counts from the planned time, so that a slow answer
//! delays no later request and its effect on them is not hidden (coordinated omission). One thread both sends
//! and receives and spins between sending times, because tokio's timer has a resolution of 1 ms.

mod driver;
mod loopback;
mod report;
mod schedule;

use std::{io, time::Duration};

use compact_str::CompactString;
use http::Method;
use snafu::{ResultExt, Snafu, ensure};

pub use loopback::{Loopback, LoopbackError};
pub use report::{Comparison, Outcome, Report, Round, Spread};
pub use schedule::poisson;

/// The fewest rounds, so that the spread over rounds means something.
pub const MIN_ROUNDS: u32 = 5;
/// The most rounds.
pub const MAX_ROUNDS: u32 = 100;
/// The most requests of one route in one round, which bounds the memory of requests without an answer.
pub const MAX_COUNT: u32 = 200_000;
/// The highest rate in requests per second; one sending thread manages no more.
pub const MAX_RATE: f64 = 100_000.0;
/// The largest request and answer body in bytes.
pub const MAX_BYTES: usize = 1 << 20;
/// The longest planned duration of all rounds together.
pub const MAX_SPAN: Duration = Duration::from_secs(600);
/// The time after which a request without an answer counts as lost.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// One way to the targets: requests go to its addresses in turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name in reports.
    pub name: CompactString,
    /// The addresses.
    pub addrs: Vec<Loopback>,
}

/// A plan of rounds. In each round every route gets the same requests at the same planned offsets, one route
/// after the other; the order is reversed in every other round, so that drift of the machine cancels out.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The routes; the first one is the baseline of the comparison.
    pub routes: Vec<Route>,
    /// The value of the `Host` header.
    pub service: CompactString,
    /// The method of all requests; POST, PUT and PATCH have a body.
    pub method: Method,
    /// The path of all requests.
    pub path: CompactString,
    /// Whether each request has a unique `x-request-id`.
    pub ids: bool,
    /// The remaining time stated in `poplarbarrow-deadline-ms`, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The mean rate in requests per second.
    pub rate: f64,
    /// Requests per route and round.
    pub count: u32,
    /// The size of request bodies, and the size of answers asked for with `?bytes=`; 0 asks for none.
    pub bytes: usize,
    /// The number of rounds.
    pub rounds: u32,
    /// The most connections to each address.
    pub connections: usize,
    /// The seed of the sending times.
    pub seed: u64,
}

/// A plan that cannot run.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// A value lies outside its bounds.
    #[snafu(display("{name} must be from {min} to {max}"))]
    Bounds {
        /// The value.
        name: &'static str,
        /// Its lower bound.
        min: f64,
        /// Its upper bound.
        max: f64,
    },
    /// A route has no address, or there is no route.
    #[snafu(display("no address to send to"))]
    NoRoute,
    /// The path is no valid URI or the service no valid header value.
    #[snafu(display("invalid path or service"))]
    Request {
        /// The cause.
        source: http::Error,
    },
    /// The sending thread cannot start its runtime.
    #[snafu(display("cannot start the runtime"))]
    Runtime {
        /// The cause.
        source: io::Error,
    },
}

impl Plan {
    /// Checks all bounds.
    ///
    /// # Errors
    ///
    /// Fails on the first value outside its bounds.
    pub fn check(&self) -> Result<(), LoadError> {
        let bound = |name, value: f64, min: f64, max: f64| {
            ensure!((min..=max).contains(&value), BoundsSnafu { name, min, max });
            Ok(())
        };
        ensure!(!self.routes.is_empty(), NoRouteSnafu);
        ensure!(self.routes.iter().all(|r| !r.addrs.is_empty()), NoRouteSnafu);
        bound("rate", self.rate, 0.1, MAX_RATE)?;
        bound("count", f64::from(self.count), 1.0, f64::from(MAX_COUNT))?;
        bound("bytes", self.bytes as f64, 0.0, MAX_BYTES as f64)?;
        bound("rounds", f64::from(self.rounds), f64::from(MIN_ROUNDS), f64::from(MAX_ROUNDS))?;
        bound("connections", self.connections as f64, 1.0, 1000.0)?;
        let runs = f64::from(self.rounds) * self.routes.len() as f64;
        let span = f64::from(self.count) / self.rate * runs;
        bound("planned seconds", span, 0.0, MAX_SPAN.as_secs_f64())
    }
}

/// Runs a plan to its end on the current thread, which it keeps busy.
///
/// # Errors
///
/// Fails before the first request if the plan is invalid. Failed requests are counted in the report.
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
            outcomes[i] = runtime.block_on(drivers[i].run(n, &offsets))?;
        }
        let round = Round::new(n + 1, outcomes);
        progress(&round);
        rounds.push(round);
    }
    Ok(Report::new(rounds))
}

#[cfg(test)]
mod tests;
