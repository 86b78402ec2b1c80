//! Metrics in statsd form, sent to a UDP address if the settings name one.
//!
//! The metrics are listed in `docs/metrics.md`.

use std::{
    net::{Ipv4Addr, SocketAddr, UdpSocket},
    time::Duration,
};

use cadence::{Counted, Gauged, Histogrammed, QueuingMetricSink, StatsdClient, UdpMetricSink};

use crate::effect::Record;

/// The prefix of all metric names.
const PREFIX: &str = "poplarbarrow";

/// Sends metrics, or drops them if no receiver is set.
pub(crate) struct Metrics {
    /// Absent if no receiver is set, because formatting metrics that nobody receives takes time in each call.
    client: Option<StatsdClient>,
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
        Ok(Metrics { client })
    }

    /// Counts a record by its kind.
    pub(crate) fn record(&self, record: &Record) {
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
            Record::RemoteFull { .. } => "regions.services_full",
            Record::Seat { .. } => "seats.changed",
            Record::Pull { .. } => "documents.pulled",
            Record::Measured { bytes, .. } => return self.spent(*bytes),
            Record::Document { .. } => "documents",
            Record::Rollout { stage: "rolled-back", .. } => "rollouts.rolled_back",
            Record::Rollout { .. } => "rollouts.changed",
            Record::Suspect(_) => "suspects.changed",
            Record::Target { .. } => "targets.changed",
            Record::Stop { .. } => "stops",
        };
        // A lost metric must not disturb a request.
        let _ = client.count(name, 1);
    }

    /// Counts datagrams that were dropped.
    pub(crate) fn dropped(&self, kind: &str, count: u64) {
        let Some(client) = &self.client else { return };
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        let _ = client.count_with_tags("gossip.dropped", count).with_tag("kind", kind).try_send();
    }

    /// Records the time that this node took to hand a request on to its target's node.
    pub(crate) fn handed_on(&self, elapsed: Duration) {
        self.time("call.request_us", elapsed);
    }

    /// Records the time that this node took to hand the head of an answer on to the caller.
    pub(crate) fn handed_back(&self, elapsed: Duration) {
        self.time("call.answer_us", elapsed);
    }

    fn time(&self, name: &str, elapsed: Duration) {
        if let Some(client) = &self.client {
            let _ = client.histogram(name, micros(elapsed));
        }
    }

    fn spent(&self, bytes: u64) {
        if let Some(client) = &self.client {
            let _ = client.gauge("measure.bytes", bytes);
        }
    }
}

fn count_refusal(client: &StatsdClient, reason: &str) {
    let _ = client.count_with_tags("refusals", 1).with_tag("reason", reason).try_send();
}

fn micros(elapsed: Duration) -> u64 {
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
