//! Applies events to the reducer and executes the effects.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use poplarbarrow_mesh::mailbox::Mailbox;
use slog::Logger;
use slotmap::SlotMap;
use tokio::{sync::watch, time::Instant};

use crate::{
    effect::{CallStep, Effect, WorkStep},
    event::{CallEvent, Event, WorkEvent},
    identity::{Handover, Identity},
    keys::{CallKey, WorkKey},
    load::LoadReport,
    logging,
    metrics::Metrics,
    reducer::Reducer,
    time::Time,
};

/// The maximum number of concurrent requests, counted separately for callers' requests and requests for the target.
pub(crate) const MAX_REQUESTS: usize = 16_384;

/// Runs the reducer under a lock, and passes its effects to the tasks of requests and to the [`EffectSink`].
pub(crate) struct Driver {
    core: Mutex<Core>,
    started: Instant,
    log: Logger,
    metrics: Metrics,
    exit: watch::Sender<bool>,
    rejected_count: AtomicU64,
}

/// Executes the effects that leave the driver.
pub(crate) trait EffectSink: Send {
    fn execute(&mut self, effect: Effect);
}

struct Core {
    reducer: Reducer,
    sink: Option<Box<dyn EffectSink>>,
    calls: SlotMap<CallKey, Mailbox<CallStep>>,
    works: SlotMap<WorkKey, Mailbox<WorkStep>>,
    effects: Vec<Effect>,
}

impl Driver {
    pub(crate) fn new(reducer: Reducer, log: Logger, metrics: Metrics) -> Driver {
        let core = Core {
            reducer,
            sink: None,
            calls: SlotMap::with_key(),
            works: SlotMap::with_key(),
            effects: Vec::new(),
        };
        Driver {
            core: Mutex::new(core),
            started: Instant::now(),
            log,
            metrics,
            exit: watch::Sender::new(false),
            rejected_count: AtomicU64::new(0),
        }
    }

    /// Sets the sink for effects and starts the reducer.
    pub(crate) fn start(&self, sink: impl EffectSink + 'static) {
        let mut core = self.lock();
        let core = &mut *core;
        core.sink = Some(Box::new(sink));
        core.reducer.start(&mut core.effects);
        self.execute(core);
    }

    /// Applies one event and executes its effects.
    pub(crate) fn dispatch(&self, event: Event) {
        let mut core = self.lock();
        self.apply(&mut core, event);
    }

    /// Registers a caller's request, or returns `None` if [`MAX_REQUESTS`] are registered.
    pub(crate) fn open_call(&self) -> Option<CallKey> {
        let mut core = self.lock();
        if core.calls.len() >= MAX_REQUESTS {
            self.count_rejected();
            return None;
        }
        Some(core.calls.insert(Mailbox::default()))
    }

    /// Registers a request for the target, or returns `None` if [`MAX_REQUESTS`] are registered.
    pub(crate) fn open_work(&self) -> Option<WorkKey> {
        let mut core = self.lock();
        if core.works.len() >= MAX_REQUESTS {
            self.count_rejected();
            return None;
        }
        Some(core.works.insert(Mailbox::default()))
    }

    /// Polls for the next step of a caller's request; yields `None` if it is not registered.
    pub(crate) fn poll_call(&self, key: CallKey, cx: &Context<'_>) -> Poll<Option<CallStep>> {
        self.lock().calls.get_mut(key).map_or(Poll::Ready(None), |steps| steps.poll(cx))
    }

    /// Polls for the next step of a request for the target; yields `None` if it is not registered.
    pub(crate) fn poll_work(&self, key: WorkKey, cx: &Context<'_>) -> Poll<Option<WorkStep>> {
        self.lock().works.get_mut(key).map_or(Poll::Ready(None), |steps| steps.poll(cx))
    }

    /// Unregisters a caller's request and applies its last event.
    pub(crate) fn close_call(&self, key: CallKey, event: CallEvent) {
        let mut core = self.lock();
        core.calls.remove(key);
        self.apply(&mut core, Event::Call(key, event));
    }

    /// Unregisters a request for the target and applies its last event.
    pub(crate) fn close_work(&self, key: WorkKey, event: WorkEvent) {
        let mut core = self.lock();
        core.works.remove(key);
        self.apply(&mut core, Event::Work(key, event));
    }

    /// Returns the load report for an answer, or `None` if the measurement budget is used up.
    pub(crate) fn budgeted_load_report(&self) -> Option<LoadReport> {
        let now = self.now();
        self.lock().reducer.budgeted_load_report(now)
    }

    /// Issues an identity for a caller.
    pub(crate) fn issue_identity(&self) -> Identity {
        self.lock().reducer.issue_identity()
    }

    /// Imports the outcomes of a leaving member and returns whether they were accepted.
    pub(crate) fn import_outcomes(&self, handover: Handover) -> bool {
        let now = self.now();
        self.lock().reducer.import_outcomes(now, handover)
    }

    /// Calls `read` with the state of the reducer.
    pub(crate) fn inspect<T>(&self, read: impl FnOnce(&Reducer) -> T) -> T {
        read(&self.lock().reducer)
    }

    /// Returns a receiver whose value becomes true when the process may exit.
    pub(crate) fn exit(&self) -> watch::Receiver<bool> {
        self.exit.subscribe()
    }

    pub(crate) fn now(&self) -> Time {
        Time::from_micros(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    pub(crate) fn log(&self) -> &Logger {
        &self.log
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    fn apply(&self, core: &mut Core, event: Event) {
        core.reducer.apply(self.now(), event, &mut core.effects);
        self.execute(core);
    }

    fn execute(&self, core: &mut Core) {
        for effect in core.effects.drain(..) {
            match effect {
                Effect::Call(key, step) => {
                    if let Some(steps) = core.calls.get_mut(key) {
                        steps.push(step);
                    }
                }
                Effect::Work(key, step) => {
                    if let Some(steps) = core.works.get_mut(key) {
                        steps.push(step);
                    }
                }
                Effect::Log(record) => {
                    self.metrics.count(&record);
                    logging::write(&self.log, &record);
                }
                Effect::Exit => {
                    self.exit.send_replace(true);
                }
                effect => {
                    if let Some(sink) = &mut core.sink {
                        sink.execute(effect);
                    }
                }
            }
        }
    }

    fn count_rejected(&self) {
        let total = self.rejected_count.fetch_add(1, Ordering::Relaxed) + 1;
        slog::warn!(self.log, "too-many-requests"; "limit" => MAX_REQUESTS, "total" => total);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
