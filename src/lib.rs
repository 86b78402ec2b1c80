//! poplarbarrow is a load balancer for servers whose load shifts in milliseconds.
//!
//! The library holds all behaviour; the programs under `src/bin` are thin. `docs/design.md` describes the
//! architecture.

pub mod admission;
mod auth;
pub mod bench;
mod body;
mod claims;
pub mod cli;
mod config;
mod console;
mod control;
pub mod crash_guard;
pub mod demo;
mod directory;
pub mod document;
mod driver;
mod effect;
mod egress;
mod envelope;
mod event;
pub mod gossip;
pub mod headers;
mod health;
pub mod identity;
mod ingress;
pub mod keys;
pub mod load;
pub mod logging;
pub mod membership;
mod metrics;
pub mod node;
pub mod openloop;
pub mod operator;
mod peer;
pub mod platform;
mod pool;
mod probe;
mod reducer;
pub mod refusal;
mod remote;
pub mod retry;
pub mod rollout;
pub mod routing;
mod seat;
mod server;
pub mod settings;
pub mod standin;
pub mod status;
pub mod store;
mod tell;
pub mod time;
mod timer;
pub mod transports;
mod verdicts;
mod work;
