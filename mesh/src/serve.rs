//! The HTTP server of a node, with graceful shutdown of its connections.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::Logger;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};

use crate::{
    activity::{Activity, TrackedStream},
    config::CallerLimits,
    early_runs::{ConnectionRuns, EarlyRuns},
    payload::Body,
    peer_memory::{Endpoint, Peer, PeerMemory},
    pool,
};

/// The bytes of a caller's request head that a connection buffers, whatever the limit of the configuration, which may
/// rise while the connection is open. A thousand connections with unfinished heads hold 64 MB at most.
const HEAD_BUFFER_BYTES: usize = 64 << 10;

/// The bytes of a connection's buffer beyond the limit of the configuration: a head that fills the buffer is refused.
const HEAD_BUFFER_RESERVE_BYTES: usize = 8 << 10;

/// The most fields of a caller's request head. It bounds what the parser allocates for each head.
const MAX_HEAD_FIELDS: usize = 1_000;

/// The fields that a node adds to a request for another node, with a reserve for later builds.
const ADDED_FIELDS: usize = 32;

/// Default timeout for the next request head. It is longer than the idle timeout of any connection pool of a node.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(90);

/// Default timeout for a head, counted from its first byte.
const DEFAULT_HEAD_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before the next attempt to accept after an error, for instance when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Limits on the size and the arrival time of a request head.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// The bytes of a head that are buffered. Larger heads are answered with status 431, whatever the configuration. A
    /// connection keeps the limits on the size with which it was accepted.
    buffer_bytes: usize,
    /// The most fields of a head. Heads with more are answered with status 431.
    max_fields: usize,
    /// Timeout for the next head, counted from the last progress of the previous answer.
    pub(crate) timeout: Duration,
    /// Timeout for a head, counted from its first byte. A head that arrives in this time is read even if it began just
    /// before the other timeout.
    pub(crate) head_timeout: Duration,
}

impl Default for HeadLimits {
    fn default() -> HeadLimits {
        HeadLimits {
            buffer_bytes: HEAD_BUFFER_BYTES,
            max_fields: MAX_HEAD_FIELDS,
            timeout: DEFAULT_HEAD_TIMEOUT,
            head_timeout: DEFAULT_HEAD_READ_TIMEOUT,
        }
    }
}

impl From<&CallerLimits> for HeadLimits {
    fn from(limits: &CallerLimits) -> HeadLimits {
        let needed = limits.max_head_bytes + HEAD_BUFFER_RESERVE_BYTES;
        HeadLimits {
            buffer_bytes: needed.max(HEAD_BUFFER_BYTES),
            timeout: limits.idle_timeout + limits.head_timeout,
            head_timeout: limits.head_timeout,
            ..HeadLimits::default()
        }
    }
}

/// Returns a receiver of the limits for servers that callers cannot reach. They leave room for what a node adds to a
/// caller's request when it sends it to another node.
pub fn default_head_limits() -> watch::Receiver<HeadLimits> {
    let limits = HeadLimits {
        buffer_bytes: 2 * HEAD_BUFFER_BYTES,
        max_fields: MAX_HEAD_FIELDS + ADDED_FIELDS,
        ..HeadLimits::default()
    };
    watch::channel(limits).1
}

/// Accepts connections until `stop` becomes true, then shuts them down gracefully. What they hold is counted in the account at
/// this endpoint, and their requests carry their `Peer` as an extension.
pub async fn serve<H, F>(
    listener: TcpListener,
    account: (PeerMemory, Endpoint),
    stop: watch::Receiver<bool>,
    limits: watch::Receiver<HeadLimits>,
    log: Logger,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    Server { account, stop, limits, early_runs: None, handle }.serve(listener, log).await;
}

/// A server and what its connections share.
#[derive(Clone)]
pub(crate) struct Server<H> {
    /// The account of what peers hold, and the endpoint at which its connections are counted.
    pub(crate) account: (PeerMemory, Endpoint),
    pub(crate) stop: watch::Receiver<bool>,
    pub(crate) limits: watch::Receiver<HeadLimits>,
    /// The runs of requests that are sent ahead; without them the requests of a connection run one after the other.
    pub(crate) early_runs: Option<Arc<EarlyRuns>>,
    pub(crate) handle: H,
}

impl<H, F> Server<H>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    /// Accepts connections until `stop` becomes true, then shuts them down gracefully.
    pub(crate) async fn serve(mut self, listener: TcpListener, log: Logger) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = async { self.stop.wait_for(|stop| *stop).await.is_ok() } => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let (memory, endpoint) = &self.account;
                    // Without room the connection is closed before anything of it is read.
                    let Some(peer) = memory.connect(*endpoint) else { continue };
                    tokio::spawn(self.clone().serve_connection(stream, peer));
                }
                Err(error) => {
                    slog::warn!(log, "accept-failed"; "error" => %error);
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve_connection(self, stream: TcpStream, peer: Peer) {
        let Server { mut stop, limits, early_runs, handle, .. } = self;
        pool::set_socket_options(&stream);
        let activity = Activity::new(peer.clone());
        let runs = early_runs.map(|runs| ConnectionRuns::new(runs, activity.clone()));
        let stream = TrackedStream::new(stream, activity.clone(), runs.clone());
        let close_monitor = stream.close_monitor();
        let (requests, service_runs) = (activity.clone(), runs.clone());
        let caller = peer.clone();
        let service = service_fn(move |mut req: Request<Incoming>| {
            let guard = requests.start();
            req.extensions_mut().insert(caller.clone());
            let answer = answer(req, handle.clone(), service_runs.clone());
            async move { Ok::<_, Infallible>(answer.await.map(|body| body.on_end(move || drop(guard)))) }
        });
        let HeadLimits { buffer_bytes, max_fields, .. } = *limits.borrow();
        let mut builder = http1::Builder::new();
        // The timeout of the builder would be the one in force when the connection was accepted.
        builder
            .auto_date_header(false)
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(buffer_bytes)
            .max_headers(max_fields);
        let conn = builder.serve_connection(TokioIo::new(stream), service);
        let mut conn = std::pin::pin!(conn);
        // It is dropped before the connection, whose answers would start further requests when they are dropped.
        let closing = CloseOnDrop(runs);
        // Errors are ignored: the requests on the connection observe them.
        tokio::select! {
            biased;
            _ = conn.as_mut() => {}
            _ = async { stop.wait_for(|stop| *stop).await.is_ok() } => {
                conn.as_mut().graceful_shutdown();
                // What the library has not passed on yet was not read.
                closing.close();
                tokio::select! {
                    biased;
                    _ = conn => {}
                    () = close_monitor.closed() => {}
                }
            }
            // Dropping the connection cancels the requests on it.
            () = close_monitor.closed() => {}
            // The connection was polled before this branch and no request is running, so none is lost when it is dropped.
            () = activity.wait_until_idle(&limits) => {}
            // Likewise: the account sheds only connections on which no request has been read.
            () = peer.closed() => {}
        }
    }
}

/// Answers a request that the library passes on: by its early run, if there is one.
async fn answer<H, F>(
    req: Request<Incoming>,
    handle: H,
    runs: Option<ConnectionRuns>,
) -> Response<Body>
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let Some(runs) = runs else { return handle(req).await };
    let (mut parts, body) = req.into_parts();
    let early = match runs.take(&mut parts) {
        Some(run) => run.answer().await,
        None => None,
    };
    let mut answer = match early {
        Some(answer) => answer,
        None => handle(Request::from_parts(parts, body)).await,
    };
    runs.observe(&mut answer);
    answer.map(|body| body.on_complete(move || runs.finish()))
}

/// Cancels the early runs of a connection when it is dropped.
struct CloseOnDrop(Option<ConnectionRuns>);

impl CloseOnDrop {
    fn close(&self) {
        if let Some(runs) = &self.0 {
            runs.close();
        }
    }
}

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.close();
    }
}

#[cfg(test)]
mod tests;
