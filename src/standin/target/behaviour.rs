use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::{ResultExt, Snafu, ensure};

/// The distribution of service times.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Distribution {
    /// Every request takes the mean.
    #[default]
    Fixed,
    /// Exponential with the configured mean.
    Exponential,
}

/// The properties of a stand-in target that `POST /-/control` can change at run time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Maximum number of requests that run concurrently; others are queued.
    pub slots: u32,
    /// Limit of running and queued requests above which new ones get a 503 response; 0 means no limit.
    pub shed_limit: u32,
    /// Limit of open connections above which new ones are closed at once.
    pub connections: u32,
    /// Delay between accepting a connection and reading its first request, in microseconds.
    pub connect_us: u64,
    /// Mean service time in microseconds. Times below 1 ms are spent in a busy loop, because tokio's timer has
    /// a resolution of 1 ms.
    pub service_us: u64,
    /// The distribution of service times.
    pub distribution: Distribution,
    /// Factor on the service time.
    pub slowdown: f64,
    /// Number of slots at the beginning of a cold start.
    pub cold_slots: u32,
    /// Requests to finish before the cold start ends; 0 ignores requests.
    pub cold_requests: u32,
    /// Minimum duration of a cold start in milliseconds; 0 ignores time.
    pub cold_ms: u64,
    /// Limit of running and queued requests per slot in a cold start; a request above it makes the target fail.
    pub cold_overload: u32,
    /// Time in milliseconds for which the target fails all requests after an overload in a cold start.
    pub cold_fail_ms: u64,
    /// Whether new requests are refused and the health endpoint reports the target as unhealthy.
    pub draining: bool,
    /// Whether requests hold their slots without making progress.
    pub stall: bool,
    /// Fraction of requests that fail immediately with 500.
    pub fail_rate: f64,
    /// Path prefix of requests that fail with 500.
    pub fail_prefix: Option<CompactString>,
    /// Fraction of responses whose body is truncated halfway.
    pub cut_rate: f64,
    /// Whether responses use chunked encoding instead of a content length.
    pub chunked: bool,
    /// Age in milliseconds of the state that the health endpoint reports.
    pub health_lag_ms: u64,
    /// Fixed result of the health endpoint, regardless of the state.
    pub health_forced: Option<bool>,
    /// Age in milliseconds of the state that the load endpoint reports.
    pub load_lag_ms: u64,
    /// Factor on the counts that the load endpoint reports.
    pub load_factor: f64,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            slots: 12,
            shed_limit: 0,
            connections: 200,
            connect_us: 1000,
            service_us: 0,
            distribution: Distribution::Fixed,
            slowdown: 1.0,
            cold_slots: 2,
            cold_requests: 0,
            cold_ms: 0,
            cold_overload: 3,
            cold_fail_ms: 100,
            draining: false,
            stall: false,
            fail_rate: 0.0,
            fail_prefix: None,
            cut_rate: 0.0,
            chunked: false,
            health_lag_ms: 0,
            health_forced: None,
            load_lag_ms: 0,
            load_factor: 1.0,
        }
    }
}

/// An invalid behaviour or control request.
#[derive(Debug, Snafu)]
pub enum BehaviourError {
    /// The control request is not a JSON object.
    #[snafu(display("the control request is not a JSON object"))]
    NotObject,
    /// A field is unknown or of the wrong type.
    #[snafu(display("invalid control request: {source}"))]
    Field {
        /// The cause.
        source: serde_json::Error,
    },
    /// A value lies outside its range.
    #[snafu(display("{field} is out of range"))]
    Range {
        /// The field.
        field: &'static str,
    },
}

/// A one-time action of a control request.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Action {
    Crash,
    Cold,
}

impl Behaviour {
    /// Checks the ranges of all values.
    pub(super) fn check(&self) -> Result<(), BehaviourError> {
        let share = |v: f64| (0.0..=1.0).contains(&v);
        // The upper bound keeps derived times finite.
        let factor = |v: f64| (0.0..=1e6).contains(&v);
        ensure!((1..=65_536).contains(&self.slots), RangeSnafu { field: "slots" });
        ensure!((1..=65_536).contains(&self.cold_slots), RangeSnafu { field: "cold_slots" });
        ensure!(self.cold_overload >= 1, RangeSnafu { field: "cold_overload" });
        ensure!(self.service_us <= 3_600_000_000, RangeSnafu { field: "service_us" });
        ensure!(self.connect_us <= 3_600_000_000, RangeSnafu { field: "connect_us" });
        ensure!(factor(self.slowdown), RangeSnafu { field: "slowdown" });
        ensure!(factor(self.load_factor), RangeSnafu { field: "load_factor" });
        ensure!(share(self.fail_rate), RangeSnafu { field: "fail_rate" });
        ensure!(share(self.cut_rate), RangeSnafu { field: "cut_rate" });
        Ok(())
    }

    /// Replaces the fields given in `patch`.
    pub(super) fn merge(
        &mut self,
        patch: serde_json::Map<String, Value>,
    ) -> Result<(), BehaviourError> {
        let mut all = serde_json::to_value(&*self).context(FieldSnafu)?;
        if let Value::Object(fields) = &mut all {
            fields.extend(patch);
        }
        *self = serde_json::from_value(all).context(FieldSnafu)?;
        Ok(())
    }
}

/// Splits a control request into its action and the fields to change.
pub(super) fn parse_control(
    body: &[u8],
) -> Result<(Option<Action>, serde_json::Map<String, Value>), BehaviourError> {
    let Value::Object(mut patch) = serde_json::from_slice(body).context(FieldSnafu)? else {
        return NotObjectSnafu.fail();
    };
    let action =
        patch.remove("action").map(serde_json::from_value).transpose().context(FieldSnafu)?;
    Ok((action, patch))
}
