//! Applies events to the reducer and executes the effects that it returns.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
};

use compact_str::CompactString;
use slog::Logger;
use slotmap::SlotMap;
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc, watch},
    time::Instant,
};

use crate::{
    directory::RecordBatch,
    effect::{CallStep, Effect, Record, WorkStep},
    event::{CallEvent, Event, Timer, WorkEvent},
    keys::{CallKey, MemberId, WorkKey},
    logging,
    mailbox::Mailbox,
    metrics::Metrics,
    peers::Peers,
    recall::RecallOrder,
    reducer::Reducer,
    refusal::{Reason, Refusal},
    rollout::RolloutRecord,
    serve::HeadLimits,
    target::{Heartbeat, HeartbeatReply, Lifetime},
    time::Time,
    timer::Timers,
};

/// Limit on concurrent requests, counted separately for calls (entry node) and work (target's node).
pub(crate) const MAX_REQUESTS: usize = 4_096;

/// Connects the reducer to the tasks of the process.
pub(crate) struct Driver {
    core: Mutex<Core>,
    started: Instant,
    log: Logger,
    metrics: Arc<Metrics>,
    exit: watch::Sender<bool>,
    ready: watch::Sender<bool>,
}

/// Channels and handles to the tasks that execute effects other than the steps of requests.
pub(crate) struct EffectSinks {
    pub(crate) status_socket: Arc<UdpSocket>,
    pub(crate) is_watcher: watch::Sender<bool>,
    pub(crate) store_reachable: watch::Sender<bool>,
    pub(crate) store_era: watch::Sender<u64>,
    pub(crate) record_batches: mpsc::UnboundedSender<RecordBatch>,
    pub(crate) pulls: mpsc::UnboundedSender<SocketAddr>,
    pub(crate) recalls: mpsc::UnboundedSender<RecallOrder>,
    pub(crate) rollout_records: mpsc::UnboundedSender<RolloutRecord>,
    pub(crate) health_path: watch::Sender<Option<CompactString>>,
    pub(crate) health_check: Arc<Notify>,
    pub(crate) head_limits: watch::Sender<HeadLimits>,
    pub(crate) peers: Peers,
    pub(crate) timers: Timers<Timer>,
}

struct Core {
    reducer: Reducer,
    sinks: Option<EffectSinks>,
    calls: SlotMap<CallKey, Mailbox<CallStep>>,
    works: SlotMap<WorkKey, Mailbox<WorkStep>>,
    effects: Vec<Effect>,
}

impl Driver {
    pub(crate) fn new(reducer: Reducer, log: Logger, metrics: Arc<Metrics>) -> Driver {
        let core = Core {
            reducer,
            sinks: None,
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
            ready: watch::Sender::new(false),
        }
    }

    /// Attaches the sinks and starts the reducer.
    pub(crate) fn start(&self, sinks: EffectSinks) {
        let mut core = self.lock();
        let core = &mut *core;
        core.sinks = Some(sinks);
        core.reducer.start(&mut core.effects);
        self.execute(core);
    }

    /// Applies one event and executes its effects.
    pub(crate) fn dispatch(&self, event: Event) {
        let mut core = self.lock();
        self.apply(&mut core, event);
    }

    /// Applies a heartbeat of the target.
    pub(crate) fn heartbeat(&self, heartbeat: &Heartbeat) -> HeartbeatReply {
        let now = self.now();
        let mut core = self.lock();
        let core = &mut *core;
        let reply = core.reducer.heartbeat(now, heartbeat, &mut core.effects);
        self.execute(core);
        reply
    }

    /// Applies the target's announcement that it takes no new requests.
    pub(crate) fn target_leaving(&self, lifetime: &Lifetime) -> HeartbeatReply {
        let now = self.now();
        let mut core = self.lock();
        let core = &mut *core;
        let reply = core.reducer.target_leaving(now, lifetime, &mut core.effects);
        self.execute(core);
        reply
    }

    /// Refuses a caller's request that has not been registered.
    pub(crate) fn refuse(&self, id: &str, reason: Reason) -> Refusal {
        let now = self.now();
        let mut core = self.lock();
        let core = &mut *core;
        let refusal = core.reducer.refuse_early(now, id, reason, &mut core.effects);
        self.execute(core);
        refusal
    }

    /// Returns whether a large response to a pull may be sent to a node now.
    pub(crate) fn admit_upload(&self, to: Option<MemberId>) -> bool {
        let now = self.now();
        self.lock().reducer.admit_upload(now, to)
    }

    /// Registers a caller's request, or returns `None` at the limit of [`MAX_REQUESTS`].
    pub(crate) fn open_call(&self) -> Option<CallKey> {
        let mut core = self.lock();
        (core.calls.len() < MAX_REQUESTS).then(|| core.calls.insert(Mailbox::default()))
    }

    /// Registers a request for the target, or returns `None` at the limit of [`MAX_REQUESTS`].
    pub(crate) fn open_work(&self) -> Option<WorkKey> {
        let mut core = self.lock();
        (core.works.len() < MAX_REQUESTS).then(|| core.works.insert(Mailbox::default()))
    }

    /// Polls for the next step of a caller's request; `None` if the request is not registered.
    pub(crate) fn poll_call(&self, key: CallKey, cx: &Context<'_>) -> Poll<Option<CallStep>> {
        self.lock().calls.get_mut(key).map_or(Poll::Ready(None), |mailbox| mailbox.poll(cx))
    }

    /// Polls for the next step of a request for the target; `None` if the request is not registered.
    pub(crate) fn poll_work(&self, key: WorkKey, cx: &Context<'_>) -> Poll<Option<WorkStep>> {
        self.lock().works.get_mut(key).map_or(Poll::Ready(None), |mailbox| mailbox.poll(cx))
    }

    /// Unregisters a caller's request and tells the reducer that it has ended.
    pub(crate) fn close_call(&self, key: CallKey) {
        let mut core = self.lock();
        core.calls.remove(key);
        self.apply(&mut core, Event::Call(key, CallEvent::Ended));
    }

    /// Unregisters a request for the target and applies its final event.
    pub(crate) fn close_work(&self, key: WorkKey, event: WorkEvent) {
        let mut core = self.lock();
        core.works.remove(key);
        self.apply(&mut core, Event::Work(key, event));
    }

    /// Calls `read` with the current time and the reducer while holding the lock.
    pub(crate) fn inspect<T>(&self, read: impl FnOnce(Time, &Reducer) -> T) -> T {
        let now = self.now();
        read(now, &self.lock().reducer)
    }

    /// Returns a receiver that becomes true when the process may exit.
    pub(crate) fn exit(&self) -> watch::Receiver<bool> {
        self.exit.subscribe()
    }

    /// Returns a receiver that tells whether callers should use this node.
    pub(crate) fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    pub(crate) fn now(&self) -> Time {
        Time::from_micros(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    pub(crate) fn log(&self) -> &Logger {
        &self.log
    }

    fn apply(&self, core: &mut Core, event: Event) {
        core.reducer.apply(self.now(), event, &mut core.effects);
        self.execute(core);
    }

    fn execute(&self, core: &mut Core) {
        for effect in core.effects.drain(..) {
            match effect {
                Effect::Call(key, step) => {
                    if let Some(mailbox) = core.calls.get_mut(key) {
                        mailbox.push(step);
                    }
                }
                Effect::Work(key, step) => {
                    if let Some(mailbox) = core.works.get_mut(key) {
                        mailbox.push(step);
                    }
                }
                Effect::Log(record) => self.record(&record),
                Effect::Ready(is_ready) => {
                    self.ready.send_replace(is_ready);
                }
                Effect::Exit => {
                    self.exit.send_replace(true);
                }
                effect => {
                    if let Some(sinks) = &mut core.sinks {
                        sinks.execute(effect);
                    }
                }
            }
        }
    }

    fn record(&self, record: &Record) {
        self.metrics.count(record);
        logging::write(&self.log, record);
    }

    fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EffectSinks {
    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::SendStatus { to, status } => {
                let bytes = status.encode();
                for address in to {
                    // A full send buffer is treated like a datagram lost in transit.
                    let _ = self.status_socket.try_send_to(&bytes, address);
                }
            }
            Effect::WatchStore(is_watcher) => {
                self.is_watcher.send_replace(is_watcher);
            }
            Effect::RestartWatches { is_reachable } => {
                self.store_reachable.send_replace(is_reachable);
            }
            Effect::Pull(address) => {
                let _ = self.pulls.send(address);
            }
            Effect::Recall { member, address, left } => {
                // The receiver is dropped only at shutdown.
                let _ = self.recalls.send(RecallOrder { member, address, left });
            }
            Effect::WriteRecords(batch) => {
                // The receiver is dropped only at shutdown.
                let _ = self.record_batches.send(batch);
            }
            Effect::EndLease { era } => {
                self.store_era.send_replace(era);
            }
            Effect::SaveRollout(record) => {
                // The receiver is dropped only at shutdown.
                let _ = self.rollout_records.send(record);
            }
            Effect::CheckHealth { path } => {
                self.health_path.send_if_modified(|current| {
                    let is_new = current.as_ref() != Some(&path);
                    *current = Some(path);
                    is_new
                });
            }
            Effect::MeasureSlowdown => self.health_check.notify_one(),
            Effect::LimitCallers(limits) => {
                self.head_limits.send_replace(HeadLimits::from(&limits));
            }
            Effect::ClosePeer(address) => self.peers.remove(address),
            Effect::Arm { timer, after } => self.timers.arm(timer, after),
            Effect::Call(..)
            | Effect::Work(..)
            | Effect::Log(_)
            | Effect::Ready(_)
            | Effect::Exit => {}
        }
    }
}
