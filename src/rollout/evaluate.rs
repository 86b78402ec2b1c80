//! The regular evaluation of the evidence, which leads to verdicts and changes of stage.

use std::time::Duration;

use compact_str::CompactString;

use crate::{
    document::{Document, Service, Version},
    time::{Time, WallTime},
};

use super::{
    Finding, MAX_FALSE_ALARM_RATE, RolloutChange, Rollouts, Stage, TrackedVersion, Verdict,
    evidence::{Tally, WindowLength},
    judge::{self, Comparison, MEASURE_COUNT},
    record, status,
};

/// The interval between two evaluations of the evidence.
pub const EVALUATION_INTERVAL: Duration = Duration::from_secs(1);

/// The number of consecutive evaluations that must find a version slower before it is rolled back, because
/// neighbours on shared hosts slow a target down for shorter times. Errors lead to a rollback at once.
pub const MIN_SLOW_EVALUATIONS: u32 = 5;

/// The inputs of one evaluation of one rollout.
struct Evaluation<'a> {
    wall: WallTime,
    /// The number of nodes that may reach verdicts.
    node_count: usize,
    name: &'a CompactString,
    service: &'a Service,
    version: &'a Version,
}

impl Rollouts {
    /// Evaluates the evidence if an evaluation is due. `node_count` is the number of nodes that may reach
    /// verdicts.
    pub fn tick(
        &mut self,
        now: Time,
        wall: WallTime,
        node_count: usize,
        document: &Document,
        out: &mut Vec<RolloutChange>,
    ) {
        if now < self.next_evaluation {
            return;
        }
        self.next_evaluation = now + EVALUATION_INTERVAL;
        let first = out.len();
        let mut tracked_services = std::mem::take(&mut self.tracked_services);
        for (name, all_tracked) in &mut tracked_services {
            let Some(service) = document.services.get(name) else { continue };
            for (tracked, version) in all_tracked.iter_mut().zip(&service.versions).skip(1) {
                self.update_stage(
                    &Evaluation { wall, node_count, name, service, version },
                    tracked,
                    out,
                );
            }
        }
        self.tracked_services = tracked_services;
        for change in &mut out[first..] {
            if let RolloutChange::Stage(status) = change
                && let Some(service) = document.services.get(&status.service)
            {
                status.share = self.share(service, &status.service, &status.version, wall);
            }
        }
        let Rollouts { evidence, service_names, verdicts, .. } = self;
        evidence.retain(wall, |s| service_names.contains_key(&s) && !verdicts.contains_key(&s));
    }

    /// Evaluates a version that is in rollout, and reports a new verdict or stage in `out`.
    fn update_stage(
        &mut self,
        evaluation: &Evaluation<'_>,
        tracked: &mut TrackedVersion,
        out: &mut Vec<RolloutChange>,
    ) {
        let &Evaluation { wall, name, service, version, .. } = evaluation;
        if tracked.stage == Some(Stage::Moving)
            && !self.is_rolled_back(tracked.rollout_id)
            && let Some(finding) = self.evaluate(evaluation, tracked)
        {
            let verdict =
                Verdict { rollout_id: tracked.rollout_id, revision: self.revision, finding };
            self.apply_verdict(verdict);
            out.push(RolloutChange::Verdict(record(name, service, version, &verdict)));
        }
        let stage = match self.verdicts.get(&tracked.rollout_id) {
            Some(verdict) => Stage::RolledBack(verdict.finding),
            None if wall.as_millis() < version.start_ms => Stage::Scheduled,
            None if wall.as_millis() < version.end_ms => Stage::Moving,
            None if tracked.is_judged => Stage::Done,
            None => Stage::Unjudged,
        };
        if tracked.stage != Some(stage) {
            // A node that starts after the end of a rollout reports nothing: no change happened while it ran, and
            // thousands of rollouts may have ended.
            let is_change =
                tracked.stage.is_some() || !matches!(stage, Stage::Done | Stage::Unjudged);
            tracked.stage = Some(stage);
            if !is_change {
                return;
            }
            // The share depends on all versions, so `tick` fills it in.
            out.push(RolloutChange::Stage(status(name, service, version, stage, 0.0)));
        }
    }

    /// Compares a version with the older ones, and returns the finding if one is statistically significant.
    fn evaluate(
        &self,
        evaluation: &Evaluation<'_>,
        tracked: &mut TrackedVersion,
    ) -> Option<Finding> {
        let &Evaluation { wall, node_count, service, version, .. } = evaluation;
        let evaluations =
            (version.end_ms - version.start_ms) / EVALUATION_INTERVAL.as_millis() as u64 + 1;
        // One comparison for each route at each distance, one for each distance over all routes, and one over all.
        let tallies = (service.routes.len() as u64 + 1) * 2 + 3;
        let tests = evaluations
            * tallies
            * MEASURE_COUNT
            * WindowLength::ALL.len() as u64
            * node_count.max(1) as u64;
        let alpha = MAX_FALSE_ALARM_RATE / tests as f64;
        let mut slow = None;
        let mut errors = None;
        for length in WindowLength::ALL {
            let sums = self.evidence.sums(wall, tracked.rollout_id, length);
            let mut total = Tally::default();
            let mut by_distance = [Tally::default(), Tally::default()];
            let mut collect = |comparison: Comparison| {
                tracked.is_judged |= comparison.has_enough_samples;
                errors = errors.or(comparison.errors);
                slow = slow.or(comparison.latency);
            };
            for (stratum, tally) in &sums {
                total.add(tally);
                by_distance[usize::from(stratum.is_local)].add(tally);
                collect(judge::compare(tally, Some(stratum.route), alpha));
            }
            for tally in &by_distance {
                collect(judge::compare(tally, None, alpha));
            }
            // Latencies over different distances are not comparable.
            collect(Comparison { latency: None, ..judge::compare(&total, None, alpha) });
            errors = errors.map(|finding| judge::attribute_to_route(finding, &sums));
        }
        tracked.slow_evaluations = if slow.is_some() { tracked.slow_evaluations + 1 } else { 0 };
        errors.or(slow.filter(|_| tracked.slow_evaluations >= MIN_SLOW_EVALUATIONS))
    }
}
