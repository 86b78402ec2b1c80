//! Metrics in the statsd format, sent over UDP if the settings name a receiver.
//!
//! The metrics are listed in `docs/logs.md`.

use std::{
    net::{Ipv4Addr, SocketAddr, UdpSocket},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use cadence::{Counted, Gauged, Histogrammed, QueuingMetricSink, StatsdClient, UdpMetricSink};
use hdrhistogram::Histogram;

use crate::{effect::Record, status::StageTime};

/// The prefix of all metric names.
const PREFIX: &str = "poplarbarrow";

/// The upper bound of the histograms; longer times are recorded as this value.
const MAX_TIME_US: u64 = 10_000_000;

/// A stage of the processing of a request in a node.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// From the arrival of a caller's request to the start of its first attempt.
    CallRequest,
    /// From the arrival of the head of an answer to its forwarding to the caller.
    CallAnswer,
    /// From the arrival of a request for the target to its forwarding, including its time in the queue.
    WorkRequest,
    /// From the arrival of the head of the target's answer to its forwarding to the entry node.
    WorkAnswer,
}

impl RequestStage {
    const ALL: [RequestStage; 4] = [
        RequestStage::CallRequest,
        RequestStage::CallAnswer,
        RequestStage::WorkRequest,
        RequestStage::WorkAnswer,
    ];

    const fn metric_name(self) -> &'static str {
        match self {
            RequestStage::CallRequest => "call.request_us",
            RequestStage::CallAnswer => "call.answer_us",
            RequestStage::WorkRequest => "work.request_us",
            RequestStage::WorkAnswer => "work.answer_us",
        }
    }
}

/// Records stage times, and sends metrics if a receiver is configured.
pub(crate) struct Metrics {
    /// `None` without a receiver, so that calls don't spend time on formatting metrics that are not sent.
    client: Option<StatsdClient>,
    /// Times in microseconds since the start, in the order of [`RequestStage::ALL`].
    times: [Mutex<Histogram<u64>>; 4],
}

impl Metrics {
    /// Creates metrics that are sent to `receiver`.
    ///
    /// # Errors
    ///
    /// Fails if no UDP socket can be opened.
    pub(crate) fn new(receiver: Option<SocketAddr>) -> Result<Metrics, cadence::MetricError> {
        let client = match receiver {
            None => None,
            Some(addr) => {
                let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
                socket.set_nonblocking(true)?;
                let sink = QueuingMetricSink::from(UdpMetricSink::from(addr, socket)?);
                Some(StatsdClient::from_sink(PREFIX, sink))
            }
        };
        let histogram = || {
            let histogram = Histogram::new_with_bounds(1, MAX_TIME_US, 2);
            Mutex::new(histogram.expect("the bounds are valid"))
        };
        Ok(Metrics { client, times: std::array::from_fn(|_| histogram()) })
    }

    /// Increments the counter for the kind of a record; a record of measurements sets a gauge.
    pub(crate) fn count(&self, record: &Record) {
        let Some(client) = &self.client else { return };
        let name = match record {
            Record::Route { .. } => "routes",
            Record::Refuse { refusal, .. } => {
                return count_refusal(client, refusal.reason.as_str());
            }
            Record::Relay { .. } => "relays",
            Record::Replay { .. } => "replays",
            Record::HandOver { .. } => "handovers",
            Record::Admit { decision: "refuse", .. } => "works.refused",
            Record::Admit { .. } => "works.admitted",
            Record::TargetFailed { .. } => "targets.failed",
            Record::Eject { .. } => "ejections",
            Record::Member { .. } => "members.changed",
            Record::Synced { .. } => "members.synced",
            Record::TableFull { .. } => "members.table_full",
            Record::Region { .. } => "regions.changed",
            Record::RemoteServicesFull { .. } => "regions.services_full",
            Record::Watcher { .. } => "seats.changed",
            Record::Pull { .. } => "documents.pulled",
            Record::Measured { bytes, .. } => return self.set_measurement_bytes(*bytes),
            Record::Document { .. } => "documents",
            Record::Rollout { stage: "rolled-back", .. } => "rollouts.rolled_back",
            Record::Rollout { .. } => "rollouts.changed",
            Record::Suspect(_) => "suspects.changed",
            Record::Target { .. } => "targets.changed",
            Record::Stop { .. } => "stops",
        };
        // A metric that cannot be sent must not affect the request.
        let _ = client.count(name, 1);
    }

    /// Counts dropped gossip datagrams by reason.
    pub(crate) fn count_dropped_datagrams(&self, reason: &str, count: u64) {
        let Some(client) = &self.client else { return };
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        let _ = client.count_with_tags("gossip.dropped", count).with_tag("kind", reason).try_send();
    }

    /// Records the time that a request spent in a stage.
    pub(crate) fn record_duration(&self, stage: RequestStage, elapsed: Duration) {
        let us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let times = self.times[stage as usize].lock();
        times.unwrap_or_else(PoisonError::into_inner).saturating_record(us);
        if let Some(client) = &self.client {
            let _ = client.histogram(stage.metric_name(), us);
        }
    }

    /// Returns a summary of the times recorded since the start, by stage.
    pub(crate) fn stage_times(&self) -> Vec<StageTime> {
        let summary = |(stage, times): (RequestStage, &Mutex<Histogram<u64>>)| {
            let times = times.lock().unwrap_or_else(PoisonError::into_inner);
            StageTime {
                stage: stage.metric_name().trim_end_matches("_us").into(),
                count: times.len(),
                p50_us: times.value_at_quantile(0.5),
                p99_us: times.value_at_quantile(0.99),
                max_us: times.max(),
            }
        };
        RequestStage::ALL.into_iter().zip(&self.times).map(summary).collect()
    }

    fn set_measurement_bytes(&self, bytes: u64) {
        if let Some(client) = &self.client {
            let _ = client.gauge("measure.bytes", bytes);
        }
    }
}

fn count_refusal(client: &StatsdClient, reason: &str) {
    let _ = client.count_with_tags("refusals", 1).with_tag("reason", reason).try_send();
}

#[cfg(test)]
mod tests;
