//! The budget for load measurements, as a token bucket of bytes and one of probes.

use crate::{
    document::Budgets,
    load::{MAX_REPORT_BYTES, REPORT_HEADER},
    time::Time,
};

/// The divisor that gives the capacity of the byte bucket: 1/4 of the budget of one second.
///
/// The bucket refills at the other 3/4 per second, so that the bytes of any period of a second or longer stay within
/// the budget.
const BURST_DIVISOR: u64 = 4;

/// The capacity of the probe bucket. A larger one would let a burst of probes follow a quiet period.
const MAX_SAVED_PROBES: u64 = 4;

/// Bytes that reports leave in the bucket for probes, so that targets without reports can still be measured. The
/// reserve is smaller where the bucket would otherwise be too small for a report.
const PROBE_RESERVE_BYTES: u64 = 128;

/// The maximum size of a report with its header name and separators.
const MAX_REPORT_COST_BYTES: u64 = (REPORT_HEADER.len() + ": \r\n".len() + MAX_REPORT_BYTES) as u64;

/// Tokens per byte of the bucket. With one million, each microsecond adds a whole number of tokens.
const TOKENS_PER_BYTE: u64 = 1_000_000;

/// A kind of load measurement.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum MeasurementKind {
    /// A load report attached to an answer.
    Report,
    /// A probe, which is sent only to measure.
    Probe,
}

/// Counts of load measurements since the node started.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct MeasurementCounts {
    /// Bytes spent.
    pub bytes: u64,
    /// Reports allowed.
    pub reports: u64,
    /// Probes allowed.
    pub probes: u64,
    /// Reports denied.
    pub reports_denied: u64,
    /// Probes denied.
    pub probes_denied: u64,
}

/// Limits load measurements to [`Budgets::measure_bytes`] and [`Budgets::probe_permille`].
#[derive(Clone, Debug)]
pub struct MeasurementBudget {
    /// The byte budget per second.
    rate: u64,
    /// Probes that may be sent per 1,000 calls.
    permille: u64,
    /// The balance of the byte bucket, with [`TOKENS_PER_BYTE`] tokens per byte.
    tokens: u64,
    /// The balance of the probe bucket in thousandths of a probe.
    probes: u64,
    refilled: Time,
    counts: MeasurementCounts,
}

impl MeasurementBudget {
    /// Creates a budget whose buckets are empty.
    pub fn new(budgets: &Budgets, now: Time) -> MeasurementBudget {
        MeasurementBudget {
            rate: budgets.measure_bytes.into(),
            permille: budgets.probe_permille.into(),
            tokens: 0,
            probes: 0,
            refilled: now,
            counts: MeasurementCounts::default(),
        }
    }

    /// Applies new limits, and discards what exceeds the new capacity of the byte bucket.
    pub fn set_limits(&mut self, budgets: &Budgets, now: Time) {
        self.refill(now);
        self.rate = budgets.measure_bytes.into();
        self.permille = budgets.probe_permille.into();
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Records a call, which adds a fraction of a probe to the probe bucket.
    pub fn record_call(&mut self) {
        self.probes = (self.probes + self.permille).min(MAX_SAVED_PROBES * 1_000);
    }

    /// Withdraws the cost of a measurement from the budget, and returns whether the measurement is allowed.
    #[must_use = "a denied measurement must not be sent"]
    pub fn try_spend(&mut self, now: Time, kind: MeasurementKind, bytes: u32) -> bool {
        self.refill(now);
        let cost = u64::from(bytes) * TOKENS_PER_BYTE;
        let spare = (self.rate / BURST_DIVISOR).saturating_sub(MAX_REPORT_COST_BYTES);
        let (reserve, has_token) = match kind {
            MeasurementKind::Report => (PROBE_RESERVE_BYTES.min(spare) * TOKENS_PER_BYTE, true),
            MeasurementKind::Probe => (0, self.probes >= 1_000),
        };
        let is_allowed = has_token && self.tokens >= cost + reserve;
        if is_allowed {
            self.tokens -= cost;
            self.counts.bytes += u64::from(bytes);
        }
        match (kind, is_allowed) {
            (MeasurementKind::Report, true) => self.counts.reports += 1,
            (MeasurementKind::Report, false) => self.counts.reports_denied += 1,
            (MeasurementKind::Probe, true) => {
                self.probes -= 1_000;
                self.counts.probes += 1;
            }
            (MeasurementKind::Probe, false) => self.counts.probes_denied += 1,
        }
        is_allowed
    }

    /// Returns the counts of measurements since the start.
    pub fn counts(&self) -> MeasurementCounts {
        self.counts
    }

    /// Returns the byte budget per second.
    pub fn rate(&self) -> u64 {
        self.rate
    }

    /// Returns the capacity of the byte bucket in tokens.
    fn capacity(&self) -> u64 {
        self.rate / BURST_DIVISOR * TOKENS_PER_BYTE
    }

    /// Adds the tokens for the time since the last refill, up to the capacity.
    fn refill(&mut self, now: Time) {
        let us = now.since(self.refilled).as_micros() as u64;
        self.refilled = self.refilled.max(now);
        let rate = self.rate - self.rate / BURST_DIVISOR;
        self.tokens = self.tokens.saturating_add(us.saturating_mul(rate)).min(self.capacity());
    }
}
