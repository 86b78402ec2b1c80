//! poplarbarrow is a load balancer for servers whose load shifts in milliseconds.
//!
//! The library holds all behaviour; the programs under `src/bin` are thin. `docs/design.md` describes the
//! architecture.

pub mod document;
pub mod keys;
pub mod load;
pub mod openloop;
pub mod refusal;
pub mod standin;
pub mod time;
pub mod transports;
