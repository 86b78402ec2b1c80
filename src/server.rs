//! HTTP servers of a node: accept connections, limit them and close them gracefully.

use std::{convert::Infallible, future::Future, net::IpAddr, sync::Arc, time::Duration};

use axum::body::Body;
use http::{Request, Response, Version};
use http_body::Body as _;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use ipnet::IpNet;
use slog::Logger;
use tokio::{
    net::TcpListener,
    sync::{Semaphore, watch},
    time,
};

use crate::body::Drained;

/// The largest head of a request in bytes; a larger one is answered with status 431.
pub(crate) const MAX_HEAD: usize = 16 * 1024;

/// The smallest buffer that the HTTP/1 parser accepts as its limit.
const MIN_HEAD_BUFFER: usize = 8 * 1024;

/// The flow-control window of one HTTP/2 stream in bytes; it holds a body of 64 KiB several times.
const STREAM_WINDOW: u32 = 256 * 1024;

/// The flow-control window of one HTTP/2 connection in bytes.
const CONNECTION_WINDOW: u32 = 4 * 1024 * 1024;

/// The largest number of open connections for each listener.
const MAX_CONNECTIONS: usize = 4_096;

/// The largest number of streams that may be open on one HTTP/2 connection.
const MAX_STREAMS: u32 = 1_024;

/// The pause after the listener failed to accept, for instance because no file descriptor was free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The time that idle and slow connections get to close at a graceful stop.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// The limits on the heads of requests.
#[derive(Copy, Clone, Debug)]
pub(crate) struct Limits {
    /// The size in bytes.
    bytes: usize,
    /// The number of headers.
    headers: usize,
    /// The time in which the head must arrive, counted from the end of the answer before it.
    time: Duration,
}

impl Limits {
    /// The limits for callers and operators.
    pub(crate) const CALLERS: Limits =
        Limits { bytes: MAX_HEAD, headers: 100, time: Duration::from_secs(10) };

    /// The limits for other nodes, which add up to 8 headers of less than 256 bytes to those of the caller.
    ///
    /// The time is twice that for which they keep an idle connection, so that they are the ones that close it.
    pub(crate) const PEERS: Limits =
        Limits { bytes: MAX_HEAD + 8 * 256, headers: 108, time: Duration::from_secs(60) };
}

/// Accepts connections until `stop` becomes true, then closes them gracefully.
///
/// Connections from outside `networks` are closed at once; an empty list accepts all.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    limits: Limits,
    networks: Vec<IpNet>,
    mut stop: watch::Receiver<bool>,
    log: Logger,
    handle: H,
) where
    H: Fn(Request<Body>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let builder = builder(limits);
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let (stream, remote) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                slog::warn!(log, "accept-failed"; "error" => %error);
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            slog::warn!(log, "too-many-connections"; "limit" => MAX_CONNECTIONS);
            continue;
        };
        if !is_allowed(&networks, remote.ip()) {
            slog::warn!(log, "connection-rejected"; "remote" => %remote);
            continue;
        }
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let answer = handle(receive(req));
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let conn = builder.serve_connection(TokioIo::new(stream), service);
        let conn = graceful.watch(conn.into_owned());
        tokio::spawn(async move {
            // A connection that fails has told its requests already.
            let _ = conn.await;
            drop(permit);
        });
    }
    drop(listener);
    if time::timeout(CLOSE_TIMEOUT, graceful.shutdown()).await.is_err() {
        slog::warn!(log, "connections-aborted");
    }
}

fn receive(req: Request<Incoming>) -> Request<Body> {
    let is_drained = req.version() < Version::HTTP_2 && !req.body().is_end_stream();
    let req = req.map(Body::new);
    if is_drained { req.map(|body| Body::new(Drained::new(body))) } else { req }
}

fn is_allowed(networks: &[IpNet], ip: IpAddr) -> bool {
    networks.is_empty() || networks.iter().any(|net| net.contains(&ip))
}

fn builder(limits: Limits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.time)
        .max_headers(limits.headers)
        .max_buf_size(limits.bytes.max(MIN_HEAD_BUFFER));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.bytes).unwrap_or(u32::MAX))
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW);
    builder
}
