//! poplarbarrow is a load balancer for servers whose load shifts in milliseconds.
//!
//! The library holds all behaviour; the programs under `src/bin` are thin. `docs/design.md` describes the
//! architecture.

pub mod cli;
pub mod document;
pub mod keys;
pub mod load;
pub mod operator;
pub mod platform;
pub mod refusal;
pub mod standin;
pub mod store;
pub mod time;
