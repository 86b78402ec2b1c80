//! Synchronises this node's replica of the store: from the store while this node is a watcher, from
//! other nodes otherwise.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use compact_str::CompactString;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Limited};
use rand::Rng as _;
use snafu::{ResultExt, Snafu};
use tokio::{
    sync::watch,
    time::{self, Instant},
};

use crate::{
    driver::Driver,
    event::Event,
    node::NodeHandle,
    payload::Body,
    pool::{Pool, SendError},
    registry,
    replica::{Delta, Replica, Revisions, Topic},
    store::{Backoff, Freshness, Store, StoreError, Update},
};

/// The path at which a node serves its replica to others.
pub(crate) const PATH: &str = "/poplarbarrow/replica";

/// How long one watch waits for a change. Each watch is a call to the store, and each call is
/// charged for.
const WATCH_TIMEOUT: Duration = Duration::from_secs(28);

/// The delay after a watch returned changes, so that changes in quick succession arrive in one
/// batch.
const BATCH_DELAY: Duration = Duration::from_millis(80);

/// The delay after the start before the members that started at the same time are listed.
const STARTUP_DELAY: Duration = Duration::from_millis(500);

/// The timeout of a pull from another node.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);

/// The maximum size of a pull's response, which holds the configuration and all members.
const MAX_PULL_BYTES: usize = 8 << 20;

/// The reason for which a pull from another node brought nothing.
#[derive(Debug, Snafu)]
enum PullError {
    #[snafu(display("{source}"))]
    Send { source: SendError },
    #[snafu(display("the response did not arrive within {PULL_TIMEOUT:?}"))]
    TimedOut,
    #[snafu(display("the response is incomplete or larger than {MAX_PULL_BYTES} bytes"))]
    Incomplete,
    #[snafu(display("the response cannot be read"))]
    Unreadable,
}

/// Receives what operators write to the store, in the deployment's own format.
pub trait UpdateHandler: Send + 'static {
    /// Handles an update of a topic other than the members.
    fn handle_update(&mut self, node: &NodeHandle, topic: Topic, update: Update);
}

/// The key prefixes of the topics in the store.
#[derive(Clone, Debug)]
pub struct KeyPrefixes {
    /// The prefix of the operators' orders.
    pub orders: &'static str,
    /// The prefix of the recorded states of rollouts.
    pub status: &'static str,
}

impl KeyPrefixes {
    fn of(&self, topic: Topic) -> &'static str {
        match topic {
            Topic::Members => registry::PREFIX,
            Topic::Orders => self.orders,
            Topic::Status => self.status,
        }
    }
}

/// This node's replicas of all topics.
#[derive(Clone)]
pub(crate) struct TopicReplicas {
    shared: Arc<Mutex<Shared>>,
    driver: Arc<Driver>,
}

struct Shared {
    replicas: [Replica; 3],
    handler: Box<dyn UpdateHandler>,
    node: NodeHandle,
}

impl TopicReplicas {
    pub(crate) fn new(
        driver: Arc<Driver>,
        node: NodeHandle,
        handler: impl UpdateHandler,
    ) -> TopicReplicas {
        let handler = Box::new(handler);
        let shared = Shared { replicas: Default::default(), handler, node };
        TopicReplicas { shared: Arc::new(Mutex::new(shared)), driver }
    }

    /// Changes the replica of a topic and dispatches the update.
    fn apply(&self, topic: Topic, change: impl FnOnce(&mut Replica) -> Option<Update>) {
        let mut shared = self.lock();
        let shared = &mut *shared;
        let update = change(&mut shared.replicas[topic.index()]);
        if let Some(update) = update {
            match topic {
                Topic::Members => registry::apply_update(&self.driver, update),
                Topic::Orders | Topic::Status => {
                    shared.handler.handle_update(&shared.node, topic, update);
                }
            }
        }
        let revisions = shared.replicas.each_ref().map(Replica::revision);
        self.driver.dispatch(Event::Revisions(revisions));
    }

    fn revision(&self, topic: Topic) -> u64 {
        self.lock().replicas[topic.index()].revision()
    }

    /// Serves a pull of another node: returns the changes since the revisions in the query.
    pub(crate) fn serve_pull(&self, query: Option<&str>) -> Response<Body> {
        let known = query.and_then(parse_revisions).unwrap_or_default();
        let shared = self.lock();
        let topics = Topic::ALL
            .into_iter()
            .filter(|topic| shared.replicas[topic.index()].revision() > known[topic.index()]);
        let delta =
            |topic: Topic| shared.replicas[topic.index()].delta_since(topic, known[topic.index()]);
        let deltas: Vec<Delta> = topics.map(delta).collect();
        let bytes = postcard::to_stdvec(&deltas).unwrap_or_default();
        Response::new(Body::from(Bytes::from(bytes)))
    }

    /// Pulls what another node knows beyond this one.
    pub(crate) async fn pull(&self, source: SocketAddr, pool: Pool) {
        let started = Instant::now();
        let mut bytes = Vec::new();
        let fetched = time::timeout(PULL_TIMEOUT, self.fetch(&pool, &mut bytes)).await;
        let result = fetched.unwrap_or(Err(PullError::TimedOut)).and_then(|()| self.merge(&bytes));
        let (log, took_ms) = (self.driver.log(), started.elapsed().as_millis());
        match result {
            Ok(topics) => {
                slog::info!(log, "pull"; "source" => %source, "topics" => topics.as_str(),
                "bytes" => bytes.len(), "took_ms" => took_ms);
            }
            Err(error) => slog::warn!(log, "pull-failed"; "source" => %source, "error" => %error,
                "bytes" => bytes.len(), "took_ms" => took_ms),
        }
        self.driver.dispatch(Event::PullEnded);
    }

    /// Reads the response of another node into `bytes`, which hold what has arrived if it fails.
    async fn fetch(&self, pool: &Pool, bytes: &mut Vec<u8>) -> Result<(), PullError> {
        let [members, orders, status] = Topic::ALL.map(|topic| self.revision(topic));
        let path = format!("{PATH}?{members},{orders},{status}");
        let req = Request::get(path).header(header::HOST, "node").body(Body::default());
        let req = req.map_err(|_| PullError::Unreadable)?;
        let (response, conn) = pool.send(req).await.context(SendSnafu)?;
        let mut body = Limited::new(response.into_body(), MAX_PULL_BYTES);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| PullError::Incomplete)?;
            bytes.extend(frame.into_data().unwrap_or_default());
        }
        conn.release();
        Ok(())
    }

    /// Merges the changes of another node and returns the names of their topics, separated by
    /// commas.
    fn merge(&self, bytes: &[u8]) -> Result<CompactString, PullError> {
        let deltas: Vec<Delta> = postcard::from_bytes(bytes).map_err(|_| PullError::Unreadable)?;
        let topics: Vec<&str> = deltas.iter().map(|delta| delta.topic.as_str()).collect();
        let topics = topics.join(",").into();
        for delta in deltas {
            self.apply(delta.topic, |replica| replica.merge(delta));
        }
        Ok(topics)
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn parse_revisions(query: &str) -> Option<Revisions> {
    let mut parts = query.split(',').map(str::parse);
    let mut next = || parts.next()?.ok();
    Some([next()?, next()?, next()?])
}

/// Synchronises one topic with the store: lists it at the start, and watches it while this node is
/// a watcher.
pub(crate) async fn follow<S: Store>(
    store: S,
    topic: Topic,
    prefixes: KeyPrefixes,
    replicas: TopicReplicas,
    mut is_watcher: watch::Receiver<bool>,
) {
    let prefix = prefixes.of(topic);
    load_initial(&store, topic, prefix, &replicas).await;
    let mut freshness = None;
    let mut backoff = Backoff::new();
    loop {
        if is_watcher.wait_for(|is_watcher| *is_watcher).await.is_err() {
            return;
        }
        let result = match freshness.take() {
            Some(freshness) => apply_list(&store, topic, prefix, freshness, &replicas).await,
            None => apply_watch(&store, topic, prefix, &replicas).await,
        };
        let log = replicas.driver.log();
        match result {
            Ok(()) => {
                backoff = Backoff::new();
                replicas.driver.dispatch(Event::Store { is_reachable: true });
            }
            Err(StoreError::Compacted) => {
                slog::info!(log, "store-compacted"; "topic" => topic.as_str());
                freshness = Some(Freshness::Latest);
            }
            Err(error) => {
                slog::warn!(log, "store-call-failed"; "topic" => topic.as_str(),
                    "error" => %error);
                replicas.driver.dispatch(Event::Store { is_reachable: false });
                backoff.wait().await;
            }
        }
    }
}

/// Lists a topic at the start as cheaply as possible; what is missing comes from a watch or from
/// other nodes.
async fn load_initial<S: Store>(store: &S, topic: Topic, prefix: &str, replicas: &TopicReplicas) {
    let mut backoff = Backoff::new();
    while let Err(error) = apply_list(store, topic, prefix, Freshness::AllowStale, replicas).await {
        slog::warn!(replicas.driver.log(), "store-call-failed"; "topic" => topic.as_str(),
            "error" => %error);
        replicas.driver.dispatch(Event::Store { is_reachable: false });
        backoff.wait().await;
    }
    replicas.driver.dispatch(Event::Store { is_reachable: true });
    if topic == Topic::Members {
        let jitter = rand::rng().random_range(0.8..1.2);
        time::sleep(STARTUP_DELAY.mul_f64(jitter)).await;
        // Nodes that started together are missing from each other's first list, and a node that
        // knows no other one receives no status from any.
        if replicas.driver.inspect(|_, reducer| reducer.is_alone())
            && let Err(error) = apply_list(store, topic, prefix, Freshness::Latest, replicas).await
        {
            slog::warn!(replicas.driver.log(), "store-call-failed"; "topic" => topic.as_str(),
                "error" => %error);
        }
        replicas.driver.dispatch(Event::Synced);
    }
}

async fn apply_list<S: Store>(
    store: &S,
    topic: Topic,
    prefix: &str,
    freshness: Freshness,
    replicas: &TopicReplicas,
) -> crate::store::Result<()> {
    let (items, revision) = store.list(prefix, freshness).await?;
    replicas.apply(topic, |replica| replica.apply_list(items, revision));
    Ok(())
}

async fn apply_watch<S: Store>(
    store: &S,
    topic: Topic,
    prefix: &str,
    replicas: &TopicReplicas,
) -> crate::store::Result<()> {
    let after = replicas.revision(topic);
    let (changes, revision) = store.watch(prefix, after, WATCH_TIMEOUT).await?;
    let is_changed = !changes.is_empty();
    replicas.apply(topic, |replica| replica.apply_changes(changes, revision));
    if is_changed {
        time::sleep(BATCH_DELAY).await;
    }
    Ok(())
}
