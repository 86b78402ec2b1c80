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
    cold::{capacity, is_cold},
    history::History,
    ledger::Ledger,
};

/// Why the target refuses a request without running it.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum Refused {
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
    /// Permits that the semaphore has handed out or holds; above the capacity until enough are returned.
    issued: u32,
    /// The capacity as of the last update.
    slots: u32,
    running: u32,
    queued: u32,
    connections: u32,
    /// When the last cold start began, and the requests finished since.
    cold_start: Instant,
    done: u32,
    failing_until: Option<Instant>,
    history: History,
    ledger: Ledger,
    /// Cancelled at a crash; replaced when the target comes up again.
    life: CancellationToken,
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
                done: 0,
                failing_until: None,
                history: History::default(),
                ledger: Ledger::default(),
                life: CancellationToken::new(),
            }),
        };
        shared.update(&mut shared.lock());
        shared
    }

    pub(super) fn behaviour(&self) -> Behaviour {
        self.behaviour.borrow().clone()
    }

    /// Applies a change to the behaviour if the result is valid.
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
    pub(super) async fn unstalled(&self) {
        // The sender lives in `self`, so the wait cannot fail.
        let _ = self.behaviour.subscribe().wait_for(|b| !b.stall).await;
    }

    pub(super) fn crash(&self) {
        self.lock().life.cancel();
    }

    /// Starts a new life after a crash.
    pub(super) fn revive(&self) {
        self.lock().life = CancellationToken::new();
        self.chill();
    }

    pub(super) fn life(&self) -> CancellationToken {
        self.lock().life.clone()
    }

    pub(super) fn chill(&self) {
        let mut s = self.lock();
        s.cold_start = Instant::now();
        s.done = 0;
        self.update(&mut s);
    }

    pub(super) fn runs(&self, id: &str) -> Runs {
        self.lock().ledger.runs(id)
    }

    pub(super) fn totals(&self) -> Totals {
        self.lock().ledger.totals
    }

    pub(super) fn count(&self, count: impl FnOnce(&mut Totals)) {
        count(&mut self.lock().ledger.totals);
    }

    pub(super) fn load(&self) -> LoadView {
        self.load_before(Duration::ZERO)
    }

    /// Returns the load as it was `lag` ago.
    pub(super) fn load_before(&self, lag: Duration) -> LoadView {
        let mut s = self.lock();
        self.update(&mut s);
        s.history.at(Instant::now(), lag)
    }

    /// Counts a new connection, unless the limit is reached.
    pub(super) fn open(self: &Arc<Self>) -> Option<Opened> {
        let limit = self.behaviour.borrow().connections;
        let mut s = self.lock();
        if s.connections >= limit {
            s.ledger.totals.connections_refused += 1;
            return None;
        }
        s.connections += 1;
        s.ledger.totals.connections += 1;
        Some(Opened(self.clone()))
    }

    /// Draws whether a fault with this rate hits the current request.
    pub(super) fn hits(&self, rate: f64) -> bool {
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

    /// Waits for a slot in order of arrival.
    ///
    /// # Errors
    ///
    /// Fails at once if the target refuses the request.
    pub(super) async fn slot(self: &Arc<Self>) -> Result<Slot, Refused> {
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

    fn enqueue(self: &Arc<Self>) -> Result<Slot, Refused> {
        let b = self.behaviour();
        let now = Instant::now();
        let mut s = self.lock();
        let age = now - s.cold_start;
        let load = s.running + s.queued;
        let refused = if b.draining {
            Some(Refused::Drain)
        } else if s.failing_until.is_some_and(|t| now < t) {
            Some(Refused::Cold)
        } else if is_cold(&b, s.done, age)
            && load >= capacity(&b, s.done, age).saturating_mul(b.cold_overload)
        {
            s.failing_until = Some(now + Duration::from_millis(b.cold_fail_ms));
            s.cold_start = now;
            s.done = 0;
            Some(Refused::Cold)
        } else if b.shed_limit > 0 && load >= b.shed_limit {
            Some(Refused::Shed)
        } else {
            None
        };
        if let Some(refused) = refused {
            s.ledger.totals.refused += 1;
            self.update(&mut s);
            return Err(refused);
        }
        s.queued += 1;
        self.update(&mut s);
        drop(s);
        Ok(Slot { shared: self.clone(), permit: None, finished: false })
    }

    /// Adapts the semaphore to the capacity and records the load.
    fn update(&self, s: &mut State) {
        let b = self.behaviour.borrow();
        let now = Instant::now();
        let age = now - s.cold_start;
        let slots = capacity(&b, s.done, age);
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
            cold: is_cold(&b, s.done, age),
            draining: b.draining,
        };
        let keep = Duration::from_millis(b.load_lag_ms.max(b.health_lag_ms));
        s.history.push(now, view, keep);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection; closed when dropped.
#[derive(Debug)]
pub(super) struct Opened(Arc<Shared>);

impl Drop for Opened {
    fn drop(&mut self) {
        self.0.lock().connections -= 1;
    }
}

/// A place in the queue and then a slot; both are freed when it is dropped, at whatever point that is.
#[derive(Debug)]
pub(super) struct Slot {
    shared: Arc<Shared>,
    permit: Option<OwnedSemaphorePermit>,
    finished: bool,
}

impl Slot {
    /// Records that the run starts.
    pub(super) fn start(&self, id: Option<&CompactString>) {
        self.shared.lock().ledger.start(id);
    }

    /// Records that the run finished and frees the slot.
    pub(super) fn finish(mut self, id: Option<&CompactString>) {
        self.finished = true;
        let mut s = self.shared.lock();
        s.ledger.finish(id);
        s.done = s.done.saturating_add(1);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut s = self.shared.lock();
        if !self.finished {
            s.ledger.totals.cancelled += 1;
        }
        match self.permit.take() {
            Some(permit) => {
                s.running -= 1;
                if s.issued > s.slots {
                    // A returned permit would go to a waiting request and keep the old capacity.
                    s.issued -= 1;
                    permit.forget();
                }
            }
            None => s.queued -= 1,
        }
        self.shared.update(&mut s);
    }
}
