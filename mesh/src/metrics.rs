//! Counters, histograms and gauges of a node, in the Prometheus text format.
//!
//! `docs/OPERATIONS.md` lists all of them. Every label has a bounded set of values.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use compact_str::CompactString;
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::{effect::Record, gauges::GaugeValues};

/// Maximum number of routes with their own series; further ones are counted under [`OVERFLOW_ROUTE`].
const MAX_ROUTES: usize = 256;

/// Label value for routes beyond [`MAX_ROUTES`].
const OVERFLOW_ROUTE: &str = "other";

/// Upper bound of the first histogram bucket in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.001;

/// Number of histogram buckets. Each bound is twice the previous one; the last is about eight seconds.
const BUCKET_COUNT: u16 = 14;

/// The counter of bounds on what peers hold of the process.
const PEER_BOUNDS: &str = "peer_bounds";

/// Names and help texts of the counters.
const COUNTERS: [(&str, &str); 20] = [
    ("attempts", "Attempts of callers' requests at targets"),
    ("retries", "Attempts that ended without an answer that is passed on, by cause"),
    ("refusals", "Callers' requests refused, by reason"),
    ("answers", "Callers' requests answered by a target"),
    ("admissions", "Requests that the target's node took, by decision"),
    ("admissions_refused", "Requests that the target's node refused, by reason"),
    ("target_requests", "Requests that ended at the target, by outcome"),
    ("members", "Members that appeared or are gone"),
    ("target_changes", "Changes of the target beside this node"),
    ("notices", "Deregistrations and refused heartbeats of the target beside this node"),
    ("recorders", "Changes of the duty to record the members of the data centre in the store"),
    ("seats", "Changes of the duty to watch the store"),
    ("store", "Times the store became reachable or unreachable"),
    (
        "orders",
        "Configurations, evacuations and stages of rollouts that came into force, and their confirmations",
    ),
    (
        "remote_share_changes",
        "Logged changes of the share of a service that leaves the data centre",
    ),
    ("suspects", "Requests whose standing changed after a crash"),
    ("pauses", "Times for which this node did not run"),
    ("stops", "Graceful stops that began or ended"),
    ("usage", "Usage reports by outcome, and changes of the duty to send them"),
    (PEER_BOUNDS, "Times peers held all that they may, by what was done"),
];

/// Names and help texts of the gauges.
const GAUGES: [(&str, &str); 16] = [
    ("calls_in_progress", "Callers' requests in progress at this entry node"),
    ("target_running", "Requests running at the target beside this node"),
    ("target_queued", "Requests waiting for that target"),
    ("target_limit", "The most requests that run there at the same time"),
    ("target_pace", "How long work takes there, as a multiple of the usual time"),
    ("target_open", "Whether that target takes new work"),
    ("target_cold", "Whether that target is in cold start"),
    ("target_teams", "Teams whose shares of that target are counted"),
    ("members_known", "Members that this node knows"),
    ("members_silent", "Members from which nothing was heard for long"),
    ("members_cold", "Members whose targets are in cold start"),
    ("repeats_left", "Repeats of requests left to this node"),
    ("config_version", "The version of the configuration in force"),
    ("config_age_seconds", "How long that configuration has been in force here"),
    (
        "orders_age_seconds",
        "How long ago the orders of this node were known to be those of the store; -1 if never",
    ),
    ("store_reachable", "Whether this node reaches the store"),
];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RouteName(CompactString);

impl EncodeLabelValue for RouteName {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        self.0.as_str().encode(encoder)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabel {
    route: RouteName,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteOutcomeLabels {
    route: RouteName,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreCallLabels {
    call: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RemoteShareLabels {
    service: RouteName,
    reason: &'static str,
}

type RouteHistograms = Family<RouteLabel, Histogram, fn() -> Histogram>;

/// All metrics of a node.
pub(crate) struct Metrics {
    registry: Registry,
    counters: HashMap<&'static str, Family<KindLabel, Counter>>,
    requests: Family<RouteOutcomeLabels, Counter>,
    answer_times: RouteHistograms,
    target_times: RouteHistograms,
    queue_times: Histogram,
    store_calls: Family<StoreCallLabels, Counter>,
    early_runs: Family<KindLabel, Counter>,
    gauges: Vec<Gauge<f64, AtomicU64>>,
    remote_shares: Family<RemoteShareLabels, Gauge<f64, AtomicU64>>,
    dropped: Counter,
    usage_holder: Gauge<f64, AtomicU64>,
    routes: Mutex<HashSet<CompactString>>,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let mut registry = Registry::with_prefix("poplarbarrow");
        let mut counters = HashMap::new();
        for (name, help) in COUNTERS {
            let family = Family::<KindLabel, Counter>::default();
            registry.register(name, help, family.clone());
            counters.insert(name, family);
        }
        let mut gauges = Vec::new();
        for (name, help) in GAUGES {
            let gauge = Gauge::<f64, AtomicU64>::default();
            registry.register(name, help, gauge.clone());
            gauges.push(gauge);
        }
        let requests = Family::default();
        registry.register("requests", "Callers' requests by route and outcome", requests.clone());
        let answer_times = RouteHistograms::new_with_constructor(histogram);
        let help = "Time from the arrival of a caller's request to its answer";
        registry.register("answer_seconds", help, answer_times.clone());
        let target_times = RouteHistograms::new_with_constructor(histogram);
        let help = "Time of a request at the target";
        registry.register("target_seconds", help, target_times.clone());
        let queue_times = histogram();
        let help = "Time for which a request waited at the target's node";
        registry.register("queue_seconds", help, queue_times.clone());
        let store_calls = Family::default();
        registry.register("store_calls", "Calls to the store", store_calls.clone());
        let remote_shares = Family::default();
        let help = "Share of the demand for a service that goes to other data centres";
        registry.register("remote_share", help, remote_shares.clone());
        let early_runs = Family::default();
        let help = "Requests sent ahead that were started, delayed by a bound or discarded";
        registry.register("early_runs", help, early_runs.clone());
        let dropped = Counter::default();
        registry.register("log_lines_dropped", "Log lines that did not fit", dropped.clone());
        let usage_holder = Gauge::default();
        let help = "Whether this node holds the duty to report usage";
        registry.register("usage_holder", help, usage_holder.clone());
        Metrics {
            registry,
            counters,
            requests,
            answer_times,
            target_times,
            queue_times,
            store_calls,
            early_runs,
            gauges,
            remote_shares,
            dropped,
            usage_holder,
            routes: Mutex::default(),
        }
    }

    /// Updates the counters and histograms for a record.
    pub(crate) fn count(&self, record: &Record) {
        let (name, kind) = counter_and_kind(record);
        if let Some(family) = self.counters.get(name) {
            family.get_or_create(&KindLabel { kind }).inc();
        }
        match record {
            Record::Answer { route, status, took, .. } => {
                let outcome = if *status < 400 { "success" } else { "failure" };
                self.count_request(route, outcome);
                observe(&self.answer_times, self.route_name(route), *took);
            }
            Record::Refuse { route, refusal, .. } => {
                self.count_request(route, refusal.reason.as_str());
            }
            Record::Ran { route, took, waited, .. } => {
                observe(&self.target_times, self.route_name(route), *took);
                self.queue_times.observe(waited.as_secs_f64());
            }
            _ => {}
        }
    }

    /// Counts a call to the store by operation and outcome.
    pub(crate) fn count_store_call(&self, call: &'static str, outcome: &'static str) {
        self.store_calls.get_or_create(&StoreCallLabels { call, outcome }).inc();
    }

    /// Counts a request that was sent ahead, by what became of its early run.
    pub(crate) fn count_early_run(&self, kind: &'static str) {
        self.early_runs.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts usage reports by outcome, or changes of the duty to send them.
    pub(crate) fn count_usage(&self, kind: &'static str, count: u64) {
        if let Some(family) = self.counters.get("usage") {
            family.get_or_create(&KindLabel { kind }).inc_by(count);
        }
    }

    pub(crate) fn set_usage_holder(&self, is_holder: bool) {
        self.usage_holder.set(f64::from(u8::from(is_holder)));
    }

    /// Counts a bound on what peers hold, by what was done.
    pub(crate) fn count_peer_bound(&self, kind: &'static str) {
        if let Some(family) = self.counters.get(PEER_BOUNDS) {
            family.get_or_create(&KindLabel { kind }).inc();
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode_text(&self, values: &GaugeValues, dropped: u64) -> String {
        for (gauge, value) in self.gauges.iter().zip(gauge_values(values)) {
            gauge.set(value);
        }
        self.remote_shares.clear();
        for share in &values.remote_shares {
            let (service, reason) = (RouteName(share.service.clone()), share.reason);
            let labels = RemoteShareLabels { service, reason };
            self.remote_shares.get_or_create(&labels).set(share.share);
        }
        self.dropped.inner().store(dropped, Ordering::Relaxed);
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn count_request(&self, route: &CompactString, outcome: &'static str) {
        let labels = RouteOutcomeLabels { route: self.route_name(route), outcome };
        self.requests.get_or_create(&labels).inc();
    }

    /// Returns the label value of a route, or [`OVERFLOW_ROUTE`] beyond [`MAX_ROUTES`] routes.
    fn route_name(&self, route: &CompactString) -> RouteName {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        if routes.contains(route) {
            return RouteName(route.clone());
        }
        if routes.len() >= MAX_ROUTES {
            return RouteName(OVERFLOW_ROUTE.into());
        }
        routes.insert(route.clone());
        RouteName(route.clone())
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}

fn observe(times: &RouteHistograms, route: RouteName, time: Duration) {
    times.get_or_create(&RouteLabel { route }).observe(time.as_secs_f64());
}

/// Returns the counter and the `kind` label of a record.
fn counter_and_kind(record: &Record) -> (&'static str, &'static str) {
    match record {
        Record::Route { .. } => ("attempts", "sent"),
        Record::Retry { cause, .. } => ("retries", *cause),
        Record::Refuse { refusal, .. } => ("refusals", refusal.reason.as_str()),
        Record::Answer { status, .. } if *status < 400 => ("answers", "success"),
        Record::Answer { .. } => ("answers", "failure"),
        Record::Admit { reason: Some(reason), .. } => ("admissions_refused", reason.as_str()),
        Record::Admit { decision, .. } => ("admissions", *decision),
        Record::Ran { outcome, .. } => ("target_requests", *outcome),
        Record::Member { change, .. } => ("members", *change),
        Record::Target { change, .. } => ("target_changes", *change),
        Record::Notice { is_accepted: true, .. } => ("notices", "accepted"),
        Record::Notice { .. } => ("notices", "refused"),
        Record::Recorder { is_recorder: true } => ("recorders", "taken"),
        Record::Recorder { .. } => ("recorders", "given_up"),
        Record::Watcher { is_watcher: true } => ("seats", "taken"),
        Record::Watcher { .. } => ("seats", "given_up"),
        Record::Store { is_reachable: true } => ("store", "regained"),
        Record::Store { .. } => ("store", "lost"),
        Record::StoreEra { .. } => ("store", "restored"),
        Record::Orders { is_confirmed: true, .. } => ("orders", "confirmed"),
        Record::Orders { .. } => ("orders", "unconfirmed"),
        Record::Config { .. } => ("orders", "configuration"),
        Record::Evacuated { .. } => ("orders", "evacuation"),
        Record::Rollout { stage, .. } => ("orders", *stage),
        Record::Suspect(suspect) => ("suspects", suspect.standing.as_str()),
        Record::RemoteShare { reason, .. } => ("remote_share_changes", *reason),
        Record::Paused { .. } => ("pauses", "ended"),
        Record::Stop { phase, .. } => ("stops", *phase),
    }
}

/// Returns the values of the gauges in the order of [`GAUGES`].
fn gauge_values(values: &GaugeValues) -> [f64; GAUGES.len()] {
    let flag = |is: bool| f64::from(u8::from(is));
    [
        values.calls as f64,
        values.running as f64,
        values.queued as f64,
        values.limit as f64,
        values.slowdown,
        flag(values.is_open),
        flag(values.is_cold),
        values.teams as f64,
        values.members as f64,
        values.silent as f64,
        values.cold as f64,
        values.retries_left,
        values.config_version as f64,
        values.config_age.as_secs_f64(),
        values.orders_age.map_or(-1.0, |age| age.as_secs_f64()),
        flag(values.has_store),
    ]
}

#[cfg(test)]
mod tests;
