//! Synchronises this node's replicas with the store while this node is a watcher.
//!
//! [`startup`] gets the first data of a node, [`reader`] reads a topic, and [`store_check`] finds out whether the store answers.

mod reader;
mod startup;
mod store_check;

use std::time::Duration;

use tokio::{sync::watch, time};

use self::reader::Reader;
pub(crate) use self::{startup::Startup, store_check::check};
use crate::{
    event::Event,
    replica::Topic,
    settings::KeyPrefixes,
    store::{Backoff, Freshness, Position, Store, StoreError},
    topic_replicas::TopicReplicas,
};

/// The delay after a watch returned changes, so that changes in quick succession arrive in one
/// batch.
const BATCH_DELAY: Duration = Duration::from_millis(80);

/// The same for members. In a large deployment they change all the time, and members that start announce themselves.
const MEMBERS_BATCH_DELAY: Duration = Duration::from_secs(1);

/// What the tasks that watch the store learn from the reducer and from each other.
#[derive(Clone)]
pub(crate) struct WatchSignals {
    /// Whether this node is a watcher.
    pub(crate) is_watcher: watch::Receiver<bool>,
    /// Whether the store is reachable. Each change ends the watches in progress.
    pub(crate) is_reachable: watch::Receiver<bool>,
    /// The latest position of the store that a read of any topic has stated.
    pub(crate) latest: watch::Sender<Position>,
}

/// Synchronises one topic with the store while this node is a watcher.
pub(crate) async fn follow<S: Store>(
    store: S,
    topic: Topic,
    prefixes: KeyPrefixes,
    replicas: TopicReplicas,
    signals: WatchSignals,
) {
    let WatchSignals { mut is_watcher, mut is_reachable, latest } = signals;
    let reader = Reader { store, topic, prefix: prefixes.of(topic), replicas, latest };
    let replicas = &reader.replicas;
    // A watch needs the position of a list.
    let mut freshness = None;
    let mut backoff = Backoff::new();
    // The delay before a list that follows another one without a successful watch in between.
    let mut relist_backoff = None;
    let mut logged_wait = Duration::ZERO;
    // Whether a call has been answered since this node began to watch or the store became reachable.
    let mut is_answered = false;
    loop {
        if !*is_watcher.borrow() {
            is_answered = false;
        }
        if is_watcher.wait_for(|is_watcher| *is_watcher).await.is_err() {
            return;
        }
        if !*is_reachable.borrow_and_update() {
            is_answered = false;
            tokio::select! {
                _ = is_reachable.changed() => {}
                _ = is_watcher.changed() => {}
            }
            continue;
        }
        if replicas.position(topic).revision == 0 {
            freshness = Some(Freshness::Latest);
        }
        let is_watch = freshness.is_none();
        let result = match freshness.take() {
            Some(freshness) => reader.list(freshness).await.map(|()| false),
            None => {
                // After a time without a watch, the orders are known to be current as soon as they have been read.
                let is_read = !is_answered && topic == Topic::Orders;
                let wait = if is_read { reader::READ_WAIT } else { reader::WATCH_WAIT };
                if std::mem::replace(&mut logged_wait, wait) != wait {
                    slog::info!(replicas.log(), "watch"; "topic" => topic.as_str(),
                        "wait_ms" => wait.as_millis());
                }
                let changes = async {
                    if is_read {
                        reader.read_changes().await
                    } else {
                        reader.wait_for_changes().await
                    }
                };
                tokio::select! {
                    result = changes => result,
                    Ok(()) = is_reachable.changed() => {
                        is_answered = false;
                        continue;
                    }
                }
            }
        };
        let log = replicas.log();
        match result {
            Ok(is_changed) => {
                backoff = Backoff::new();
                is_answered = true;
                if is_watch {
                    relist_backoff = None;
                }
                replicas.dispatch(Event::Store { is_reachable: true });
                if is_changed {
                    let is_members = topic == Topic::Members;
                    time::sleep(if is_members { MEMBERS_BATCH_DELAY } else { BATCH_DELAY }).await;
                }
            }
            Err(StoreError::Compacted) => {
                slog::info!(log, "store-compacted"; "topic" => topic.as_str());
                replicas.report_incomplete(topic);
                freshness = Some(Freshness::Latest);
                if let Some(relist_backoff) = &mut relist_backoff {
                    Backoff::wait(relist_backoff).await;
                }
                relist_backoff.get_or_insert_with(Backoff::new);
            }
            Err(error) => {
                slog::warn!(log, "store-call-failed"; "topic" => topic.as_str(),
                    "error" => %error);
                replicas.dispatch(Event::Store { is_reachable: false });
                backoff.wait().await;
            }
        }
    }
}
