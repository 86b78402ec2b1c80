//! A node: one small process beside each target.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use axum::body::Body;
use http::Request;
use rand::Rng;
use slog::Logger;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinSet,
    time,
};

use crate::{
    auth::RequestKey,
    document::Document,
    driver::Driver,
    egress::Egress,
    event::{Event, MemberInfo},
    ingress::Ingress,
    keys::MemberId,
    metrics::Metrics,
    peer::Peers,
    pool::Pool,
    reducer::{Me, Reducer},
    server,
    settings::Settings,
    time::Wall,
    timer::Timers,
    work::Worker,
};

/// The interval at which the wall clock is read for rollout schedules.
const CLOCK_INTERVAL: Duration = Duration::from_millis(500);

/// A node cannot start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// A listener cannot be opened.
    #[snafu(display("cannot listen on {addr} (settings field `listen.{field}`): {source}"))]
    Listen {
        /// The field of the settings.
        field: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The socket for metrics cannot be opened.
    #[snafu(display("cannot open a socket for metrics (settings field `metrics`): {source}"))]
    Metrics {
        /// The cause.
        source: cadence::MetricError,
    },
}

/// The addresses on which a node listens.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Requests from other nodes.
    pub peers: SocketAddr,
}

/// A running node.
pub struct Node {
    driver: Arc<Driver>,
    addresses: Addresses,
    info: MemberInfo,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl Node {
    /// Starts a node and returns when its listeners are open.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be used.
    pub async fn start(settings: Settings, log: Logger) -> Result<Node, NodeError> {
        let metrics = Metrics::new(settings.metrics).context(MetricsSnafu)?;
        let callers = listen("callers", settings.listen.callers).await?;
        let peers = listen("peers", settings.listen.peers).await?;
        let addresses = Addresses { callers: local(&callers), peers: local(&peers) };
        let seed = settings.seed.unwrap_or_else(|| rand::rng().random());
        // The id must differ between starts even if the seed of the decisions does not.
        let id = MemberId(rand::rng().random());
        let info = MemberInfo {
            id,
            service: settings.service.clone(),
            version: settings.version.clone(),
            centre: settings.centre.clone(),
            peer: addresses.peers,
            is_leaving: false,
        };
        let drain = Duration::from_millis(settings.drain_ms.into());
        let me = Me { info: info.clone(), slots: settings.target.slots, drain };
        let driver = Arc::new(Driver::new(Reducer::new(me, seed), log, metrics));

        let mut tasks = JoinSet::new();
        let (reach, reached) = mpsc::unbounded_channel();
        let target = &settings.target;
        let pool = Pool::new(target.address, target.connections, target.slots, reach);
        tasks.spawn(pool.clone().keep_warm());
        tasks.spawn(forward(reached, driver.clone(), Event::Target));
        tasks.spawn(read_clock(driver.clone()));

        let stop = watch::Sender::new(false);
        let key = RequestKey::new(&settings.key);
        let worker = Worker::new(driver.clone(), pool);
        let egress =
            Egress { driver: driver.clone(), me: id, key: key.clone(), worker: worker.clone() };
        let ingress =
            Ingress { driver: driver.clone(), me: id, key, peers: Peers::default(), worker };
        let log = driver.log().clone();
        let handle = move |req: Request<Body>| {
            let ingress = ingress.clone();
            async move { ingress.serve(req).await }
        };
        tasks.spawn(server::serve(callers, Vec::new(), stop.subscribe(), log.clone(), handle));
        let handle = move |req: Request<Body>| {
            let egress = egress.clone();
            async move { egress.serve(req).await }
        };
        tasks.spawn(server::serve(peers, settings.networks, stop.subscribe(), log, handle));

        let fire = driver.clone();
        driver.start(Timers::start(move |timer| fire.dispatch(Event::Timer(timer))));
        Ok(Node { driver, addresses, info, stop, tasks })
    }

    /// Returns the addresses on which the node listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Begins a graceful stop: the node takes no new work and finishes what is in progress.
    pub fn stop(&self) {
        self.driver.dispatch(Event::Stop);
    }

    /// Waits until a graceful stop has ended.
    pub async fn stopped(mut self) {
        let mut exit = self.driver.exit();
        // The driver lives as long as this node, so that the channel cannot be closed.
        let _ = exit.wait_for(|exit| *exit).await;
        self.stop.send_replace(true);
        let close = async { while self.tasks.join_next().await.is_some() {} };
        let _ = time::timeout(Duration::from_millis(500), close).await;
    }

    /// Puts a document in force at this node.
    pub fn set_document(&self, revision: u64, document: Arc<Document>) {
        self.driver.dispatch(Event::Document { revision, document });
    }

    /// Makes a node known to another one.
    pub fn introduce(&self, other: &Node) {
        self.driver.dispatch(Event::MemberSeen(other.info.clone()));
    }
}

async fn listen(field: &'static str, addr: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(addr).await.context(ListenSnafu { field, addr })
}

fn local(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("a bound listener has an address")
}

async fn forward<T>(
    mut from: mpsc::UnboundedReceiver<T>,
    driver: Arc<Driver>,
    event: impl Fn(T) -> Event,
) {
    while let Some(item) = from.recv().await {
        driver.dispatch(event(item));
    }
}

async fn read_clock(driver: Arc<Driver>) {
    let mut interval = time::interval(CLOCK_INTERVAL);
    loop {
        interval.tick().await;
        let now =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let wall = Wall::from_millis(u64::try_from(now.as_millis()).unwrap_or(u64::MAX));
        driver.dispatch(Event::Clock(wall));
    }
}
