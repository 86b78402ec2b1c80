//! Decisions of the target's node about requests for its target.

use crate::{
    effect::{Effect, Record, WorkStep},
    event::{WorkEvent, WorkHead},
    keys::WorkKey,
    load::LoadReport,
    refusal::{Reason, Refusal},
    time::Time,
};

use super::Reducer;

/// A request in progress at the target's node.
#[derive(Debug)]
pub(super) struct Work {
    is_running: bool,
}

impl Reducer {
    pub(super) fn apply_work(
        &mut self,
        _now: Time,
        key: WorkKey,
        event: WorkEvent,
        out: &mut Vec<Effect>,
    ) {
        match event {
            WorkEvent::Arrived(head) => self.work_arrived(key, &head, out),
            WorkEvent::Answered { .. } => {}
            WorkEvent::Failed(_) | WorkEvent::Ended(_) => self.work_ended(key),
        }
    }

    /// Returns the state of the target for the nodes that choose.
    pub(crate) fn load_report(&self) -> LoadReport {
        LoadReport { running: self.running, limit: self.me.slots, ..LoadReport::default() }
    }

    fn work_arrived(&mut self, key: WorkKey, head: &WorkHead, out: &mut Vec<Effect>) {
        let refusal = self.refuse_work(head);
        let decision = if refusal.is_some() { "refuse" } else { "run" };
        out.push(Effect::Log(Record::Admit {
            work: key,
            from: head.from,
            decision,
            running: self.running,
            limit: self.me.slots,
        }));
        if let Some(refusal) = refusal {
            out.push(Effect::Work(key, WorkStep::Refuse(refusal)));
            return;
        }
        self.running += 1;
        self.works.insert(key, Work { is_running: true });
        out.push(Effect::Work(key, WorkStep::Run));
    }

    fn refuse_work(&self, head: &WorkHead) -> Option<Refusal> {
        let reason = if head.service != self.me.info.service {
            Reason::NoTarget
        } else if self.is_stopping {
            Reason::Draining
        } else if head.timeout.is_zero() {
            Reason::Deadline
        } else if self.running >= self.me.slots {
            Reason::Overloaded
        } else {
            return None;
        };
        Some(Refusal::not_run(reason))
    }

    fn work_ended(&mut self, key: WorkKey) {
        let Some(work) = self.works.remove(key) else { return };
        if work.is_running {
            self.running -= 1;
        }
    }
}
