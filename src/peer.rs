//! Pools of HTTP/1.1 connections to other nodes.
//!
//! HTTP/1.1 is used because HTTP/2 streams over one connection took half as many instructions again for each call
//! (`docs/measurements.md`, "Added latency"). A connection carries one request at a time, so TCP provides flow control
//! for each body, and dropping an answer closes its connection, which cancels the request at the other node.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use axum::body::Body;
use compact_str::ToCompactString;
use http::{Request, Response, StatusCode, Version};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use poplarbarrow_mesh::head_limit::{HeadLimit, HeadLimitedStream};
use tokio::{
    net::TcpStream,
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

use crate::{
    auth::RequestKey,
    envelope::Envelope,
    headers,
    keys::MemberId,
    pool::{MAX_HEAD_BYTES, SendError},
};

/// Timeout for opening a connection to another node and verifying its member id.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The time after which an idle connection is not used again. It is shorter than the time in
/// [`HeadLimits::PEERS`](crate::server::HeadLimits::PEERS) after which the other node closes the connection, because a
/// request sent at that moment would be lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Connection pools to other nodes by address.
#[derive(Clone)]
pub(crate) struct Peers {
    local_id: MemberId,
    key: RequestKey,
    by_address: Arc<Mutex<HashMap<SocketAddr, Arc<PeerConnections>>>>,
}

/// The connections to one node.
#[derive(Default)]
struct PeerConnections {
    idle: Mutex<Vec<Connection>>,
    /// Closes all open connections when it is cancelled.
    failed: CancellationToken,
}

/// An open connection to one process, which cannot change while the connection is open.
struct Connection {
    member: MemberId,
    sender: SendRequest<Body>,
    limit: HeadLimit,
    /// The time at which the head of the last answer arrived.
    last_used: Instant,
}

impl Peers {
    pub(crate) fn new(local_id: MemberId, key: RequestKey) -> Peers {
        Peers { local_id, key, by_address: Arc::default() }
    }

    /// Sends a request to the member at `addr` and returns the answer with a streaming body.
    ///
    /// Nothing is sent if another process listens at the address, for example after a restart.
    pub(crate) async fn send(
        &self,
        addr: SocketAddr,
        member: MemberId,
        mut req: Request<Body>,
    ) -> Result<Response<Incoming>, SendError> {
        *req.version_mut() = Version::HTTP_11;
        let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
        *req.uri_mut() = path.parse().map_err(|_| SendError::NotSent)?;
        let connections = self.connections(addr);
        loop {
            let (mut connection, is_reused) = match connections.take(member) {
                Some(connection) => (connection, true),
                None => (
                    self.connect(&connections, addr, member).await.ok_or(SendError::NotSent)?,
                    false,
                ),
            };
            connection.limit.begin();
            match connection.sender.try_send_request(req).await {
                Ok(answer) => {
                    connection.limit.end();
                    connection.last_used = Instant::now();
                    connections.put_back(connection);
                    return Ok(answer);
                }
                Err(mut failed) => match failed.take_message() {
                    Some(unsent) if is_reused => req = unsent,
                    Some(_) => return Err(SendError::NotSent),
                    None => return Err(SendError::Lost),
                },
            }
        }
    }

    /// Removes the connections to a node that has left or failed.
    ///
    /// If the node `has_failed`, requests in progress there end with [`SendError::Lost`], because a frozen node keeps
    /// its connections open. Otherwise they can finish.
    pub(crate) fn remove(&self, addr: SocketAddr, has_failed: bool) {
        let connections = self.lock().remove(&addr);
        if let Some(connections) = connections
            && has_failed
        {
            connections.failed.cancel();
        }
    }

    /// Opens a connection and returns it only if the process at its other end is `member`.
    async fn connect(
        &self,
        connections: &PeerConnections,
        addr: SocketAddr,
        member: MemberId,
    ) -> Option<Connection> {
        let opened = time::timeout(CONNECT_TIMEOUT, self.open(connections, addr, member)).await;
        let (sender, limit) = opened.ok().flatten()?;
        Some(Connection { member, sender, limit, last_used: Instant::now() })
    }

    async fn open(
        &self,
        connections: &PeerConnections,
        addr: SocketAddr,
        member: MemberId,
    ) -> Option<(SendRequest<Body>, HeadLimit)> {
        let stream = TcpStream::connect(addr).await.ok()?;
        let _ = stream.set_nodelay(true);
        let limit = HeadLimit::new(MAX_HEAD_BYTES);
        let stream = HeadLimitedStream::new(stream, limit.clone());
        let (mut sender, conn) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let failed = connections.failed.clone();
        tokio::spawn(async move {
            // A failure of the connection is reported by the request on it.
            let _ = failed.run_until_cancelled_owned(conn).await;
        });
        limit.begin();
        let answer = sender.send_request(self.greeting(member)?).await.ok()?;
        if answer.status() != StatusCode::NO_CONTENT {
            return None;
        }
        drop(answer);
        sender.ready().await.ok()?;
        Some((sender, limit))
    }

    /// Builds the request that only the expected member accepts, because its tag covers the member id.
    fn greeting(&self, member: MemberId) -> Option<Request<Body>> {
        let envelope = Envelope::Greet { from: self.local_id }.to_compact_string();
        let tag = self.key.tag(member, &["GET", "/", "", &envelope]).to_string();
        let mut req = Request::get("/").body(Body::empty()).ok()?;
        headers::set(req.headers_mut(), headers::TAG, &tag);
        headers::set(req.headers_mut(), headers::ATTEMPT, &envelope);
        headers::set(req.headers_mut(), headers::SERVICE, "");
        Some(req)
    }

    fn connections(&self, addr: SocketAddr) -> Arc<PeerConnections> {
        self.lock().entry(addr).or_default().clone()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<PeerConnections>>> {
        self.by_address.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PeerConnections {
    /// Takes the most recently used connection that is ready. Older ones stay unused until they are dropped after
    /// [`IDLE_TIMEOUT`].
    fn take(&self, member: MemberId) -> Option<Connection> {
        let mut idle = self.lock();
        idle.retain(|connection| {
            let is_open =
                !connection.sender.is_closed() && connection.last_used.elapsed() < IDLE_TIMEOUT;
            is_open && connection.member == member
        });
        let ready = idle.iter().rposition(|connection| connection.sender.is_ready())?;
        Some(idle.remove(ready))
    }

    /// Puts a connection back that may still be receiving an answer; `take` skips it until it is ready.
    fn put_back(&self, connection: Connection) {
        self.lock().push(connection);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
