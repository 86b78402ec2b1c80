//! The load report that nodes send each other about their targets.

use serde::{Deserialize, Serialize};

/// The load of a target as its node sees it. It is sent with every response between nodes and in
/// status datagrams.
#[derive(Copy, Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    /// The requests running at the target.
    pub(crate) running: u16,
    /// The requests queued at the node.
    pub(crate) queued: u16,
    /// The concurrency limit of the target.
    pub(crate) limit: u16,
    /// The present service time as a percentage of the nominal one.
    pub(crate) slowdown: u16,
    /// The mean service time at normal speed in microseconds.
    pub(crate) service_us: u32,
    /// The failed requests per thousand.
    pub(crate) failure_permille: u16,
    /// Whether the target accepts new requests at all.
    pub(crate) is_open: bool,
    /// Whether the target is in cold start.
    pub(crate) is_cold: bool,
}

impl LoadReport {
    /// Encodes the report for the load header between nodes.
    pub(crate) fn encode(&self) -> String {
        let flags = u8::from(self.is_open) | u8::from(self.is_cold) << 1;
        let LoadReport { running, queued, limit, slowdown, service_us, failure_permille, .. } =
            self;
        format!("{running},{queued},{limit},{slowdown},{service_us},{failure_permille},{flags}")
    }

    /// Parses the load header; returns `None` for text that is not a report.
    pub(crate) fn parse(text: &str) -> Option<LoadReport> {
        let mut parts = text.split(',').map(|part| part.parse::<u32>().ok());
        let mut next = || parts.next().flatten();
        let small = |n: u32| u16::try_from(n).ok();
        let (running, queued) = (small(next()?)?, small(next()?)?);
        let (limit, slowdown) = (small(next()?)?, small(next()?)?);
        let (service_us, failure_permille, flags) = (next()?, small(next()?)?, next()?);
        let (is_open, is_cold) = (flags & 1 != 0, flags & 2 != 0);
        Some(LoadReport {
            running,
            queued,
            limit,
            slowdown,
            service_us,
            failure_permille,
            is_open,
            is_cold,
        })
    }
}

#[cfg(test)]
mod tests;
