//! Connection pool from a node to its local target.
//!
//! Opening a connection takes the target about 1 ms, which is more than the whole budget of added latency. Therefore
//! the pool opens connections before they are needed.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use axum::body::Body;
use http::{Request, Response};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use poplarbarrow_mesh::head_limit::{HeadLimit, HeadLimitedStream};
use tokio::{
    net::TcpStream,
    sync::{Notify, Semaphore, mpsc},
    time,
};

/// Timeout for opening a connection to the target, which runs on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The most bytes of a response head, with the interim responses before it.
pub(crate) const MAX_HEAD_BYTES: usize = 256 << 10;

/// The interval between connection attempts to a target that refuses connections.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The interval at which closed idle connections are replaced.
const REFILL_INTERVAL: Duration = Duration::from_secs(1);

/// Whether the target accepts connections.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Reachability {
    /// The target accepts connections again, or for the first time.
    Up,
    /// The target refuses connections.
    Down,
}

/// A request failed before the head of its answer arrived.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the request was sent.
    NotSent,
    /// At least a part of the request may have arrived.
    Lost,
}

/// A pool of connections to one target, some of which are opened in advance.
#[derive(Clone)]
pub(crate) struct Pool {
    inner: Arc<Inner>,
}

struct Inner {
    addr: SocketAddr,
    min_idle: usize,
    permits: Arc<Semaphore>,
    idle: std::sync::Mutex<Vec<Connection>>,
    /// Notified when a connection has closed, so that idle connections are replaced without delay.
    refill: Notify,
    is_up: AtomicBool,
    reachability: mpsc::UnboundedSender<Reachability>,
}

/// An open connection. The task that drives it holds a permit until it closes, because the target accepts a limited
/// number of connections.
struct Connection {
    sender: SendRequest<Body>,
    limit: HeadLimit,
}

impl Pool {
    /// Creates a pool of at most `connections`, of which `min_idle` are kept open.
    pub(crate) fn new(
        addr: SocketAddr,
        connections: u16,
        min_idle: u16,
        reachability: mpsc::UnboundedSender<Reachability>,
    ) -> Pool {
        let inner = Inner {
            addr,
            min_idle: min_idle.min(connections).into(),
            permits: Arc::new(Semaphore::new(connections.into())),
            idle: std::sync::Mutex::default(),
            refill: Notify::new(),
            is_up: AtomicBool::new(false),
            reachability,
        };
        Pool { inner: Arc::new(inner) }
    }

    /// Sends a request and returns the answer with a streaming body.
    pub(crate) async fn send(
        &self,
        mut req: Request<Body>,
    ) -> Result<Response<Incoming>, SendError> {
        loop {
            let (mut connection, is_reused) = match self.take() {
                Some(connection) => (connection, true),
                None => (self.connect().await.ok_or(SendError::NotSent)?, false),
            };
            connection.limit.begin();
            match connection.sender.try_send_request(req).await {
                Ok(answer) => {
                    connection.limit.end();
                    self.put_back(connection);
                    return Ok(answer);
                }
                Err(mut failed) => match failed.take_message() {
                    // The target has closed this idle connection; another connection may still be open.
                    Some(unsent) if is_reused => req = unsent,
                    Some(_) => return Err(SendError::NotSent),
                    None => {
                        self.inner.refill.notify_one();
                        return Err(SendError::Lost);
                    }
                },
            }
        }
    }

    /// Replaces closed idle connections for as long as it runs, and reports whether the target is reachable.
    pub(crate) async fn maintain_idle(self) {
        loop {
            let missing = self.inner.min_idle.saturating_sub(self.prune());
            let mut all_opened = true;
            for _ in 0..missing {
                match self.connect().await {
                    Some(connection) => self.put_back(connection),
                    None => {
                        all_opened = false;
                        break;
                    }
                }
            }
            let pause = if all_opened { REFILL_INTERVAL } else { RETRY_INTERVAL };
            let _ = time::timeout(pause, self.inner.refill.notified()).await;
            if !all_opened {
                // Without this pause, notifications would cause a busy loop while the target is unreachable.
                time::sleep(RETRY_INTERVAL).await;
            }
        }
    }

    fn take(&self) -> Option<Connection> {
        let mut idle = self.lock();
        idle.retain(|connection| !connection.sender.is_closed());
        let ready = idle.iter().rposition(|connection| connection.sender.is_ready())?;
        Some(idle.swap_remove(ready))
    }

    /// Puts a connection back that may still be receiving an answer; `take` skips it until it is ready.
    fn put_back(&self, connection: Connection) {
        self.lock().push(connection);
    }

    /// Removes closed connections and returns the number that remain.
    fn prune(&self) -> usize {
        let mut idle = self.lock();
        idle.retain(|connection| !connection.sender.is_closed());
        idle.len()
    }

    async fn connect(&self) -> Option<Connection> {
        let permit = self.inner.permits.clone().acquire_owned().await.ok()?;
        let opened = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.inner.addr)).await;
        let Ok(Ok(stream)) = opened else {
            self.report(false);
            return None;
        };
        let _ = stream.set_nodelay(true);
        let limit = HeadLimit::new(MAX_HEAD_BYTES);
        let stream = HeadLimitedStream::new(stream, limit.clone());
        let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        self.report(true);
        let weak = Arc::downgrade(&self.inner);
        tokio::spawn(async move {
            let _ = conn.await;
            drop(permit);
            if let Some(inner) = weak.upgrade() {
                inner.refill.notify_one();
            }
        });
        Some(Connection { sender, limit })
    }

    fn report(&self, is_reachable: bool) {
        if self.inner.is_up.swap(is_reachable, Ordering::Relaxed) != is_reachable {
            let _ = self.inner.reachability.send(if is_reachable {
                Reachability::Up
            } else {
                Reachability::Down
            });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.inner.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
