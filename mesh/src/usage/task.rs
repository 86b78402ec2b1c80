//! Executes the actions of [`Duty`]: timers, calls to the store, questions to members, and sends.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

use crate::{
    driver::Driver,
    metrics::Metrics,
    peers::Peers,
    store::{Freshness, Lease, Store, StoreError, Transaction},
};

use super::{
    ReportSink, SendOutcome, Usage, UsageSettings,
    duty::{Action, Commit, Duty, Event, Note, Now, Renewal},
    gather::{self, Collected},
    records::{PREFIX, Snapshot},
};

/// The interval of the timer while this node holds the duty or tries to take it.
const ACTIVE_TICK: Duration = Duration::from_millis(100);

/// The interval of the timer otherwise, which is also that at which a jump of the time of day is noticed.
const IDLE_TICK: Duration = Duration::from_millis(500);

/// The time after which a call to the store counts as unanswered if its client has not ended it.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The part of the lease after which a renewal counts as failed, so that another one follows before its end.
const RENEW_TIMEOUT_SHARE: f64 = 0.3;

/// The time after which the send of a report counts as unanswered.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// The number of ticks between two looks at the requests that were not counted, each of which is one log line.
const UNCOUNTED_TICKS: u64 = 60;

/// What the task needs of the node.
#[derive(Clone)]
pub(crate) struct UsageContext {
    pub(crate) usage: Usage,
    pub(crate) driver: Arc<Driver>,
    pub(crate) peers: Peers,
    pub(crate) metrics: Arc<Metrics>,
}

/// Counts, and takes and performs the duty, until the task is cancelled.
pub(crate) async fn run<S: Store, K: ReportSink>(
    context: UsageContext,
    store: S,
    sink: K,
    settings: UsageSettings,
) {
    context.usage.enable(settings.window);
    let Some(now) = context.usage.clock().map(|clock| clock.now()) else { return };
    let (events, mut outcomes) = mpsc::unbounded_channel();
    let lease = settings.lease;
    let duty = Arc::new(Mutex::new(Duty::new(settings, rand::random(), now)));
    let runner = Runner { context, store, sink, lease, duty, events };
    let mut ticks = 0;
    loop {
        let pause = if runner.is_idle() { IDLE_TICK } else { ACTIVE_TICK };
        tokio::select! {
            outcome = outcomes.recv() => match outcome {
                Some((term, event)) => runner.apply(term, event),
                None => return,
            },
            () = time::sleep(pause) => {
                ticks += 1;
                runner.tick();
                if ticks % UNCOUNTED_TICKS == 0 {
                    runner.log_uncounted();
                }
            }
        }
    }
}

#[derive(Clone)]
struct Runner<S, K> {
    context: UsageContext,
    store: S,
    sink: K,
    lease: Duration,
    duty: Arc<Mutex<Duty>>,
    events: mpsc::UnboundedSender<(u64, Event)>,
}

impl<S: Store, K: ReportSink> Runner<S, K> {
    fn now(&self) -> Now {
        match self.context.usage.clock() {
            Some(clock) => clock.now(),
            // The clock exists since the start of the task. An end of all leases is the safe reading.
            None => Now {
                clock: Duration::MAX,
                steady: Duration::ZERO,
                unix: Duration::ZERO,
                jitter: 0.0,
            },
        }
    }

    fn lock(&self) -> MutexGuard<'_, Duty> {
        self.duty.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_idle(&self) -> bool {
        self.lock().is_idle()
    }

    fn tick(&self) {
        let (turn, is_stopping) = self
            .context
            .driver
            .inspect(|now, reducer| (reducer.usage_turn(now), reducer.is_stopping()));
        let term = self.lock().term();
        if is_stopping {
            self.apply(term, Event::Stop);
        }
        self.apply(term, Event::Tick(turn));
    }

    fn apply(&self, term: u64, event: Event) {
        let mut actions = Vec::new();
        let (term, is_holder) = {
            let mut duty = self.lock();
            duty.apply(self.now(), term, event, &mut actions);
            (duty.term(), duty.is_holder())
        };
        self.context.metrics.set_usage_holder(is_holder);
        for action in actions {
            self.execute(term, action);
        }
    }

    fn execute(&self, term: u64, action: Action) {
        if let Action::Note(note) = &action {
            return self.log(note);
        }
        let runner = self.clone();
        tokio::spawn(async move {
            if let Some(event) = runner.call(term, action).await {
                // The receiver is dropped only at shutdown.
                let _ = runner.events.send((term, event));
            }
        });
    }

    /// Performs an action and returns its outcome.
    async fn call(&self, term: u64, action: Action) -> Option<Event> {
        let store = &self.store;
        Some(match action {
            Action::Look => {
                let list = store.list(PREFIX, Freshness::AllowStale);
                let list = time::timeout(CALL_TIMEOUT, list).await.ok().and_then(Result::ok);
                let snapshot =
                    list.and_then(|(items, position)| Snapshot::read(&items, position.era).ok());
                let is_free = snapshot.is_some_and(|snapshot| snapshot.holder_revision == 0);
                Event::Looked { is_free }
            }
            Action::Read => Event::Read(self.read().await),
            Action::Grant => {
                let lease = time::timeout(CALL_TIMEOUT, store.grant(self.lease)).await;
                Event::Granted(lease.ok().and_then(Result::ok))
            }
            Action::Take { transaction, era } => Event::Taken(self.commit(transaction, era).await),
            Action::Record { transaction, era } => {
                Event::Recorded(self.commit(transaction, era).await)
            }
            Action::Renew(lease) => Event::Renewed(self.renew(lease).await),
            Action::Release(lease) => {
                // A lease that is not released ends by itself.
                let _ = time::timeout(CALL_TIMEOUT, store.revoke(lease)).await;
                return None;
            }
            Action::Gather { window, until } => self.gather(window, until).await,
            Action::Send { fence, report } => {
                let may_send = || self.lock().may_send(self.now(), term);
                let body = Bytes::copy_from_slice(report.body.as_bytes());
                let sent = self.sink.send(fence, body, may_send);
                let outcome = time::timeout(SEND_TIMEOUT, sent).await;
                let outcome = outcome.unwrap_or(SendOutcome::Unanswered);
                Event::Sent { window: report.window, outcome }
            }
            Action::Note(_) => return None,
        })
    }

    async fn read(&self) -> Option<Snapshot> {
        let list = self.store.list(PREFIX, Freshness::Latest);
        let (items, position) = time::timeout(CALL_TIMEOUT, list).await.ok()?.ok()?;
        let log_unreadable = |key: &_| {
            slog::warn!(self.context.driver.log(), "usage-record-unreadable"; "key" => %key);
        };
        Snapshot::read(&items, position.era).inspect_err(log_unreadable).ok()
    }

    /// Applies a transaction under a lease of this era.
    async fn commit(&self, transaction: Transaction, era: u64) -> Commit {
        let committed = time::timeout(CALL_TIMEOUT, self.store.commit(transaction)).await;
        match committed {
            Ok(Ok(position)) if position.era == era => Commit::Done(position.revision),
            Ok(Ok(_) | Err(StoreError::NoLease)) => Commit::Lost,
            Ok(Err(StoreError::Conflict)) => Commit::Conflict,
            Ok(Err(StoreError::Refused { .. })) => Commit::Refused,
            Ok(Err(
                StoreError::Unanswered { .. }
                | StoreError::Unreadable { .. }
                | StoreError::Compacted,
            ))
            | Err(_) => Commit::Unanswered,
        }
    }

    async fn renew(&self, lease: Lease) -> Renewal {
        let timeout = lease.ttl.mul_f64(RENEW_TIMEOUT_SHARE);
        match time::timeout(timeout, self.store.renew(lease)).await {
            Ok(Ok(era)) if era == lease.era => Renewal::Done,
            Ok(Ok(_) | Err(StoreError::NoLease)) => Renewal::Lost,
            Ok(Err(_)) | Err(_) => Renewal::Failed,
        }
    }

    async fn gather(&self, window: u64, until: Duration) -> Event {
        let UsageContext { usage, driver, peers, .. } = &self.context;
        let deadline = Instant::now() + until.saturating_sub(self.now().unix);
        let collected = gather::gather(usage, driver, peers, window, deadline).await;
        let Collected { counts, missing } = collected;
        if missing > 0 {
            slog::warn!(driver.log(), "usage-incomplete"; "window" => window, "missing" => missing);
        }
        Event::Gathered { window, counts }
    }

    fn log_uncounted(&self) {
        let uncounted = self.context.usage.take_uncounted();
        if uncounted > 0 {
            slog::warn!(self.context.driver.log(), "usage-uncounted"; "requests" => uncounted);
        }
    }

    fn log(&self, note: &Note) {
        let log = self.context.driver.log();
        match note {
            Note::Taken { fence } => {
                slog::info!(log, "usage-duty"; "change" => "taken", "fence" => fence);
            }
            Note::Lost { fence, cause } => {
                slog::warn!(log, "usage-duty"; "change" => "lost", "fence" => fence,
                    "cause" => cause);
            }
            Note::Released { fence } => {
                slog::info!(log, "usage-duty"; "change" => "released", "fence" => fence);
            }
            Note::Reported { window, fence } => {
                slog::info!(log, "usage-report"; "change" => "reported", "window" => window,
                    "fence" => fence);
            }
            Note::Unsent { window, outcome } => {
                slog::warn!(log, "usage-report"; "change" => "unsent", "window" => window,
                    "outcome" => ?outcome);
            }
            Note::Missed { window, count, cause } => {
                slog::warn!(log, "usage-report"; "change" => "missed", "window" => window,
                    "count" => count, "cause" => cause);
            }
        }
        let (kind, count) = match note {
            Note::Taken { .. } => ("taken", 1),
            Note::Lost { .. } => ("lost", 1),
            Note::Released { .. } => ("released", 1),
            Note::Reported { .. } => ("reported", 1),
            Note::Unsent { .. } => ("unsent", 1),
            Note::Missed { count, .. } => ("missed", *count),
        };
        self.context.metrics.count_usage(kind, count);
    }
}
