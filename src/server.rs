//! The HTTP server of a node's listeners: accepts and limits connections and closes them gracefully.

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

use crate::body::DrainOnDrop;

/// The maximum size of a request head in bytes; a larger one is answered with status 431.
pub(crate) const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The smallest buffer limit in bytes that hyper's HTTP/1 parser accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;

/// The flow-control window of an HTTP/2 stream in bytes, several times a body of 64 KiB.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// The flow-control window of an HTTP/2 connection in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// The maximum number of open connections of each listener.
const MAX_CONNECTIONS: usize = 4_096;

/// The maximum number of concurrent streams on an HTTP/2 connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 1_024;

/// The delay after a failed accept, for example because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The time after which connections that are still open are aborted at a graceful stop.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits on request heads.
#[derive(Copy, Clone, Debug)]
pub(crate) struct HeadLimits {
    /// The maximum size in bytes.
    size_bytes: usize,
    /// The maximum number of headers.
    header_count: usize,
    /// The time within which the head must arrive, counted from the end of the previous answer.
    read_timeout: Duration,
}

impl HeadLimits {
    /// The limits for callers and operators.
    pub(crate) const CALLERS: HeadLimits = HeadLimits {
        size_bytes: MAX_HEAD_BYTES,
        header_count: 100,
        read_timeout: Duration::from_secs(10),
    };

    /// The limits for other nodes, which add up to 8 headers of less than 256 bytes to the caller's headers.
    ///
    /// The timeout is twice the time for which a node reuses an idle connection, so that the sending side closes it.
    pub(crate) const PEERS: HeadLimits = HeadLimits {
        size_bytes: MAX_HEAD_BYTES + 8 * 256,
        header_count: 108,
        read_timeout: Duration::from_secs(60),
    };
}

/// Accepts connections until `stop` becomes true, then closes them gracefully.
///
/// Connections from addresses outside `networks` are closed immediately; an empty list allows all addresses.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    limits: HeadLimits,
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
                time::sleep(ACCEPT_RETRY_DELAY).await;
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
            let answer = handle(wrap_body(req));
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let conn = builder.serve_connection(TokioIo::new(stream), service);
        let conn = graceful.watch(conn.into_owned());
        tokio::spawn(async move {
            // The requests on a failed connection have already been notified of the failure.
            let _ = conn.await;
            drop(permit);
        });
    }
    drop(listener);
    if time::timeout(CLOSE_TIMEOUT, graceful.shutdown()).await.is_err() {
        slog::warn!(log, "connections-aborted");
    }
}

fn wrap_body(req: Request<Incoming>) -> Request<Body> {
    let needs_drain = req.version() < Version::HTTP_2 && !req.body().is_end_stream();
    let req = req.map(Body::new);
    if needs_drain { req.map(|body| Body::new(DrainOnDrop::new(body))) } else { req }
}

fn is_allowed(networks: &[IpNet], ip: IpAddr) -> bool {
    networks.is_empty() || networks.iter().any(|net| net.contains(&ip))
}

fn builder(limits: HeadLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_timeout)
        .max_headers(limits.header_count)
        .max_buf_size(limits.size_bytes.max(MIN_HEAD_BUFFER_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.size_bytes).unwrap_or(u32::MAX))
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
    builder
}
