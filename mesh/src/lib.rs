//! The sidecar load balancer for deployments that keep membership and configuration in a key-value store.
//!
//! One node runs on the instance of each target. Callers on that instance send their requests to it. It selects a
//! target and forwards the request to that target's node, which admits, queues or refuses it. Nodes discover each
//! other through the [`store`], which also holds all persistent state; nodes write nothing to local disk. All decisions
//! are made by one reducer that performs no I/O.
//!
//! `docs/platform.md` describes the design.

pub mod config;
pub mod crash_guard;
pub mod head_limit;
pub mod headers;
pub mod keys;
pub mod log_prefix;
pub mod log_writer;
pub mod logging;
pub mod mailbox;
pub mod node;
pub mod payload;
pub mod peer_memory;
pub mod pool;
pub mod reload;
pub mod serve;
pub mod settings;
pub mod statistics;
pub mod store;
pub mod teams;
pub mod time;
pub mod timer;
pub mod usage;

mod activity;
mod admission;
mod budget;
mod compression;
mod directory;
mod driver;
mod early_runs;
mod effect;
mod event;
mod fanout;
mod fingerprint;
mod forwarder;
mod gauges;
mod handle;
mod head_scanner;
mod health;
mod ingress;
mod limits;
mod metered_store;
mod metrics;
mod node_status;
mod peer_requests;
mod peers;
mod placement;
mod pull;
mod recall;
mod reducer;
mod refusal;
mod registry;
mod replica;
mod report;
mod rollout;
mod route_failures;
mod slowdown;
mod spill;
mod split;
mod sync;
mod tally;
mod target;
mod topic_replicas;
mod watchers;

pub use crate::{
    budget::RetryBound,
    limits::Limits,
    replica::Topic,
    rollout::{RolloutOrder, RolloutRecord, RolloutState},
    settings::KeyPrefixes,
    target::{Heartbeat, HeartbeatReply, Lifetime},
    topic_replicas::UpdateHandler,
};
