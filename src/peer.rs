//! Requests between nodes: HTTP/2 streams over few long-lived connections.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use axum::body::Body;
use compact_str::ToCompactString;
use http::{Request, Response, StatusCode};
use hyper::{
    body::Incoming,
    client::conn::http2::{self, SendRequest},
};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::{net::TcpStream, time};

use crate::{auth::RequestKey, envelope::Envelope, headers, keys::MemberId, pool::SendError};

/// The longest time to open a connection to another node and to learn that it is the expected one.
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
#[derive(Clone)]
pub(crate) struct Peers {
    me: MemberId,
    key: RequestKey,
    slots: Arc<Mutex<HashMap<SocketAddr, Arc<Slot>>>>,
}

#[derive(Default)]
struct Slot {
    /// Held while a connection is opened, so that concurrent requests open only one.
    state: tokio::sync::Mutex<SlotState>,
}

#[derive(Default)]
struct SlotState {
    link: Option<Link>,
    /// The member that was not reached by the last attempt that failed, and when the attempt ended.
    failed: Option<(MemberId, Instant)>,
}

/// An open connection and the process at its other end, which cannot change while it is open.
#[derive(Clone)]
struct Link {
    member: MemberId,
    sender: SendRequest<Body>,
}

impl Peers {
    pub(crate) fn new(me: MemberId, key: RequestKey) -> Peers {
        Peers { me, key, slots: Arc::default() }
    }

    /// Sends a request to a member at `addr` and returns the head of the answer; the body streams on.
    ///
    /// Nothing is sent if another process answers at the address, as after a restart there.
    pub(crate) async fn send(
        &self,
        addr: SocketAddr,
        member: MemberId,
        mut req: Request<Body>,
    ) -> Result<Response<Incoming>, SendError> {
        let slot = self.slot(addr);
        loop {
            let (mut sender, reused) =
                self.connect(&slot, addr, member).await.ok_or(SendError::NotSent)?;
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

    /// Returns an open connection to a member and whether it was open before.
    async fn connect(
        &self,
        slot: &Slot,
        addr: SocketAddr,
        member: MemberId,
    ) -> Option<(SendRequest<Body>, bool)> {
        let asked = Instant::now();
        let mut state = slot.state.lock().await;
        let open = state.link.as_ref().filter(|link| !link.sender.is_closed());
        if let Some(link) = open.filter(|link| link.member == member) {
            return Some((link.sender.clone(), true));
        }
        // Requests that waited for an attempt share its failure; trying in turn would add up their time limits.
        if state.failed.is_some_and(|(failed, at)| failed == member && at >= asked) {
            return None;
        }
        let opened = time::timeout(CONNECT_TIMEOUT, self.open(addr, member)).await.ok().flatten();
        match &opened {
            Some(sender) => state.link = Some(Link { member, sender: sender.clone() }),
            None => state.failed = Some((member, Instant::now())),
        }
        opened.map(|sender| (sender, false))
    }

    /// Opens a connection, and returns it only if the process at its other end is the member.
    async fn open(&self, addr: SocketAddr, member: MemberId) -> Option<SendRequest<Body>> {
        let stream = TcpStream::connect(addr).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (mut sender, conn) = http2::Builder::new(TokioExecutor::new())
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
        let answer = sender.send_request(self.greeting(addr, member)?).await.ok()?;
        (answer.status() == StatusCode::NO_CONTENT).then_some(sender)
    }

    fn greeting(&self, addr: SocketAddr, member: MemberId) -> Option<Request<Body>> {
        let envelope = Envelope::Greet { from: self.me }.to_compact_string();
        let tag = self.key.tag(member, &["GET", "/", "", &envelope]).to_string();
        let mut req = Request::get(format!("http://{addr}/")).body(Body::empty()).ok()?;
        headers::set(req.headers_mut(), headers::TAG, &tag);
        headers::set(req.headers_mut(), headers::ATTEMPT, &envelope);
        headers::set(req.headers_mut(), headers::SERVICE, "");
        Some(req)
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
