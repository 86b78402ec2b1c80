//! Selection of a target at the entry node: the one with the lowest expected time to the answer.

use std::time::Duration;

use rand::{Rng as _, rngs::SmallRng};

use crate::{
    keys::{MemberId, MemberKey},
    report::LoadReport,
    time::Time,
};

/// The gain in time that is required to send a request of any size to another data centre.
const CENTRE_COST: Duration = Duration::from_millis(20);

/// The additional gain that is required per kilobyte of request and answer. Traffic between data centres is billed by
/// volume, so a gain that justifies sending a small lookup may not justify sending a large document.
const KILOBYTE_COST: Duration = Duration::from_millis(4);

/// The highest cost of the size.
const MAX_SIZE_COST: Duration = Duration::from_millis(100);

/// The cost of sending a request through another node instead of to the local target.
const HOP_COST: Duration = Duration::from_millis(3);

/// The share of the time to the objective within which targets in the own data centre are preferred to remote ones.
const NEAR_SHARE: f64 = 0.6;

/// The cost of a certain failure. A target that fails all requests immediately has no queue and would otherwise attract
/// all requests.
const FAILURE_COST: Duration = Duration::from_secs(3);

/// The age from which a load report is stale and its slowdown is not used.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// The excess over the lowest cost up to which targets count as equal, as a share of that cost. One of them is drawn at
/// random, so that nodes with the same reports do not all choose the same target.
const EQUAL_SHARE: f64 = 0.1;

/// The most candidates compared in one decision, so that its run time does not grow with the service.
pub(crate) const MAX_CANDIDATES: usize = 32;

/// How far a target is from this node.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Distance {
    /// Local to this node.
    Local,
    /// In the same data centre.
    SameCentre,
    /// In another data centre.
    OtherCentre,
}

/// A target that may be chosen.
#[derive(Copy, Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) key: MemberKey,
    /// Sorts the candidates in the same order at every node.
    pub(crate) id: MemberId,
    /// The last load report with its age.
    pub(crate) load: Option<(Duration, LoadReport)>,
    /// The requests that this node has sent to the target since that report.
    pub(crate) sent: u32,
    pub(crate) distance: Distance,
    /// Whether the member has been silent or unreachable. It is used only if no other target is available.
    pub(crate) is_unresponsive: bool,
}

/// A chosen target.
#[derive(Copy, Clone, Debug, PartialEq)]
pub(crate) struct Choice {
    pub(crate) key: MemberKey,
    /// The expected time to the answer plus the costs of distance and failures.
    pub(crate) cost: Duration,
    /// The number of candidates that were compared.
    pub(crate) compared: usize,
}

/// The expected demand of a request.
#[derive(Copy, Clone, Debug, PartialEq)]
pub(crate) struct Demand {
    /// The nominal service time.
    pub(crate) nominal_service: Duration,
    /// The time left until the objective.
    pub(crate) time_left: Duration,
    /// The size of request and answer in bytes.
    pub(crate) size: u32,
}

/// Chooses a target with the lowest cost. Targets in the own data centre that are fast enough are preferred.
pub(crate) fn choose(
    candidates: &[Candidate],
    demand: &Demand,
    rng: &mut SmallRng,
) -> Option<Choice> {
    let has_responsive = candidates.iter().any(|candidate| !candidate.is_unresponsive);
    let bound = demand.time_left.mul_f64(NEAR_SHARE);
    let is_near = |c: &Candidate| c.distance != Distance::OtherCentre && cost(c, demand) <= bound;
    let has_near = candidates.iter().any(|c| !c.is_unresponsive && is_near(c));
    let eligible = candidates.iter().filter(|c| {
        if has_near {
            !c.is_unresponsive && is_near(c)
        } else {
            !has_responsive || !c.is_unresponsive
        }
    });
    let count = eligible.clone().count();
    let first = if count > MAX_CANDIDATES { rng.random_range(0..count) } else { 0 };
    let costs = eligible.cycle().skip(first).take(count.min(MAX_CANDIDATES));
    let costs: Vec<(MemberKey, Duration)> =
        costs.map(|candidate| (candidate.key, cost(candidate, demand))).collect();
    let best = costs.iter().map(|&(_, cost)| cost).min()?;
    let bound = best + best.mul_f64(EQUAL_SHARE);
    let equal: Vec<_> = costs.iter().filter(|(_, cost)| *cost <= bound).collect();
    let &(key, cost) = equal[rng.random_range(0..equal.len())];
    Some(Choice { key, cost, compared: costs.len() })
}

/// Returns the expected time to the answer of a candidate plus the costs of distance and failures.
pub(crate) fn cost(candidate: &Candidate, demand: &Demand) -> Duration {
    let nominal = demand.nominal_service;
    let size_cost = KILOBYTE_COST.mul_f64(f64::from(demand.size) / 1_000.0).min(MAX_SIZE_COST);
    let distance_cost = match candidate.distance {
        Distance::Local => Duration::ZERO,
        Distance::SameCentre => HOP_COST,
        Distance::OtherCentre => HOP_COST + CENTRE_COST + size_cost,
    };
    let Some((age, load)) = candidate.load else {
        return distance_cost + nominal * (1 + candidate.sent);
    };
    let is_stale = age > MAX_REPORT_AGE;
    let slowdown = if is_stale { 1.0 } else { f64::from(load.slowdown.max(10)) / 100.0 };
    let mean = Duration::from_micros(load.service_us.into()).mul_f64(slowdown);
    let service = nominal.mul_f64(slowdown);
    let limit = u32::from(load.limit.max(1));
    let in_progress = u32::from(load.running) + u32::from(load.queued) + candidate.sent;
    let ahead = (in_progress + 1).saturating_sub(limit);
    // Some of the reported requests have ended since the report. Running requests also slow each other down a little.
    let wait = mean.mul_f64(f64::from(ahead) / f64::from(limit));
    let contention = mean.mul_f64(0.1 * f64::from(in_progress.min(limit)) / f64::from(limit));
    let failures = FAILURE_COST.mul_f64(f64::from(load.failure_permille) / 1_000.0);
    distance_cost + wait + contention + service + failures
}

/// Returns a load report with its age instead of the time of its arrival.
pub(crate) fn with_age(
    now: Time,
    load: Option<(Time, LoadReport)>,
) -> Option<(Duration, LoadReport)> {
    load.map(|(arrived, load)| (now.since(arrived), load))
}

#[cfg(test)]
mod tests;
