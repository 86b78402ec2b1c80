//! The keys of the duty in the store: who holds it, the last fence number, and the recorded reports.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::store::{Item, Lease, Transaction};

use super::counter::{self, Counts};

/// The prefix of all keys of the duty, which one list returns.
pub(super) const PREFIX: &str = "poplarbarrow/usage/";

/// Names the holder, under its lease.
const HOLDER_KEY: &str = "poplarbarrow/usage/holder";

/// The last fence number, without a lease.
const FENCE_KEY: &str = "poplarbarrow/usage/fence";

/// The last recorded reports, without a lease.
const REPORTS_KEY: &str = "poplarbarrow/usage/reports";

/// The bits of a fence number below the era of the store. A store that returns from an earlier copy has lost fence numbers;
/// those of its new era are higher than all that an era with fewer than a million changes of the holder can have given.
const ERA_SHIFT: u32 = 20;

/// The maximum number of recorded reports that are kept.
const MAX_REPORTS: usize = 8;

/// A report as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Report {
    pub(super) window: u64,
    pub(super) body: CompactString,
}

#[derive(Serialize)]
struct ReportBody<'a> {
    window: u64,
    counts: &'a Counts,
}

impl Report {
    pub(super) fn new(window: u64, counts: &Counts) -> Report {
        // A map with text keys and numbers can always be written.
        let body = serde_json::to_string(&ReportBody { window, counts }).unwrap_or_default();
        Report { window, body: body.into() }
    }
}

/// The value of the key of recorded reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Reports {
    /// The era in which they were recorded. In a later era reports that were sent may be missing.
    pub(super) era: u64,
    /// The reports in the order of their windows.
    pub(super) reports: Vec<Report>,
}

impl Reports {
    pub(super) fn last_window(&self) -> Option<u64> {
        self.reports.iter().map(|report| report.window).max()
    }

    pub(super) fn body(&self, window: u64) -> Option<&str> {
        let report = self.reports.iter().find(|report| report.window == window);
        report.map(|report| report.body.as_str())
    }

    /// Returns these reports with another one, of the last ones that are kept.
    pub(super) fn with(&self, report: Report, era: u64) -> Reports {
        let excess = (self.reports.len() + 1).saturating_sub(MAX_REPORTS);
        let reports = self.reports.iter().skip(excess).cloned().chain([report]).collect();
        Reports { era, reports }
    }

    /// Returns the reports that are not too old to be sent.
    pub(super) fn due(&self, unix: Duration, window: Duration, late: Duration) -> Vec<Report> {
        let is_due = |report: &&Report| counter::window_end(report.window, window) + late > unix;
        self.reports.iter().filter(is_due).cloned().collect()
    }
}

/// The value of the holder's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct HolderRecord {
    /// The name of the node, for operators.
    pub(super) node: CompactString,
    /// Identifies the attempt that took the duty, so that its node recognises it if the answer of the store was lost.
    pub(super) attempt: CompactString,
    pub(super) fence: u64,
}

/// The keys of the duty at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Snapshot {
    pub(super) era: u64,
    /// The revision of the holder's key; 0 if there is none.
    pub(super) holder_revision: u64,
    /// The value of that key, if it can be read.
    pub(super) holder: Option<HolderRecord>,
    pub(super) fence: u64,
    pub(super) fence_revision: u64,
    pub(super) reports: Reports,
    pub(super) reports_revision: u64,
}

impl Snapshot {
    /// Reads the keys, or returns the one that is unreadable. Without its value the duty cannot be taken safely.
    pub(super) fn read(items: &[Item], era: u64) -> Result<Snapshot, CompactString> {
        let mut snapshot = Snapshot { era, ..Snapshot::default() };
        for item in items {
            let unreadable = |_| item.key.clone();
            match item.key.as_str() {
                HOLDER_KEY => {
                    snapshot.holder_revision = item.revision;
                    snapshot.holder = serde_json::from_slice(&item.value).ok();
                }
                FENCE_KEY => {
                    snapshot.fence = serde_json::from_slice(&item.value).map_err(unreadable)?;
                    snapshot.fence_revision = item.revision;
                }
                REPORTS_KEY => {
                    snapshot.reports = serde_json::from_slice(&item.value).map_err(unreadable)?;
                    snapshot.reports_revision = item.revision;
                }
                _ => {}
            }
        }
        Ok(snapshot)
    }

    /// Returns the fence number of the next holder, which is above all that this node has seen.
    pub(super) fn next_fence(&self, seen: u64) -> u64 {
        (self.fence.max(seen) + 1).max(self.era << ERA_SHIFT)
    }
}

/// Returns the transaction that takes the duty.
pub(super) fn take(snapshot: &Snapshot, lease: Lease, holder: &HolderRecord) -> Transaction {
    Transaction {
        expected: vec![
            (HOLDER_KEY.into(), 0),
            (FENCE_KEY.into(), snapshot.fence_revision),
            (REPORTS_KEY.into(), snapshot.reports_revision),
        ],
        writes: vec![
            (HOLDER_KEY.into(), encode(holder), Some(lease)),
            (FENCE_KEY.into(), encode(&holder.fence), None),
        ],
        removes: Vec::new(),
    }
}

/// Returns the transaction that records reports, while the duty and the recorded reports are as they are known.
pub(super) fn record(
    holder_revision: u64,
    reports_revision: u64,
    reports: &Reports,
) -> Transaction {
    let expected =
        vec![(HOLDER_KEY.into(), holder_revision), (REPORTS_KEY.into(), reports_revision)];
    let writes = vec![(REPORTS_KEY.into(), encode(reports), None)];
    Transaction { expected, writes, removes: Vec::new() }
}

fn encode(value: &impl Serialize) -> Bytes {
    // These types can always be written.
    serde_json::to_vec(value).unwrap_or_default().into()
}
