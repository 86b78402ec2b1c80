use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use compact_str::CompactString;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

use super::{
    Behaviour, BehaviourError, Config, Distribution, LoadView, Runs, Totals,
    cold_start::{capacity, is_cold},
    history::History,
    run_counter::RunCounter,
};

/// Why the target refuses a request without executing it.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum RefusalReason {
    Shed,
    Drain,
    Cold,
}

/// The state shared by all connections of a target.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) name: CompactString,
    behaviour: watch::Sender<Behaviour>,
    slots: Arc<Semaphore>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    rng: SmallRng,
    /// Permits available in the semaphore or held by requests. After the capacity is reduced, this exceeds
    /// `slots` until enough permits are returned.
    issued: u32,
    /// The capacity as of the last update.
    slots: u32,
    running: u32,
    queued: u32,
    connections: u32,
    /// When the last cold start began.
    cold_start: Instant,
    /// Requests finished since the last cold start began.
    finished: u32,
    failing_until: Option<Instant>,
    history: History,
    run_counter: RunCounter,
    /// Cancelled by a crash, which aborts all connections; replaced on restart.
    abort: CancellationToken,
}

impl Shared {
    pub(super) fn new(config: &Config) -> Shared {
        let shared = Shared {
            name: config.name.clone(),
            behaviour: watch::Sender::new(config.behaviour.clone()),
            slots: Arc::new(Semaphore::new(0)),
            state: Mutex::new(State {
                rng: SmallRng::seed_from_u64(config.seed),
                issued: 0,
                slots: 0,
                running: 0,
                queued: 0,
                connections: 0,
                cold_start: Instant::now(),
                finished: 0,
                failing_until: None,
                history: History::default(),
                run_counter: RunCounter::default(),
                abort: CancellationToken::new(),
            }),
        };
        shared.update(&mut shared.lock());
        shared
    }

    pub(super) fn behaviour(&self) -> Behaviour {
        self.behaviour.borrow().clone()
    }

    /// Applies a change to the behaviour if the resulting behaviour is valid.
    pub(super) fn change(
        &self,
        change: impl FnOnce(&mut Behaviour) -> Result<(), BehaviourError>,
    ) -> Result<(), BehaviourError> {
        let mut result = Ok(());
        self.behaviour.send_if_modified(|b| {
            let mut next = b.clone();
            result = change(&mut next).and_then(|()| next.check());
            let ok = result.is_ok();
            if ok {
                *b = next;
            }
            ok
        });
        self.update(&mut self.lock());
        result
    }

    /// Waits while the target is stalled.
    pub(super) async fn wait_while_stalled(&self) {
        // The wait cannot fail, because `self` owns the sender.
        let _ = self.behaviour.subscribe().wait_for(|b| !b.stall).await;
    }

    pub(super) fn crash(&self) {
        self.lock().abort.cancel();
    }

    /// Restarts the target cold after a crash.
    pub(super) fn restart(&self) {
        self.lock().abort = CancellationToken::new();
        self.enter_cold_start();
    }

    pub(super) fn abort_token(&self) -> CancellationToken {
        self.lock().abort.clone()
    }

    pub(super) fn enter_cold_start(&self) {
        let mut s = self.lock();
        s.cold_start = Instant::now();
        s.finished = 0;
        self.update(&mut s);
    }

    pub(super) fn runs(&self, id: &str) -> Runs {
        self.lock().run_counter.runs(id)
    }

    pub(super) fn totals(&self) -> Totals {
        self.lock().run_counter.totals
    }

    pub(super) fn update_totals(&self, update: impl FnOnce(&mut Totals)) {
        update(&mut self.lock().run_counter.totals);
    }

    pub(super) fn load(&self) -> LoadView {
        self.lagged_load(Duration::ZERO)
    }

    /// Returns the load as it was `lag` ago.
    pub(super) fn lagged_load(&self, lag: Duration) -> LoadView {
        let mut s = self.lock();
        self.update(&mut s);
        s.history.at(Instant::now(), lag)
    }

    /// Registers a new connection, or returns `None` if the limit is reached.
    pub(super) fn open_connection(self: &Arc<Self>) -> Option<ConnectionGuard> {
        let limit = self.behaviour.borrow().connections;
        let mut s = self.lock();
        if s.connections >= limit {
            s.run_counter.totals.connections_refused += 1;
            return None;
        }
        s.connections += 1;
        s.run_counter.totals.connections += 1;
        Some(ConnectionGuard(self.clone()))
    }

    /// Decides at random whether to inject a fault with the given probability.
    pub(super) fn draw_fault(&self, rate: f64) -> bool {
        rate > 0.0 && self.lock().rng.random_bool(rate)
    }

    /// Draws a service time.
    pub(super) fn service_time(&self, b: &Behaviour) -> Duration {
        let mean = b.service_us as f64 * b.slowdown;
        let us = match b.distribution {
            Distribution::Fixed => mean,
            Distribution::Exponential if mean > 0.0 => {
                let u: f64 = self.lock().rng.random();
                -mean * (1.0 - u).ln()
            }
            Distribution::Exponential => 0.0,
        };
        Duration::from_micros(us as u64)
    }

    /// Waits for a slot; slots are assigned in order of arrival.
    ///
    /// # Errors
    ///
    /// Returns an error without waiting if the target refuses the request.
    pub(super) async fn acquire_slot(self: &Arc<Self>) -> Result<Slot, RefusalReason> {
        let mut slot = self.enqueue()?;
        let permit = self.slots.clone().acquire_owned().await;
        let mut s = self.lock();
        s.queued -= 1;
        s.running += 1;
        slot.permit = Some(permit.expect("the semaphore is never closed"));
        self.update(&mut s);
        drop(s);
        Ok(slot)
    }

    fn enqueue(self: &Arc<Self>) -> Result<Slot, RefusalReason> {
        let b = self.behaviour();
        let now = Instant::now();
        let mut s = self.lock();
        let age = now - s.cold_start;
        let load = s.running + s.queued;
        let refused = if b.draining {
            Some(RefusalReason::Drain)
        } else if s.failing_until.is_some_and(|t| now < t) {
            Some(RefusalReason::Cold)
        } else if is_cold(&b, s.finished, age)
            && load >= capacity(&b, s.finished, age).saturating_mul(b.cold_overload)
        {
            s.failing_until = Some(now + Duration::from_millis(b.cold_fail_ms));
            s.cold_start = now;
            s.finished = 0;
            Some(RefusalReason::Cold)
        } else if b.shed_limit > 0 && load >= b.shed_limit {
            Some(RefusalReason::Shed)
        } else {
            None
        };
        if let Some(refused) = refused {
            s.run_counter.totals.refused += 1;
            self.update(&mut s);
            return Err(refused);
        }
        s.queued += 1;
        self.update(&mut s);
        drop(s);
        Ok(Slot { shared: self.clone(), permit: None, finished: false })
    }

    /// Adjusts the semaphore to the current capacity and records the load.
    fn update(&self, s: &mut State) {
        let b = self.behaviour.borrow();
        let now = Instant::now();
        let age = now - s.cold_start;
        let slots = capacity(&b, s.finished, age);
        s.slots = slots;
        if s.issued < slots {
            self.slots.add_permits((slots - s.issued) as usize);
            s.issued = slots;
        } else if s.issued > slots {
            let taken = self.slots.forget_permits((s.issued - slots) as usize);
            s.issued -= u32::try_from(taken).unwrap_or(u32::MAX);
        }
        let view = LoadView {
            running: s.running,
            queued: s.queued,
            slots,
            cold: is_cold(&b, s.finished, age),
            draining: b.draining,
        };
        let retention = Duration::from_millis(b.load_lag_ms.max(b.health_lag_ms));
        s.history.push(now, view, retention);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts an open connection until dropped.
#[derive(Debug)]
pub(super) struct ConnectionGuard(Arc<Shared>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.lock().connections -= 1;
    }
}

/// A place in the queue and then a slot. Whichever it holds is released on drop.
#[derive(Debug)]
pub(super) struct Slot {
    shared: Arc<Shared>,
    permit: Option<OwnedSemaphorePermit>,
    finished: bool,
}

impl Slot {
    /// Records that the run starts.
    pub(super) fn start(&self, id: Option<&CompactString>) {
        self.shared.lock().run_counter.start(id);
    }

    /// Records that the run finished and frees the slot.
    pub(super) fn finish(mut self, id: Option<&CompactString>) {
        self.finished = true;
        let mut s = self.shared.lock();
        s.run_counter.finish(id);
        s.finished = s.finished.saturating_add(1);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut s = self.shared.lock();
        if !self.finished {
            s.run_counter.totals.cancelled += 1;
        }
        match self.permit.take() {
            Some(permit) => {
                s.running -= 1;
                if s.issued > s.slots {
                    // A released permit would go to a queued request and maintain the old capacity.
                    s.issued -= 1;
                    permit.forget();
                }
            }
            None => s.queued -= 1,
        }
        self.shared.update(&mut s);
    }
}
