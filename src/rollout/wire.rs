//! The compact encoding of verdicts and evidence in the payload of membership messages.

use serde::{Deserialize, Serialize};

use super::{
    RolloutId, Verdict,
    evidence::{Counts, EvidenceReport, LATENCY_BUCKETS, Stratum, Tally, WindowLength},
    judge::Finding,
};
use crate::{keys::MemberId, time::WallTime};

/// A verdict as it is sent to other members. The receiver finds the service and the version in its document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireVerdict {
    rollout_id: [u8; 8],
    revision: u64,
    finding: Finding,
}

impl From<&Verdict> for WireVerdict {
    fn from(verdict: &Verdict) -> WireVerdict {
        let &Verdict { rollout_id, revision, finding } = verdict;
        WireVerdict { rollout_id: rollout_id.0, revision, finding }
    }
}

impl From<WireVerdict> for Verdict {
    fn from(verdict: WireVerdict) -> Verdict {
        let WireVerdict { rollout_id, revision, finding } = verdict;
        Verdict { rollout_id: RolloutId(rollout_id), revision, finding }
    }
}

/// The counts of one source as they are sent to other members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireEvidence {
    rollout_id: [u8; 8],
    /// The member that counted, or `None` if it is the sender.
    source: Option<[u8; 8]>,
    stratum: Stratum,
    /// The low byte of the window's index.
    window: u8,
    new: WireCounts,
    old: WireCounts,
}

/// Counts without the empty latency buckets at both ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireCounts {
    ended: u32,
    errors: u32,
    /// The index of the first bucket in `buckets`.
    first: u8,
    buckets: Vec<u32>,
}

impl WireEvidence {
    /// Encodes a report that the member `local_id` sends.
    pub fn new(report: &EvidenceReport, local_id: MemberId) -> WireEvidence {
        WireEvidence {
            rollout_id: report.rollout_id.0,
            source: (report.source != local_id).then(|| report.source.0.to_be_bytes()),
            stratum: report.stratum,
            window: report.window as u8,
            new: encode_counts(&report.tally.new),
            old: encode_counts(&report.tally.old),
        }
    }

    /// Decodes the report that `from` sent, or returns `None` if its counts or its window are not valid.
    pub fn to_report(&self, wall: WallTime, from: MemberId) -> Option<EvidenceReport> {
        let present = WindowLength::Long.index_at(wall);
        let distance = (present as u8).wrapping_sub(self.window) as i8;
        let window = present.checked_add_signed(-i64::from(distance))?;
        let source = self.source.map_or(from, |bytes| MemberId(u64::from_be_bytes(bytes)));
        let tally = Tally { new: decode_counts(&self.new)?, old: decode_counts(&self.old)? };
        Some(EvidenceReport {
            rollout_id: RolloutId(self.rollout_id),
            source,
            stratum: self.stratum,
            window,
            tally,
        })
    }
}

fn encode_counts(counts: &Counts) -> WireCounts {
    let first = counts.buckets.iter().position(|&n| n > 0).unwrap_or(0);
    let end = counts.buckets.iter().rposition(|&n| n > 0).map_or(first, |last| last + 1);
    WireCounts {
        ended: counts.ended,
        errors: counts.errors,
        first: first as u8,
        buckets: counts.buckets[first..end].to_vec(),
    }
}

fn decode_counts(wire: &WireCounts) -> Option<Counts> {
    let first = usize::from(wire.first);
    let answers: u64 = wire.buckets.iter().map(|&n| u64::from(n)).sum();
    let is_consistent = answers + u64::from(wire.errors) <= u64::from(wire.ended);
    let mut counts =
        Counts { ended: wire.ended, errors: wire.errors, buckets: [0; LATENCY_BUCKETS] };
    let buckets = counts.buckets.get_mut(first..first + wire.buckets.len())?;
    buckets.copy_from_slice(&wire.buckets);
    is_consistent.then_some(counts)
}
