//! Version rollouts: shares of traffic by schedule, evidence about new versions, and verdicts.
//!
//! This module performs no I/O: time, observations and messages are passed in as arguments. `docs/rollout.md`
//! states the guarantees to operators; `docs/design.md`, section 5.7, gives the requirements.

mod evaluate;
pub mod evidence;
pub mod judge;
mod share;
mod state;
mod wire;

use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;

use crate::{
    document::{Document, Route, Service, Version},
    keys::MemberId,
    time::{Time, WallTime},
};

pub use evaluate::{EVALUATION_INTERVAL, MIN_SLOW_EVALUATIONS};
pub use evidence::{AttemptOutcome, EvidenceReport, Stratum};
pub use judge::{Finding, MAX_FALSE_ALARM_RATE, MIN_SAMPLES, Measure, Proportion};
pub use share::{INITIAL_SHARE, pick_version, shares};
pub use state::{FirstAttempt, RolloutChange, RolloutId, Stage, Status, Verdict, VerdictRecord};
pub use wire::{WireEvidence, WireVerdict};

use evidence::Evidence;

/// The maximum number of verdicts held: one for nearly every service within two years.
pub const MAX_VERDICTS: usize = 4_096;

/// One version of a service in the document, and the progress of its rollout.
#[derive(Clone, Debug)]
struct TrackedVersion {
    rollout_id: RolloutId,
    /// `None` until the first evaluation.
    stage: Option<Stage>,
    /// Whether the version has had enough requests to be compared.
    is_judged: bool,
    /// The latest consecutive evaluations that found the version slower.
    slow_evaluations: u32,
}

/// The rollouts of all services.
#[derive(Clone, Debug)]
pub struct Rollouts {
    local_id: MemberId,
    revision: u64,
    /// The versions of the services that have more than one, in the order of the document.
    tracked_services: HashMap<CompactString, Vec<TrackedVersion>>,
    /// The service of each tracked version.
    service_names: HashMap<RolloutId, CompactString>,
    verdicts: BTreeMap<RolloutId, Verdict>,
    evidence: Evidence,
    next_evaluation: Time,
    /// Counts the selections of reports and verdicts to send, so that successive ones start at different entries.
    rotation: usize,
}

impl Rollouts {
    /// Creates the state of member `local_id` without a document.
    pub fn new(local_id: MemberId) -> Rollouts {
        Rollouts {
            local_id,
            revision: 0,
            tracked_services: HashMap::new(),
            service_names: HashMap::new(),
            verdicts: BTreeMap::new(),
            evidence: Evidence::default(),
            next_evaluation: Time::ZERO,
            rotation: 0,
        }
    }

    /// Applies a new document. A verdict is dropped once the document no longer has the schedule to which it
    /// applies; one that was reached with a newer document is kept until that document arrives.
    pub fn set_document(&mut self, revision: u64, document: &Document) {
        self.revision = revision;
        let mut known = std::mem::take(&mut self.tracked_services);
        self.service_names.clear();
        for (name, service) in document.services.iter().filter(|(_, s)| s.versions.len() > 1) {
            let old = known.remove(name).unwrap_or_default();
            let tracked = |version: &Version| {
                let rollout_id = RolloutId::new(name, version);
                let kept = old.iter().find(|tracked| tracked.rollout_id == rollout_id).cloned();
                let stage = None;
                kept.unwrap_or(TrackedVersion {
                    rollout_id,
                    stage,
                    is_judged: false,
                    slow_evaluations: 0,
                })
            };
            let all_tracked: Vec<TrackedVersion> = service.versions.iter().map(tracked).collect();
            for tracked in &all_tracked {
                self.service_names.insert(tracked.rollout_id, name.clone());
            }
            self.tracked_services.insert(name.clone(), all_tracked);
        }
        let service_names = &self.service_names;
        self.verdicts.retain(|rollout_id, verdict| {
            verdict.revision > revision || service_names.contains_key(rollout_id)
        });
    }

    /// Returns the traffic shares of a service's versions; `is_live` tells which of them have a target that may
    /// receive work.
    ///
    /// The first version of the document is the baseline of the comparison, so no verdict applies to it.
    pub fn shares(
        &self,
        service: &str,
        versions: &[Version],
        wall: WallTime,
        is_live: impl Fn(usize) -> bool,
    ) -> Vec<f64> {
        let all_tracked = self.tracked_services.get(service).map_or(&[][..], Vec::as_slice);
        let is_rolled_back = |i: usize| {
            i > 0
                && all_tracked.get(i).is_some_and(|tracked| self.is_rolled_back(tracked.rollout_id))
        };
        shares(versions, wall, |i| !is_rolled_back(i) && is_live(i))
    }

    /// Returns whether a verdict excludes the version of this rollout from traffic.
    pub fn is_rolled_back(&self, rollout_id: RolloutId) -> bool {
        self.verdicts.contains_key(&rollout_id)
    }

    /// Returns whether a service has a rollout in progress, so that its observations are needed as evidence.
    pub fn has_active_rollout(&self, service: &str) -> bool {
        let all_tracked = self.tracked_services.get(service);
        all_tracked
            .is_some_and(|all_tracked| all_tracked.iter().any(|t| t.stage == Some(Stage::Moving)))
    }

    /// Counts the outcome of a first attempt that this node sent to a target of a version.
    pub fn observe(
        &mut self,
        wall: WallTime,
        name: &str,
        service: &Service,
        attempt: &FirstAttempt,
        outcome: AttemptOutcome,
    ) {
        let &FirstAttempt { ref version, stratum, is_cold } = attempt;
        let Some(all_tracked) = self.tracked_services.get(name) else { return };
        let Some(index) = service.versions.iter().position(|v| v.name == *version) else { return };
        for (i, tracked) in all_tracked.iter().enumerate().skip(index.max(1)) {
            if tracked.stage != Some(Stage::Moving) {
                continue;
            }
            self.evidence.count(wall, tracked.rollout_id, stratum, self.local_id, |tally| {
                let counts = if i == index { &mut tally.new } else { &mut tally.old };
                counts.count(outcome, is_cold);
            });
        }
    }

    /// Applies a verdict, and returns whether it is new. Verdicts are never withdrawn; one about a schedule that
    /// is no longer in the document is ignored.
    pub fn apply_verdict(&mut self, verdict: Verdict) -> bool {
        let is_known = self.verdicts.contains_key(&verdict.rollout_id);
        if is_known || self.is_obsolete(&verdict) || self.verdicts.len() >= MAX_VERDICTS {
            return false;
        }
        self.verdicts.insert(verdict.rollout_id, verdict);
        true
    }

    /// Returns whether the document no longer has the schedule to which a verdict applies.
    pub fn is_obsolete(&self, verdict: &Verdict) -> bool {
        verdict.revision <= self.revision && !self.service_names.contains_key(&verdict.rollout_id)
    }

    /// Returns a verdict in the form that the platform stores, if the document has the version.
    pub fn record(&self, verdict: &Verdict, document: &Document) -> Option<VerdictRecord> {
        let name = self.service_names.get(&verdict.rollout_id)?;
        let service = document.services.get(name)?;
        let is_subject = |v: &&Version| RolloutId::new(name, v) == verdict.rollout_id;
        let version = service.versions.iter().find(is_subject)?;
        Some(record(name, service, version, verdict))
    }

    /// Returns up to four of the verdicts in force, starting one further each time, so that all of them are sent
    /// in rotation.
    pub fn next_verdicts(&mut self) -> Vec<WireVerdict> {
        if self.verdicts.is_empty() {
            return Vec::new();
        }
        self.rotation = self.rotation.wrapping_add(1);
        let first = self.rotation % self.verdicts.len();
        let verdicts = self.verdicts.values();
        verdicts.clone().skip(first).chain(verdicts.take(first)).take(4).map(Into::into).collect()
    }

    /// Returns up to `count` reports to send: one of this node's own, then those of all sources in rotation.
    pub fn next_evidence(&mut self, wall: WallTime, count: usize) -> Vec<WireEvidence> {
        self.rotation = self.rotation.wrapping_add(1);
        let own = self.evidence.local_report(wall, self.local_id, self.rotation);
        let mut reports: Vec<WireEvidence> =
            own.iter().map(|report| WireEvidence::new(report, self.local_id)).collect();
        for _ in reports.len()..count {
            let next = self.evidence.next_report(wall);
            let next = next.map(|report| WireEvidence::new(&report, self.local_id));
            reports.extend(next.filter(|report| !reports.contains(report)));
        }
        reports
    }

    /// Merges evidence that another member sent.
    pub fn merge(&mut self, wall: WallTime, from: MemberId, evidence: &WireEvidence) {
        let Some(report) = evidence.to_report(wall, from) else { return };
        let is_wanted = self.service_names.contains_key(&report.rollout_id)
            && !self.is_rolled_back(report.rollout_id);
        // This node's own counts are the authority; a copy that returns from another member is ignored.
        if is_wanted && report.source != self.local_id {
            self.evidence.merge(wall, &report);
        }
    }

    /// Returns the state of every rollout, in the order of the document.
    pub fn status(&self, wall: WallTime, document: &Document) -> Vec<Status> {
        let mut all = Vec::new();
        for (name, service) in &document.services {
            let all_tracked = self.tracked_services.get(name).map_or(&[][..], Vec::as_slice);
            for (tracked, version) in all_tracked.iter().zip(&service.versions).skip(1) {
                let Some(stage) = tracked.stage else { continue };
                let share = self.share(service, name, &version.name, wall);
                all.push(status(name, service, version, stage, share));
            }
        }
        all
    }

    /// Returns the evidence held, for tests and benchmarks.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    fn share(&self, service: &Service, name: &str, version: &str, wall: WallTime) -> f64 {
        let shares = self.shares(name, &service.versions, wall, |_| true);
        let index = service.versions.iter().position(|v| v.name == version);
        index.map_or(0.0, |i| shares[i])
    }
}

/// Returns the hash that identifies a route in evidence: 0 for no route, and never 0 for a route.
pub fn route_hash(route: Option<&Route>) -> u16 {
    let Some(route) = route else { return 0 };
    let mut hasher = blake3::Hasher::new();
    hasher.update(route.method.as_deref().unwrap_or_default().as_bytes());
    hasher.update(b" ");
    hasher.update(route.prefix.as_bytes());
    let mut bytes = [0; 2];
    hasher.finalize_xof().fill(&mut bytes);
    u16::from_be_bytes(bytes).max(1)
}

fn route_name(service: &Service, finding: &Finding) -> Option<CompactString> {
    let hash = finding.route?;
    let route = service.routes.iter().find(|route| route_hash(Some(route)) == hash);
    Some(route.map_or_else(|| "other".into(), |route| route.prefix.clone()))
}

fn record(
    name: &CompactString,
    service: &Service,
    version: &Version,
    verdict: &Verdict,
) -> VerdictRecord {
    VerdictRecord {
        service: name.clone(),
        version: version.clone(),
        revision: verdict.revision,
        route: route_name(service, &verdict.finding),
        finding: verdict.finding,
    }
}

fn status(
    name: &CompactString,
    service: &Service,
    version: &Version,
    stage: Stage,
    share: f64,
) -> Status {
    let route = match &stage {
        Stage::RolledBack(finding) => route_name(service, finding),
        _ => None,
    };
    Status { service: name.clone(), version: version.name.clone(), stage, share, route }
}

#[cfg(test)]
mod tests;
