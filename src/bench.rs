//! The benchmark of the decisions: policies side by side over the same calls and faults.
//!
//! It models targets, their queues and stale reports with the real routing, admission and retry modules, but no
//! network and no processes. `docs/measurements.md` records findings.

use std::io::{self, Write};

use crate::routing::Policy;

mod model;
pub mod slopes;

#[cfg(test)]
mod tests;

use model::Model;

/// The seeds in one benchmark, each a round.
pub const ROUNDS: u64 = 5;

/// The loads of the goodput curve as multiples of the capacity.
const LOADS: [f64; 5] = [0.5, 1.0, 1.5, 2.0, 3.0];

/// A service to model.
#[derive(Copy, Clone, Debug)]
pub struct Case {
    /// The name for tables and the command line.
    pub name: &'static str,
    /// The targets.
    pub targets: usize,
    /// The calling nodes.
    pub callers: usize,
    /// The load as a multiple of the capacity of all targets.
    pub load: f64,
    /// The measured time in milliseconds.
    pub millis: u64,
    /// Whether targets slow down and return to cold start.
    pub faults: bool,
    /// The measuring budget of each node in bytes per second.
    pub measure_bytes: u32,
}

/// The services of `docs/design.md`, section 2.5, and a large one.
pub const CASES: [Case; 5] = [
    case("catalogue", 4, 8, 10_000),
    case("payments", 3, 8, 10_000),
    case("timetable", 5, 8, 10_000),
    case("roster", 4, 4, 10_000),
    case("large", 100, 50, 1_000),
];

const fn case(name: &'static str, targets: usize, callers: usize, millis: u64) -> Case {
    Case { name, targets, callers, load: 0.6, millis, faults: true, measure_bytes: 4_096 }
}

/// What selects targets in one run.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Chooser {
    /// A policy.
    Policy(Policy),
    /// The default policy with hedging.
    Hedged,
    /// The present state of all targets, which no real node knows. It is the floor for comparison.
    Perfect,
}

impl Chooser {
    /// All choosers, the floor last.
    pub const ALL: [Chooser; 6] = [
        Chooser::Policy(Policy::Random),
        Chooser::Policy(Policy::RoundRobin),
        Chooser::Policy(Policy::TwoChoices),
        Chooser::Policy(Policy::LeastLoaded),
        Chooser::Hedged,
        Chooser::Perfect,
    ];

    const fn policy(self) -> Policy {
        match self {
            Chooser::Policy(policy) => policy,
            Chooser::Hedged | Chooser::Perfect => Policy::LeastLoaded,
        }
    }

    const fn as_str(self) -> &'static str {
        match self {
            Chooser::Policy(policy) => policy.as_str(),
            Chooser::Hedged => "least-loaded+hedge",
            Chooser::Perfect => "perfect knowledge",
        }
    }
}

/// The result of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Calls with a result.
    pub calls: u64,
    /// Answers within the deadline.
    pub good: u64,
    /// Calls refused or failed after all attempts.
    pub refused: u64,
    /// Attempts sent, with retries and hedges.
    pub attempts: u64,
    /// Attempts sent to targets that were cold or slow at that time.
    pub degraded: u64,
    /// Response times of answered calls in microseconds.
    pub latencies: Vec<u32>,
    /// The highest spending of a target's node on reports in bytes per second.
    pub target_bytes: f64,
    /// The highest spending of a calling node on probes in bytes per second.
    pub caller_bytes: f64,
    /// The calls that the targets could answer in the measured time.
    pub capacity: f64,
}

impl Outcome {
    /// Returns a percentile of the response times in milliseconds.
    pub fn percentile(&self, percent: f64) -> f64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * percent / 100.0).ceil() as usize;
        sorted.get(rank.saturating_sub(1)).map_or(f64::NAN, |&us| f64::from(us) / 1e3)
    }
}

/// Runs one case.
pub fn run(case: Case, chooser: Chooser, admission: bool, seed: u64) -> Outcome {
    Model::new(case, chooser, admission, seed).run()
}

/// Prints the comparison of the policies for a case over [`ROUNDS`] seeds, as median and spread.
///
/// # Errors
///
/// Returns the error of the writer.
pub fn compare(out: &mut impl Write, case: Case, seed: u64) -> io::Result<()> {
    let Case { name, targets, callers, load, .. } = case;
    writeln!(
        out,
        "\n{name}: {targets} targets, {callers} callers, load {load}, seeds {seed}..={}",
        seed + ROUNDS - 1
    )?;
    writeln!(
        out,
        "{:<19} {:>21} {:>21} {:>23} {:>12} {:>19} {:>9} {:>9} {:>9}",
        "policy",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "p99/floor",
        "refused %",
        "degr. %",
        "report B/s",
        "probe B/s"
    )?;
    let runs = Chooser::ALL.map(|chooser| {
        (seed..seed + ROUNDS).map(|seed| run(case, chooser, true, seed)).collect::<Vec<_>>()
    });
    let floor = &runs[Chooser::ALL.len() - 1];
    for (chooser, runs) in Chooser::ALL.iter().zip(&runs) {
        let each = |f: &dyn Fn(&Outcome) -> f64| runs.iter().map(f).collect::<Vec<_>>();
        let ratios =
            runs.iter().zip(floor).map(|(r, f)| r.percentile(99.0) / f.percentile(99.0)).collect();
        writeln!(
            out,
            "{:<19} {:>21} {:>21} {:>23} {:>12.2} {:>19} {:>9.2} {:>9.0} {:>9.0}",
            chooser.as_str(),
            spread(each(&|o| o.percentile(50.0))),
            spread(each(&|o| o.percentile(99.0))),
            spread(each(&|o| o.percentile(99.9))),
            median(ratios),
            spread(each(&|o| 100.0 * o.refused as f64 / o.calls as f64)),
            median(each(&|o| 100.0 * o.degraded as f64 / o.attempts as f64)),
            median(each(&|o| o.target_bytes)),
            median(each(&|o| o.caller_bytes)),
        )?;
    }
    Ok(())
}

/// Prints the goodput at multiples of the capacity with and without admission control.
///
/// # Errors
///
/// Returns the error of the writer.
pub fn goodput(out: &mut impl Write, case: Case, seed: u64) -> io::Result<()> {
    writeln!(out, "\n{}: answers within the deadline, % of capacity, no faults", case.name)?;
    writeln!(
        out,
        "{:>5} {:>22} {:>22} {:>18} {:>18}",
        "load", "with admission", "without", "p99 ms with", "attempts per call"
    )?;
    for load in LOADS {
        let case = Case { load, faults: false, millis: case.millis.min(2_000), ..case };
        let runs = |admission| -> Vec<_> {
            (seed..seed + ROUNDS)
                .map(|seed| run(case, Chooser::Policy(Policy::LeastLoaded), admission, seed))
                .collect()
        };
        let (with, without) = (runs(true), runs(false));
        let good = |runs: &[Outcome]| {
            spread(runs.iter().map(|o| 100.0 * o.good as f64 / o.capacity).collect())
        };
        let attempts = with.iter().map(|o| o.attempts as f64 / o.calls as f64).collect();
        writeln!(
            out,
            "{load:>5} {:>22} {:>22} {:>18.1} {:>18.2}",
            good(&with),
            good(&without),
            median(with.iter().map(|o| o.percentile(99.0)).collect()),
            median(attempts),
        )?;
    }
    Ok(())
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Formats the median and the range of a figure over the rounds.
fn spread(values: Vec<f64>) -> String {
    let low = values.iter().copied().fold(f64::INFINITY, f64::min);
    let high = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    format!("{:.1} [{low:.1}..{high:.1}]", median(values))
}
