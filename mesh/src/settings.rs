//! The settings of a node.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::{
    headers::HeaderNames, limits::Limits, peer_memory::ProcessLimits, registry, replica::Topic,
};

/// The settings of a node. An adapter reads them in the format that its deployment uses.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The service of the local target.
    pub service: CompactString,
    /// The data centre of this node.
    pub centre: CompactString,
    /// The listen address for callers on this instance.
    pub callers: SocketAddr,
    /// The listen address for other nodes: requests over TCP and status datagrams over UDP.
    pub peers: SocketAddr,
    /// The listen address of the readiness endpoint.
    pub ready: SocketAddr,
    /// The listen address of the metrics endpoint, if enabled.
    pub metrics: Option<SocketAddr>,
    /// The address of the target.
    pub target: SocketAddr,
    /// The names of the headers exchanged with callers and targets.
    pub names: HeaderNames,
    /// The key prefixes in the store that operators write to.
    pub prefixes: KeyPrefixes,
    /// Limits that apply to all nodes of the deployment together.
    pub limits: Limits,
    /// What this process may use. It is read at the start only.
    pub process: ProcessLimits,
}

impl Settings {
    /// Returns whether both settings have the same data centre and addresses.
    pub(crate) fn has_same_place(&self, other: &Settings) -> bool {
        let addresses = |settings: &Settings| {
            let Settings { callers, peers, ready, metrics, target, .. } = settings;
            (*callers, *peers, *ready, *metrics, *target)
        };
        self.centre == other.centre && addresses(self) == addresses(other)
    }
}

/// The key prefixes of the topics in the store.
#[derive(Clone, Debug)]
pub struct KeyPrefixes {
    /// The prefix of the operators' orders.
    pub orders: &'static str,
    /// The prefix of the recorded states of rollouts.
    pub status: &'static str,
}

impl KeyPrefixes {
    pub(crate) fn of(&self, topic: Topic) -> &'static str {
        match topic {
            Topic::Members => registry::PREFIX,
            Topic::Orders => self.orders,
            Topic::Status => self.status,
        }
    }
}
