//! What a node is told about itself and its deployment.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::{names::Names, reducer::Limits, sync::Prefixes};

/// The settings of a node; an adapter reads them from the form that its deployment uses.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The service of the target beside this node.
    pub service: CompactString,
    /// The data centre.
    pub centre: CompactString,
    /// Where callers on this instance send requests.
    pub callers: SocketAddr,
    /// Where other nodes send requests, and notes by datagram.
    pub peers: SocketAddr,
    /// Where it is asked whether this node is ready.
    pub ready: SocketAddr,
    /// Where counters are served, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// The address of the target.
    pub target: SocketAddr,
    /// The names of the headers of callers and targets.
    pub names: Names,
    /// Where the operators write to the store.
    pub prefixes: Prefixes,
    /// Bounds that all nodes keep together.
    pub limits: Limits,
}
