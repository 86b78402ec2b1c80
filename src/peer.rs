//! Requests between nodes: HTTP/2 streams over few long-lived connections.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use axum::body::Body;
use http::{Request, Response};
use hyper::{
    body::Incoming,
    client::conn::http2::{self, SendRequest},
};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::{net::TcpStream, time};

use crate::pool::SendError;

/// The longest time to open a connection to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The interval of keep-alive pings; a frozen node holds requests for at most this and the timeout together.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// The time after which a ping without an answer closes the connection.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// The flow-control window of one stream in bytes; it holds a body of 64 KiB several times.
pub(crate) const STREAM_WINDOW: u32 = 256 * 1024;

/// The flow-control window of one connection in bytes.
pub(crate) const CONNECTION_WINDOW: u32 = 4 * 1024 * 1024;

/// Connections to other nodes, one for each.
#[derive(Clone, Default)]
pub(crate) struct Peers {
    slots: Arc<Mutex<HashMap<SocketAddr, Arc<Slot>>>>,
}

#[derive(Default)]
struct Slot {
    /// Held while a connection is opened, so that concurrent requests open only one.
    sender: tokio::sync::Mutex<Option<SendRequest<Body>>>,
}

impl Peers {
    /// Sends a request to the node at `addr` and returns the head of the answer; the body streams on.
    pub(crate) async fn send(
        &self,
        addr: SocketAddr,
        mut req: Request<Body>,
    ) -> Result<Response<Incoming>, SendError> {
        let slot = self.slot(addr);
        loop {
            let (mut sender, reused) = connect(&slot, addr).await.ok_or(SendError::NotSent)?;
            match sender.try_send_request(req).await {
                Ok(answer) => return Ok(answer),
                Err(mut failed) => match failed.take_message() {
                    Some(unsent) if reused => req = unsent,
                    Some(_) => return Err(SendError::NotSent),
                    None => return Err(SendError::Lost),
                },
            }
        }
    }

    /// Closes the connection to a node that is gone.
    pub(crate) fn forget(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    fn slot(&self, addr: SocketAddr) -> Arc<Slot> {
        self.lock().entry(addr).or_default().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<Slot>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns an open connection and whether it was open before.
async fn connect(slot: &Slot, addr: SocketAddr) -> Option<(SendRequest<Body>, bool)> {
    let mut current = slot.sender.lock().await;
    if let Some(sender) = current.as_ref().filter(|sender| !sender.is_closed()) {
        return Some((sender.clone(), true));
    }
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, conn) = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .handshake(TokioIo::new(stream))
        .await
        .ok()?;
    tokio::spawn(async move {
        // Requests on the connection report its failure themselves.
        let _ = conn.await;
    });
    *current = Some(sender.clone());
    Some((sender, false))
}
