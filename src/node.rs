//! A node: the load balancer process that runs beside each target.

mod pull;
mod sinks;
mod tasks;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use axum::body::Body;
use http::Request;
use poplarbarrow_mesh::timer::Timers;
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
    claims::ClaimStore,
    config::Replica,
    console::{self, Console},
    control,
    driver::Driver,
    event::Event,
    forwarder::Forwarder,
    gossip, health,
    ingress::Ingress,
    keys::MemberId,
    membership::{Contact, Member},
    metrics::Metrics,
    peer::Peers,
    peer_requests::PeerServer,
    platform::{Http, Platform, http::Limits},
    platform_watcher::PlatformWatcher,
    pool::Pool,
    probe::Prober,
    reducer::{LocalNode, Reducer},
    rollout,
    server::{self, HeadLimits},
    settings::Settings,
    suspect_reports,
    verdicts::VerdictStore,
};

use self::{
    pull::{Puller, hand_over},
    sinks::EffectSinks,
};

pub use crate::addresses::Addresses;

/// The maximum number of queued messages with suspect reports.
const MAX_QUEUED_REPORTS: usize = 64;

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

/// A running node.
pub struct Node {
    driver: Arc<Driver>,
    id: MemberId,
    addresses: Addresses,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl Node {
    /// Starts a node that uses the platform at the address in the settings over HTTP.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener or the socket for metrics cannot be opened.
    pub async fn start(settings: Settings, log: Logger) -> Result<Node, NodeError> {
        let platform = Http::new(settings.platform, Limits::default());
        Node::start_with(settings, platform, log).await
    }

    /// Starts a node that uses the given platform, and returns when its listeners are open.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener or the socket for metrics cannot be opened.
    pub async fn start_with<P: Platform>(
        settings: Settings,
        platform: P,
        log: Logger,
    ) -> Result<Node, NodeError> {
        let metrics = Metrics::new(settings.metrics).context(MetricsSnafu)?;
        let key = RequestKey::new(&settings.key);
        // The id must be different at each start, even if the settings fix the seed of the reducer.
        let id = MemberId(rand::rng().random());

        let callers = listen("callers", settings.listen.callers).await?;
        let peers = listen("peers", settings.listen.peers).await?;
        let operator = listen("operator", settings.listen.operator).await?;
        let replica = Replica::default();
        let (incoming_reports, received_reports) = mpsc::channel(MAX_QUEUED_REPORTS);
        // The control server is opened before the driver is created, because the driver needs its address.
        let driver_cell: Arc<OnceLock<Arc<Driver>>> = Arc::default();
        let handover_driver = driver_cell.clone();
        let server = control::Server {
            local_id: id,
            key: key.clone(),
            replica: replica.clone(),
            log: log.clone(),
            on_handover: move |handover| {
                handover_driver.get().is_some_and(|driver| driver.import_outcomes(handover))
            },
            incoming_reports,
        };
        let addr = settings.listen.control;
        let opened = server.listen(addr, settings.networks.clone()).await;
        let (control, serve_control) = opened.context(ListenSnafu { field: "control", addr })?;
        let gossip_config = gossip::GossipConfig {
            id,
            key: gossip::Key::derive(&settings.key),
            ranges: settings.networks.clone(),
        };
        let addr = settings.listen.gossip;
        let opened = gossip::open(addr, gossip_config).await;
        let gossip = opened.context(ListenSnafu { field: "gossip", addr })?;
        let addresses = Addresses {
            callers: bound_addr(&callers),
            peers: bound_addr(&peers),
            control,
            gossip: gossip.address,
            operator: bound_addr(&operator),
        };

        let local = local_node(&settings, id, addresses);
        let contact = Contact {
            id,
            centre: local.info.centre.clone(),
            region: local.info.region.clone(),
            gossip: addresses.gossip,
            peer: addresses.peers,
        };
        let seed = settings.seed.unwrap_or_else(|| rand::rng().random());
        let driver = Arc::new(Driver::new(Reducer::new(local, seed), log.clone(), metrics));

        let _ = driver_cell.set(driver.clone());

        let mut tasks = JoinSet::new();
        let (reachability, reachability_changes) = mpsc::unbounded_channel();
        let target = &settings.target;
        let pool = Pool::new(target.address, target.connections, target.slots, reachability);
        tasks.spawn(pool.clone().maintain_idle());
        tasks.spawn(tasks::apply_reachability(reachability_changes, driver.clone()));
        tasks.spawn(tasks::apply_gossip(gossip.messages, driver.clone()));
        tasks.spawn(tasks::report_drops(gossip.counters, driver.clone()));
        if let Some(path) = &target.health {
            tasks.spawn(health::watch(target.address, path.clone(), driver.clone()));
        }
        tasks.spawn(tasks::read_clock(driver.clone()));
        tasks.spawn(tasks::apply_suspect_reports(received_reports, driver.clone()));
        let (suspect_reports, report_batches) = mpsc::unbounded_channel();
        tasks.spawn(suspect_reports::run(report_batches, key.clone(), log.clone()));
        tasks.spawn(serve_control);

        let (pulls, requested_pulls) = mpsc::unbounded_channel();
        let puller = Puller { driver: driver.clone(), replica: replica.clone(), key: key.clone() };
        tasks.spawn(puller.run(requested_pulls));
        let platform = Arc::new(platform);
        let console = Console::new(
            driver.clone(),
            platform.clone(),
            replica.clone(),
            addresses,
            settings.token.as_deref(),
        );
        let (watcher_rank, rank) = watch::channel(None);
        let (verdicts, verdict_changes) = mpsc::unbounded_channel();
        let verdict_store = Arc::new(VerdictStore {
            platform: platform.clone(),
            driver: driver.clone(),
            rank: rank.clone(),
            log: log.clone(),
        });
        tasks.spawn(verdict_store.clone().run_writer(verdict_changes));
        tasks.spawn(verdict_store.run_watcher());
        let (claims, requested_claims) = mpsc::unbounded_channel();
        let lease = tokio::sync::Mutex::new(None);
        let claim_store = ClaimStore { platform: platform.clone(), driver: driver.clone(), lease };
        tasks.spawn(Arc::new(claim_store).run(requested_claims));
        let peer_connections = Peers::new(id, key.clone());
        let (probes, requested_probes) = mpsc::unbounded_channel();
        let prober = Prober {
            driver: driver.clone(),
            local_id: id,
            key: key.clone(),
            peers: peer_connections.clone(),
        };
        tasks.spawn(prober.run(requested_probes));
        let (handovers, requested_handovers) = mpsc::unbounded_channel();
        tasks.spawn(hand_over(requested_handovers, driver.clone(), key.clone()));
        let platform_watcher = Arc::new(PlatformWatcher {
            platform,
            driver: driver.clone(),
            replica,
            local: contact,
            has_contacts: !settings.contacts.is_empty(),
            rank,
            log: log.clone(),
        });
        tasks.spawn(platform_watcher.clone().maintain_contact_key());
        tasks.spawn(platform_watcher.watch_index());

        let stop = watch::Sender::new(false);
        let forwarder = Forwarder::new(driver.clone(), pool);
        let ingress = Ingress {
            driver: driver.clone(),
            local_id: id,
            key,
            peers: peer_connections.clone(),
            forwarder,
        };
        let peer_server = PeerServer { ingress: ingress.clone() };
        let handle = move |req: Request<Body>| {
            let ingress = ingress.clone();
            async move { ingress.serve(req).await }
        };
        tasks.spawn(server::serve(
            callers,
            HeadLimits::CALLERS,
            Vec::new(),
            stop.subscribe(),
            log.clone(),
            handle,
        ));
        let handle = move |req: Request<Body>| {
            let peer_server = peer_server.clone();
            async move { peer_server.serve(req).await }
        };
        let (peers_stop, peers_log) = (stop.subscribe(), log.clone());
        tasks.spawn(server::serve(
            peers,
            HeadLimits::PEERS,
            settings.networks,
            peers_stop,
            peers_log,
            handle,
        ));
        let pages = console.router();
        let handle = move |req: Request<Body>| console::handle_request(pages.clone(), req);
        tasks.spawn(server::serve(
            operator,
            HeadLimits::CALLERS,
            Vec::new(),
            stop.subscribe(),
            log,
            handle,
        ));

        let timer_driver = driver.clone();
        let query_driver = driver.clone();
        let timers = Timers::start(
            move |timer| timer_driver.dispatch(Event::Timer(timer)),
            move |timer| query_driver.inspect(|reducer| reducer.is_timer_needed(timer)),
        );
        driver.start(EffectSinks {
            gossip: gossip.sender,
            pulls,
            probes,
            claims,
            handovers,
            watcher_rank,
            verdicts,
            suspect_reports,
            peers: peer_connections,
            timers,
        });
        Ok(Node { driver, id, addresses, stop, tasks })
    }

    /// Returns the member id, which is new for each start of a node.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Returns the addresses on which the node listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Applies an event; used by benchmarks.
    pub(crate) fn dispatch(&self, event: Event) {
        self.driver.dispatch(event);
    }

    /// Begins a graceful stop: the node accepts no new requests for its target and finishes those in progress.
    pub fn stop(&self) {
        self.driver.dispatch(Event::Stop);
    }

    /// Waits until a graceful stop has ended.
    pub async fn stopped(mut self) {
        let mut exit = self.driver.exit();
        // The channel cannot be closed, because the node holds the driver.
        let _ = exit.wait_for(|exit| *exit).await;
        self.stop.send_replace(true);
        let close = async { while self.tasks.join_next().await.is_some() {} };
        let _ = time::timeout(Duration::from_millis(500), close).await;
    }

    /// Returns the revision of this node's active document, or 0 if it has none.
    pub fn revision(&self) -> u64 {
        self.driver.inspect(Reducer::revision)
    }

    /// Returns the state of every rollout that this node knows.
    pub fn rollouts(&self) -> Vec<rollout::Status> {
        let now = self.driver.now();
        self.driver.inspect(|reducer| reducer.rollout_status(now))
    }

    /// Returns the number of members of a service that are leaving and accept no new requests.
    pub fn leaving_count(&self, service: &str) -> usize {
        self.driver.inspect(|reducer| reducer.leaving_count(service))
    }

    /// Returns the number of members of a service that this node knows.
    pub fn member_count(&self, service: &str) -> usize {
        self.driver.inspect(|reducer| reducer.member_count(service))
    }
}

fn local_node(settings: &Settings, id: MemberId, addresses: Addresses) -> LocalNode {
    let info = Member {
        id,
        incarnation: 0,
        revised: 0,
        service: settings.service.clone(),
        version: settings.version.clone(),
        centre: settings.centre.clone(),
        region: settings.region.clone(),
        peer: addresses.peers,
        control: addresses.control,
        gossip: addresses.gossip,
        is_leaving: false,
        is_cold: true,
    };
    let drain_timeout = Duration::from_millis(settings.drain_ms.into());
    LocalNode {
        info,
        started: tasks::wall_clock(),
        slots: settings.target.slots,
        contacts: settings.contacts.clone(),
        drain_timeout,
    }
}

async fn listen(field: &'static str, addr: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(addr).await.context(ListenSnafu { field, addr })
}

fn bound_addr(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("a bound listener has an address")
}
