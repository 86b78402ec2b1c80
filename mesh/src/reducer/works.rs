//! Requests at the node of their target: admission, execution and outcome.

use std::time::Duration;

use compact_str::CompactString;

use crate::{
    admission::{AdmissionRequest, Decision, Dequeued, WorkOutcome},
    crash_guard::{RequestHash, Standing},
    effect::{Effect, Record, WorkStep},
    event::{Failure, Timer, WorkEvent, WorkHead},
    keys::{MemberId, WorkKey},
    refusal::Reason,
    time::Time,
};

use super::Reducer;

/// The interval at which queued requests are checked.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(15);

/// A request that this node admitted for its local target.
pub(super) struct Work {
    /// The node that sent the request, unless this node is its entry node.
    pub(super) from: Option<MemberId>,
    pub(super) id: CompactString,
    route: CompactString,
    arrived: Time,
    pub(super) priority: u8,
    /// The latest time at which the answer counts as in time.
    pub(super) objective: Time,
    pub(super) deadline: Time,
    /// The nominal service time, measured or assumed.
    pub(super) nominal_service: Duration,
    /// The id of the lifetime to which the request was sent.
    lifetime: CompactString,
    /// When the request was sent to the target.
    pub(super) started: Option<Time>,
    /// Identifies the request over repeated sends.
    pub(super) fingerprint: RequestHash,
    /// Whether the request was suspected of a crash when it was admitted.
    pub(super) is_suspected: bool,
    /// Whether at least half of the target's slots were in use when the request started.
    was_busy: bool,
    /// The slowdown of the target when the request started.
    slowdown: f64,
}

impl Reducer {
    pub(super) fn apply_work(
        &mut self,
        now: Time,
        key: WorkKey,
        event: WorkEvent,
        out: &mut Vec<Effect>,
    ) {
        self.update_crash_guard(now, key, &event, out);
        match event {
            WorkEvent::Arrived(head) => self.work_arrived(now, key, &head, out),
            WorkEvent::Answered { status } => {
                let outcome =
                    if status >= 500 { WorkOutcome::Failure } else { WorkOutcome::Answer };
                self.work_ended(now, key, outcome, ("answered", status), out);
            }
            WorkEvent::Shed => self.work_ended(now, key, WorkOutcome::Shed, ("shed", 0), out),
            WorkEvent::Misdirected => {
                // A later lifetime may have become the current one while the request was on its way.
                if let Some(work) = self.works.get(key) {
                    self.target.end_lifetime(now, &work.lifetime);
                }
                self.work_ended(now, key, WorkOutcome::Cancelled, ("misdirected", 0), out);
                self.update_admission(now, out);
            }
            WorkEvent::Failed(failure) => {
                let outcome = match failure {
                    Failure::BodyCut => WorkOutcome::Cancelled,
                    Failure::NotSent | Failure::Lost | Failure::NodeLost => WorkOutcome::Failure,
                };
                self.work_ended(now, key, outcome, (failure.as_str(), 0), out);
            }
            WorkEvent::Cancelled => {
                self.unmeasured.retain(|unmeasured| unmeasured.key != key);
                self.work_ended(now, key, WorkOutcome::Cancelled, ("cancelled", 0), out);
            }
        }
    }

    fn work_arrived(&mut self, now: Time, key: WorkKey, head: &WorkHead, out: &mut Vec<Effect>) {
        if let Some(from) = head.from {
            self.directory.record_request(now, from);
        }
        let request = AdmissionRequest {
            route: head.route.clone(),
            team: head.team.clone(),
            priority: head.priority,
            objective: now + head.objective,
            deadline: now + head.timeout,
            is_late: head.is_late,
            is_nested: head.is_nested,
            full_objective: head.full_objective,
            nominal_service: head.nominal_service,
        };
        if !self.wait_for_slowdown(now, key, head, &request, out) {
            self.decide_work(now, key, head, &request, out);
        }
    }

    /// Admits, queues or refuses a request.
    pub(super) fn decide_work(
        &mut self,
        now: Time,
        key: WorkKey,
        head: &WorkHead,
        request: &AdmissionRequest,
        out: &mut Vec<Effect>,
    ) {
        let decision = self.admit(now, key, head, request);
        let (name, reason) = match decision {
            Decision::Run => ("run", None),
            Decision::Queue => ("queue", None),
            Decision::Refuse { reason, .. } => ("refuse", Some(reason)),
        };
        let load = self.admission.report(now);
        out.push(Effect::Log(Record::Admit {
            id: head.id.clone(),
            route: head.route.clone(),
            decision: name,
            reason,
            running: load.running,
            queued: load.queued,
            limit: load.limit,
            slowdown: load.slowdown,
        }));
        if let Decision::Refuse { reason, wait } = decision {
            out.push(Effect::Work(key, WorkStep::Refuse { reason, wait }));
            return;
        }
        let work = Work {
            from: head.from,
            id: head.id.clone(),
            route: head.route.clone(),
            arrived: now,
            priority: head.priority,
            objective: request.objective,
            deadline: request.deadline,
            nominal_service: self.nominal_service_time(&head.route).unwrap_or(head.nominal_service),
            lifetime: CompactString::default(),
            started: None,
            fingerprint: head.fingerprint,
            is_suspected: self.crash_guard.standing(now, head.fingerprint) != Standing::Clear,
            was_busy: false,
            slowdown: 1.0,
        };
        self.works.insert(key, work);
        match decision {
            Decision::Run => self.run_work(now, key, out),
            Decision::Queue | Decision::Refuse { .. } => self.arm_queue_timer(out),
        }
        self.send_due_statuses(now, out);
    }

    fn admit(
        &mut self,
        now: Time,
        key: WorkKey,
        head: &WorkHead,
        request: &AdmissionRequest,
    ) -> Decision {
        if head.service != self.local.service {
            return Decision::Refuse { reason: Reason::WrongMember, wait: Duration::ZERO };
        }
        if let Some((reason, wait)) = self.refuse_suspect(now, head.fingerprint) {
            return Decision::Refuse { reason, wait };
        }
        self.admission.admit(now, key, request)
    }

    fn run_work(&mut self, now: Time, key: WorkKey, out: &mut Vec<Effect>) {
        let Some(work) = self.works.get_mut(key) else { return };
        let Some(lifetime) = self.target.available() else {
            let dequeued = self.admission.finish(now, key, WorkOutcome::Cancelled);
            self.works.remove(key);
            let (reason, wait) = (Reason::NoTarget, Duration::ZERO);
            out.push(Effect::Work(key, WorkStep::Refuse { reason, wait }));
            return self.apply_dequeued(now, dequeued, out);
        };
        work.lifetime = lifetime.id.clone();
        work.started = Some(now);
        work.was_busy = self.admission.is_busy();
        work.slowdown = self.admission.slowdown();
        self.tally.sent += 1;
        let timeout = work.deadline.since(now);
        out.push(Effect::Work(key, WorkStep::Run { lifetime: lifetime.id.clone(), timeout }));
    }

    fn work_ended(
        &mut self,
        now: Time,
        key: WorkKey,
        outcome: WorkOutcome,
        (name, status): (&'static str, u16),
        out: &mut Vec<Effect>,
    ) {
        let Some(work) = self.works.remove(key) else { return };
        let dequeued = self.admission.finish(now, key, outcome);
        if let Some(started) = work.started {
            let took = now.since(started);
            let nominal = took.div_f64(work.slowdown);
            self.count_outcome(now, outcome, status, nominal, work.was_busy);
            let waited = started.since(work.arrived);
            let Work { id, route, .. } = work;
            out.push(Effect::Log(Record::Ran { id, route, outcome: name, status, took, waited }));
        }
        self.apply_dequeued(now, dequeued, out);
        self.send_due_statuses(now, out);
    }

    /// Adds an outcome to the tally by which versions are compared. `nominal` is the service time divided by the slowdown
    /// at the start. Service times of a cold target are left out, since it is slow whatever its version.
    fn count_outcome(
        &mut self,
        now: Time,
        outcome: WorkOutcome,
        status: u16,
        nominal: Duration,
        was_busy: bool,
    ) {
        match outcome {
            WorkOutcome::Answer => {
                self.tally.good += 1;
                self.tally.loaded_good += u32::from(was_busy);
                if !self.target.is_cold(now) {
                    let nominal_ms = nominal.as_millis() as u32;
                    self.tally.service_ms = self.tally.service_ms.saturating_add(nominal_ms);
                    self.tally.timed += 1;
                }
            }
            // A lost answer says something about the path to the target and nothing about its version.
            WorkOutcome::Failure if status >= 500 => {
                self.tally.bad += 1;
                self.tally.loaded_bad += u32::from(was_busy);
            }
            WorkOutcome::Failure | WorkOutcome::Shed | WorkOutcome::Cancelled => {}
        }
    }

    /// Carries out the admission controller's decisions about queued requests.
    pub(super) fn apply_dequeued(
        &mut self,
        now: Time,
        dequeued: Vec<Dequeued>,
        out: &mut Vec<Effect>,
    ) {
        for decision in dequeued {
            match decision {
                Dequeued::Run(key) => self.run_work(now, key, out),
                Dequeued::Refuse { work, reason, wait } => {
                    self.works.remove(work);
                    out.push(Effect::Work(work, WorkStep::Refuse { reason, wait }));
                }
            }
        }
        self.arm_queue_timer(out);
    }

    fn arm_queue_timer(&mut self, out: &mut Vec<Effect>) {
        if self.admission.has_queue() && !self.has_queue_timer {
            self.has_queue_timer = true;
            out.push(Effect::Arm { timer: Timer::Queue, after: QUEUE_CHECK_INTERVAL });
        }
    }
}
