//! A calling node's estimate of the load and health of one target.

use std::{collections::VecDeque, time::Duration};

use crate::{load::LoadReport, time::Time};

/// The concurrency limit assumed for a target without a report: the slots per target of `docs/design.md`,
/// section 2.5.
const ASSUMED_LIMIT: f64 = 12.0;

/// The service time assumed for a target without any measurement.
const ASSUMED_LATENCY_US: f64 = 5_000.0;

/// The age of a report on its arrival: one way between data centres takes about 1 ms.
const REPORT_AGE_ON_ARRIVAL: Duration = Duration::from_millis(1);

/// The age at which the weight of a load measurement is halved. Load changes within milliseconds, and a target that is
/// avoided because of an old measurement must be tried again.
const LOAD_HALF_AGE_US: f64 = 20_000.0;

/// The weight of a new latency in the fast moving average.
const FAST_MEAN_WEIGHT: f64 = 0.2;

/// The weight of a new latency in the slow moving average, towards which the fast one decays with age.
const SLOW_MEAN_WEIGHT: f64 = 0.01;

/// The weight of a new outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.2;

/// The age at which the weight of a failure share is halved.
const FAILURE_HALF_AGE_US: f64 = 1_000_000.0;

/// The penalty of a target that fails every request: its score is multiplied by one plus this value. A target that
/// fails fast has no queue and would otherwise attract all requests.
const FAILURE_PENALTY: f64 = 30.0;

/// The failure share assumed when only the health endpoint says that the target has failed.
const UNHEALTHY_FAILURE_SHARE: f64 = 0.5;

/// The time for which an observed outcome takes precedence over the health endpoint.
const OBSERVATION_PRIORITY: Duration = Duration::from_secs(1);

/// A target with outstanding requests counts as stalled after this multiple of the slow moving average without any
/// answer.
const STALL_FACTOR: f64 = 4.0;

/// The minimum time without any answer that counts as a stall; shorter gaps are scheduling noise.
const MIN_STALL_US: f64 = 2_000.0;

/// The age of the last report from which a probe is useful.
const STALE_REPORT_AGE: Duration = Duration::from_millis(200);

/// The outcome of a request as the calling node observed it.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum ObservedOutcome {
    /// The target answered.
    Answer,
    /// The target failed, or the connection was reset.
    Failure,
    /// The target's node refused the request before it ran, or the caller cancelled it.
    NotRun,
}

/// The state that a target's health endpoint reports. It may lag or be wrong.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// The endpoint reports no failure, or its state is unknown.
    #[default]
    Healthy,
    /// The endpoint reports a failure.
    Failed,
}

/// A calling node's estimate of one target.
///
/// The node's own observations take precedence over the target's report and health endpoint, which lag and can be
/// wrong.
#[derive(Clone, Debug, Default)]
pub struct TargetView {
    report: Option<(LoadReport, Time)>,
    health: Health,
    /// The send times of outstanding requests, oldest first.
    outstanding: VecDeque<Time>,
    /// The requests of other calling nodes at the time of the last report.
    others: f64,
    /// The moving average of `others` over all reports.
    others_mean: f64,
    /// The fast moving average of the latency.
    fast_us: f64,
    /// The slow moving average of the latency.
    slow_us: f64,
    /// The time of the last answer.
    last_answer: Option<Time>,
    /// The moving average of failures, from 0 to 1, at the time of the last outcome.
    failure_mean: f64,
    /// The time of the last answer or failure.
    last_outcome: Option<Time>,
    /// The failures since the view was created.
    failures: u64,
}

impl TargetView {
    /// Creates the view of a target about which nothing is known.
    pub fn new() -> TargetView {
        TargetView::default()
    }

    /// Records a request sent to the target.
    pub fn sent(&mut self, now: Time) {
        self.outstanding.push_back(now);
    }

    /// Records the outcome of a request that was sent at `sent`.
    pub fn finished(&mut self, now: Time, sent: Time, outcome: ObservedOutcome) {
        let index = self.outstanding.partition_point(|&t| t < sent);
        if self.outstanding.get(index) == Some(&sent) {
            self.outstanding.remove(index);
        }
        let failure = match outcome {
            ObservedOutcome::NotRun => return,
            ObservedOutcome::Answer => 0.0,
            ObservedOutcome::Failure => 1.0,
        };
        self.failure_mean =
            self.own_failure_share(now) * (1.0 - FAILURE_WEIGHT) + failure * FAILURE_WEIGHT;
        self.last_outcome = Some(now);
        if outcome == ObservedOutcome::Failure {
            self.failures += 1;
            return;
        }
        let us = as_micros_f64(now.since(sent));
        if self.last_answer.is_some() {
            self.fast_us =
                self.decayed_latency_us(now) * (1.0 - FAST_MEAN_WEIGHT) + us * FAST_MEAN_WEIGHT;
            self.slow_us += (us - self.slow_us) * SLOW_MEAN_WEIGHT;
        } else {
            self.fast_us = us;
            self.slow_us = us;
        }
        self.last_answer = Some(now);
    }

    /// Records a load report that arrived with an answer or the result of a probe.
    ///
    /// The outcome of the request whose answer carried the report must be recorded first, because the report does not
    /// count that request.
    pub fn update_load(&mut self, now: Time, report: LoadReport) {
        let counted =
            self.outstanding.iter().filter(|&&t| t + REPORT_AGE_ON_ARRIVAL <= now).count();
        let total = f64::from(report.running) + f64::from(report.queued);
        self.others = (total - counted as f64).max(0.0);
        self.others_mean = match self.report {
            Some(_) => self.others_mean * 0.9 + self.others * 0.1,
            None => self.others,
        };
        self.report = Some((report, now));
    }

    /// Records the state that the health endpoint reports.
    pub fn set_health(&mut self, health: Health) {
        self.health = health;
    }

    /// Returns the number of this node's outstanding requests.
    pub fn in_flight(&self) -> usize {
        self.outstanding.len()
    }

    /// Returns the heap memory of the view in bytes.
    pub(crate) fn heap_bytes(&self) -> usize {
        self.outstanding.capacity() * size_of::<Time>()
    }

    /// Returns the number of failures observed since the view was created.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    /// Returns the last report and the time since its arrival.
    pub fn report(&self, now: Time) -> Option<(LoadReport, Duration)> {
        self.report.map(|(report, at)| (report, now.since(at)))
    }

    /// Estimates the number of requests of all calling nodes at the target.
    ///
    /// This node's own requests are known exactly, which corrects the report for requests sent and answered since. The
    /// requests of other nodes decay towards their mean as the report ages.
    pub fn estimated_requests(&self, now: Time) -> f64 {
        let others = match self.report {
            Some((_, at)) => {
                let weight = age_weight(now, at, LOAD_HALF_AGE_US);
                self.others * weight + self.others_mean * (1.0 - weight)
            }
            None => 0.0,
        };
        self.outstanding.len() as f64 + others
    }

    /// Returns the target's concurrency limit, or an assumed one without a report.
    pub fn limit(&self) -> f64 {
        self.report.map_or(ASSUMED_LIMIT, |(report, _)| f64::from(report.limit).max(1.0))
    }

    /// Returns whether the target is in cold start, or nothing is known about it yet.
    pub fn is_cold(&self) -> bool {
        self.report.map_or(self.last_answer.is_none(), |(report, _)| report.is_cold)
    }

    /// Returns the expected response time in microseconds.
    ///
    /// It is at least the time for which outstanding requests have had no answer, so that a stall raises it before any
    /// request ends.
    pub fn latency_us(&self, now: Time) -> f64 {
        let expected = match (self.last_answer, self.report) {
            (Some(_), _) => self.decayed_latency_us(now),
            (None, Some((report, _))) if report.latency_us > 0 => f64::from(report.latency_us),
            _ => ASSUMED_LATENCY_US,
        };
        expected.max(self.unanswered_us(now))
    }

    /// Returns whether outstanding requests have had no answer for several times the usual latency of the target.
    pub fn is_stalled(&self, now: Time) -> bool {
        let usual_us = if self.last_answer.is_some() { self.slow_us } else { ASSUMED_LATENCY_US };
        self.unanswered_us(now) > (usual_us * STALL_FACTOR).max(MIN_STALL_US)
    }

    /// Returns whether another request would raise the target's load above `share` of its limit, or it is stalled.
    pub fn is_busy(&self, now: Time, share: f64) -> bool {
        self.estimated_requests(now) + 1.0 > self.limit() * share || self.is_stalled(now)
    }

    /// Returns the relative cost of one more request; the lowest is best.
    ///
    /// It is the square of the load times the latency, with a penalty for failures. With a load that is not squared,
    /// requests queue at fast targets while slow ones have free slots.
    pub fn score(&self, now: Time) -> f64 {
        let load = (self.estimated_requests(now) + 1.0) / self.limit();
        load * load * self.latency_us(now) * (1.0 + FAILURE_PENALTY * self.failure_share(now))
    }

    /// Returns the share of failures from this node's observations or, without recent ones, from the health endpoint.
    pub fn failure_share(&self, now: Time) -> f64 {
        let is_observed = self.last_outcome.is_some_and(|at| now.since(at) < OBSERVATION_PRIORITY);
        match self.health {
            Health::Failed if !is_observed => {
                self.own_failure_share(now).max(UNHEALTHY_FAILURE_SHARE)
            }
            _ => self.own_failure_share(now),
        }
    }

    /// Returns whether a probe is useful because no request is outstanding and the last report is old or missing.
    pub fn needs_probe(&self, now: Time) -> bool {
        self.outstanding.is_empty()
            && self.report.is_none_or(|(_, at)| now.since(at) >= STALE_REPORT_AGE)
    }

    /// Returns the time in microseconds for which outstanding requests have had no answer.
    ///
    /// An answer to a later request resets it: the target works, so a single long request is not a stall.
    fn unanswered_us(&self, now: Time) -> f64 {
        let Some(&oldest) = self.outstanding.front() else { return 0.0 };
        as_micros_f64(now.since(self.last_answer.map_or(oldest, |at| at.max(oldest))))
    }

    /// Returns the fast moving average of the latency, which decays towards the slow one with its age.
    fn decayed_latency_us(&self, now: Time) -> f64 {
        let weight = self.last_answer.map_or(0.0, |at| age_weight(now, at, LOAD_HALF_AGE_US));
        self.slow_us + (self.fast_us - self.slow_us) * weight
    }

    /// Returns the share of failures among this node's observations, which decays with its age.
    fn own_failure_share(&self, now: Time) -> f64 {
        self.failure_mean
            * self.last_outcome.map_or(0.0, |at| age_weight(now, at, FAILURE_HALF_AGE_US))
    }
}

/// Returns the weight of a measurement made at `at`: 1 for a new one, half at the age `half_us`.
fn age_weight(now: Time, at: Time, half_us: f64) -> f64 {
    half_us / (half_us + as_micros_f64(now.since(at)))
}

fn as_micros_f64(d: Duration) -> f64 {
    d.as_micros() as f64
}
