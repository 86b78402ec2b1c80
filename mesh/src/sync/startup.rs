//! The first data of a node: which members there are, and what operators have ordered.
//!
//! A node that starts knows nobody. The list of members in the store may be some seconds old, which is enough to find
//! nodes that run, and those have the orders. So most starts cost the store one cheap call. The orders are read from the
//! store only if no other node has them, by a few of the nodes that start at the same time.

use std::time::Duration;

use rand::Rng as _;
use tokio::{sync::watch, time};

use crate::{
    event::{Event, Found},
    replica::Topic,
    settings::KeyPrefixes,
    store::{Backoff, Freshness, Position, Store},
    topic_replicas::TopicReplicas,
};

use super::{reader::Reader, store_check};

/// The time in which nodes that run answer the first status of this node and send it their orders.
const ANSWER_TIME: Duration = Duration::from_millis(80);

/// The mean time between two nodes that read the orders if all nodes start at once. The others get them meanwhile.
const READ_SPACING: Duration = Duration::from_millis(2);

/// The longest delay before a node reads the orders.
const MAX_READ_DELAY: Duration = Duration::from_millis(600);

/// The longest delay before a node that has found nobody looks again.
const MAX_FIRST_DELAY: Duration = Duration::from_secs(1);

/// The share of the nodes that look again in the latest list at once.
const EAGER_SHARE: f64 = 0.25;

/// The number of stale lists in which the others look before they read the latest one.
const MAX_STALE_LISTS: usize = 4;

/// The time in which a node hears all members that run before it takes a share of the duties.
const HEAR_TIME: Duration = Duration::from_millis(500);

/// The time for which the nodes of a deployment that starts learn of each other before they share duties.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// The time after which a node reads the orders although it has heard others, because they have none that are current.
const MAX_ORDERS_WAIT: Duration = Duration::from_secs(1);

/// The interval at which a starting node checks what it has got.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Gets the first data of a node.
pub(crate) struct Startup<S> {
    pub(crate) store: S,
    pub(crate) prefixes: KeyPrefixes,
    pub(crate) replicas: TopicReplicas,
    pub(crate) latest: watch::Sender<Position>,
}

impl<S: Store> Startup<S> {
    pub(crate) async fn run(&self) {
        self.list(Topic::Members, Freshness::AllowStale).await;
        if self.others() > 0 {
            let delay = MAX_READ_DELAY.min(READ_SPACING * self.others());
            if !self.wait_for_orders(ANSWER_TIME + random_part(delay)).await {
                self.find_members().await;
                self.read_orders().await;
            }
            time::sleep(HEAR_TIME).await;
            return self.replicas.dispatch(Event::Synced(Found::Members));
        }
        self.find_first_members().await;
        if self.others() == 0 {
            self.replicas.dispatch(Event::Synced(Found::Nobody));
            return self.read_orders().await;
        }
        if !self.wait_for_orders(MAX_ORDERS_WAIT).await {
            self.read_orders().await;
        }
        // The others that start find each other meanwhile.
        time::sleep(SETTLE_TIME).await;
        self.replicas.dispatch(Event::Synced(Found::Members));
    }

    /// Returns the number of other members that this node knows.
    fn others(&self) -> u32 {
        self.replicas.member_count().saturating_sub(1) as u32
    }

    /// Looks for the first members of a deployment that starts. Only some of its nodes read the latest list soon, and one of
    /// them becomes the first member; the others find it in stale lists, which cost less.
    async fn find_first_members(&self) {
        let is_eager = rand::rng().random_bool(EAGER_SHARE);
        for _ in 0..if is_eager { 1 } else { MAX_STALE_LISTS } {
            time::sleep(random_part(MAX_FIRST_DELAY)).await;
            self.list(Topic::Members, Freshness::AllowStale).await;
            if self.others() > 0 {
                return;
            }
        }
        self.find_members().await;
    }

    /// Looks for members that started at the same time, if no other one has spoken yet.
    async fn find_members(&self) {
        if !self.replicas.has_heard_others() {
            self.list(Topic::Members, Freshness::Latest).await;
        }
        if self.others() > 0 {
            self.wait_for_orders(ANSWER_TIME).await;
        }
    }

    async fn read_orders(&self) {
        for topic in [Topic::Orders, Topic::Status] {
            if !self.replicas.has_current_orders() {
                self.list(topic, Freshness::Latest).await;
            }
        }
    }

    /// Lists a topic, or waits until other nodes have sent the orders while the store does not answer.
    async fn list(&self, topic: Topic, freshness: Freshness) {
        let (prefix, latest) = (self.prefixes.of(topic), self.latest.clone());
        let (store, replicas) = (self.store.clone(), self.replicas.clone());
        let reader = Reader { store, topic, prefix, replicas, latest };
        let replicas = &self.replicas;
        let mut backoff = Backoff::new();
        while let Err(error) = reader.list(freshness).await {
            slog::warn!(replicas.log(), "store-call-failed"; "topic" => topic.as_str(),
                "error" => %error);
            replicas.dispatch(Event::Store { is_reachable: false });
            if replicas.has_current_orders() {
                return;
            }
            backoff.wait().await;
            tokio::select! {
                () = store_check::first_answer(&self.store) => {}
                () = self.orders_of_others() => return,
            }
        }
        replicas.dispatch(Event::Store { is_reachable: true });
    }

    /// Waits until other nodes have sent the orders, and returns whether they have within `time`.
    async fn wait_for_orders(&self, time: Duration) -> bool {
        time::timeout(time, self.orders_of_others()).await.is_ok()
    }

    /// Waits until other nodes have sent the orders.
    async fn orders_of_others(&self) {
        while !self.replicas.has_current_orders() {
            time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn random_part(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.0..1.0))
}
