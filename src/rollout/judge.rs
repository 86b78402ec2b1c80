//! The statistical comparison of a new version with the old ones.
//!
//! The version of each request is drawn at random, so a sound version and the old ones have equal probabilities of
//! errors and slow answers. Fisher's exact test gives the probability that a difference as large as the one
//! observed arises by chance. The significance level is divided by the number of tests in the whole rollout
//! (Bonferroni correction), so that the repeated evaluations of several routes by all nodes together raise a false
//! alarm with a probability of at most [`MAX_FALSE_ALARM_RATE`] per rollout.

use std::collections::BTreeMap;

use poplarbarrow_mesh::statistics;
use serde::{Deserialize, Serialize};

use super::evidence::{Counts, LATENCY_BUCKETS, Stratum, Tally};

/// The maximum probability that a version no worse than the old one is rolled back, for one rollout and all
/// nodes of a region together.
pub const MAX_FALSE_ALARM_RATE: f64 = 0.01;

/// The minimum number of ended requests of the new version, and of the old ones, for a comparison.
pub const MIN_SAMPLES: u64 = 20;

/// The minimum increase of the error rate that leads to a rollback. A smaller one does not justify it, however
/// significant it is.
pub const MIN_ERROR_EXCESS: f64 = 0.01;

/// The minimum ratio of the geometric mean latencies, new to old, that leads to a rollback.
pub const MIN_LATENCY_RATIO: f64 = 1.5;

/// The minimum increase of the share of slow answers that leads to a rollback.
pub const MIN_TAIL_EXCESS: f64 = 0.05;

/// The number of measures compared at each evaluation.
pub const MEASURE_COUNT: u64 = 3;

/// The p-value below which errors are attributed to a single route.
const MAX_CONFINED_P: f64 = 1e-3;

/// The p-value from which all other routes together count as sound.
const MIN_ELSEWHERE_P: f64 = 0.05;

/// The measure by which a version is worse.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// The share of failed requests.
    Errors,
    /// The share of answers slower than the median of all versions together.
    Latency,
    /// The share of answers among the slowest tenth of all versions together.
    Tail,
}

impl Measure {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Measure::Errors => "errors",
            Measure::Latency => "latency",
            Measure::Tail => "tail",
        }
    }
}

/// A proportion of requests.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proportion {
    /// The requests that failed or were slow.
    pub hits: u32,
    /// All requests.
    #[serde(rename = "of")]
    pub trials: u32,
}

impl Proportion {
    fn new(hits: u64, trials: u64) -> Proportion {
        let count = |n| u32::try_from(n).unwrap_or(u32::MAX);
        Proportion { hits: count(hits), trials: count(trials) }
    }

    /// Returns the share of hits.
    pub fn share(self) -> f64 {
        f64::from(self.hits) / f64::from(self.trials.max(1))
    }
}

/// The evidence that a version is worse.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The measure that is worse.
    pub measure: Measure,
    /// The hash of the route, or `None` for all routes together.
    pub route: Option<u16>,
    /// The counts of the new version.
    pub new: Proportion,
    /// The counts of the older versions over the same period.
    pub old: Proportion,
}

/// The result of one comparison.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Whether both sides had at least [`MIN_SAMPLES`] ended requests.
    pub has_enough_samples: bool,
    /// The finding that the new version fails more often.
    pub errors: Option<Finding>,
    /// The finding that the new version is slower.
    pub latency: Option<Finding>,
}

/// Compares the versions at the significance level `alpha`.
pub fn compare(tally: &Tally, route: Option<u16>, alpha: f64) -> Comparison {
    let Tally { new, old } = tally;
    let finding = |measure, new, old| Finding { measure, route, new, old };
    let enough = |new: u64, old: u64| new >= MIN_SAMPLES && old >= MIN_SAMPLES;
    let mut comparison = Comparison::default();
    if enough(new.ended.into(), old.ended.into()) {
        comparison.has_enough_samples = true;
        let (a, b) = (error_rate(new), error_rate(old));
        if is_worse(a, b, MIN_ERROR_EXCESS, alpha) {
            comparison.errors = Some(finding(Measure::Errors, a, b));
        }
    }
    if enough(new.answers(), old.answers()) {
        let mut pooled = new.clone();
        pooled.add(old);
        let slower_than =
            |counts: &Counts, bucket| Proportion::new(counts.count_above(bucket), counts.answers());
        // The threshold depends on the answers of all versions pooled, not on the version that gave them, so the
        // test remains exact.
        let median = quantile_bucket(&pooled, 0.5);
        let (a, b) = (slower_than(new, median), slower_than(old, median));
        let slowdown_log2 = new.mean_bucket() - old.mean_bucket();
        if slowdown_log2 >= MIN_LATENCY_RATIO.log2() && is_worse(a, b, 0.0, alpha) {
            comparison.latency = Some(finding(Measure::Latency, a, b));
        }
        let slowest = quantile_bucket(&pooled, 0.1);
        let (a, b) = (slower_than(new, slowest), slower_than(old, slowest));
        if comparison.latency.is_none() && is_worse(a, b, MIN_TAIL_EXCESS, alpha) {
            comparison.latency = Some(finding(Measure::Tail, a, b));
        }
    }
    comparison
}

/// Adds the route to a finding over all routes together, if the errors are confined to one.
///
/// This is for information only: whether a version is rolled back does not depend on it.
pub fn attribute_to_route(finding: Finding, sums: &BTreeMap<Stratum, Tally>) -> Finding {
    let sum_over = |is_included: &dyn Fn(u16) -> bool| {
        let mut sum = Tally::default();
        sums.iter().filter(|(s, _)| is_included(s.route)).for_each(|(_, tally)| sum.add(tally));
        sum
    };
    let is_worse =
        |tally: &Tally, alpha| fisher_exact(error_rate(&tally.new), error_rate(&tally.old)) < alpha;
    let is_confined = |route: u16| {
        is_worse(&sum_over(&|r| r == route), MAX_CONFINED_P)
            && !is_worse(&sum_over(&|r| r != route), MIN_ELSEWHERE_P)
    };
    let mut routes = sums.keys().map(|stratum| stratum.route);
    match finding.route {
        None if sums.len() > 1 => Finding { route: routes.find(|&r| is_confined(r)), ..finding },
        _ => finding,
    }
}

fn error_rate(counts: &Counts) -> Proportion {
    Proportion { hits: counts.errors, trials: counts.ended }
}

/// Returns the lowest bucket above which at most `share` of the answers lie.
fn quantile_bucket(counts: &Counts, share: f64) -> usize {
    let max_above = counts.answers() as f64 * share;
    (0..LATENCY_BUCKETS)
        .find(|&bucket| counts.count_above(bucket) as f64 <= max_above)
        .unwrap_or(LATENCY_BUCKETS - 1)
}

fn is_worse(new: Proportion, old: Proportion, min_excess: f64, alpha: f64) -> bool {
    let difference = new.share() - old.share();
    difference > 0.0 && difference >= min_excess && fisher_exact(new, old) < alpha
}

/// Returns the one-sided p-value: the probability that the new version has at least as many of all hits by chance.
pub fn fisher_exact(new: Proportion, old: Proportion) -> f64 {
    let proportion =
        |p: Proportion| statistics::Proportion { hits: p.hits.into(), trials: p.trials.into() };
    statistics::fisher_exact(proportion(new), proportion(old))
}
