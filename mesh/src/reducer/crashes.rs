//! Requests that crash the targets that run them: exchange of suspicions between nodes, and refusals.
//!
//! Every request to a target passes through that target's node, so only the nodes of the same service need to know
//! about a suspicion.

use std::time::Duration;

use crate::{
    admission::WorkOutcome,
    crash_guard::{RequestHash, RequestStanding, Standing, SuspectReport},
    effect::{Effect, Record, WorkStep},
    event::{Failure, WorkEvent},
    keys::WorkKey,
    refusal::Reason,
    time::Time,
};

use super::Reducer;

/// The maximum number of suspicions in one status datagram.
const MAX_SUSPECTS_PER_STATUS: usize = 4;

/// The number of times a suspicion is sent, on successive ticks, since datagrams may be lost.
const SUSPECT_SENDS: u8 = 3;

/// The maximum number of suspicions that wait to be sent again. A crash affects at most as many requests as the target
/// has slots.
const MAX_PENDING_REPORTS: usize = 64;

/// The retry delay for a suspected request that is refused because another suspected request is admitted here.
const SUSPECT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A suspicion that is still to be sent again.
#[derive(Copy, Clone, Debug)]
pub(super) struct PendingReport {
    fingerprint: RequestHash,
    sends_left: u8,
}

impl Reducer {
    /// Returns whether a request is known to crash targets, so that no target may run it.
    pub(super) fn is_blocked(&self, now: Time, fingerprint: RequestHash) -> bool {
        self.crash_guard.standing(now, fingerprint) == Standing::Blocked
    }

    /// Returns the reason and the retry delay if the crash guard forbids a request to run on the local target now.
    ///
    /// Suspected requests run one at a time, so that a second crash has only one suspect.
    pub(super) fn refuse_suspect(
        &self,
        now: Time,
        fingerprint: RequestHash,
    ) -> Option<(Reason, Duration)> {
        let is_suspected =
            |fingerprint| self.crash_guard.standing(now, fingerprint) != Standing::Clear;
        match self.crash_guard.standing(now, fingerprint) {
            Standing::Blocked => Some((Reason::CrashSuspect, Duration::ZERO)),
            Standing::Suspected
                if self.works.values().any(|work| is_suspected(work.fingerprint)) =>
            {
                Some((Reason::Overloaded, SUSPECT_RETRY_DELAY))
            }
            Standing::Suspected | Standing::Clear => None,
        }
    }

    /// Reports lost and completed requests of the local target to the crash guard.
    pub(super) fn update_crash_guard(
        &mut self,
        now: Time,
        key: WorkKey,
        event: &WorkEvent,
        out: &mut Vec<Effect>,
    ) {
        let Some(work) = self.works.get(key).filter(|work| work.started.is_some()) else { return };
        let (fingerprint, was_suspected) = (work.fingerprint, work.is_suspected);
        let suspect = match event {
            WorkEvent::Failed(Failure::Lost) => {
                self.crash_guard.connection_lost(now, fingerprint, was_suspected)
            }
            WorkEvent::Answered { .. } => self.crash_guard.request_completed(now, fingerprint),
            _ => return,
        };
        self.announce_suspects(now, suspect.into_iter().collect(), out);
    }

    /// Records a crash of the local target: it refuses connections, or another process has replaced it.
    pub(super) fn record_target_crash(&mut self, now: Time, out: &mut Vec<Effect>) {
        let suspects = self.crash_guard.target_crashed(now);
        self.announce_suspects(now, suspects, out);
    }

    /// Merges the suspicions that another node has sent.
    pub(super) fn merge_suspects(
        &mut self,
        now: Time,
        reports: &[SuspectReport],
        out: &mut Vec<Effect>,
    ) {
        let mut has_changed = false;
        for report in reports.iter().take(MAX_SUSPECTS_PER_STATUS) {
            if let Some(suspect) = self.crash_guard.merge(now, report) {
                has_changed = true;
                out.push(Effect::Log(Record::Suspect(suspect)));
            }
        }
        if has_changed {
            self.refuse_blocked(now, out);
        }
    }

    /// Returns the suspicions to send to a node of the same service that has just started.
    pub(super) fn suspects_for_new_node(&mut self, now: Time) -> Vec<SuspectReport> {
        self.crash_guard.next_reports(now, MAX_SUSPECTS_PER_STATUS)
    }

    /// Sends recent suspicions again.
    pub(super) fn resend_suspects(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.pending_reports.is_empty() {
            return;
        }
        let fingerprints: Vec<RequestHash> =
            self.pending_reports.iter().map(|report| report.fingerprint).collect();
        self.pending_reports.retain_mut(|report| {
            report.sends_left -= 1;
            report.sends_left > 0
        });
        self.send_suspects(now, &fingerprints, out);
    }

    fn announce_suspects(
        &mut self,
        now: Time,
        suspects: Vec<RequestStanding>,
        out: &mut Vec<Effect>,
    ) {
        if suspects.is_empty() {
            return;
        }
        let fingerprints: Vec<RequestHash> =
            suspects.iter().map(|suspect| suspect.fingerprint).collect();
        out.extend(suspects.into_iter().map(|suspect| Effect::Log(Record::Suspect(suspect))));
        self.send_suspects(now, &fingerprints, out);
        let reports = fingerprints
            .into_iter()
            .map(|fingerprint| PendingReport { fingerprint, sends_left: SUSPECT_SENDS - 1 });
        self.pending_reports.extend(reports);
        let excess = self.pending_reports.len().saturating_sub(MAX_PENDING_REPORTS);
        self.pending_reports.drain(..excess);
        self.refuse_blocked(now, out);
    }

    fn send_suspects(&mut self, now: Time, fingerprints: &[RequestHash], out: &mut Vec<Effect>) {
        let others = self.directory.members_of(&self.local.service);
        let others = others.filter(|(_, member)| member.record.id != self.local.id);
        let to: Vec<_> = others.map(|(_, member)| member.record.address).collect();
        if to.is_empty() {
            return;
        }
        for chunk in fingerprints.chunks(MAX_SUSPECTS_PER_STATUS) {
            let reports = chunk
                .iter()
                .filter_map(|&fingerprint| self.crash_guard.report(now, fingerprint))
                .collect();
            let status = self.node_status(now, reports);
            out.push(Effect::SendStatus { to: to.clone(), status });
        }
    }

    /// Refuses queued requests that the crash guard has blocked.
    fn refuse_blocked(&mut self, now: Time, out: &mut Vec<Effect>) {
        let is_blocked =
            |work: &super::Work| work.started.is_none() && self.is_blocked(now, work.fingerprint);
        let blocked = self.works.iter().filter(|(_, work)| is_blocked(work));
        let blocked: Vec<WorkKey> = blocked.map(|(key, _)| key).collect();
        for key in blocked {
            self.works.remove(key);
            let (reason, wait) = (Reason::CrashSuspect, Duration::ZERO);
            out.push(Effect::Work(key, WorkStep::Refuse { reason, wait }));
            let dequeued = self.admission.finish(now, key, WorkOutcome::Cancelled);
            self.apply_dequeued(now, dequeued, out);
        }
    }
}
