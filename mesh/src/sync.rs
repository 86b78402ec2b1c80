//! Synchronises this node's replica of the store: from the store while this node is a watcher, from
//! other nodes otherwise.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Limited};
use rand::Rng as _;
use tokio::{sync::watch, time};

use crate::{
    config::RouteTable,
    driver::Driver,
    event::Event,
    node::NodeHandle,
    payload::Body,
    pool::Pool,
    pull::{PullAnswer, PullQuery},
    registry,
    replica::{Delta, Position, Replica, Topic},
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
        let replica = &mut shared.replicas[topic.index()];
        let before = replica.position();
        let update = change(replica);
        let Position { era, revision } = replica.position();
        if revision > 0 {
            shared.replicas.iter_mut().for_each(|replica| replica.set_first_era(era));
        }
        let is_restored = before.revision > 0 && era > before.era;
        if is_restored {
            slog::info!(self.driver.log(), "store-relisted"; "topic" => topic.as_str(),
                "era" => era, "revision" => revision, "previous" => before.revision);
            self.driver.dispatch(Event::StoreEra(era));
        }
        if let Some(update) = update {
            match topic {
                Topic::Members => registry::apply_update(&self.driver, update, is_restored),
                Topic::Orders | Topic::Status => {
                    shared.handler.handle_update(&shared.node, topic, update);
                }
            }
        }
        let revisions = shared.replicas.each_ref().map(Replica::position);
        self.driver.dispatch(Event::Revisions(revisions));
    }

    fn position(&self, topic: Topic) -> Position {
        self.lock().replicas[topic.index()].position()
    }

    /// Serves a pull of another node: returns the changes since the positions in the query.
    pub(crate) fn serve_pull(&self, query: Option<&str>) -> Response<Body> {
        let query = PullQuery::parse(query.unwrap_or_default());
        let shared = self.lock();
        let delta = |topic: Topic| {
            let replica = &shared.replicas[topic.index()];
            let known = query.position(topic, replica);
            (replica.position() > known).then(|| replica.delta_since(topic, known))
        };
        let deltas: Vec<Delta> = Topic::ALL.into_iter().filter_map(delta).collect();
        // Usually the orders bring the configuration. They do not if the store has lost it since it took effect here.
        let has_orders = deltas.iter().any(|delta| delta.topic == Topic::Orders);
        let config = query
            .config_version
            .filter(|_| !has_orders)
            .and_then(|known| self.driver.inspect(|_, reducer| reducer.config_newer_than(known)));
        let answer = PullAnswer { deltas, config };
        Response::new(Body::from(Bytes::from(answer.encode())))
    }

    /// Pulls what another node knows beyond this one.
    pub(crate) async fn pull(&self, pool: Pool) {
        let result = time::timeout(PULL_TIMEOUT, self.try_pull(&pool)).await;
        if !matches!(result, Ok(Some(()))) {
            slog::warn!(self.driver.log(), "pull-failed");
        }
        self.driver.dispatch(Event::PullEnded);
    }

    async fn try_pull(&self, pool: &Pool) -> Option<()> {
        let known = Topic::ALL.map(|topic| self.position(topic));
        let query = PullQuery::new(&known, self.driver.inspect(|_, r| r.config_version()));
        let path = format!("{PATH}?{}", query.format());
        let req = Request::get(path).header(header::HOST, "node").body(Body::default()).ok()?;
        let (response, conn) = pool.send(req).await.ok()?;
        let body =
            Limited::new(response.into_body(), MAX_PULL_BYTES).collect().await.ok()?.to_bytes();
        conn.release();
        let PullAnswer { deltas, config } = PullAnswer::decode(&body)?;
        for delta in deltas {
            self.apply(delta.topic, |replica| replica.merge(delta));
        }
        if let Some(config) = config {
            self.driver.dispatch(Event::Config(Arc::new(RouteTable::new(config))));
        }
        Some(())
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
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
    // A watch needs the position of a list.
    let mut freshness = None;
    let mut backoff = Backoff::new();
    // A list does not end this delay: a store whose lists do not help is not called without a pause.
    let mut relist_backoff = Backoff::new();
    loop {
        if is_watcher.wait_for(|is_watcher| *is_watcher).await.is_err() {
            return;
        }
        if replicas.position(topic).revision == 0 {
            freshness = Some(Freshness::Latest);
        }
        let is_watch = freshness.is_none();
        let result = match freshness.take() {
            Some(freshness) => apply_list(&store, topic, prefix, freshness, &replicas).await,
            None => apply_watch(&store, topic, prefix, &replicas).await,
        };
        let log = replicas.driver.log();
        match result {
            Ok(()) => {
                backoff = Backoff::new();
                if is_watch {
                    relist_backoff = Backoff::new();
                }
                replicas.driver.dispatch(Event::Store { is_reachable: true });
            }
            Err(StoreError::Compacted) => {
                slog::info!(log, "store-compacted"; "topic" => topic.as_str());
                freshness = Some(Freshness::Latest);
                relist_backoff.wait().await;
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

/// Lists a topic at the start. The members are read as cheaply as possible; what is missing comes
/// from a watch or from other nodes. The other topics must not be older than what has been confirmed
/// to operators.
async fn load_initial<S: Store>(store: &S, topic: Topic, prefix: &str, replicas: &TopicReplicas) {
    let mut backoff = Backoff::new();
    let freshness = match topic {
        Topic::Members => Freshness::AllowStale,
        Topic::Orders | Topic::Status => Freshness::Latest,
    };
    while let Err(error) = apply_list(store, topic, prefix, freshness, replicas).await {
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
    let (items, position) = store.list(prefix, freshness).await?;
    replicas.apply(topic, |replica| match freshness {
        Freshness::Latest => replica.apply_list(items, position),
        // The revision of a stale read may be one of before the store's return from a copy.
        Freshness::AllowStale => replica.apply_preliminary(items),
    });
    Ok(())
}

async fn apply_watch<S: Store>(
    store: &S,
    topic: Topic,
    prefix: &str,
    replicas: &TopicReplicas,
) -> crate::store::Result<()> {
    let after = replicas.position(topic);
    let (changes, position) = store.watch(prefix, after.revision, WATCH_TIMEOUT).await?;
    if position.era > after.era {
        // The revision was one of an earlier era, so other changes may be missing.
        return Err(StoreError::Compacted);
    }
    let is_changed = !changes.is_empty();
    replicas.apply(topic, |replica| replica.apply_changes(changes, position));
    if is_changed {
        time::sleep(BATCH_DELAY).await;
    }
    Ok(())
}
