//! Synchronises this node's replicas with the store while this node is a watcher.
//!
//! [`startup`] gets the first data of a node, and [`store_check`] finds out whether the store answers.

mod startup;
mod store_check;

use std::time::Duration;

use tokio::{sync::watch, time};

pub(crate) use self::{startup::Startup, store_check::check};
use crate::{
    event::Event,
    replica::Topic,
    settings::KeyPrefixes,
    store::{Backoff, Freshness, Store, StoreError},
    topic_replicas::TopicReplicas,
};

/// How long one watch waits for a change. Each watch is a call to the store, and each call is
/// charged for.
const WATCH_TIMEOUT: Duration = Duration::from_secs(28);

/// The same for the first watch of the orders after a time without one. It is answered at once, so that the orders are soon
/// known to be current.
const FIRST_WATCH_TIMEOUT: Duration = Duration::from_millis(1);

/// The delay after a watch returned changes, so that changes in quick succession arrive in one
/// batch.
const BATCH_DELAY: Duration = Duration::from_millis(80);

/// The same for members. In a large deployment they change all the time, and members that start announce themselves.
const MEMBERS_BATCH_DELAY: Duration = Duration::from_secs(1);

/// What the reducer tells the tasks that watch the store.
#[derive(Clone)]
pub(crate) struct WatchSignals {
    /// Whether this node is a watcher.
    pub(crate) is_watcher: watch::Receiver<bool>,
    /// Whether the store is reachable. Each change ends the watches in progress.
    pub(crate) is_reachable: watch::Receiver<bool>,
}

/// Synchronises one topic with the store while this node is a watcher.
pub(crate) async fn follow<S: Store>(
    store: S,
    topic: Topic,
    prefixes: KeyPrefixes,
    replicas: TopicReplicas,
    signals: WatchSignals,
) {
    let WatchSignals { mut is_watcher, mut is_reachable } = signals;
    let prefix = prefixes.of(topic);
    // A watch needs the position of a list.
    let mut freshness = None;
    let mut backoff = Backoff::new();
    // The delay before a list that follows another one without a successful watch in between.
    let mut relist_backoff = None;
    let mut logged_wait = Duration::ZERO;
    // Whether a watch has been answered since this node began to watch or the store became reachable.
    let mut is_answered = false;
    loop {
        if !*is_watcher.borrow() {
            replicas.report_unwatched(topic);
            is_answered = false;
        }
        if is_watcher.wait_for(|is_watcher| *is_watcher).await.is_err() {
            return;
        }
        if !*is_reachable.borrow_and_update() {
            replicas.report_unwatched(topic);
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
            Some(freshness) => apply_list(&store, topic, prefix, freshness, &replicas).await,
            None => {
                let is_long = is_answered || topic != Topic::Orders;
                let wait = if is_long { WATCH_TIMEOUT } else { FIRST_WATCH_TIMEOUT };
                if std::mem::replace(&mut logged_wait, wait) != wait {
                    slog::info!(replicas.log(), "watch"; "topic" => topic.as_str(),
                        "wait_ms" => wait.as_millis());
                }
                tokio::select! {
                    result = apply_watch(&store, topic, prefix, wait, &replicas) => result,
                    Ok(()) = is_reachable.changed() => {
                        is_answered = false;
                        continue;
                    }
                }
            }
        };
        let log = replicas.log();
        match result {
            Ok(()) => {
                backoff = Backoff::new();
                is_answered = true;
                if is_watch {
                    relist_backoff = None;
                }
                replicas.report_read(topic, *is_watcher.borrow());
                replicas.dispatch(Event::Store { is_reachable: true });
            }
            Err(StoreError::Compacted) => {
                slog::info!(log, "store-compacted"; "topic" => topic.as_str());
                replicas.report_unwatched(topic);
                freshness = Some(Freshness::Latest);
                if let Some(relist_backoff) = &mut relist_backoff {
                    Backoff::wait(relist_backoff).await;
                }
                relist_backoff.get_or_insert_with(Backoff::new);
            }
            Err(error) => {
                slog::warn!(log, "store-call-failed"; "topic" => topic.as_str(),
                    "error" => %error);
                replicas.report_unwatched(topic);
                replicas.dispatch(Event::Store { is_reachable: false });
                backoff.wait().await;
            }
        }
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
    wait: Duration,
    replicas: &TopicReplicas,
) -> crate::store::Result<()> {
    let after = replicas.position(topic);
    let (changes, position) = store.watch(prefix, after.revision, wait).await?;
    if position.era > after.era {
        // The revision was one of an earlier era, so other changes may be missing.
        return Err(StoreError::Compacted);
    }
    let is_changed = !changes.is_empty();
    replicas.apply(topic, |replica| replica.apply_changes(changes, position));
    if is_changed {
        time::sleep(if topic == Topic::Members { MEMBERS_BATCH_DELAY } else { BATCH_DELAY }).await;
    }
    Ok(())
}
