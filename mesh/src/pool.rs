//! A pool of HTTP/1.1 connections to one address: a target, another node or the store.
//!
//! A connection carries one request at a time. Dropping a [`PooledConnection`] without releasing it closes the
//! connection, which cancels the request at the server.

use std::{
    collections::VecDeque,
    hash::{DefaultHasher, Hasher},
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

use crate::{
    head_limit::{HeadLimit, HeadLimitedStream},
    payload::Body,
};

/// Idle time of a connection before TCP sends the first keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which TCP closes the connection.
const KEEPALIVE_RETRIES: u32 = 2;

/// Time for which sent data may stay unacknowledged before TCP closes the connection.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The maximum number of refused requests that a connection remembers. It is closed at this number, which costs one new
/// connection for as many refusals.
const MAX_REFUSED_IDS: usize = 64;

/// A request failed before the response head arrived.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SendError {
    /// No connection could be opened.
    #[snafu(display("no connection could be opened"))]
    Unreachable,
    /// No byte of the request was sent.
    #[snafu(display("the request was not sent"))]
    NotSent,
    /// The connection failed after the request was sent, so that the server may have received it.
    #[snafu(display("the connection failed after the request was sent"))]
    Lost,
}

/// Timeouts and size of a connection pool.
#[derive(Copy, Clone, Debug)]
pub struct PoolConfig {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// How long an idle connection can be reused.
    pub idle_timeout: Duration,
    /// The maximum number of idle connections.
    pub max_idle: usize,
    /// The most bytes of a response head, with the interim responses before it; at least 8 KiB.
    pub max_head_bytes: usize,
}

/// A connection pool for one address.
#[derive(Clone)]
pub struct Pool {
    inner: Arc<Inner>,
}

struct Inner {
    address: SocketAddr,
    config: PoolConfig,
    /// Idle connections, least recently used first.
    idle: Mutex<VecDeque<Connection>>,
}

struct Connection {
    sender: SendRequest<Body>,
    limit: HeadLimit,
    /// The requests that were refused on it. A faulty server may send a refusal again, which must not be taken as the
    /// response when the same request is sent again.
    refused: Vec<IdHash>,
    /// The time after which the connection is not reused.
    expires: Instant,
}

/// A hash of the id of a request. Two requests with the same hash are only kept on separate connections.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct IdHash(u64);

impl IdHash {
    pub(crate) fn of(id: &[u8]) -> IdHash {
        let mut hasher = DefaultHasher::new();
        hasher.write(id);
        IdHash(hasher.finish())
    }
}

/// A connection checked out of its pool for one request.
pub struct PooledConnection {
    pool: Arc<Inner>,
    conn: Connection,
}

impl Pool {
    /// Creates a pool without opening a connection.
    pub fn new(address: SocketAddr, config: PoolConfig) -> Pool {
        Pool { inner: Arc::new(Inner { address, config, idle: Mutex::default() }) }
    }

    /// Sends a request and returns the response and its connection, which must be held until the body has been read.
    ///
    /// # Errors
    ///
    /// Fails if there is no connection, or it breaks before the response head; the error tells whether the server may
    /// have received the request.
    pub async fn send(
        &self,
        req: Request<Body>,
    ) -> Result<(Response<Incoming>, PooledConnection), SendError> {
        self.send_unless_refused(req, None).await
    }

    /// Sends a request as [`send`](Self::send) does, but not on a connection on which it was refused before.
    pub(crate) async fn send_unless_refused(
        &self,
        mut req: Request<Body>,
        id: Option<IdHash>,
    ) -> Result<(Response<Incoming>, PooledConnection), SendError> {
        loop {
            let (mut conn, is_reused) = match self.take_idle(id) {
                Some(conn) => (conn, true),
                None => (self.connect().await.ok_or(SendError::Unreachable)?, false),
            };
            conn.limit.begin();
            match conn.sender.try_send_request(req).await {
                Ok(answer) => {
                    conn.limit.end();
                    let expires = Instant::now() + self.inner.config.idle_timeout;
                    let conn = Connection { expires, ..conn };
                    return Ok((answer, PooledConnection { pool: self.inner.clone(), conn }));
                }
                Err(mut failed) => match failed.take_message() {
                    // The server closed the idle connection before the request was sent: retry on another one.
                    Some(unsent) if is_reused => req = unsent,
                    Some(_) => return Err(SendError::NotSent),
                    None => return Err(SendError::Lost),
                },
            }
        }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.inner.lock().clear();
    }

    /// Takes the least recently used connection. This rotates through all connections, and lets surplus bytes after
    /// an answer be detected before the connection's next request.
    fn take_idle(&self, id: Option<IdHash>) -> Option<Connection> {
        let mut idle = self.inner.lock();
        let now = Instant::now();
        idle.retain(|conn| !conn.sender.is_closed() && now < conn.expires);
        let is_refused = |conn: &Connection| id.is_some_and(|id| conn.refused.contains(&id));
        let ready = idle.iter().position(|conn| conn.sender.is_ready() && !is_refused(conn))?;
        idle.remove(ready)
    }

    async fn connect(&self) -> Option<Connection> {
        let opened = TcpStream::connect(self.inner.address);
        let stream = time::timeout(self.inner.config.connect_timeout, opened).await.ok()?.ok()?;
        set_socket_options(&stream);
        let max_head_bytes = self.inner.config.max_head_bytes;
        let limit = HeadLimit::new(max_head_bytes);
        let stream = HeadLimitedStream::new(stream, limit.clone());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(max_head_bytes);
        let (sender, conn) = builder.handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // The request on the connection observes the same failure.
            let _ = conn.await;
        });
        let expires = Instant::now() + self.inner.config.idle_timeout;
        Some(Connection { sender, limit, refused: Vec::new(), expires })
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, VecDeque<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PooledConnection {
    /// Shortens the idle timeout to the one that the server announced.
    pub fn limit_idle(&mut self, idle: Duration) {
        let expires = Instant::now().checked_add(idle);
        self.conn.expires = expires.map_or(self.conn.expires, |at| self.conn.expires.min(at));
    }

    /// Records that the server refused a request on this connection.
    pub(crate) fn mark_refused(&mut self, id: IdHash) {
        self.conn.refused.push(id);
    }

    /// Returns the connection to its pool, which reuses it once the response has been read.
    pub fn release(self) {
        let mut idle = self.pool.lock();
        let is_usable = self.conn.refused.len() < MAX_REFUSED_IDS;
        if is_usable && idle.len() < self.pool.config.max_idle {
            idle.push_back(self.conn);
        }
    }
}

/// Sets TCP keep-alive and the user timeout, so that a connection fails if its peer disappeared without a reset.
pub fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    // Errors are ignored: without these options, request timeouts still apply.
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
}
