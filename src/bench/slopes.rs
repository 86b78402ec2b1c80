//! The cost of each mechanism as a line over its size, and what the lines give at the size to be reached.
//!
//! `docs/CAPACITY.md` is written from the output of [`run`] and names the mechanism behind each figure.

use std::{
    fs,
    io::{self, Write},
    time::Instant,
};

use serde::Serialize;

mod calls;
mod config;
mod control;
mod decide;
mod faults;
mod fit;
mod judge;
mod node;
mod region;
pub mod scale;
mod spread;

#[cfg(test)]
mod tests;

pub use fit::Line;

/// The runs of a measurement of processor time. The least is kept: other processes only ever add time.
const RUNS: usize = 9;

/// One cost over a size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// The name by which the model refers to the cost.
    pub id: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// What the sizes count.
    pub size: &'static str,
    /// The sizes and the values measured at them.
    pub points: Vec<(f64, f64)>,
    /// The line through the points.
    pub line: Line,
}

impl Slope {
    /// Fits a line through points of at least two different sizes.
    pub fn new(
        id: &'static str,
        unit: &'static str,
        size: &'static str,
        points: Vec<(f64, f64)>,
    ) -> Slope {
        Slope { id, unit, size, line: Line::fit(&points), points }
    }

    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.line.at(size)
    }

    /// Returns the smallest and the largest size that was measured.
    pub fn range(&self) -> (f64, f64) {
        let sizes = self.points.iter().map(|point| point.0);
        (sizes.clone().fold(f64::INFINITY, f64::min), sizes.fold(f64::NEG_INFINITY, f64::max))
    }
}

/// The result of one run of all measurements.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slopes {
    /// The seed.
    pub seed: u64,
    /// The load average of the machine over one minute before and after the run; processor times depend on it.
    pub load: (f64, f64),
    /// The costs.
    pub slopes: Vec<Slope>,
    /// What the costs give at the size to be reached.
    pub figures: Vec<scale::Figure>,
}

/// Runs all measurements; those of resident memory come first, while the process is small.
///
/// # Errors
///
/// Fails if a socket or a thread cannot be used.
pub fn run(seed: u64, mut progress: impl FnMut(&str)) -> io::Result<Slopes> {
    let before = load_average();
    let mut slopes = Vec::new();
    let mut step = |name: &str, measured: Vec<Slope>| {
        progress(name);
        slopes.extend(measured);
    };
    step("resident memory of a node", node::resident(seed)?);
    step("documents", config::documents());
    step("pulls", config::pulls()?);
    step("rollouts", judge::measure(seed));
    step("calls through two nodes", calls::measure(seed)?);
    step("membership", control::membership(seed));
    step("joins", control::joins(seed));
    step("identities", control::identities());
    step("claims and reports", control::budgets());
    step("contacts", control::contacts());
    step("log lines", control::log_lines());
    step("directory", decide::directory());
    step("decisions", decide::decisions(seed));
    step("spread of a revision", spread::measure(seed));
    step("faults of a region", faults::measure(seed));
    let figures = scale::figures(&slopes);
    Ok(Slopes { seed, load: (before, load_average()), slopes, figures })
}

impl Slopes {
    /// Writes two Markdown tables: the slopes, and the figures at scale.
    ///
    /// # Errors
    ///
    /// Returns the error of the writer.
    pub fn write(&self, out: &mut impl Write) -> io::Result<()> {
        let (before, after) = self.load;
        writeln!(
            out,
            "seed {}, load average {before:.1} before and {after:.1} after\n",
            self.seed
        )?;
        writeln!(out, "| cost | unit | size | measured at size: value | slope | intercept | R2 |")?;
        writeln!(out, "|---|---|---|---|---|---|---|")?;
        for Slope { id, unit, size, points, line } in &self.slopes {
            let points = points.iter().map(|(x, y)| format!("{}: {}", short(*x), short(*y)));
            let points = points.collect::<Vec<_>>().join(", ");
            let Line { slope, intercept, r2 } = *line;
            let (slope, intercept) = (short(slope), short(intercept));
            writeln!(
                out,
                "| {id} | {unit} | {size} | {points} | {slope} | {intercept} | {r2:.3} |"
            )?;
        }
        writeln!(out, "\n| role | quantity | value | limit | basis | formula |")?;
        writeln!(out, "|---|---|---|---|---|---|")?;
        for figure in &self.figures {
            writeln!(out, "{figure}")?;
        }
        Ok(())
    }
}

/// Writes a number with four significant digits.
fn short(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return format!("{value}");
    }
    let digits = 3 - value.abs().log10().floor() as i32;
    if digits <= 0 { format!("{value:.0}") } else { format!("{value:.0$}", digits as usize) }
}

fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|load| load.parse().ok()).unwrap_or(f64::NAN)
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    // The size of a page is 4 KiB on the platforms in use; it cannot be asked for without unsafe code.
    const PAGE: f64 = 4_096.0;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).map_or(f64::NAN, |n: f64| n * PAGE)
}

/// Returns the least time of one operation in microseconds over several runs of `count` operations.
fn time_us(count: u32, mut run: impl FnMut(u32)) -> f64 {
    let runs = (0..RUNS).map(|_| {
        let start = Instant::now();
        run(count);
        start.elapsed().as_secs_f64() * 1e6 / f64::from(count)
    });
    runs.fold(f64::INFINITY, f64::min)
}
