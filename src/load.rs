//! Load reports, the budget for load measurements, and a calling node's estimate of each target.
//!
//! `docs/design.md`, section 5.3, describes how they work together.

mod budget;
mod view;

use std::fmt::Write as _;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt as _, Snafu, ensure};

pub use budget::{MeasurementBudget, MeasurementCounts, MeasurementKind};
pub use view::{Health, ObservedOutcome, TargetView};

/// The header that carries a load report on answers between nodes.
pub const REPORT_HEADER: &str = "poplarbarrow-load";

/// The cost of a probe and its answer in bytes: two HTTP/2 frames with compressed headers, of which the tag, the
/// date and the report change each time.
pub const PROBE_COST_BYTES: u32 = 128;

/// The maximum length of an encoded report: three counts of 5 digits, a latency of 9 digits, a flag and four commas.
pub const MAX_REPORT_BYTES: usize = 29;

/// The maximum latency in a report: 600 s, which is longer than any deadline in use.
pub const MAX_REPORT_LATENCY_US: u32 = 600_000_000;

/// The load of one target as its node reports it with an answer or a probe.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running at the target.
    pub running: u16,
    /// Requests waiting in the node's queue.
    pub queued: u16,
    /// The concurrency limit in force.
    pub limit: u16,
    /// Moving average of the service time in microseconds.
    pub latency_us: u32,
    /// Whether the target is in cold start.
    #[serde(rename = "cold")]
    pub is_cold: bool,
}

/// The reason why a load report header is not valid.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ReportError {
    /// The value is longer than [`MAX_REPORT_BYTES`].
    #[snafu(display("the report has {len} bytes, more than {MAX_REPORT_BYTES}"))]
    TooLong {
        /// The length in bytes.
        len: usize,
    },
    /// The value does not have exactly five fields.
    #[snafu(display("the report does not have five fields"))]
    Fields,
    /// A field is not a canonical decimal number in its range, or the flag is unknown.
    #[snafu(display("field {index} of the report is not valid"))]
    Field {
        /// The index of the field, starting at 0.
        index: usize,
    },
}

impl LoadReport {
    /// Encodes the report as `running,queued,limit,latency,flag`, where the flag is `c` (cold) or `w` (warm).
    ///
    /// The latency is clamped to [`MAX_REPORT_LATENCY_US`], so that every encoded report can be parsed.
    pub fn encode(&self) -> CompactString {
        let mut s = CompactString::default();
        let latency = self.latency_us.min(MAX_REPORT_LATENCY_US);
        let flag = if self.is_cold { 'c' } else { 'w' };
        write!(s, "{},{},{},{latency},{flag}", self.running, self.queued, self.limit)
            .expect("writing to a string cannot fail");
        s
    }

    /// Parses a report in the form that [`LoadReport::encode`] writes; no other form is accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is too long, malformed or out of range. It comes from another process.
    pub fn parse(s: &str) -> Result<LoadReport, ReportError> {
        ensure!(s.len() <= MAX_REPORT_BYTES, TooLongSnafu { len: s.len() });
        let mut parts = s.split(',');
        let mut fields = [""; 5];
        for field in &mut fields {
            *field = parts.next().context(FieldsSnafu)?;
        }
        ensure!(parts.next().is_none(), FieldsSnafu);
        let count = |index| {
            let n = parse_number(fields[index]).context(FieldSnafu { index })?;
            u16::try_from(n).ok().context(FieldSnafu { index })
        };
        let latency_us = parse_number(fields[3])
            .filter(|&us| us <= MAX_REPORT_LATENCY_US)
            .context(FieldSnafu { index: 3usize })?;
        let is_cold = match fields[4] {
            "c" => true,
            "w" => false,
            _ => return FieldSnafu { index: 4usize }.fail(),
        };
        Ok(LoadReport {
            running: count(0)?,
            queued: count(1)?,
            limit: count(2)?,
            latency_us,
            is_cold,
        })
    }

    /// Returns the size of the header with the encoded report in bytes, including its name and separators.
    ///
    /// HPACK usually needs fewer bytes, so less of the budget is used than accounted for.
    pub fn cost(&self) -> u32 {
        (REPORT_HEADER.len() + ": \r\n".len() + self.encode().len()) as u32
    }
}

/// Parses decimal digits without a sign or leading zeros.
fn parse_number(s: &str) -> Option<u32> {
    let is_canonical =
        s == "0" || (!s.starts_with('0') && s.bytes().all(|b| b.is_ascii_digit()) && !s.is_empty());
    if is_canonical { s.parse().ok() } else { None }
}

#[cfg(test)]
mod tests;
