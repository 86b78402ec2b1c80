use std::{net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::{rt::TokioIo, service::TowerToHyperService};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{
    handler,
    state::{ConnectionGuard, Shared},
};

/// Delay before another attempt to bind the address or accept a connection after an error.
const RETRY_DELAY: Duration = Duration::from_millis(20);

#[derive(Copy, Clone, Debug)]
pub(super) struct Timing {
    pub(super) restart_delay: Option<Duration>,
    pub(super) grace: Duration,
}

enum StopReason {
    Crashed,
    Stopped,
}

/// Serves until the target is stopped, or crashes without a restart delay.
pub(super) async fn serve(
    shared: Arc<Shared>,
    mut listener: TcpListener,
    addr: SocketAddr,
    timing: Timing,
    stop: CancellationToken,
) {
    let router = handler::router(shared.clone());
    loop {
        let abort = shared.abort_token();
        let conns = TaskTracker::new();
        let reason = accept(&shared, &listener, &router, &conns, &abort, &stop).await;
        // Without a listener, further connections are refused at once, as after a process has crashed.
        drop(listener);
        conns.close();
        match reason {
            StopReason::Stopped => {
                let in_time = timeout(timing.grace, conns.wait()).await.is_ok();
                if !in_time {
                    abort.cancel();
                    conns.wait().await;
                }
                return;
            }
            StopReason::Crashed => {
                shared.update_totals(|t| t.crashes += 1);
                conns.wait().await;
                let Some(delay) = timing.restart_delay else { return };
                tokio::select! {
                    () = stop.cancelled() => return,
                    next = rebind(&shared, addr, delay) => listener = next,
                }
            }
        }
    }
}

async fn rebind(shared: &Shared, addr: SocketAddr, delay: Duration) -> TcpListener {
    sleep(delay).await;
    loop {
        if let Ok(listener) = TcpListener::bind(addr).await {
            shared.restart();
            return listener;
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn accept(
    shared: &Arc<Shared>,
    listener: &TcpListener,
    router: &Router,
    conns: &TaskTracker,
    abort: &CancellationToken,
    stop: &CancellationToken,
) -> StopReason {
    loop {
        let stream = tokio::select! {
            biased;
            () = abort.cancelled() => return StopReason::Crashed,
            () = stop.cancelled() => return StopReason::Stopped,
            result = listener.accept() => match result {
                Ok((stream, _)) => stream,
                Err(_) => {
                    sleep(RETRY_DELAY).await;
                    continue;
                }
            },
        };
        let Some(guard) = shared.open_connection() else { continue };
        let conn = serve_connection(guard, shared.clone(), stream, router.clone(), stop.clone());
        let abort = abort.clone();
        conns.spawn(async move {
            tokio::select! {
                biased;
                () = abort.cancelled_owned() => {}
                () = conn => {}
            }
        });
    }
}

async fn serve_connection(
    _guard: ConnectionGuard,
    shared: Arc<Shared>,
    stream: TcpStream,
    router: Router,
    stop: CancellationToken,
) {
    // With Nagle's algorithm, small responses would wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    handler::delay(Duration::from_micros(shared.behaviour().connect_us)).await;
    let service = TowerToHyperService::new(router);
    let mut builder = http1::Builder::new();
    builder.header_read_timeout(None);
    let mut conn = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let stopped = tokio::select! {
        // A connection error affects only the peer, which also detects it.
        _ = conn.as_mut() => false,
        () = stop.cancelled() => true,
    };
    if stopped {
        conn.as_mut().graceful_shutdown();
        let _: Result<(), hyper::Error> = conn.await;
    }
}
