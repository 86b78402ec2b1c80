//! Runs of requests that a caller sent ahead, which start before the HTTP library has come to them.
//!
//! The library answers the requests of a connection one after the other. Meanwhile the idempotent ones among those behind
//! run in tasks of their own, and the library's call for such a request takes the answer of its run. A run that is not
//! taken is cancelled.

mod connection;

use std::{sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use http::{Response, request::Parts};
use tokio::{
    sync::{Notify, Semaphore},
    task::JoinHandle,
    time::{self, Instant},
};

use crate::{activity::ActivityGuard, metrics::Metrics, payload::Body};

pub(crate) use connection::ConnectionRuns;

/// The most runs of a connection whose answers wait for their turn. Each holds at most the 128 KiB of an answer that are
/// buffered, the bytes in its connection to the target, and its head.
pub(crate) const MAX_PER_CONNECTION: usize = 16;

/// The most runs of the process, whose answers have 16 MiB in their buffers together. Requests beyond are served in their
/// turn.
pub(crate) const MAX_PER_PROCESS: usize = 128;

/// The longest time for which an answer waits for its turn. Beyond that the caller probably does not read the answers before
/// it, and must not keep the memory and the place of the run from others.
const MAX_HELD: Duration = Duration::from_secs(30);

/// What serves the requests of the connections.
pub(crate) trait EarlyHandler: Send + Sync + 'static {
    /// Returns whether a request without a body may run while those before it on its connection are running.
    fn can_start(&self, parts: &Parts) -> bool;

    /// Serves a request without a body. The answer is `None` if the request did not run and must be served in its turn.
    fn run(&self, parts: Parts) -> BoxFuture<'static, Option<Response<Body>>>;

    /// Adds what an answer must say at the time when its turn comes.
    fn prepare_delivery(&self, answer: &mut Response<Body>);
}

/// The time at which a request arrived that waited behind others, as an extension of the request.
#[derive(Copy, Clone, Debug)]
pub(crate) struct Arrival(pub(crate) Instant);

/// The early runs of the process.
pub(crate) struct EarlyRuns {
    handler: Arc<dyn EarlyHandler>,
    permits: Arc<Semaphore>,
    metrics: Arc<Metrics>,
}

impl EarlyRuns {
    pub(crate) fn new(handler: Arc<dyn EarlyHandler>, metrics: Arc<Metrics>) -> EarlyRuns {
        EarlyRuns { handler, permits: Arc::new(Semaphore::new(MAX_PER_PROCESS)), metrics }
    }

    /// Starts a run, unless the process has as many as it may. The guard shows that the connection is not idle, also in the
    /// moment in which the library goes from one request to the next.
    fn start(self: &Arc<Self>, parts: Parts, guard: ActivityGuard) -> Option<EarlyRun> {
        let permit = self.permits.clone().try_acquire_owned().ok()?;
        self.metrics.count_early_run("started");
        let answer = self.handler.run(parts);
        let turn = Arc::new(Notify::new());
        let has_come = turn.clone();
        let task = tokio::spawn(async move {
            let _held = (permit, guard);
            let answer = answer.await?;
            time::timeout(MAX_HELD, has_come.notified()).await.ok()?;
            Some(answer)
        });
        Some(EarlyRun { task, turn, shared: self.clone(), is_used: false })
    }
}

/// A request that runs early. Dropping it cancels the run.
pub(crate) struct EarlyRun {
    task: JoinHandle<Option<Response<Body>>>,
    /// Tells the task that the turn of the request has come.
    turn: Arc<Notify>,
    shared: Arc<EarlyRuns>,
    is_used: bool,
}

impl EarlyRun {
    /// Returns the answer when the turn of the request has come; `None` if the request must be served anew.
    pub(crate) async fn answer(mut self) -> Option<Response<Body>> {
        self.turn.notify_one();
        let answer = (&mut self.task).await.ok().flatten();
        // A large answer may have waited too long for its turn to be sent to its end.
        let mut answer = answer.filter(|answer| !answer.body().is_expired())?;
        self.shared.handler.prepare_delivery(&mut answer);
        self.is_used = true;
        Some(answer)
    }
}

impl Drop for EarlyRun {
    fn drop(&mut self) {
        self.task.abort();
        if !self.is_used {
            self.shared.metrics.count_early_run("discarded");
        }
    }
}

#[cfg(test)]
mod tests;
