//! The values of a node's gauges.

use std::time::Duration;

use compact_str::CompactString;

/// The state of a node when the metrics are read.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct GaugeValues {
    /// Callers' requests in progress at this entry node.
    pub(crate) calls: usize,
    /// Requests running at the local target.
    pub(crate) running: usize,
    /// Requests queued for the local target.
    pub(crate) queued: usize,
    /// The concurrency limit of the local target.
    pub(crate) limit: usize,
    /// The service time at the local target as a multiple of the nominal service time.
    pub(crate) slowdown: f64,
    /// Whether the local target takes new requests.
    pub(crate) is_open: bool,
    /// Whether the local target is in cold start.
    pub(crate) is_cold: bool,
    /// Teams whose shares of the local target are counted, those without a team included.
    pub(crate) teams: usize,
    /// Members in the directory, including this node.
    pub(crate) members: usize,
    /// Members that have been silent for longer than the limit.
    pub(crate) silent: usize,
    /// Members whose targets report a cold start.
    pub(crate) cold: usize,
    /// Retries left in the budgets of this node, over all services.
    pub(crate) retries_left: f64,
    /// The version of the configuration in force, or 0 without one.
    pub(crate) config_version: u64,
    /// The time since this node applied that configuration.
    pub(crate) config_age: Duration,
    /// The time since the orders of this node were known to be those of the store, if they ever were.
    pub(crate) orders_age: Option<Duration>,
    /// Whether this node reaches the store.
    pub(crate) has_store: bool,
    /// The shares of the demand that go to other data centres. Their number is that of the services with a decision.
    pub(crate) remote_shares: Vec<RemoteShare>,
}

/// The share of the demand for a service that goes to other data centres.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RemoteShare {
    pub(crate) service: CompactString,
    pub(crate) reason: &'static str,
    pub(crate) share: f64,
}
