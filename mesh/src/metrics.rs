//! Counters of what a node decides, as text for scrapers.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    sync::{Mutex, PoisonError},
};

use crate::effect::Record;

/// Counts records by their kind and outcome. Both are closed sets, so the number of series is bounded.
#[derive(Default)]
pub(crate) struct Metrics {
    counts: Mutex<BTreeMap<(&'static str, &'static str), u64>>,
}

impl Metrics {
    /// Counts a record.
    pub(crate) fn count(&self, record: &Record) {
        let series = match record {
            Record::Route { .. } => ("attempts", "sent"),
            Record::Retry { cause, .. } => ("retries", *cause),
            Record::Refuse { refusal, .. } => ("refusals", refusal.reason.as_str()),
            Record::Answer { status, .. } if *status < 400 => ("answers", "success"),
            Record::Answer { .. } => ("answers", "failure"),
            Record::Admit { reason: Some(reason), .. } => ("admissions_refused", reason.as_str()),
            Record::Admit { decision, .. } => ("admissions", *decision),
            Record::Ran { outcome, .. } => ("target_requests", *outcome),
            Record::Member { change, .. } => ("members", *change),
            Record::Target { change, .. } => ("target_changes", *change),
            Record::Seat { is_seated: true } => ("seats", "taken"),
            Record::Seat { .. } => ("seats", "given_up"),
            Record::Store { is_reachable: true } => ("store", "regained"),
            Record::Store { .. } => ("store", "lost"),
            Record::Config { .. } => ("configurations", "applied"),
            Record::Evacuated { .. } => ("evacuations", "changed"),
            Record::Rollout { stage, .. } => ("rollouts", *stage),
            Record::Suspect(judged) => ("suspects", judged.standing.as_str()),
            Record::Stop { phase, .. } => ("stops", *phase),
        };
        *self.lock().entry(series).or_insert(0) += 1;
    }

    /// Writes all counters in the text form of Prometheus.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        for ((name, kind), count) in self.lock().iter() {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "poplarbarrow_{name}_total{{kind=\"{kind}\"}} {count}");
        }
        text
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<(&'static str, &'static str), u64>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
