//! poplarbarrow is a load balancer for servers whose load shifts in milliseconds.
//!
//! The library contains the implementation; the programs under `src/bin` only parse their arguments and call it.
//! `docs/design.md` describes the architecture.
//!
//! # Example
//!
//! Chooses one of two targets that have not reported their load yet:
//!
//! ```
//! use poplarbarrow::{
//!     keys::MemberKey,
//!     load::TargetView,
//!     routing::{Candidate, Policy, Router, TargetState},
//!     time::Time,
//! };
//! use rand::{SeedableRng, rngs::SmallRng};
//! use slotmap::SlotMap;
//!
//! let mut views: SlotMap<MemberKey, TargetView> = SlotMap::with_key();
//! let (first, second) = (views.insert(TargetView::new()), views.insert(TargetView::new()));
//! let candidates = [first, second].map(|key| Candidate {
//!     key,
//!     view: &views[key],
//!     is_local: true,
//!     state: TargetState::InService,
//! });
//! let mut rng = SmallRng::seed_from_u64(1);
//! let choice = Router::new(Policy::LeastLoaded).choose(Time::ZERO, &candidates, &[], &mut rng);
//! assert!(choice.is_ok_and(|choice| choice.key == first || choice.key == second));
//! ```

pub use poplarbarrow_mesh::{keys, time};

mod addresses;
mod admission;
mod auth;
pub mod bench;
mod body;
mod claims;
pub mod cli;
mod config;
mod console;
mod control;
mod crash_guard;
pub mod demo;
mod directory;
pub mod document;
mod driver;
mod effect;
mod envelope;
mod event;
mod forwarder;
pub mod gossip;
mod headers;
mod health;
pub mod identity;
mod ingress;
pub mod load;
pub mod logging;
pub mod membership;
mod metrics;
#[cfg(test)]
#[path = "../tests/utils/mutation.rs"]
mod mutation;
pub mod node;
pub mod openloop;
pub mod operator;
mod peer;
mod peer_requests;
pub mod platform;
mod platform_watcher;
mod pool;
mod probe;
mod reducer;
pub mod refusal;
mod remote;
mod retry;
pub mod rollout;
pub mod routing;
mod server;
pub mod settings;
pub mod standin;
pub mod status;
pub mod store;
mod suspect_reports;
pub mod transports;
mod usage;
mod verdicts;
