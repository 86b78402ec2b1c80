//! Requests between nodes: pooled HTTP/1.1 connections.
//!
//! HTTP/2 streams over one connection took half as many instructions again for each call (`docs/measurements.md`,
//! "Added latency"). A connection carries one request at a time, so that TCP gives each body its own flow control,
//! and dropping an answer closes its connection, which cancels the request at the other node.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use axum::body::Body;
use http::{Request, Response, Version};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

use crate::pool::SendError;

/// The longest time to open a connection to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The time for which an idle connection is used again. The other node closes it after
/// the time in [`Limits::PEERS`](crate::server::Limits::PEERS), and a request sent at that moment would be lost.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Connections to other nodes.
#[derive(Clone, Default)]
pub(crate) struct Peers {
    slots: Arc<Mutex<HashMap<SocketAddr, Arc<Slot>>>>,
}

/// The connections to one node.
#[derive(Default)]
struct Slot {
    idle: Mutex<Vec<Link>>,
    failed: CancellationToken,
}

struct Link {
    sender: SendRequest<Body>,
    /// The time of the last request.
    used: Instant,
}

impl Peers {
    /// Sends a request to the node at `addr` and returns the head of the answer; the body streams on.
    pub(crate) async fn send(
        &self,
        addr: SocketAddr,
        mut req: Request<Body>,
    ) -> Result<Response<Incoming>, SendError> {
        *req.version_mut() = Version::HTTP_11;
        let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
        *req.uri_mut() = path.parse().map_err(|_| SendError::NotSent)?;
        let slot = self.slot(addr);
        loop {
            let (mut link, reused) = match slot.take() {
                Some(link) => (link, true),
                None => (slot.connect(addr).await.ok_or(SendError::NotSent)?, false),
            };
            match link.sender.try_send_request(req).await {
                Ok(answer) => {
                    link.used = Instant::now();
                    slot.put_back(link);
                    return Ok(answer);
                }
                Err(mut failed) => match failed.take_message() {
                    Some(unsent) if reused => req = unsent,
                    Some(_) => return Err(SendError::NotSent),
                    None => return Err(SendError::Lost),
                },
            }
        }
    }

    /// Forgets the connections to a node that is gone.
    ///
    /// Requests in progress at a node that `has_failed` end as lost: a frozen node keeps its connections open.
    pub(crate) fn forget(&self, addr: SocketAddr, has_failed: bool) {
        let slot = self.lock().remove(&addr);
        if let Some(slot) = slot
            && has_failed
        {
            slot.failed.cancel();
        }
    }

    fn slot(&self, addr: SocketAddr) -> Arc<Slot> {
        self.lock().entry(addr).or_default().clone()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Slot>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot {
    /// Returns the open connection that was used last; older ones become unused and close.
    fn take(&self) -> Option<Link> {
        let mut idle = self.lock();
        idle.retain(|link| !link.sender.is_closed() && link.used.elapsed() < IDLE_TIME);
        let ready = idle.iter().rposition(|link| link.sender.is_ready())?;
        Some(idle.remove(ready))
    }

    /// Returns a connection that may still be busy with an answer; `take` skips it until it is ready.
    fn put_back(&self, link: Link) {
        self.lock().push(link);
    }

    async fn connect(&self, addr: SocketAddr) -> Option<Link> {
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let failed = self.failed.clone();
        tokio::spawn(async move {
            // The request on the connection reports its failure itself.
            let _ = failed.run_until_cancelled_owned(conn).await;
        });
        Some(Link { sender, used: Instant::now() })
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Link>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
