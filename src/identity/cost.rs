//! Measures the memory and time per entry of an owner's table, for the capacity figures.

use std::time::{Duration, Instant};

use crate::{
    identity::{AttemptResult, Fingerprint, MAX_ENTRIES, Owner, owner::ENTRY_BYTES},
    keys::MemberId,
    time::Time,
};

/// The measured cost of one owner's table.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct IdentityCost {
    /// The number of entries in the table.
    pub entries: usize,
    /// The estimated memory of one entry without its answer, in bytes.
    pub entry_bytes: usize,
    /// The mean time to issue, begin, attempt and settle one identity.
    pub mean_time: Duration,
}

/// Fills a table with `entries` finished identities, at most [`MAX_ENTRIES`], and measures the cost of each.
///
/// This is the only function of [`crate::identity`] that reads a clock; no decision depends on it.
pub fn measure_cost(entries: usize) -> IdentityCost {
    let entries = entries.clamp(1, MAX_ENTRIES);
    let mut owner = Owner::new(MemberId(1), 0);
    let fingerprint = Fingerprint::new("orders", "POST", "/orders", Some(100));
    let start = Instant::now();
    for _ in 0..entries {
        let identity = owner.issue();
        owner.begin(Time::ZERO, identity, fingerprint);
        if let Some(tag) = owner.start_attempt(Time::ZERO, identity, MemberId(2)) {
            owner.settle(Time::ZERO, tag, AttemptResult::Answered(None));
        }
    }
    let mean_time = start.elapsed() / u32::try_from(entries).unwrap_or(u32::MAX);
    IdentityCost { entries: owner.len(), entry_bytes: ENTRY_BYTES, mean_time }
}
