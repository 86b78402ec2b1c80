use std::{collections::BTreeMap, fmt};

use compact_str::{CompactString, format_compact};
use hdrhistogram::Histogram;
use serde::Serialize;

/// The result of one route in one round. Latencies are in microseconds and measured from the planned sending time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// The name of the route.
    pub route: CompactString,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered with a 2xx status and a complete body; latencies include only these.
    pub ok: u64,
    /// Refused requests by the value of the `poplarbarrow-reason` header.
    pub refused: BTreeMap<CompactString, u64>,
    /// Other failures: `status-<code>`, `connect`, `lost` (no response), `cut` (incomplete body), `timeout`, or
    /// `mismatch` (wrong request id or body size).
    pub failed: BTreeMap<CompactString, u64>,
    /// Median latency.
    pub p50: f64,
    /// 99th percentile of the latency.
    pub p99: f64,
    /// 99.9th percentile of the latency.
    pub p999: f64,
    /// Maximum latency.
    pub max: f64,
    /// 99th percentile of the delay between the planned and the actual sending time, in microseconds. Unless it is
    /// small compared with the latency, the sender was overloaded and the round is not a valid measurement.
    pub late_p99: f64,
    /// CPU time per request in microseconds, by process.
    pub cpu: BTreeMap<CompactString, f64>,
}

impl Outcome {
    /// Sets the percentiles from histograms in nanoseconds.
    pub(super) fn set_percentiles(
        &mut self,
        latency: &Histogram<u64>,
        send_delay: &Histogram<u64>,
    ) {
        let us = |ns: u64| ns as f64 / 1000.0;
        self.p50 = us(latency.value_at_quantile(0.5));
        self.p99 = us(latency.value_at_quantile(0.99));
        self.p999 = us(latency.value_at_quantile(0.999));
        self.max = us(latency.max());
        self.late_p99 = us(send_delay.value_at_quantile(0.99));
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Outcome { route, sent, ok, p50, p99, p999, max, late_p99, .. } = self;
        write!(
            f,
            "route={route} sent={sent} ok={ok} p50_us={p50:.1} p99_us={p99:.1} p999_us={p999:.1} \
             max_us={max:.1} late_p99_us={late_p99:.1}"
        )?;
        for (reason, n) in &self.refused {
            write!(f, " refused_{reason}={n}")?;
        }
        for (failure, n) in &self.failed {
            write!(f, " failed_{failure}={n}")?;
        }
        for (process, us) in &self.cpu {
            write!(f, " cpu_us_{process}={us:.1}")?;
        }
        Ok(())
    }
}

/// A comparison of a route with the baseline in one round. Differences are in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// The name of the route.
    pub route: CompactString,
    /// Difference of the medians.
    pub p50_diff: f64,
    /// Ratio of the medians.
    pub p50_ratio: f64,
    /// Difference of the 99th percentiles.
    pub p99_diff: f64,
    /// Ratio of the 99th percentiles.
    pub p99_ratio: f64,
    /// Difference of the 99.9th percentiles.
    pub p999_diff: f64,
    /// Ratio of the 99.9th percentiles.
    pub p999_ratio: f64,
}

impl Comparison {
    fn new(base: &Outcome, other: &Outcome) -> Comparison {
        Comparison {
            route: other.route.clone(),
            p50_diff: other.p50 - base.p50,
            p50_ratio: other.p50 / base.p50,
            p99_diff: other.p99 - base.p99,
            p99_ratio: other.p99 / base.p99,
            p999_diff: other.p999 - base.p999,
            p999_ratio: other.p999 / base.p999,
        }
    }

    fn values(&self) -> [(&'static str, f64); 6] {
        [
            ("p50_diff_us", self.p50_diff),
            ("p50_ratio", self.p50_ratio),
            ("p99_diff_us", self.p99_diff),
            ("p99_ratio", self.p99_ratio),
            ("p999_diff_us", self.p999_diff),
            ("p999_ratio", self.p999_ratio),
        ]
    }
}

/// The results of all routes in one round.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Round {
    /// The number of the round, starting at 1.
    pub number: u32,
    /// The outcomes in the order of the routes.
    pub outcomes: Vec<Outcome>,
    /// The comparisons of the other routes with the first one.
    pub comparisons: Vec<Comparison>,
}

impl Round {
    pub(super) fn new(number: u32, outcomes: Vec<Outcome>) -> Round {
        let comparisons = match outcomes.split_first() {
            Some((base, others)) => others.iter().map(|o| Comparison::new(base, o)).collect(),
            None => Vec::new(),
        };
        Round { number, outcomes, comparisons }
    }
}

impl fmt::Display for Round {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for outcome in &self.outcomes {
            writeln!(f, "round={} {outcome}", self.number)?;
        }
        for comparison in &self.comparisons {
            write!(f, "round={} compare={}", self.number, comparison.route)?;
            for (name, value) in comparison.values() {
                write!(f, " {name}={value:.2}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

/// The median, minimum and maximum of a figure over the rounds.
#[derive(Copy, Clone, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// The median; with an even number of values, the mean of the middle two.
    pub median: f64,
    /// The minimum.
    pub min: f64,
    /// The maximum.
    pub max: f64,
}

impl Spread {
    /// Returns the spread of the values, or `None` if there are none.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Option<Spread> {
        let mut v: Vec<f64> = values.into_iter().collect();
        v.sort_by(f64::total_cmp);
        let (&min, &max) = (v.first()?, v.last()?);
        let median = f64::midpoint(v[(v.len() - 1) / 2], v[v.len() / 2]);
        Some(Spread { median, min, max })
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2} [{:.2}, {:.2}]", self.median, self.min, self.max)
    }
}

/// The results of a run: all rounds, and the spread of each figure over them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The rounds.
    pub rounds: Vec<Round>,
    /// The spread over the rounds by route and name of the figure.
    pub summary: BTreeMap<CompactString, BTreeMap<CompactString, Spread>>,
}

impl Report {
    pub(super) fn new(rounds: Vec<Round>) -> Report {
        let mut figures: BTreeMap<CompactString, BTreeMap<CompactString, Vec<f64>>> =
            BTreeMap::new();
        for round in &rounds {
            for o in &round.outcomes {
                let route = figures.entry(o.route.clone()).or_default();
                for (name, value) in [("p50_us", o.p50), ("p99_us", o.p99), ("p999_us", o.p999)] {
                    route.entry(name.into()).or_default().push(value);
                }
                for (process, us) in &o.cpu {
                    let name = format_compact!("cpu_us_{process}");
                    route.entry(name).or_default().push(*us);
                }
            }
            for c in &round.comparisons {
                let route = figures.entry(c.route.clone()).or_default();
                for (name, value) in c.values() {
                    route.entry(name.into()).or_default().push(value);
                }
            }
        }
        let spread = |values: BTreeMap<CompactString, Vec<f64>>| {
            values.into_iter().filter_map(|(n, v)| Some((n, Spread::of(v)?))).collect()
        };
        let summary = figures.into_iter().map(|(route, v)| (route, spread(v))).collect();
        Report { rounds, summary }
    }
}

impl fmt::Display for Report {
    /// Writes the summary only; rounds are written as they finish.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (route, figures) in &self.summary {
            for (name, s) in figures {
                writeln!(
                    f,
                    "summary={route} figure={name} median={:.2} min={:.2} max={:.2}",
                    s.median, s.min, s.max
                )?;
            }
        }
        Ok(())
    }
}
