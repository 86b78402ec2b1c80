//! A timer service shared by all tasks of a process.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{Instant, sleep_until},
};

/// Number of armed timers above which those that are no longer needed are removed before they expire.
const CLEANUP_THRESHOLD: usize = 4_096;

/// A handle to the timer service; clones share the service.
pub struct Timers<T> {
    shared: Arc<Shared<T>>,
}

struct Shared<T> {
    queue: Mutex<Queue<T>>,
    changed: Notify,
}

struct Queue<T> {
    /// Ordered by expiry time, then by the order in which they were armed.
    timers: BTreeMap<(Instant, u64), T>,
    next_number: u64,
    /// The time at which the service task will wake up.
    wake_at: Option<Instant>,
}

impl<T> Clone for Timers<T> {
    fn clone(&self) -> Timers<T> {
        Timers { shared: self.shared.clone() }
    }
}

impl<T: Copy + PartialEq + Send + 'static> Timers<T> {
    /// Starts the service; `fire` is called with each timer that expires.
    ///
    /// Most timers are deadlines of requests that complete long before. They are not cancelled, because that would
    /// cost more than arming them. Arming a timer wakes the service task only if the timer is the earliest, and timers
    /// for which `is_needed` returns false are dropped without waiting for them.
    pub fn start(
        fire: impl Fn(T) + Send + 'static,
        is_needed: impl Fn(T) -> bool + Send + 'static,
    ) -> Timers<T> {
        let shared = Arc::new(Shared::new());
        let service = shared.clone();
        tokio::spawn(async move {
            let mut cleanup_at = CLEANUP_THRESHOLD;
            loop {
                while let Some(timer) = service.take(|at, _| at <= Instant::now()) {
                    fire(timer);
                }
                while let Some(first) = service.first() {
                    if is_needed(first) || service.take(|_, timer| timer == first).is_none() {
                        break;
                    }
                }
                if service.lock().timers.len() >= cleanup_at {
                    cleanup_at = CLEANUP_THRESHOLD.max(2 * service.remove_stale(&is_needed));
                }
                let changed = service.changed.notified();
                match service.next_wake() {
                    Some(at) => tokio::select! { () = sleep_until(at) => {}, () = changed => {} },
                    None => changed.await,
                }
            }
        });
        Timers { shared }
    }

    /// Arms `timer` to expire after a delay, rounded up to whole milliseconds.
    pub fn arm(&self, timer: T, after: Duration) {
        let at = Instant::now() + after;
        let mut queue = self.shared.lock();
        let number = queue.next_number;
        queue.next_number += 1;
        queue.timers.insert((at, number), timer);
        if queue.wake_at.is_none_or(|wake| at < wake) {
            queue.wake_at = Some(at);
            self.shared.changed.notify_one();
        }
    }
}

impl<T: Copy + PartialEq> Shared<T> {
    fn new() -> Shared<T> {
        let queue = Queue { timers: BTreeMap::new(), next_number: 0, wake_at: None };
        Shared { queue: Mutex::new(queue), changed: Notify::new() }
    }

    /// Removes and returns the earliest timer if `condition` holds for it.
    fn take(&self, condition: impl Fn(Instant, T) -> bool) -> Option<T> {
        let mut queue = self.lock();
        let first = queue.timers.first_entry()?;
        condition(first.key().0, *first.get()).then(|| first.remove())
    }

    fn first(&self) -> Option<T> {
        self.lock().timers.first_key_value().map(|(_, timer)| *timer)
    }

    /// Sets the next wake-up to the expiry of the earliest timer and returns it.
    fn next_wake(&self) -> Option<Instant> {
        let mut queue = self.lock();
        queue.wake_at = queue.timers.first_key_value().map(|((at, _), _)| *at);
        queue.wake_at
    }

    /// Removes the timers for which `is_needed` returns false, and returns the number of remaining ones.
    ///
    /// The queue is not locked while `is_needed` is called: `is_needed` takes the lock of the reducer, under which
    /// timers are armed, so holding both locks could cause a deadlock.
    fn remove_stale(&self, is_needed: &impl Fn(T) -> bool) -> usize {
        let mut timers = std::mem::take(&mut self.lock().timers);
        timers.retain(|_, timer| is_needed(*timer));
        let mut queue = self.lock();
        queue.timers.append(&mut timers);
        queue.timers.len()
    }

    fn lock(&self) -> MutexGuard<'_, Queue<T>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
