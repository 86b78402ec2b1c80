//! The operators' document, which configures data centres, services and budgets.
//!
//! The fields are described in `docs/document.md`.

pub mod diff;
pub(crate) mod read;
pub mod validate;

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A revision of the operators' document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The data centres by name.
    pub centres: BTreeMap<CompactString, Centre>,
    /// The services by name, which callers use as the authority of a request.
    pub services: BTreeMap<CompactString, Service>,
    /// Limits on the resources that the load balancer itself uses.
    #[serde(default)]
    pub budgets: Budgets,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Centre {
    /// The region that contains the data centre.
    pub region: CompactString,
    /// Whether the data centre may receive new work.
    #[serde(default)]
    pub state: CentreState,
}

/// Whether a data centre may receive new work.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CentreState {
    /// The data centre receives work.
    #[default]
    In,
    /// The data centre receives no new work.
    Out,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Rules by path prefix; the longest matching prefix applies.
    pub routes: Vec<Route>,
    /// The versions and their rollouts, the oldest version first.
    pub versions: Vec<Version>,
    /// The deadline in milliseconds of a request that states none.
    pub deadline_ms: u32,
    /// Retries and hedges allowed per 100 first attempts.
    pub retry_percent: u8,
    /// The largest share of the targets, in percent, that may be ejected at once.
    pub eject_percent: u8,
    /// Whether a slow idempotent request is also sent to a second target, within the retry budget.
    pub hedge: bool,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            routes: Vec::new(),
            versions: Vec::new(),
            deadline_ms: 2_000,
            retry_percent: 10,
            eject_percent: 34,
            hedge: true,
        }
    }
}

/// A rule for the requests below a path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The path prefix, starting with `/`.
    pub prefix: CompactString,
    /// The method to which the rule is limited; all methods if absent.
    #[serde(default)]
    pub method: Option<CompactString>,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
}

/// A version of a service and its rollout schedule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The name that targets announce.
    pub name: CompactString,
    /// The start of the rollout in milliseconds since the Unix epoch.
    #[serde(default)]
    pub start_ms: u64,
    /// The time by which the version carries all traffic, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub end_ms: u64,
}

/// Limits on the resources that the load balancer itself uses, for each node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Budgets {
    /// The traffic of probes and load reports in bytes per second.
    pub measure_bytes: u32,
    /// Probes per 1,000 calls.
    pub probe_permille: u16,
    /// Claims of caller-chosen identities per second.
    pub claim_rate: u16,
}

impl Default for Budgets {
    fn default() -> Budgets {
        Budgets { measure_bytes: 4_096, probe_permille: 20, claim_rate: 20 }
    }
}
