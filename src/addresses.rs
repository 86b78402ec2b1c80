//! The addresses on which a node listens, as its status and console show them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The addresses on which a node listens.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Requests from other nodes.
    pub peers: SocketAddr,
    /// Control calls from other nodes.
    pub control: SocketAddr,
    /// Membership datagrams.
    pub gossip: SocketAddr,
    /// The operators' pages and status.
    pub operator: SocketAddr,
}
