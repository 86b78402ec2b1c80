//! poplarbarrow is a load balancer for servers whose load shifts in milliseconds.
//!
//! The library holds all behaviour; the programs under `src/bin` are thin. `docs/design.md` describes the
//! architecture.

pub mod admission;
pub mod bench;
pub mod document;
pub mod keys;
pub mod load;
pub mod refusal;
pub mod retry;
pub mod routing;
pub mod time;
