//! Reads of one topic: lists, watches that wait for changes, and short reads beside a watch that waits.
//!
//! A watch that waits proves nothing. It may have been lost on its way while the store was silent for a moment, or with its
//! connection, and other calls are answered as if nothing had happened. So a watcher also reads the orders once they are old, and
//! the other topics once the store has a later revision than their watches have reported.

use std::{pin::pin, time::Duration};

use tokio::{sync::watch, time};

use crate::{
    replica::Topic,
    store::{Change, Freshness, Item, Position, Result, Store, StoreError},
    time::Time,
    topic_replicas::TopicReplicas,
};

/// How long one watch waits for a change. Each watch is a call to the store, and each call is
/// charged for.
pub(super) const WATCH_WAIT: Duration = Duration::from_secs(28);

/// The wait of a read of the changes so far, which is a watch that is answered at once.
pub(super) const READ_WAIT: Duration = Duration::from_millis(1);

/// The time after which such a read counts as unanswered. The store responds within a few hundred milliseconds when it is slow.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// The time after which a list that is not answered is sent again. A store that answers does so within a few hundred
/// milliseconds, and a client waits for seconds before it gives up a list.
const REPEAT_DELAY: Duration = Duration::from_millis(600);

/// The time that a watch of another topic has to report a revision of which this node knows.
const REPORT_TIME: Duration = Duration::from_secs(2);

/// The result of a read of the changes since a position.
struct Read {
    changes: Vec<Change>,
    position: Position,
    sent_at: Time,
}

/// Reads one topic from the store into this node's replica.
pub(super) struct Reader<S> {
    pub(super) store: S,
    pub(super) topic: Topic,
    pub(super) prefix: &'static str,
    pub(super) replicas: TopicReplicas,
    /// The latest position of the store of which a read of any topic has told.
    pub(super) latest: watch::Sender<Position>,
}

impl<S: Store> Reader<S> {
    /// Lists the topic.
    pub(super) async fn list(&self, freshness: Freshness) -> Result<()> {
        let sent_at = self.replicas.now();
        let (items, position) = self.list_again_if_late(freshness).await?;
        match freshness {
            Freshness::Latest => {
                self.replicas.apply(self.topic, |replica| replica.apply_list(items, position));
                self.replicas.report_read(self.topic, sent_at);
            }
            // The revision of a stale read may be one of before the store's return from a copy, and it proves nothing.
            Freshness::AllowStale => {
                self.replicas.apply(self.topic, |replica| replica.apply_preliminary(items));
            }
        }
        Ok(())
    }

    /// Lists the topic, a second time if the first call may have been lost. The call to which the store responds first counts.
    async fn list_again_if_late(&self, freshness: Freshness) -> Result<(Vec<Item>, Position)> {
        let list = || self.store.list(self.prefix, freshness);
        let mut first = pin!(list());
        tokio::select! {
            result = &mut first => return result,
            () = time::sleep(REPEAT_DELAY) => {}
        }
        tokio::select! {
            result = first => result,
            result = list() => result,
        }
    }

    /// Waits for changes, and returns whether there are some: those that a watch reports, or those that it has missed.
    pub(super) async fn wait_for_changes(&self) -> Result<bool> {
        let after = self.replicas.position(self.topic);
        tokio::select! {
            result = self.watch(after, WATCH_WAIT) => {
                let (changes, position) = result?;
                Ok(self.apply_changes(changes, position))
            }
            result = self.find_missed(after) => {
                let read = result?;
                slog::info!(self.replicas.log(), "watch-overtaken"; "topic" => self.topic.as_str(),
                    "after" => after.revision, "revision" => read.position.revision);
                Ok(self.apply_read(read))
            }
        }
    }

    /// Reads the changes so far, and returns whether there are some.
    pub(super) async fn read_changes(&self) -> Result<bool> {
        let read = self.read(self.replicas.position(self.topic)).await?;
        Ok(self.apply_read(read))
    }

    /// Returns changes that a watch from this position has not reported, as soon as a read finds some.
    async fn find_missed(&self, after: Position) -> Result<Read> {
        let mut read_to = after;
        loop {
            match self.topic {
                Topic::Orders => self.wait_until_old().await,
                Topic::Members | Topic::Status => self.wait_until_behind(read_to).await,
            }
            let read = self.read(read_to).await?;
            if !read.changes.is_empty() {
                return Ok(read);
            }
            // The replica keeps its position: if it moved, all other nodes would pull a change that is none.
            read_to = read.position;
            self.replicas.report_read(self.topic, read.sent_at);
        }
    }

    /// Waits until the orders have an age at which this node reads them.
    async fn wait_until_old(&self) {
        loop {
            let time = self.replicas.time_until_orders_read();
            if time.is_zero() {
                return;
            }
            time::sleep(time).await;
        }
    }

    /// Waits until the store has had a later revision for some time.
    async fn wait_until_behind(&self, read_to: Position) {
        let mut latest = self.latest.subscribe();
        if latest.wait_for(|latest| *latest > read_to).await.is_err() {
            std::future::pending::<()>().await;
        }
        time::sleep(REPORT_TIME).await;
    }

    /// Reads the changes since a position, and tells the other readers how far the store is.
    async fn read(&self, after: Position) -> Result<Read> {
        let sent_at = self.replicas.now();
        let read = time::timeout(READ_TIMEOUT, self.watch(after, READ_WAIT)).await;
        let (changes, position) = read.unwrap_or_else(|_| {
            let reason = "no answer within the time of a read".into();
            Err(StoreError::Unanswered { reason })
        })?;
        self.latest.send_if_modified(|latest| {
            let is_later = *latest < position;
            *latest = position.max(*latest);
            is_later
        });
        Ok(Read { changes, position, sent_at })
    }

    async fn watch(&self, after: Position, wait: Duration) -> Result<(Vec<Change>, Position)> {
        let (changes, position) = self.store.watch(self.prefix, after.revision, wait).await?;
        if position.era > after.era {
            // The revision was one of an earlier era, so other changes may be missing.
            return Err(StoreError::Compacted);
        }
        Ok((changes, position))
    }

    /// Applies the result of a read, which then proves that the topic is current.
    fn apply_read(&self, read: Read) -> bool {
        let is_changed = self.apply_changes(read.changes, read.position);
        self.replicas.report_read(self.topic, read.sent_at);
        is_changed
    }

    fn apply_changes(&self, changes: Vec<Change>, position: Position) -> bool {
        let is_changed = !changes.is_empty();
        self.replicas.apply(self.topic, |replica| replica.apply_changes(changes, position));
        is_changed
    }
}
