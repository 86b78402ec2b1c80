//! Bounds that hold for all nodes of a deployment together.

use std::time::Duration;

use crate::budget::RetryBound;

/// The bounds that the nodes of a deployment enforce together.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct Limits {
    /// The bound on retries.
    pub retries: RetryBound,
    /// The maximum share of requests that a version may receive while it may be faulty; `None` where the deployment has no
    /// rollouts, whose orders are then ignored.
    pub max_exposure: Option<f64>,
    /// The maximum rate of requests to a cold target, as a multiple of the rate that it tolerates.
    pub cold_ratio: f64,
    /// The requests per second allowed in addition to `cold_ratio` times that rate.
    pub cold_slack: f64,
    /// The time that a graceful stop may take.
    pub grace: Duration,
    /// The time after the end of a target before which its address goes to no target of another service.
    pub address_reuse: Duration,
}
