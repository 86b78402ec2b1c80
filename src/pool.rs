//! Connections from a node to its own target.
//!
//! Opening a connection takes the target about 1 ms, more than the whole budget of added latency, so connections
//! are opened before they are needed.

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
use tokio::{
    net::TcpStream,
    sync::{Notify, Semaphore, mpsc},
    time,
};

/// The longest time to open a connection to the target; it lies on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The interval at which a target that refuses connections is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The interval at which lost idle connections are replaced.
const WARM_INTERVAL: Duration = Duration::from_secs(1);

/// Whether the target accepts connections.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    /// The target accepts connections again, or for the first time.
    Up,
    /// The target refuses connections.
    Down,
}

/// A request to the target failed before its answer's head arrived.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the request was sent.
    NotSent,
    /// The request may have reached the target.
    Lost,
}

/// Connections to one target, of which some are kept open ahead of use.
#[derive(Clone)]
pub(crate) struct Pool {
    inner: Arc<Inner>,
}

struct Inner {
    addr: SocketAddr,
    warm: usize,
    permits: Arc<Semaphore>,
    idle: std::sync::Mutex<Vec<Link>>,
    wanted: Notify,
    is_up: AtomicBool,
    reach: mpsc::UnboundedSender<Reach>,
}

/// One open connection; its permit counts against the connections that the target accepts.
struct Link {
    sender: SendRequest<Body>,
}

impl Pool {
    /// Creates a pool of at most `connections`, of which `warm` are kept open.
    pub(crate) fn new(
        addr: SocketAddr,
        connections: u16,
        warm: u16,
        reach: mpsc::UnboundedSender<Reach>,
    ) -> Pool {
        let inner = Inner {
            addr,
            warm: warm.min(connections).into(),
            permits: Arc::new(Semaphore::new(connections.into())),
            idle: std::sync::Mutex::default(),
            wanted: Notify::new(),
            is_up: AtomicBool::new(false),
            reach,
        };
        Pool { inner: Arc::new(inner) }
    }

    /// Sends a request and returns the head of the answer; the body streams on.
    pub(crate) async fn send(
        &self,
        mut req: Request<Body>,
    ) -> Result<Response<Incoming>, SendError> {
        loop {
            let (mut link, reused) = match self.take() {
                Some(link) => (link, true),
                None => (self.connect().await.ok_or(SendError::NotSent)?, false),
            };
            match link.sender.try_send_request(req).await {
                Ok(answer) => {
                    self.put_back(link);
                    return Ok(answer);
                }
                Err(mut failed) => match failed.take_message() {
                    // The target closed an idle connection, so another one may still work.
                    Some(unsent) if reused => req = unsent,
                    Some(_) => return Err(SendError::NotSent),
                    None => {
                        self.inner.wanted.notify_one();
                        return Err(SendError::Lost);
                    }
                },
            }
        }
    }

    /// Keeps idle connections open until the pool is dropped, and reports whether the target is reachable.
    pub(crate) async fn keep_warm(self) {
        loop {
            let missing = self.inner.warm.saturating_sub(self.prune());
            let mut opened = true;
            for _ in 0..missing {
                match self.connect().await {
                    Some(link) => self.put_back(link),
                    None => {
                        opened = false;
                        break;
                    }
                }
            }
            let pause = if opened { WARM_INTERVAL } else { RETRY_INTERVAL };
            let _ = time::timeout(pause, self.inner.wanted.notified()).await;
            if !opened {
                // A notification must not turn an unreachable target into a busy loop.
                time::sleep(RETRY_INTERVAL).await;
            }
        }
    }

    fn take(&self) -> Option<Link> {
        let mut idle = self.lock();
        idle.retain(|link| !link.sender.is_closed());
        let ready = idle.iter().rposition(|link| link.sender.is_ready())?;
        Some(idle.swap_remove(ready))
    }

    /// Returns a connection that may still be busy with an answer; `take` skips it until it is ready.
    fn put_back(&self, link: Link) {
        self.lock().push(link);
    }

    fn prune(&self) -> usize {
        let mut idle = self.lock();
        idle.retain(|link| !link.sender.is_closed());
        idle.len()
    }

    async fn connect(&self) -> Option<Link> {
        let permit = self.inner.permits.clone().acquire_owned().await.ok()?;
        let opened = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.inner.addr)).await;
        let Ok(Ok(stream)) = opened else {
            self.report(false);
            return None;
        };
        let _ = stream.set_nodelay(true);
        let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        self.report(true);
        let weak = Arc::downgrade(&self.inner);
        tokio::spawn(async move {
            let _ = conn.await;
            drop(permit);
            if let Some(inner) = weak.upgrade() {
                inner.wanted.notify_one();
            }
        });
        Some(Link { sender })
    }

    fn report(&self, up: bool) {
        if self.inner.is_up.swap(up, Ordering::Relaxed) != up {
            let _ = self.inner.reach.send(if up { Reach::Up } else { Reach::Down });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Link>> {
        self.inner.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
