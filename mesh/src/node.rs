//! A node: the sidecar process next to each target.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::Rng as _;
use snafu::{ResultExt, Snafu, ensure};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{Notify, mpsc, watch},
    task::JoinSet,
    time,
};

use crate::{
    driver::{Driver, EffectSinks},
    early_runs::EarlyRuns,
    event::Event,
    forwarder::Forwarder,
    health,
    ingress::Ingress,
    keys::MemberId,
    logging::{self, Log},
    metered_store::MeteredStore,
    metrics::Metrics,
    node_status::{self, NodeStatus},
    payload::Body,
    peer_memory::{Endpoint, PeerMemory},
    peer_requests::PeerServer,
    peers::Peers,
    pool::{Pool, PoolConfig},
    recall,
    reducer::{LocalNode, Reducer},
    registry,
    replica::Topic,
    rollout::RolloutRecord,
    serve::{self, HeadLimits, Server},
    settings::Settings,
    store::{Position, Store},
    sync::{self, Startup, WatchSignals},
    timer::Timers,
    topic_replicas::{TopicReplicas, UpdateHandler},
    usage::{self, ReportSink, Usage, UsageSettings, task::UsageContext},
};

pub use crate::handle::NodeHandle;

/// The connection pool of the target, which runs on the same instance.
const TARGET_POOL_CONFIG: PoolConfig = PoolConfig {
    connect_timeout: Duration::from_millis(400),
    idle_timeout: Duration::from_secs(5),
    max_idle: 32,
    max_head_bytes: 64 << 10,
};

/// Time for connections to close at the end of a graceful stop, and the interval at which the node then checks for
/// requests that arrived just before.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(150);

/// The node could not be started.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// A socket could not be bound.
    #[snafu(display("cannot listen on {address} for {purpose}: {source}"))]
    Listen {
        /// The traffic that the socket is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The service name is not a valid header value.
    #[snafu(display("the service name {service:?} is not a valid header value"))]
    ServiceName {
        /// The name.
        service: CompactString,
    },
}

/// A running node.
pub struct Node {
    driver: Arc<Driver>,
    id: MemberId,
    memory: PeerMemory,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
    rollout_records: Option<mpsc::UnboundedReceiver<RolloutRecord>>,
    usage: UsageContext,
}

impl Node {
    /// Starts a node and returns once its sockets are bound.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be bound or the service name is not a valid header value.
    pub async fn start<S: Store>(
        settings: Settings,
        store: S,
        handler: impl UpdateHandler,
        log: Log,
    ) -> Result<Node, NodeError> {
        let dropped_lines = log.clone();
        let log = log.logger;
        let id = MemberId(rand::rng().random());
        let service = settings.service.clone();
        ensure!(HeaderValue::from_str(&service).is_ok(), ServiceNameSnafu { service });
        let callers = listen("callers", settings.callers).await?;
        let peers = listen("other nodes", settings.peers).await?;
        let ready = listen("readiness", settings.ready).await?;
        let address = settings.peers;
        let status_socket = UdpSocket::bind(address).await;
        let status_socket =
            Arc::new(status_socket.context(ListenSnafu { purpose: "notes", address })?);
        let local = LocalNode {
            id,
            address: settings.peers,
            centre: settings.centre.clone(),
            service: settings.service.clone(),
            limits: settings.limits,
        };
        let metrics = Arc::new(Metrics::new());
        let (bound_metrics, bound_log) = (metrics.clone(), log.clone());
        let memory = PeerMemory::new(settings.process, move |bound| {
            bound_metrics.count_peer_bound(bound.action.as_str());
            if let Some(count) = bound.log_count {
                logging::write_peer_bound(&bound_log, bound, count);
            }
        });
        let store = MeteredStore::new(store, metrics.clone());
        let reducer = Reducer::new(local, rand::rng().random());
        let driver = Arc::new(Driver::new(reducer, log.clone(), metrics.clone()));
        let stop = watch::Sender::new(false);
        let (watcher_sender, is_watcher) = watch::channel(false);
        // Like the reducer, the watches take the store for unreachable until it has answered.
        let (store_reachable, is_reachable) = watch::channel(false);
        let (store_era_sender, store_era) = watch::channel(0);
        let (record_batches, batches) = mpsc::unbounded_channel();
        let (pulls, pull_requests) = mpsc::unbounded_channel();
        let (recalls, recall_orders) = mpsc::unbounded_channel();
        let (health_path_sender, health_path) = watch::channel(None);
        let health_check = Arc::new(Notify::new());
        let (head_limits_sender, head_limits) = watch::channel(HeadLimits::default());
        let default_limits = serve::default_head_limits();
        let (record_sender, rollout_records) = mpsc::unbounded_channel();

        let mut tasks = JoinSet::new();
        let pool = Pool::new(settings.target, TARGET_POOL_CONFIG);
        let names = Arc::new(settings.names);
        tasks.spawn(health::monitor(
            pool.clone(),
            settings.target.to_string(),
            names.clone(),
            health_path,
            health_check.clone(),
            driver.clone(),
        ));
        let node_handle = NodeHandle::new(driver.clone());
        let replicas = TopicReplicas::new(driver.clone(), node_handle, handler);
        let latest = watch::Sender::new(Position::default());
        let signals = WatchSignals { is_watcher, is_reachable, latest: latest.clone() };
        for topic in Topic::ALL {
            let (prefixes, replicas) = (settings.prefixes.clone(), replicas.clone());
            tasks.spawn(sync::follow(store.clone(), topic, prefixes, replicas, signals.clone()));
        }
        tasks.spawn(sync::check(store.clone(), driver.clone(), signals));
        tasks.spawn(registry::write_records(store.clone(), batches, driver.clone(), store_era));
        let (prefixes, replicas_clone) = (settings.prefixes.clone(), replicas.clone());
        let startup = Startup { store, prefixes, replicas: replicas_clone, latest };
        tasks.spawn(async move { startup.run().await });
        tasks.spawn(receive(status_socket.clone(), driver.clone()));

        let peer_pools = Peers::default();
        tasks.spawn(pull(pull_requests, peer_pools.clone(), replicas.clone()));
        tasks.spawn(recall::send_recalls(recall_orders, peer_pools.clone(), driver.clone()));
        let usage = UsageContext {
            usage: Usage::default(),
            driver: driver.clone(),
            peers: peer_pools.clone(),
            metrics: metrics.clone(),
        };
        let forwarder = Forwarder {
            driver: driver.clone(),
            names: names.clone(),
            pool,
            usage: usage.usage.clone(),
        };
        let ingress = Ingress {
            driver: driver.clone(),
            names,
            peers: peer_pools.clone(),
            forwarder: forwarder.clone(),
            memory: memory.clone(),
        };
        let early_runs = EarlyRuns::new(Arc::new(ingress.clone()), metrics.clone());
        let handle = move |req: Request<Incoming>| {
            let ingress = ingress.clone();
            async move { ingress.serve(req).await }
        };
        let early_runs = Some(Arc::new(early_runs));
        let account = (memory.clone(), Endpoint::Callers);
        let stopping = stop.subscribe();
        let server = Server { account, stop: stopping, limits: head_limits, early_runs, handle };
        tasks.spawn(server.serve(callers, log.clone()));
        let peer_server =
            PeerServer { driver: driver.clone(), forwarder, replicas, memory: memory.clone() };
        let handle = move |req: Request<Incoming>| {
            let peer_server = peer_server.clone();
            async move { peer_server.serve(req).await }
        };
        tasks.spawn(serve::serve(
            peers,
            (memory.clone(), Endpoint::Peers),
            stop.subscribe(),
            default_limits.clone(),
            log.clone(),
            handle,
        ));
        let is_ready = driver.ready();
        let handle = move |_: Request<Incoming>| {
            let is_ready = *is_ready.borrow();
            async move { readiness(is_ready) }
        };
        tasks.spawn(serve::serve(
            ready,
            (memory.clone(), Endpoint::Ready),
            stop.subscribe(),
            default_limits.clone(),
            log.clone(),
            handle,
        ));
        if let Some(address) = settings.metrics {
            match TcpListener::bind(address).await {
                Ok(listener) => {
                    let driver = driver.clone();
                    let handle = move |_: Request<Incoming>| {
                        let gauges = driver.inspect(|now, reducer| reducer.gauge_values(now));
                        let text = metrics.encode_text(&gauges, dropped_lines.dropped());
                        async move { Response::new(Body::from(Bytes::from(text))) }
                    };
                    tasks.spawn(serve::serve(
                        listener,
                        (memory.clone(), Endpoint::Metrics),
                        stop.subscribe(),
                        default_limits,
                        log,
                        handle,
                    ));
                }
                // Metrics are optional: the node serves requests without them.
                Err(error) => slog::warn!(log, "metrics-unavailable"; "address" => %address,
                    "error" => %error),
            }
        }

        let (expiry_driver, query_driver) = (driver.clone(), driver.clone());
        let timers = Timers::start(
            move |timer| expiry_driver.dispatch(Event::Timer(timer)),
            move |timer| query_driver.inspect(|_, reducer| reducer.is_timer_needed(timer)),
        );
        driver.start(EffectSinks {
            status_socket,
            is_watcher: watcher_sender,
            store_reachable,
            store_era: store_era_sender,
            record_batches,
            pulls,
            recalls,
            rollout_records: record_sender,
            health_path: health_path_sender,
            health_check,
            head_limits: head_limits_sender,
            peers: peer_pools,
            timers,
        });
        let rollout_records = Some(rollout_records);
        Ok(Node { driver, id, memory, stop, tasks, rollout_records, usage })
    }

    /// Returns the member id, which is new at each start.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Returns a handle to this node.
    pub fn handle(&self) -> NodeHandle {
        NodeHandle::new(self.driver.clone())
    }

    /// Returns the account of what peers hold of the process, for the adapter's own servers.
    pub fn peer_memory(&self) -> PeerMemory {
        self.memory.clone()
    }

    /// Returns the receiver of rollout states that must be saved in the store; `None` after the first call.
    pub fn rollout_records(&mut self) -> Option<mpsc::UnboundedReceiver<RolloutRecord>> {
        self.rollout_records.take()
    }

    /// Starts to count requests of teams, and to take part in the duty to report them through `sink`.
    pub fn report_usage<S: Store, K: ReportSink>(
        &mut self,
        store: S,
        sink: K,
        settings: UsageSettings,
    ) {
        let context = self.usage.clone();
        let store = MeteredStore::new(store, context.metrics.clone());
        self.tasks.spawn(usage::task::run(context, store, sink, settings));
    }

    /// Begins a graceful stop: the node accepts no new requests and completes those in progress.
    pub fn stop(&self) {
        self.driver.dispatch(Event::Stop);
    }

    /// Waits for the end of a graceful stop, then aborts all tasks.
    pub async fn stopped(mut self) {
        let mut exit = self.driver.exit();
        // The channel cannot be closed, because the node owns the driver.
        let _ = exit.wait_for(|exit| *exit).await;
        self.stop.send_replace(true);
        // A request may have arrived on an open connection just before it was closed, so wait for it within the time
        // left.
        loop {
            time::sleep(CLOSE_POLL_INTERVAL).await;
            let (is_idle, left) =
                self.driver.inspect(|now, r| (r.is_idle(), r.stop_time_left(now)));
            if is_idle || left <= CLOSE_POLL_INTERVAL {
                break;
            }
        }
        usage::handover::hand_over(&self.usage).await;
        self.tasks.abort_all();
    }
}

async fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.context(ListenSnafu { purpose, address })
}

async fn pull(
    mut pull_requests: mpsc::UnboundedReceiver<SocketAddr>,
    peers: Peers,
    replicas: TopicReplicas,
) {
    while let Some(address) = pull_requests.recv().await {
        replicas.pull(address, peers.pool(address)).await;
    }
}

async fn receive(status_socket: Arc<UdpSocket>, driver: Arc<Driver>) {
    let mut bytes = [0; node_status::MAX_BYTES];
    loop {
        // An error affects a single datagram, such as one that the peer rejected.
        let Ok((len, source)) = status_socket.recv_from(&mut bytes).await else { continue };
        if let Some(status) = NodeStatus::decode(&bytes[..len]) {
            driver.dispatch(Event::Status { status, source });
        }
    }
}

fn readiness(is_ready: bool) -> Response<Body> {
    let mut answer = Response::new(Body::default());
    if !is_ready {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    answer
}
