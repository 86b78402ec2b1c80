//! Admission control at the target's node: the concurrency limit, the queue and cold start.
//!
//! `docs/design.md`, section 5.4, states the rules.

mod limit;

use std::{collections::VecDeque, time::Duration};

use crate::{
    keys::WorkKey,
    load::LoadReport,
    refusal::{Reason, Refusal},
    time::Time,
};

use limit::ConcurrencyLimit;

/// Queue entries per slot. With two per slot, the last entry waits for about two service times.
const QUEUE_PER_SLOT: usize = 2;

/// What happens to a request on its arrival.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// The request runs at the target now.
    Run,
    /// The request is queued; a later [`Dequeued`] decides.
    Queue,
    /// The request is refused.
    Refuse(Refusal),
}

/// What happens to a request that leaves the queue.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Dequeued {
    /// The request runs at the target now.
    Run(WorkKey),
    /// The request is refused.
    Refuse(WorkKey, Refusal),
}

/// How a request ended at the target.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum WorkOutcome {
    /// The target answered.
    Answer,
    /// The target failed the request, shed it or reset its connection.
    Failure,
}

/// A request that runs at the target.
#[derive(Copy, Clone, Debug)]
struct Running {
    work: WorkKey,
    started: Time,
}

/// A request in the queue.
#[derive(Copy, Clone, Debug)]
struct Waiting {
    work: WorkKey,
    deadline: Time,
}

/// Limits the requests that run at one target at a time: admits, queues or refuses each of them.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionController {
    slots: u16,
    limit: ConcurrencyLimit,
    /// At most `slots` entries, so a linear search is cheap.
    running: Vec<Running>,
    queue: VecDeque<Waiting>,
    is_draining: bool,
    /// The time at which a request last ended or, if later, at which the first one started after an idle period.
    last_progress: Time,
}

impl AdmissionController {
    /// Creates the controller of a target with `slots` slots that has just started.
    pub(crate) fn new(slots: u16, now: Time) -> AdmissionController {
        AdmissionController {
            slots,
            limit: ConcurrencyLimit::new(slots, now),
            running: Vec::with_capacity(slots.into()),
            queue: VecDeque::new(),
            is_draining: false,
            last_progress: now,
        }
    }

    /// Decides on a request that arrives.
    pub(crate) fn admit(&mut self, now: Time, work: WorkKey, deadline: Time) -> Decision {
        if self.is_draining {
            return Decision::Refuse(Refusal::not_run(Reason::Draining));
        }
        if deadline <= now {
            return Decision::Refuse(Refusal::not_run(Reason::Deadline));
        }
        if self.running.is_empty() && self.queue.is_empty() {
            // The estimated service time is ignored here. If nothing ran, no answer would ever correct an estimate
            // that is too high.
            self.start(now, work);
            return Decision::Run;
        }
        if now + self.queue_wait(now) + self.service_time(now) > deadline {
            return Decision::Refuse(Refusal::not_run(Reason::Deadline));
        }
        if self.queue.is_empty() && self.has_room() {
            self.start(now, work);
            return Decision::Run;
        }
        if self.queue.len() >= usize::from(self.slots) * QUEUE_PER_SLOT {
            return Decision::Refuse(Refusal::not_run(Reason::Overloaded));
        }
        self.queue.push_back(Waiting { work, deadline });
        Decision::Queue
    }

    /// Records the end of a running request and returns the requests that leave the queue.
    ///
    /// Requests that are not running, such as those from before a crash of the target, are ignored.
    pub(crate) fn finish(
        &mut self,
        now: Time,
        work: WorkKey,
        outcome: WorkOutcome,
    ) -> Vec<Dequeued> {
        let Some(running) = self.remove(work) else { return Vec::new() };
        self.last_progress = now;
        match outcome {
            WorkOutcome::Answer => self.limit.request_answered(now, now.since(running.started)),
            WorkOutcome::Failure => self.limit.request_failed(),
        }
        self.advance(now)
    }

    /// Records that the caller cancelled a request. Its latency is not a sample, since the target did not finish it.
    pub(crate) fn cancel(&mut self, now: Time, work: WorkKey) -> Vec<Dequeued> {
        self.queue.retain(|w| w.work != work);
        self.remove(work);
        self.advance(now)
    }

    /// Refuses queue entries that can no longer meet their deadline, and starts others while the limit allows.
    pub(crate) fn tick(&mut self, now: Time) -> Vec<Dequeued> {
        self.advance(now)
    }

    /// Returns the earliest deadline in the queue, at which [`AdmissionController::tick`] is due.
    #[cfg(test)]
    pub(crate) fn next_tick(&self) -> Option<Time> {
        self.queue.iter().map(|w| w.deadline).min()
    }

    /// Records a crash of the target, which resets all of its connections.
    ///
    /// Drops the running requests and refuses the queued ones as not run. The target is in cold start when it
    /// returns.
    pub(crate) fn target_crashed(&mut self, now: Time) -> Vec<Dequeued> {
        self.running.clear();
        self.last_progress = now;
        self.limit = ConcurrencyLimit::new(self.slots, now);
        let refusal = Refusal::not_run(Reason::Overloaded);
        self.queue.drain(..).map(|w| Dequeued::Refuse(w.work, refusal)).collect()
    }

    /// Puts the target back into cold start, as after a period without work. Running and queued requests stay.
    pub(crate) fn enter_cold_start(&mut self, now: Time) {
        self.limit = ConcurrencyLimit::new(self.slots, now);
    }

    /// Refuses new requests from now on. Requests that were admitted or queued before still run.
    pub(crate) fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Returns whether the controller is draining and has neither running nor queued requests.
    #[cfg(test)]
    pub(crate) fn is_drained(&self) -> bool {
        self.is_draining && self.running.is_empty() && self.queue.is_empty()
    }

    /// Returns the load report that is attached to answers.
    pub(crate) fn report(&self) -> LoadReport {
        LoadReport {
            running: u16::try_from(self.running.len()).unwrap_or(u16::MAX),
            queued: u16::try_from(self.queue.len()).unwrap_or(u16::MAX),
            limit: self.limit.get(),
            latency_us: self.limit.service_us() as u32,
            is_cold: self.limit.is_cold(),
        }
    }

    fn has_room(&self) -> bool {
        self.running.len() < usize::from(self.limit.get())
    }

    fn start(&mut self, now: Time, work: WorkKey) {
        if self.running.is_empty() {
            self.last_progress = now;
        }
        self.running.push(Running { work, started: now });
        self.limit.request_started(self.running.len());
    }

    fn remove(&mut self, work: WorkKey) -> Option<Running> {
        let index = self.running.iter().position(|r| r.work == work)?;
        Some(self.running.swap_remove(index))
    }

    /// Returns the expected time in the queue for a request that arrives now.
    fn queue_wait(&self, now: Time) -> Duration {
        if self.queue.is_empty() && self.has_room() {
            return Duration::ZERO;
        }
        let ahead = self.queue.len() as u32 + 1;
        self.service_time(now) * ahead / u32::from(self.limit.get())
    }

    /// Returns the expected service time.
    ///
    /// While requests run, it is at least the time since the last one ended, so that a stall raises the estimate
    /// before any request ends.
    fn service_time(&self, now: Time) -> Duration {
        let measured = Duration::from_micros(self.limit.service_us() as u64);
        if self.running.is_empty() { measured } else { measured.max(now.since(self.last_progress)) }
    }

    /// Refuses expired queue entries, then starts entries in order while the limit allows. An entry that cannot
    /// end by its deadline is refused, unless nothing else runs.
    fn advance(&mut self, now: Time) -> Vec<Dequeued> {
        let mut dequeued = Vec::new();
        let refusal = Refusal::not_run(Reason::Deadline);
        self.queue.retain(|w| {
            let is_in_time = w.deadline > now;
            if !is_in_time {
                dequeued.push(Dequeued::Refuse(w.work, refusal));
            }
            is_in_time
        });
        while self.has_room()
            && let Some(waiting) = self.queue.pop_front()
        {
            let is_late = now + self.service_time(now) > waiting.deadline;
            if is_late && !self.running.is_empty() {
                dequeued.push(Dequeued::Refuse(waiting.work, refusal));
            } else {
                self.start(now, waiting.work);
                dequeued.push(Dequeued::Run(waiting.work));
            }
        }
        dequeued
    }
}

#[cfg(test)]
mod tests;
