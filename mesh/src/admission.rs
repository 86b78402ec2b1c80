//! Admission control at the target's node: the concurrency limit, the queue and the rate limit of a cold start.
//!
//! A target gets slower when nearly all of its slots are taken, so the concurrency limit leaves some of them free. The
//! queue is ordered by priority, and among requests of teams by their [shares](team_shares); requests of routes that
//! mostly fail come last. A request that cannot finish within its
//! objective is refused early, while its entry node can still send it to another target; the refusal states the
//! expected wait.

mod cold_start;
mod fair_queue;
mod request;
mod team_shares;

use std::time::Duration;

use compact_str::CompactString;

pub(crate) use self::request::{AdmissionRequest, Decision, Dequeued, WorkOutcome};
use self::{cold_start::ColdStartLimiter, fair_queue::Place, team_shares::TeamShares};
use crate::{
    keys::WorkKey,
    refusal::Reason,
    report::LoadReport,
    route_failures::RouteFailures,
    slowdown::{ServiceTimes, Slowdown},
    time::Time,
};

/// The share of its slots that a target may use. It slows down when nearly all of them are taken.
const SLOT_SHARE: f64 = 0.8;

/// The share of the concurrency limit open to late requests, so that they do not delay requests that are in time.
const LATE_SHARE: f64 = 0.5;

/// The weight of a new outcome in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.06;

/// The age above which the slowdown of a target is measured again before a request starts. The slowdown changes several
/// times per second.
const MAX_SLOWDOWN_AGE: Duration = Duration::from_millis(15);

/// The shortest nominal service time of a request for which the slowdown is measured. A check takes about as long as a
/// shorter request.
const MIN_MEASURED_SERVICE: Duration = Duration::from_millis(10);

/// The half-life of the failure rate in seconds. It decays so that a failing target is tried again.
const FAILURE_HALF_LIFE_S: f64 = 2.0;

#[derive(Clone, Debug)]
struct Running {
    work: WorkKey,
    route: CompactString,
    team: Option<CompactString>,
    since: Time,
    slowdown: f64,
}

#[derive(Clone, Debug)]
struct Queued {
    work: WorkKey,
    request: AdmissionRequest,
    /// Whether most requests of its route failed at the time of its arrival.
    mostly_fails: bool,
}

impl Queued {
    /// Returns the sort key of the queue: lateness, whether the route mostly fails, priority, whether it is a new request and
    /// not a nested call, and objective.
    fn order(&self) -> QueueOrder {
        queue_order(&self.request, self.mostly_fails)
    }
}

type QueueOrder = (bool, bool, u8, bool, Time);

fn queue_order(request: &AdmissionRequest, mostly_fails: bool) -> QueueOrder {
    (request.is_late, mostly_fails, request.priority, !request.is_nested, request.objective)
}

/// Admits, queues and refuses requests for one target.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionController {
    slots: u16,
    running: Vec<Running>,
    /// Ordered by the sequence in which the requests will start.
    queue: Vec<Queued>,
    /// Why new requests are refused, if they are.
    closed: Option<Reason>,
    slowdown: Slowdown,
    /// When the target last reported its slowdown, if it ever has.
    slowdown_at: Option<Time>,
    service_times: ServiceTimes,
    route_failures: RouteFailures,
    team_shares: TeamShares,
    failure_rate: f64,
    outcome_at: Time,
    cold_limiter: Option<ColdStartLimiter>,
}

impl AdmissionController {
    pub(crate) fn new() -> AdmissionController {
        AdmissionController {
            slots: 1,
            running: Vec::new(),
            queue: Vec::new(),
            closed: Some(Reason::NoTarget),
            slowdown: Slowdown::new(),
            slowdown_at: None,
            service_times: ServiceTimes::default(),
            route_failures: RouteFailures::default(),
            team_shares: TeamShares::default(),
            failure_rate: 0.0,
            outcome_at: Time::ZERO,
            cold_limiter: None,
        }
    }

    /// Sets the number of slots of the target.
    pub(crate) fn set_slots(&mut self, slots: u16) {
        self.slots = slots.max(1);
    }

    /// Records a slowdown reported by the target, as a percentage of the nominal service time.
    pub(crate) fn update_slowdown(&mut self, now: Time, percent: u32) {
        self.slowdown.update(percent);
        self.slowdown_at = Some(now);
    }

    /// Returns whether the slowdown must be measured again before a decision on a request, which keeps the slowdown of
    /// its start. A target that never reports one is not asked, and a short request is not worth the check.
    pub(crate) fn needs_slowdown(&self, now: Time, request: &AdmissionRequest) -> bool {
        let is_old = self.slowdown_at.is_some_and(|at| now.since(at) > MAX_SLOWDOWN_AGE);
        is_old && self.closed.is_none() && self.nominal_service(request) >= MIN_MEASURED_SERVICE
    }

    /// Accepts new requests, or refuses new and queued ones with a reason. Running requests continue.
    pub(crate) fn set_closed(&mut self, closed: Option<Reason>) -> Vec<Dequeued> {
        self.closed = closed;
        let Some(reason) = closed else { return Vec::new() };
        let refuse =
            |queued: Queued| Dequeued::Refuse { work: queued.work, reason, wait: Duration::ZERO };
        self.queue.drain(..).map(refuse).collect()
    }

    /// Sets the most requests per second that the target may get during its cold start, or `None` if it is warm.
    pub(crate) fn set_cold_rate(&mut self, now: Time, bound: Option<f64>) {
        match (&mut self.cold_limiter, bound) {
            (Some(limiter), Some(bound)) => limiter.set_bound(bound),
            (limiter, Some(bound)) => *limiter = Some(ColdStartLimiter::new(now, bound)),
            (limiter, None) => *limiter = None,
        }
    }

    /// Clears the failure rates, which belong to an earlier lifetime of the target.
    pub(crate) fn clear_failures(&mut self) {
        self.failure_rate = 0.0;
        self.route_failures.clear();
    }

    /// Decides on an arriving request.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        work: WorkKey,
        request: &AdmissionRequest,
    ) -> Decision {
        if let Some(reason) = self.closed {
            return Decision::Refuse { reason, wait: Duration::ZERO };
        }
        if request.deadline <= now {
            return Decision::Refuse { reason: Reason::Deadline, wait: Duration::ZERO };
        }
        let mostly_fails = self.route_failures.mostly_fails(now, &request.route);
        self.team_shares.record_arrival(now, request.team.as_ref());
        let Place { position, may_displace } = self.place(now, request, mostly_fails);
        let wait = self.queue_wait(now, position);
        let expected_end = now + wait + self.service_time(request);
        if request.is_late {
            if self.running.len() >= self.late_limit(request) || !self.queue.is_empty() {
                return Decision::Refuse { reason: Reason::Overloaded, wait };
            }
            if expected_end > request.deadline && !self.running.is_empty() {
                return Decision::Refuse { reason: Reason::Deadline, wait };
            }
        } else if expected_end > request.objective && !self.needs_measurement(now, request) {
            return Decision::Refuse { reason: Reason::Overloaded, wait };
        }
        if position == 0 && self.has_room(now) {
            self.start(now, work, request);
            return Decision::Run;
        }
        if self.queue.len() >= self.max_queue() && !may_displace {
            return Decision::Refuse { reason: Reason::Overloaded, wait };
        }
        self.queue.insert(position, Queued { work, request: request.clone(), mostly_fails });
        Decision::Queue
    }

    /// Records the end of a request and returns the queued requests that may start or are refused.
    pub(crate) fn finish(
        &mut self,
        now: Time,
        work: WorkKey,
        outcome: WorkOutcome,
    ) -> Vec<Dequeued> {
        let Some(index) = self.running.iter().position(|running| running.work == work) else {
            self.queue.retain(|queued| queued.work != work);
            return Vec::new();
        };
        let running = self.running.swap_remove(index);
        self.team_shares.record_end(running.team.as_ref());
        match outcome {
            WorkOutcome::Answer => {
                let took = now.since(running.since);
                self.service_times.record(&running.route, took, running.slowdown);
                self.route_failures.record(now, &running.route, false);
                self.record_outcome(now, 0.0);
            }
            WorkOutcome::Failure => {
                self.route_failures.record(now, &running.route, true);
                self.record_outcome(now, 1.0);
            }
            WorkOutcome::Shed => self.record_outcome(now, 1.0),
            WorkOutcome::Cancelled => {}
        }
        self.advance(now)
    }

    /// Starts queued requests for which there is room, and refuses those that can no longer meet their objective.
    pub(crate) fn advance(&mut self, now: Time) -> Vec<Dequeued> {
        let mut dequeued = Vec::new();
        let mut position = 0;
        self.reorder(now);
        while position < self.queue.len() {
            let request = &self.queue[position].request;
            let wait = self.queue_wait(now, position);
            let latest = if request.is_late { request.deadline } else { request.objective };
            if now + wait + self.service_time(request) > latest {
                let work = self.queue.remove(position).work;
                dequeued.push(Dequeued::Refuse { work, reason: Reason::Overloaded, wait });
            } else if position == 0 && self.has_room(now) {
                let Queued { work, request, .. } = self.queue.remove(0);
                self.start(now, work, &request);
                dequeued.push(Dequeued::Run(work));
                self.reorder(now);
            } else {
                position += 1;
            }
        }
        dequeued.extend(self.refuse_displaced(now));
        dequeued
    }

    /// Requires queued requests to end by `end`, and returns which of them are refused or start.
    pub(crate) fn limit_queued(
        &mut self,
        now: Time,
        works: &[WorkKey],
        end: Time,
    ) -> Vec<Dequeued> {
        let is_limited = |queued: &&mut Queued| works.contains(&queued.work);
        let limited = self.queue.iter_mut().filter(is_limited);
        limited.for_each(|queued| queued.request.limit_time(end));
        self.queue.sort_by_key(Queued::order);
        self.advance(now)
    }

    /// Returns whether requests are queued, so that [`AdmissionController::advance`] must be called again.
    pub(crate) fn has_queue(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Returns whether at least half of the target's slots are taken.
    pub(crate) fn is_busy(&self) -> bool {
        2 * self.running.len() >= usize::from(self.slots)
    }

    /// Returns the number of running and queued requests.
    pub(crate) fn in_progress(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Returns the load report for other nodes.
    pub(crate) fn report(&self, now: Time) -> LoadReport {
        let saturate = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        LoadReport {
            running: saturate(self.running.len()),
            queued: saturate(self.queue.len()),
            limit: saturate(self.limit()),
            slowdown: self.slowdown_percent(),
            service_us: self.service_times.mean().as_micros() as u32,
            failure_permille: (self.failure_rate(now) * 1_000.0) as u16,
            is_open: self.closed.is_none(),
            is_cold: self.cold_limiter.is_some(),
        }
    }

    /// Returns the current slowdown of the target.
    pub(crate) fn slowdown(&self) -> f64 {
        self.slowdown.get()
    }

    /// Returns the nominal service time of a route, if one was measured.
    pub(crate) fn nominal_service_time(&self, route: &str) -> Option<Duration> {
        self.service_times.get(route)
    }

    /// Returns the current slowdown as a percentage of the nominal service time.
    fn slowdown_percent(&self) -> u16 {
        (self.slowdown.get() * 100.0) as u16
    }

    fn limit(&self) -> usize {
        ((f64::from(self.slots) * SLOT_SHARE) as usize).max(1)
    }

    /// Returns the number of running requests below which a late request may start. No capacity is reserved for
    /// requests in time if the target is too slow for any request to be in time.
    fn late_limit(&self, request: &AdmissionRequest) -> usize {
        if self.service_time(request) > request.full_objective {
            return self.limit();
        }
        ((self.limit() as f64 * LATE_SHARE) as usize).max(1)
    }

    /// Returns whether a request that is expected to miss its objective is admitted to measure its service time.
    /// Otherwise an idle target whose measured service time exceeds the objective would never correct the measurement.
    fn needs_measurement(&self, now: Time, request: &AdmissionRequest) -> bool {
        let is_idle =
            self.running.is_empty() && self.queue.is_empty() && self.cold_limiter.is_none();
        is_idle && now + self.nominal_service(request) > request.objective
    }

    fn has_room(&mut self, now: Time) -> bool {
        let has_slot = self.running.len() < self.limit();
        has_slot && self.cold_limiter.as_mut().is_none_or(|limiter| limiter.wait(now).is_zero())
    }

    fn start(&mut self, now: Time, work: WorkKey, request: &AdmissionRequest) {
        if let Some(limiter) = &mut self.cold_limiter {
            limiter.take();
        }
        let slowdown = self.slowdown.get();
        let AdmissionRequest { route, team, .. } = request.clone();
        self.team_shares.record_start(now, team.as_ref());
        self.running.push(Running { work, route, team, since: now, slowdown });
    }

    /// Returns the expected time until the request at a position of the queue starts.
    fn queue_wait(&self, now: Time, position: usize) -> Duration {
        let limit = self.limit();
        let ahead = (self.running.len() + position + 1).saturating_sub(limit);
        let mut wait = self.mean_service_time().mul_f64(ahead as f64 / limit as f64);
        if let Some(mut limiter) = self.cold_limiter {
            let turns = Duration::from_secs_f64(position as f64 / limiter.rate());
            wait = wait.max(limiter.wait(now) + turns);
        }
        wait
    }

    /// Returns the expected service time of a request at the current slowdown.
    fn service_time(&self, request: &AdmissionRequest) -> Duration {
        self.slowdown.service_time(self.nominal_service(request))
    }

    fn nominal_service(&self, request: &AdmissionRequest) -> Duration {
        self.service_times.get(&request.route).unwrap_or(request.nominal_service)
    }

    fn mean_service_time(&self) -> Duration {
        self.slowdown.service_time(self.service_times.mean())
    }

    fn failure_rate(&self, now: Time) -> f64 {
        let age = now.since(self.outcome_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE_S)
    }

    fn record_outcome(&mut self, now: Time, outcome: f64) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (outcome - rate) * FAILURE_WEIGHT;
        self.outcome_at = now;
    }
}

#[cfg(test)]
mod tests;
