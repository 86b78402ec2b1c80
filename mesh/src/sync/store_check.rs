//! Finds out whether the store answers a node that watches it.
//!
//! A watch that waits may have been lost with its connection or in an outage of the store, and is never answered then. So a node
//! that watches also makes small calls, which are answered at once or not at all. The other calls of the node are made only while
//! these are answered. Their answers say nothing about the orders: see [`super::reader`].

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt as _, stream::FuturesUnordered};
use tokio::time;

use crate::{
    driver::Driver,
    event::Event,
    store::{Store, StoreError},
};

use super::WatchSignals;

/// The interval of pings while the store answers.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// The time after which a ping counts as unanswered. The store responds within a few hundred milliseconds when it is slow.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval of pings while the store does not answer. Earlier ones stay open, as a store that is very slow may still
/// answer them.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Tells the reducer whether the store answers, as long as this node watches it.
pub(crate) async fn check<S: Store>(store: S, driver: Arc<Driver>, signals: WatchSignals) {
    let WatchSignals { mut is_watcher, mut is_reachable, .. } = signals;
    while is_watcher.wait_for(|is_watcher| *is_watcher).await.is_ok() {
        if !*is_reachable.borrow_and_update() {
            tokio::select! {
                () = first_answer(&store) => {
                    driver.dispatch(Event::Store { is_reachable: true });
                }
                _ = is_reachable.changed() => {}
                _ = is_watcher.changed() => {}
            }
            continue;
        }
        match ping(&store).await {
            Ok(()) => driver.dispatch(Event::Store { is_reachable: true }),
            Err(error) => {
                slog::warn!(driver.log(), "store-call-failed"; "call" => "ping",
                    "error" => %error);
                driver.dispatch(Event::Store { is_reachable: false });
                continue;
            }
        }
        tokio::select! {
            () = time::sleep(PING_INTERVAL) => {}
            _ = is_reachable.changed() => {}
            _ = is_watcher.changed() => {}
        }
    }
}

/// Waits until the store answers. A call that was sent before it does may never be answered, so further ones follow.
pub(crate) async fn first_answer<S: Store>(store: &S) {
    let mut pings = FuturesUnordered::new();
    let mut interval = time::interval(RETRY_INTERVAL);
    loop {
        tokio::select! {
            _ = interval.tick() => pings.push(store.ping()),
            Some(result) = pings.next() => {
                if result.is_ok() {
                    return;
                }
            }
        }
    }
}

async fn ping<S: Store>(store: &S) -> crate::store::Result<()> {
    time::timeout(PING_TIMEOUT, store.ping()).await.unwrap_or_else(|_| {
        let reason = "no answer within the time of a ping".into();
        Err(StoreError::Unanswered { reason })
    })
}
