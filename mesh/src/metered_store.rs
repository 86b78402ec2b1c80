//! A store wrapper that counts calls by method and outcome.

use std::{sync::Arc, time::Duration};

use crate::{
    metrics::Metrics,
    store::{Change, Freshness, Item, Lease, Position, Result, Store, StoreError, Transaction},
};

/// Forwards calls to a store and counts them in the metrics.
#[derive(Clone)]
pub(crate) struct MeteredStore<S> {
    store: S,
    metrics: Arc<Metrics>,
}

impl<S> MeteredStore<S> {
    pub(crate) fn new(store: S, metrics: Arc<Metrics>) -> MeteredStore<S> {
        MeteredStore { store, metrics }
    }

    fn count<T>(&self, call: &'static str, result: Result<T>) -> Result<T> {
        self.metrics.count_store_call(call, outcome(&result));
        result
    }
}

impl<S: Store> Store for MeteredStore<S> {
    async fn ping(&self) -> Result<()> {
        self.count("ping", self.store.ping().await)
    }

    async fn get(&self, key: &str) -> Result<(Option<Item>, u64)> {
        self.count("get", self.store.get(key).await)
    }

    async fn list(&self, prefix: &str, freshness: Freshness) -> Result<(Vec<Item>, Position)> {
        self.count("list", self.store.list(prefix, freshness).await)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<(Vec<Change>, Position)> {
        self.count("watch", self.store.watch(prefix, after, wait).await)
    }

    async fn commit(&self, transaction: Transaction) -> Result<Position> {
        self.count("commit", self.store.commit(transaction).await)
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease> {
        self.count("grant", self.store.grant(ttl).await)
    }

    async fn renew(&self, lease: Lease) -> Result<u64> {
        self.count("renew", self.store.renew(lease).await)
    }

    async fn revoke(&self, lease: Lease) -> Result<()> {
        self.count("revoke", self.store.revoke(lease).await)
    }
}

fn outcome<T>(result: &Result<T>) -> &'static str {
    match result {
        Ok(_) => "done",
        Err(StoreError::Unanswered { .. }) => "unanswered",
        Err(StoreError::Refused { .. }) => "refused",
        Err(StoreError::Conflict) => "conflict",
        Err(StoreError::Compacted) => "compacted",
        Err(StoreError::NoLease) => "no-lease",
        Err(StoreError::Unreadable { .. }) => "unreadable",
    }
}
