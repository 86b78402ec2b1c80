//! The payload of membership messages: rollout verdicts, requests that may crash targets, and rollout evidence.

use serde::{Deserialize, Serialize};

use crate::{
    crash_guard::SuspectReport,
    effect::Effect,
    keys::MemberId,
    membership::MAX_PAYLOAD_BYTES,
    rollout::{WireEvidence, WireVerdict},
    time::Time,
};

use super::Reducer;

/// The maximum number of evidence entries in one payload. An entry with a few latency buckets has about 45 bytes.
const MAX_EVIDENCE_ENTRIES: usize = 4;

/// The maximum number of suspected requests in one payload. An entry with a single crash has 21 bytes.
const MAX_SUSPECT_ENTRIES: usize = 2;

/// The content of a payload. Verdicts are packed first, because they protect callers immediately.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Payload {
    pub(super) verdicts: Vec<WireVerdict>,
    pub(super) suspects: Vec<SuspectReport>,
    pub(super) evidence: Vec<WireEvidence>,
}

impl Payload {
    /// Decodes a payload. Returns `None` if it is invalid or was encoded by another version of this program.
    pub(super) fn decode(bytes: &[u8]) -> Option<Payload> {
        let (payload, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(payload)
    }

    fn encode(&self) -> Vec<u8> {
        if *self == Payload::default() {
            return Vec::new();
        }
        // Serialisation into memory cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

impl Reducer {
    /// Rebuilds the payload after it has been sent, so that successive messages carry different entries.
    pub(super) fn refresh_payload(&mut self, now: Time) {
        if !std::mem::take(&mut self.is_payload_stale) {
            return;
        }
        let mut payload = Payload::default();
        // The length of each of the three lists takes one byte.
        let mut free_bytes = MAX_PAYLOAD_BYTES - 3;
        append_fitting(&mut payload.verdicts, self.rollouts.next_verdicts(), &mut free_bytes);
        let suspects = self.crash_guard.next_reports(now, MAX_SUSPECT_ENTRIES);
        append_fitting(&mut payload.suspects, suspects, &mut free_bytes);
        let wall = self.wall_time(now);
        let evidence = self.rollouts.next_evidence(wall, MAX_EVIDENCE_ENTRIES);
        append_fitting(&mut payload.evidence, evidence, &mut free_bytes);
        self.membership.set_payload(payload.encode());
    }

    /// Merges a payload received from another member. An invalid payload is ignored.
    pub(super) fn merge_payload(
        &mut self,
        now: Time,
        from: MemberId,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) {
        let Some(payload) = Payload::decode(bytes) else { return };
        let wall = self.wall_time(now);
        for entry in payload.verdicts {
            self.adopt_verdict(entry.into(), out);
        }
        self.merge_suspect_reports(now, &payload.suspects, out);
        for entry in &payload.evidence {
            self.rollouts.merge(wall, from, entry);
        }
    }
}

/// Appends each entry whose encoding fits into `free_bytes`, and deducts its size.
fn append_fitting<T: Serialize>(list: &mut Vec<T>, entries: Vec<T>, free_bytes: &mut usize) {
    for entry in entries {
        let size = postcard::serialize_with_flavor(&entry, postcard::ser_flavors::Size::default());
        let size = size.unwrap_or(usize::MAX);
        if size <= *free_bytes {
            *free_bytes -= size;
            list.push(entry);
        }
    }
}

#[cfg(test)]
mod tests;
