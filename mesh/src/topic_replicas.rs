//! This node's replicas of the store, and pulls between nodes that bring them up to date.

use std::{
    borrow::Cow,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use compact_str::CompactString;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use slog::Logger;
use snafu::{ResultExt, Snafu};
use tokio::time::{self, Instant};

use crate::{
    compression::{self, LastCompressed},
    config::RouteTable,
    driver::Driver,
    event::{Event, PullOutcome},
    handle::NodeHandle,
    headers,
    payload::Body,
    pool::{Pool, SendError},
    pull::{PullAnswer, PullQuery},
    registry,
    replica::{Delta, Position, Replica, Topic},
    store::Update,
    time::Time,
};

/// The path at which a node serves its replica to others.
pub(crate) const PATH: &str = "/poplarbarrow/replica";

/// The time without progress after which a pull from another node ends.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The maximum time of a pull from another node.
const MAX_PULL_TIME: Duration = Duration::from_secs(5);

/// The size in bytes before compression above which a response to a pull counts as large.
const LARGE_RESPONSE_BYTES: usize = 64 << 10;

/// The maximum size of a pull's response, which holds the configuration and all members.
const MAX_PULL_BYTES: usize = 8 << 20;

/// The reason for which a pull from another node brought nothing.
#[derive(Debug, Snafu)]
enum PullError {
    #[snafu(display("{source}"))]
    Send { source: SendError },
    #[snafu(display("the node sends its data to as many others as it may"))]
    Busy,
    #[snafu(display("nothing arrived for {STALL_TIMEOUT:?}"))]
    Stalled,
    #[snafu(display("the response did not end within {MAX_PULL_TIME:?}"))]
    TooSlow,
    #[snafu(display("the response is incomplete or larger than {MAX_PULL_BYTES} bytes"))]
    Incomplete,
    #[snafu(display("the response cannot be read"))]
    Unreadable,
}

/// How the response to a pull is encoded.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
enum Encoding {
    Plain,
    Compressed,
}

/// Receives what operators write to the store, in the deployment's own format.
pub trait UpdateHandler: Send + 'static {
    /// Handles an update of a topic other than the members.
    fn handle_update(&mut self, node: &NodeHandle, topic: Topic, update: Update);
}

/// This node's replicas of all topics.
#[derive(Clone)]
pub(crate) struct TopicReplicas {
    shared: Arc<Mutex<Shared>>,
    driver: Arc<Driver>,
    compressed: Arc<LastCompressed>,
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
        TopicReplicas { shared: Arc::new(Mutex::new(shared)), driver, compressed: Arc::default() }
    }

    /// Changes the replica of a topic and dispatches the update.
    pub(crate) fn apply(&self, topic: Topic, change: impl FnOnce(&mut Replica) -> Option<Update>) {
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
                Topic::Members => registry::apply_update(&self.driver, update),
                Topic::Orders | Topic::Status => {
                    shared.handler.handle_update(&shared.node, topic, update);
                }
            }
        }
        let revisions = shared.replicas.each_ref().map(Replica::position);
        self.driver.dispatch(Event::Revisions(revisions));
    }

    pub(crate) fn position(&self, topic: Topic) -> Position {
        self.lock().replicas[topic.index()].position()
    }

    /// Serves a pull of another node: returns the changes since the revisions in the query, compressed if the other
    /// node can read that, or status 503 while as many large responses as allowed are on their way.
    pub(crate) fn serve_pull(&self, query: Option<&str>, is_compressed: bool) -> Response<Body> {
        let query = PullQuery::parse(query.unwrap_or_default());
        let answer = self.answer(&query);
        let is_large = answer.size() > LARGE_RESPONSE_BYTES;
        if is_large && !self.driver.admit_upload(query.from) {
            return busy_response();
        }
        let bytes = Bytes::from(answer.encode());
        if !is_compressed {
            return Response::new(Body::from(bytes));
        }
        let Some(compressed) = self.compressed.get(bytes) else {
            return busy_response();
        };
        let mut response = Response::new(Body::from(compressed));
        headers::set(response.headers_mut(), &header::CONTENT_ENCODING, compression::ENCODING);
        response
    }

    /// Returns what a node that sent the query lacks.
    fn answer(&self, query: &PullQuery) -> PullAnswer {
        let shared = self.lock();
        let delta = |topic: Topic| {
            let replica = &shared.replicas[topic.index()];
            let known = query.position(topic, replica);
            (replica.position() > known).then(|| replica.delta_since(topic, known))
        };
        let deltas: Vec<Delta> = Topic::ALL.into_iter().filter_map(delta).collect();
        drop(shared);
        // Usually the orders bring the configuration. They do not if the store has lost it since it took effect here.
        let has_orders = deltas.iter().any(|delta| delta.topic == Topic::Orders);
        let config = query
            .config_version
            .filter(|_| !has_orders)
            .and_then(|known| self.driver.inspect(|_, reducer| reducer.config_newer_than(known)));
        let (config, access) = config.unzip();
        PullAnswer { deltas, config, access: access.flatten() }
    }

    /// Pulls what another node knows beyond this one.
    pub(crate) async fn pull(&self, source: SocketAddr, pool: Pool) {
        let started = Instant::now();
        let mut bytes = Vec::new();
        let fetched = time::timeout(MAX_PULL_TIME, self.fetch(&pool, &mut bytes)).await;
        let result = fetched
            .unwrap_or(Err(PullError::TooSlow))
            .and_then(|encoding| self.merge(&bytes, encoding));
        let (log, took_ms) = (self.driver.log(), started.elapsed().as_millis());
        let outcome = match result {
            Ok(topics) => {
                slog::info!(log, "pull"; "source" => %source, "topics" => topics.as_str(),
                    "bytes" => bytes.len(), "took_ms" => took_ms);
                PullOutcome::Done
            }
            Err(PullError::Busy) => PullOutcome::Busy,
            Err(error) => {
                slog::warn!(log, "pull-failed"; "source" => %source, "error" => %error,
                    "bytes" => bytes.len(), "took_ms" => took_ms);
                PullOutcome::Failed
            }
        };
        self.driver.dispatch(Event::PullEnded(outcome));
    }

    /// Reads the response of another node into `bytes`, which hold what has arrived if it fails.
    ///
    /// The timeout counts from the last progress: on a full link many pulls are slow together, and to begin again would
    /// waste what has arrived.
    async fn fetch(&self, pool: &Pool, bytes: &mut Vec<u8>) -> Result<Encoding, PullError> {
        let known = Topic::ALL.map(|topic| self.position(topic));
        let (id, version) = self.driver.inspect(|_, r| (r.local_id(), r.config_version()));
        let query = PullQuery::new(id, &known, version);
        let req = Request::get(format!("{PATH}?{}", query.format()))
            .header(header::HOST, "node")
            .header(header::ACCEPT_ENCODING, compression::ENCODING)
            .body(Body::default());
        let req = req.map_err(|_| PullError::Unreadable)?;
        let sent = time::timeout(STALL_TIMEOUT, pool.send(req)).await;
        let (response, conn) = sent.map_err(|_| PullError::Stalled)?.context(SendSnafu)?;
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            conn.release();
            return Err(PullError::Busy);
        }
        let encoding = headers::text(response.headers(), &header::CONTENT_ENCODING);
        let encoding = match encoding {
            Some(compression::ENCODING) => Encoding::Compressed,
            _ => Encoding::Plain,
        };
        let mut body = Limited::new(response.into_body(), MAX_PULL_BYTES);
        loop {
            let frame = time::timeout(STALL_TIMEOUT, body.frame()).await;
            let Some(frame) = frame.map_err(|_| PullError::Stalled)? else { break };
            let frame = frame.map_err(|_| PullError::Incomplete)?;
            bytes.extend(frame.into_data().unwrap_or_default());
        }
        conn.release();
        Ok(encoding)
    }

    /// Merges the changes of another node and returns the names of their topics, separated by
    /// commas.
    fn merge(&self, bytes: &[u8], encoding: Encoding) -> Result<CompactString, PullError> {
        let bytes = match encoding {
            Encoding::Plain => Cow::Borrowed(bytes),
            Encoding::Compressed => {
                let bytes = compression::decompress(bytes, MAX_PULL_BYTES);
                Cow::Owned(bytes.map_err(|_| PullError::Unreadable)?)
            }
        };
        let answer = PullAnswer::decode(&bytes).ok_or(PullError::Unreadable)?;
        let PullAnswer { deltas, config, access } = answer;
        let topics: Vec<&str> = deltas.iter().map(|delta| delta.topic.as_str()).collect();
        let topics = topics.join(",").into();
        for delta in deltas {
            self.apply(delta.topic, |replica| replica.merge(delta));
        }
        match (config, access) {
            (Some(mut config), Some(access)) => {
                access.restore(&mut config);
                self.driver.dispatch(Event::Config(Arc::new(RouteTable::new(config))));
            }
            (Some(config), None) => self.driver.dispatch(Event::ConfigWithoutAccess(config)),
            (None, _) => {}
        }
        Ok(topics)
    }

    /// Tells the reducer that the newest data of a topic was read by a call that was sent at this time.
    pub(crate) fn report_read(&self, topic: Topic, sent_at: Time) {
        if topic == Topic::Orders {
            self.driver.dispatch(Event::OrdersRead { sent_at });
        }
    }

    /// Tells the reducer that changes of a topic are missing.
    pub(crate) fn report_incomplete(&self, topic: Topic) {
        if topic == Topic::Orders {
            self.driver.dispatch(Event::OrdersIncomplete);
        }
    }

    /// Returns the time on the clock of the reducer.
    pub(crate) fn now(&self) -> Time {
        self.driver.now()
    }

    /// Returns the time after which a watcher reads the orders unless it hears of another read.
    pub(crate) fn time_until_orders_read(&self) -> Duration {
        self.driver.inspect(|now, reducer| reducer.time_until_orders_read(now))
    }

    pub(crate) fn log(&self) -> &Logger {
        self.driver.log()
    }

    pub(crate) fn dispatch(&self, event: Event) {
        self.driver.dispatch(event);
    }

    /// Returns whether another node has spoken to this one.
    pub(crate) fn has_heard_others(&self) -> bool {
        self.driver.inspect(|now, reducer| reducer.has_heard_others(now))
    }

    /// Returns the number of members that this node knows, itself included.
    pub(crate) fn member_count(&self) -> usize {
        self.driver.inspect(|_, reducer| reducer.member_count())
    }

    /// Returns whether this node has the orders and the states of rollouts, and the orders were those of the store a short
    /// time ago.
    pub(crate) fn has_current_orders(&self) -> bool {
        let is_known = |topic| self.position(topic).revision > 0;
        is_known(Topic::Orders)
            && is_known(Topic::Status)
            && self.driver.inspect(|now, reducer| reducer.has_confirmed_orders(now))
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn busy_response() -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}
