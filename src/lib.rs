//! poplarbarrow is a load balancer for servers whose load shifts in milliseconds.
//!
//! The library holds all behaviour; the programs under `src/bin` are thin. `docs/design.md` describes the
//! architecture.

mod auth;
mod body;
mod directory;
pub mod admission;
pub mod document;
mod driver;
mod effect;
mod egress;
mod event;
pub mod headers;
mod ingress;
pub mod keys;
pub mod load;
pub mod logging;
mod metrics;
pub mod node;
mod peer;
pub mod platform;
mod pool;
mod reducer;
pub mod gossip;
pub mod keys;
pub mod load;
pub mod membership;
pub mod refusal;
mod server;
pub mod settings;
pub mod standin;
pub mod retry;
pub mod routing;
pub mod time;
mod timer;
mod work;
pub mod identity;
