//! Simulated platform and target servers for demos, tests and measurements.

pub mod platform;
pub mod target;
