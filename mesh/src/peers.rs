//! Connection pools to other nodes.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::pool::{Pool, PoolConfig};

/// The connection pool of each node. The connect timeout allows for a round trip between data centres. The idle
/// timeout is shorter than the time after which the other node closes an idle connection.
const POOL_CONFIG: PoolConfig = PoolConfig {
    connect_timeout: Duration::from_millis(300),
    idle_timeout: Duration::from_secs(20),
    max_idle: 32,
    // A node adds its own fields to the head of a target's response.
    max_head_bytes: 128 << 10,
};

/// Connection pools of all other nodes by address.
#[derive(Clone, Default)]
pub(crate) struct Peers {
    pools: Arc<Mutex<HashMap<SocketAddr, Pool>>>,
}

impl Peers {
    /// Returns the connection pool of a node, which is created on first use.
    pub(crate) fn pool(&self, address: SocketAddr) -> Pool {
        self.lock().entry(address).or_insert_with(|| Pool::new(address, POOL_CONFIG)).clone()
    }

    /// Removes the connection pool of a node that is gone.
    pub(crate) fn remove(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Pool>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
