//! Stand-ins for the systems around the nodes, for demos, tests and measurements.

pub mod platform;
//! Stand-ins for the outside systems that poplarbarrow meets, used by tests, trials and the demo.

pub mod target;
