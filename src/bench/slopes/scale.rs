//! What the measured costs give at the size to be reached (`docs/design.md`, section 2.5).

use std::fmt;

use serde::Serialize;

use super::short;

mod figures;

pub use figures::figures;

/// The nodes of the fleet, one beside each target.
pub const NODES: f64 = 24_000.0;

/// The services.
pub const SERVICES: f64 = 4_700.0;

/// Calls per second of the fleet.
pub const CALLS: f64 = 3_800_000.0;

/// The regions.
pub const REGIONS: f64 = 9.0;

/// The data centres.
pub const CENTRES: f64 = 20.0;

/// Changes of the configuration per second: 53,000 a day.
pub const CHANGES: f64 = 53_000.0 / 86_400.0;

/// Restarts and replacements per second, besides failures: 1,500 and 120 a day.
pub const STARTS: f64 = 1_620.0 / 86_400.0;

/// The bytes per second of control traffic that a node may send and receive.
pub const MAX_BYTES: f64 = 17_000.0;

/// The processor time of control in microseconds per second: 4.9% of a core.
pub const MAX_CPU: f64 = 49_000.0;

/// The memory of a node in bytes.
pub const MAX_MEMORY: f64 = 32_000_000.0;

/// The time in seconds within which a change is in force everywhere.
pub const MAX_SPREAD: f64 = 9.0;

/// The added latency in microseconds for 99 in 100 calls.
pub const MAX_LATENCY: f64 = 550.0;

/// The largest value of the platform in bytes.
pub const MAX_VALUE: f64 = 1_000_000.0;

/// Writes per second that the platform accepts ("several hundred").
pub const MAX_WRITES: f64 = 300.0;

/// Reads per second that the platform answers.
pub const MAX_READS: f64 = 2_000.0;

/// The nodes of an average region.
pub const REGION: f64 = NODES / REGIONS;

/// The calls per second at an average node, as entry node and as target's node each.
pub const NODE_CALLS: f64 = CALLS / NODES;

/// The targets of an average service.
pub const TARGETS: f64 = NODES / SERVICES;

/// How a figure came about.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Basis {
    /// The size lies within the measured range.
    Measured,
    /// The figure combines several costs or constants, or lies outside the measured range.
    Derived,
}

/// One figure at the size to be reached.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// The role of a node, or the platform.
    pub role: &'static str,
    /// What is counted.
    pub quantity: &'static str,
    /// The value.
    pub value: f64,
    /// The unit.
    pub unit: &'static str,
    /// The limit, if the requirements state one.
    pub limit: Option<f64>,
    /// How the figure came about.
    pub basis: Basis,
    /// The formula, with the names of the costs.
    pub formula: &'static str,
}

impl Figure {
    /// Returns whether the figure exceeds its limit.
    pub fn is_exceeded(&self) -> bool {
        self.limit.is_some_and(|limit| self.value > limit)
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Figure { role, quantity, value, unit, limit, basis, formula } = self;
        let limit = limit.map_or_else(String::new, short);
        let mark = if self.is_exceeded() { " (exceeded)" } else { "" };
        let basis = match basis {
            Basis::Measured => "measured",
            Basis::Derived => "derived",
        };
        write!(
            f,
            "| {role} | {quantity} | {} {unit} | {limit}{mark} | {basis} | `{formula}` |",
            short(*value)
        )
    }
}
