//! Admission and tracking of requests at the target's node.

use crate::{
    admission::{Decision, Dequeued, WorkOutcome},
    body::BodyEnd,
    crash_guard::{RequestHash, Standing},
    document::CentreState,
    effect::{Effect, Record, WorkStep},
    event::{WorkEvent, WorkHead},
    identity::Delivery,
    keys::WorkKey,
    load::{LoadReport, MeasurementKind},
    refusal::{Reason, Refusal},
    time::Time,
};

use super::Reducer;

/// A request in progress at the target's node.
#[derive(Debug)]
pub(super) struct Work {
    /// The status code of the target's answer, once its head has arrived.
    pub(super) status: Option<u16>,
    pub(super) crash_fingerprint: RequestHash,
    /// Whether the request was suspected of crashing targets when it arrived.
    pub(super) is_suspected: bool,
    /// Whether the request has been sent to the target. Otherwise it is queued.
    pub(super) is_running: bool,
}

impl Reducer {
    pub(super) fn apply_work(
        &mut self,
        now: Time,
        key: WorkKey,
        event: WorkEvent,
        out: &mut Vec<Effect>,
    ) {
        self.track_crash_evidence(now, key, &event, out);
        match event {
            WorkEvent::Arrived(head) => self.work_arrived(now, key, &head, out),
            WorkEvent::Answered { status } => {
                if let Some(work) = self.works.get_mut(key) {
                    work.status = Some(status);
                }
            }
            WorkEvent::Failed(failure) => {
                out.push(Effect::Log(Record::TargetFailed {
                    work: key,
                    failure: failure.as_str(),
                }));
                self.work_finished(now, key, WorkOutcome::Failure, out);
            }
            WorkEvent::Ended(end) => self.work_ended(now, key, end, out),
        }
    }

    /// Returns the load report for the answer to a probe, whose cost the probing node has accounted for.
    pub(crate) fn load_report(&self) -> LoadReport {
        self.admission.report()
    }

    /// Returns the load report to attach to an answer, or `None` if the measurement budget is spent.
    pub(crate) fn budgeted_load_report(&mut self, now: Time) -> Option<LoadReport> {
        let report = self.admission.report();
        self.measurement_budget
            .try_spend(now, MeasurementKind::Report, report.cost())
            .then_some(report)
    }

    fn work_arrived(&mut self, now: Time, key: WorkKey, head: &WorkHead, out: &mut Vec<Effect>) {
        // The delivery is recorded before any other decision, so that a duplicate of an attempt that is refused now
        // cannot run later.
        let delivery =
            head.tag.map(|tag| self.duplicate_filter.accept(tag.stamp(), self.local.info.id));
        let refusal = match delivery {
            None | Some(Delivery::First) => {
                self.work_refusal(head).or_else(|| self.suspect_refusal(now, head))
            }
            Some(Delivery::Duplicate) => Some(Refusal::unknown(Reason::InProgress)),
            Some(Delivery::WrongMember | Delivery::BelowFloor) => {
                Some(Refusal::unknown(Reason::AnswerLost))
            }
        };
        let crash_fingerprint = head.crash_fingerprint;
        let is_suspected = self.crash_guard.standing(now, crash_fingerprint) != Standing::Clear;
        let work = |is_running| Work { status: None, crash_fingerprint, is_suspected, is_running };
        let decision = match refusal {
            Some(refusal) => Decision::Refuse(refusal),
            None => self.admission.admit(now, key, now + head.timeout),
        };
        let report = self.admission.report();
        out.push(Effect::Log(Record::Admit {
            work: key,
            from: head.from,
            path: head.path.clone(),
            decision: match decision {
                Decision::Run => "run",
                Decision::Queue => "queue",
                Decision::Refuse(_) => "refuse",
            },
            running: report.running,
            limit: report.limit,
        }));
        match decision {
            Decision::Refuse(refusal) => out.push(Effect::Work(key, WorkStep::Refuse(refusal))),
            Decision::Run => {
                self.works.insert(key, work(true));
                out.push(Effect::Work(key, WorkStep::Run));
            }
            Decision::Queue => {
                self.works.insert(key, work(false));
            }
        }
    }

    /// Returns the refusal of a request that this node cannot serve at present.
    fn work_refusal(&self, head: &WorkHead) -> Option<Refusal> {
        let reason = if head.service != self.local.info.service || !self.is_target_up {
            Reason::NoTarget
        } else if self.is_stopping || self.target_health.is_leaving || self.is_centre_out() {
            Reason::Draining
        } else if head.timeout.is_zero() {
            Reason::Deadline
        } else {
            return None;
        };
        Some(Refusal::not_run(reason))
    }

    /// Returns whether operators have taken this data centre out of service.
    ///
    /// The entry node checks this as well, but it may not have received the document yet.
    pub(super) fn is_centre_out(&self) -> bool {
        let centre = self.document.as_ref().and_then(|d| d.centres.get(&self.local.info.centre));
        centre.is_some_and(|centre| centre.state == CentreState::Out)
    }

    fn work_ended(&mut self, now: Time, key: WorkKey, end: BodyEnd, out: &mut Vec<Effect>) {
        let status = self.works.get(key).and_then(|work| work.status);
        match (end, status) {
            (BodyEnd::Complete, Some(status)) if status != 503 => {
                self.work_finished(now, key, WorkOutcome::Answer, out);
            }
            (BodyEnd::Complete | BodyEnd::Incomplete, _) => {
                self.work_finished(now, key, WorkOutcome::Failure, out);
            }
            (BodyEnd::Dropped, _) => {
                if self.works.remove(key).is_some() {
                    let dequeued = self.admission.cancel(now, key);
                    self.advance_queue(dequeued, out);
                }
            }
        }
    }

    fn work_finished(
        &mut self,
        now: Time,
        key: WorkKey,
        outcome: WorkOutcome,
        out: &mut Vec<Effect>,
    ) {
        if self.works.remove(key).is_some() {
            self.count_target_result(outcome == WorkOutcome::Answer, out);
            let dequeued = self.admission.finish(now, key, outcome);
            self.advance_queue(dequeued, out);
        }
    }

    /// Applies the admission decisions about queued requests.
    pub(super) fn advance_queue(&mut self, dequeued: Vec<Dequeued>, out: &mut Vec<Effect>) {
        for entry in dequeued {
            match entry {
                Dequeued::Run(key) => {
                    if let Some(work) = self.works.get_mut(key) {
                        work.is_running = true;
                    }
                    out.push(Effect::Work(key, WorkStep::Run));
                }
                Dequeued::Refuse(key, refusal) => {
                    self.works.remove(key);
                    out.push(Effect::Work(key, WorkStep::Refuse(refusal)));
                }
            }
        }
    }
}
