//! Synchronises this node's replicas with the store while this node is a watcher.

use std::time::Duration;

use rand::Rng as _;
use tokio::{sync::watch, time};

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

/// The delay after a watch returned changes, so that changes in quick succession arrive in one
/// batch.
const BATCH_DELAY: Duration = Duration::from_millis(80);

/// The delay after the start before the members that started at the same time are listed.
const STARTUP_DELAY: Duration = Duration::from_millis(500);

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
    // The delay before a list that follows another one without a successful watch in between.
    let mut relist_backoff = None;
    loop {
        if !*is_watcher.borrow() {
            replicas.report_unwatched(topic);
        }
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
        let log = replicas.log();
        match result {
            Ok(()) => {
                backoff = Backoff::new();
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
        slog::warn!(replicas.log(), "store-call-failed"; "topic" => topic.as_str(),
            "error" => %error);
        replicas.dispatch(Event::Store { is_reachable: false });
        backoff.wait().await;
    }
    replicas.dispatch(Event::Store { is_reachable: true });
    replicas.report_read(topic, false);
    if topic == Topic::Members {
        let jitter = rand::rng().random_range(0.8..1.2);
        time::sleep(STARTUP_DELAY.mul_f64(jitter)).await;
        // Nodes that started together are missing from each other's first list, and a node that
        // knows no other one receives no status from any.
        if replicas.is_alone()
            && let Err(error) = apply_list(store, topic, prefix, Freshness::Latest, replicas).await
        {
            slog::warn!(replicas.log(), "store-call-failed"; "topic" => topic.as_str(),
                "error" => %error);
        }
        replicas.dispatch(Event::Synced);
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
