//! Stand-ins for the outside systems that poplarbarrow meets, used by tests, trials and the demo.

pub mod target;
