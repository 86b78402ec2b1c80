//! poplarbarrow is a load balancer for servers whose load shifts in milliseconds.
//!
//! The library holds all behaviour; the programs under `src/bin` are thin. `docs/design.md` describes the
//! architecture.

mod body;
pub mod document;
pub mod headers;
pub mod keys;
pub mod load;
mod pool;
pub mod refusal;
pub mod settings;
pub mod time;
