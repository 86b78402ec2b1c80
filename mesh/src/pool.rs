//! Pooled HTTP/1.1 connections to one address: a target or another node.
//!
//! A connection carries one request at a time. Dropping a [`Lease`] without keeping it closes the connection, which
//! cancels the request at the other end.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{Request, Response};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    time::{self, Instant},
};

use crate::payload::Body;

/// The time after which an idle connection is asked whether its other end is still there.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// The interval between such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The unanswered questions after which a connection is given up.
const KEEPALIVE_COUNT: u32 = 2;

/// The time for which sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A request failed before the head of its answer arrived.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SendError {
    /// No connection could be opened.
    #[snafu(display("no connection could be opened"))]
    Unreachable,
    /// No byte of the request was sent.
    #[snafu(display("the request was not sent"))]
    NotSent,
    /// The request may have arrived.
    #[snafu(display("the connection broke behind the request"))]
    Lost,
}

/// How connections of a pool are opened and kept.
#[derive(Copy, Clone, Debug)]
pub struct Policy {
    /// The longest time to open a connection.
    pub connect: Duration,
    /// The time for which an idle connection is used again.
    pub idle: Duration,
    /// The most idle connections.
    pub spare: usize,
}

/// Connections to one address.
#[derive(Clone)]
pub struct Pool {
    inner: Arc<Inner>,
}

struct Inner {
    address: SocketAddr,
    policy: Policy,
    /// Idle connections, the one that was used longest ago first.
    idle: Mutex<VecDeque<Link>>,
}

struct Link {
    sender: SendRequest<Body>,
    /// When it may be used no more.
    expires: Instant,
}

/// A connection in use by one exchange.
pub struct Lease {
    pool: Arc<Inner>,
    link: Link,
}

impl Pool {
    /// Creates a pool without any connection.
    pub fn new(address: SocketAddr, policy: Policy) -> Pool {
        Pool { inner: Arc::new(Inner { address, policy, idle: Mutex::default() }) }
    }

    /// Sends a request and returns the head of the answer; the body streams on while the lease is held.
    ///
    /// # Errors
    ///
    /// Says whether the request may have arrived.
    pub async fn send(
        &self,
        mut req: Request<Body>,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        loop {
            let (mut link, is_reused) = match self.take() {
                Some(link) => (link, true),
                None => (self.connect().await.ok_or(SendError::Unreachable)?, false),
            };
            match link.sender.try_send_request(req).await {
                Ok(answer) => {
                    let expires = Instant::now() + self.inner.policy.idle;
                    let link = Link { sender: link.sender, expires };
                    return Ok((answer, Lease { pool: self.inner.clone(), link }));
                }
                Err(mut failed) => match failed.take_message() {
                    // The other end closed an idle connection, so another one may still work.
                    Some(unsent) if is_reused => req = unsent,
                    Some(_) => return Err(SendError::NotSent),
                    None => return Err(SendError::Lost),
                },
            }
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.inner.lock().clear();
    }

    /// Takes the connection that was used longest ago, so that all are used in turn and surplus bytes on one show
    /// before its next request.
    fn take(&self) -> Option<Link> {
        let mut idle = self.inner.lock();
        let now = Instant::now();
        idle.retain(|link| !link.sender.is_closed() && now < link.expires);
        let ready = idle.iter().position(|link| link.sender.is_ready())?;
        idle.remove(ready)
    }

    async fn connect(&self) -> Option<Link> {
        let opened = TcpStream::connect(self.inner.address);
        let stream = time::timeout(self.inner.policy.connect, opened).await.ok()?.ok()?;
        tune(&stream);
        let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // The exchange on the connection learns of its failure itself.
            let _ = conn.await;
        });
        let expires = Instant::now() + self.inner.policy.idle;
        Some(Link { sender, expires })
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, VecDeque<Link>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lease {
    /// Shortens the time for which the connection may be idle, as the other end asks.
    pub fn limit_idle(&mut self, idle: Duration) {
        self.link.expires = self.link.expires.min(Instant::now() + idle);
    }

    /// Returns the connection to its pool; it is used again once its exchange has ended.
    pub fn keep(self) {
        let mut idle = self.pool.lock();
        if idle.len() < self.pool.policy.spare {
            idle.push_back(self.link);
        }
    }
}

/// Sets what lets a silent connection fail: the other end may be gone without a reset.
pub(crate) fn tune(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_COUNT);
    // A socket without these options still works; time-outs of the requests remain.
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
}
