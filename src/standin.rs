//! Stand-ins for the systems around the nodes, for demos, tests and measurements.

pub mod platform;
pub mod target;
