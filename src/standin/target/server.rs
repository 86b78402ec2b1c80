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
    state::{Opened, Shared},
};

/// Pause before another attempt to bind the address or accept a connection after an error.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

#[derive(Copy, Clone, Debug)]
pub(super) struct Times {
    pub(super) down: Option<Duration>,
    pub(super) grace: Duration,
}

enum End {
    Crashed,
    Stopped,
}

/// Serves until a stop, or until a crash after which the target stays down.
pub(super) async fn serve(
    shared: Arc<Shared>,
    mut listener: TcpListener,
    addr: SocketAddr,
    times: Times,
    stop: CancellationToken,
) {
    let router = handler::router(shared.clone());
    loop {
        let life = shared.life();
        let conns = TaskTracker::new();
        let end = accept(&shared, &listener, &router, &conns, &life, &stop).await;
        // A closed listener makes further connections fail at once, as after the death of a process.
        drop(listener);
        conns.close();
        match end {
            End::Stopped => {
                let in_time = timeout(times.grace, conns.wait()).await.is_ok();
                if !in_time {
                    life.cancel();
                    conns.wait().await;
                }
                return;
            }
            End::Crashed => {
                shared.count(|t| t.crashes += 1);
                conns.wait().await;
                let Some(down) = times.down else { return };
                tokio::select! {
                    () = stop.cancelled() => return,
                    next = revive(&shared, addr, down) => listener = next,
                }
            }
        }
    }
}

async fn revive(shared: &Shared, addr: SocketAddr, down: Duration) -> TcpListener {
    sleep(down).await;
    loop {
        if let Ok(listener) = TcpListener::bind(addr).await {
            shared.revive();
            return listener;
        }
        sleep(RETRY_PAUSE).await;
    }
}

async fn accept(
    shared: &Arc<Shared>,
    listener: &TcpListener,
    router: &Router,
    conns: &TaskTracker,
    life: &CancellationToken,
    stop: &CancellationToken,
) -> End {
    loop {
        let stream = tokio::select! {
            biased;
            () = life.cancelled() => return End::Crashed,
            () = stop.cancelled() => return End::Stopped,
            result = listener.accept() => match result {
                Ok((stream, _)) => stream,
                Err(_) => {
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            },
        };
        let Some(opened) = shared.open() else { continue };
        let conn = connection(opened, shared.clone(), stream, router.clone(), stop.clone());
        let life = life.clone();
        conns.spawn(async move {
            tokio::select! {
                biased;
                () = life.cancelled_owned() => {}
                () = conn => {}
            }
        });
    }
}

async fn connection(
    _opened: Opened,
    shared: Arc<Shared>,
    stream: TcpStream,
    router: Router,
    stop: CancellationToken,
) {
    // Without this option small answers wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    handler::work(Duration::from_micros(shared.behaviour().connect_us)).await;
    let service = TowerToHyperService::new(router);
    let mut builder = http1::Builder::new();
    builder.header_read_timeout(None);
    let mut conn = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let stopped = tokio::select! {
        // A connection error concerns its peer only, which sees it too.
        _ = conn.as_mut() => false,
        () = stop.cancelled() => true,
    };
    if stopped {
        conn.as_mut().graceful_shutdown();
        let _: Result<(), hyper::Error> = conn.await;
    }
}
