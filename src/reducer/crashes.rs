//! Detection of requests that crash the targets that run them, exchange of suspicions, and refusals.

use std::net::SocketAddr;

use crate::{
    body::BodyEnd,
    crash_guard::{BLOCK_CRASHES, RequestHash, RequestStanding, Standing, SuspectReport},
    effect::{Effect, Record, WorkStep},
    event::{CallEvent, Failure, WorkEvent, WorkHead},
    keys::{CallKey, MemberId, WorkKey},
    pool::Reachability,
    refusal::{Reason, Refusal},
    time::Time,
};

use super::Reducer;

/// The maximum number of members to which a suspicion is reported immediately. The others receive it with membership
/// messages.
const MAX_REPORT_RECIPIENTS: usize = 64;

/// The maximum number of reports that are merged from one message. A crash concerns at most as many requests as the
/// target has slots.
const MAX_MERGED_REPORTS: usize = 64;

/// Crash evidence that the entry node holds about one call.
#[derive(Copy, Clone, Debug)]
pub(super) struct CallCrashes {
    fingerprint: RequestHash,
    /// The number of attempts of this call whose answer was lost.
    lost_attempts: usize,
}

impl CallCrashes {
    pub(super) fn new(fingerprint: RequestHash) -> CallCrashes {
        CallCrashes { fingerprint, lost_attempts: 0 }
    }
}

impl Reducer {
    /// Checks that a request may be sent to another target.
    ///
    /// A call exposes at most [`BLOCK_CRASHES`] targets, including retries and hedges, even if no report of the first
    /// crash has arrived yet.
    pub(super) fn check_crash_risk(&self, now: Time, key: CallKey) -> Result<(), Reason> {
        let Some(call) = self.calls.get(key) else { return Ok(()) };
        let CallCrashes { fingerprint, lost_attempts } = call.crashes;
        let is_risk =
            lost_attempts > 0 && lost_attempts + call.open_attempts.len() >= BLOCK_CRASHES;
        if is_risk || self.crash_guard.standing(now, fingerprint) == Standing::Blocked {
            return Err(Reason::CrashSuspect);
        }
        Ok(())
    }

    /// Counts an attempt of a call whose answer was lost.
    ///
    /// Lost answers do not affect later calls with the same request: the target or its node may have failed for
    /// another reason, and the target's node reports crashes.
    pub(super) fn count_lost_attempt(&mut self, key: CallKey, event: &CallEvent) {
        let is_lost = match event {
            CallEvent::Failed { failure, .. } => *failure == Failure::Lost,
            CallEvent::Refused { refusal, .. } => *refusal == Refusal::unknown(Reason::AnswerLost),
            _ => false,
        };
        if let Some(call) = self.calls.get_mut(key) {
            call.crashes.lost_attempts += usize::from(is_lost);
        }
    }

    /// Returns the refusal of a request that may crash this node's target.
    ///
    /// Suspected requests run one at a time, so that a second crash has only one suspect. While one is in progress,
    /// others are refused as overload, so that they can be sent to another target.
    pub(super) fn suspect_refusal(&self, now: Time, head: &WorkHead) -> Option<Refusal> {
        let standing = |fingerprint| self.crash_guard.standing(now, fingerprint);
        let is_suspected = |work: &super::Work| standing(work.crash_fingerprint) != Standing::Clear;
        match standing(head.crash_fingerprint) {
            Standing::Blocked => Some(Refusal::not_run(Reason::CrashSuspect)),
            Standing::Suspected if self.works.values().any(is_suspected) => {
                Some(Refusal::not_run(Reason::Overloaded))
            }
            Standing::Suspected | Standing::Clear => None,
        }
    }

    /// Passes lost and completed requests to the crash guard of the target's node.
    pub(super) fn track_crash_evidence(
        &mut self,
        now: Time,
        key: WorkKey,
        event: &WorkEvent,
        out: &mut Vec<Effect>,
    ) {
        let Some(work) = self.works.get(key) else { return };
        let (fingerprint, was_suspected) = (work.crash_fingerprint, work.is_suspected);
        let changed = match (event, work.status) {
            (WorkEvent::Failed(Failure::Lost), _)
            | (WorkEvent::Ended(BodyEnd::Incomplete), Some(_)) => {
                self.crash_guard.connection_lost(now, fingerprint, was_suspected)
            }
            (WorkEvent::Ended(BodyEnd::Complete), Some(status)) if status != 503 => {
                self.crash_guard.request_completed(now, fingerprint)
            }
            _ => return,
        };
        self.report_suspects(now, changed.into_iter().collect(), out);
    }

    /// Passes a crash or the recovery of this node's target to the crash guard.
    pub(super) fn track_reachability(
        &mut self,
        now: Time,
        reachability: Reachability,
        out: &mut Vec<Effect>,
    ) {
        match reachability {
            Reachability::Up => self.crash_guard.target_recovered(),
            Reachability::Down => {
                let changed = self.crash_guard.target_crashed(now);
                self.report_suspects(now, changed, out);
            }
        }
    }

    /// Merges crash reports from other members.
    pub(super) fn merge_suspect_reports(
        &mut self,
        now: Time,
        reports: &[SuspectReport],
        out: &mut Vec<Effect>,
    ) {
        let mut has_changed = false;
        for report in reports.iter().take(MAX_MERGED_REPORTS) {
            let changed = self.crash_guard.merge(now, report);
            has_changed |= changed.is_some();
            self.log_suspects(changed, out);
        }
        if has_changed {
            self.refuse_blocked(now, out);
        }
    }

    /// Reports changed suspicions to the other nodes of the service. Only these need them immediately, because every
    /// request to a target passes through its node.
    fn report_suspects(&mut self, now: Time, changed: Vec<RequestStanding>, out: &mut Vec<Effect>) {
        if changed.is_empty() {
            return;
        }
        let local = &self.local.info;
        let service = self.directory.ensure_service(&local.service);
        let others = self.directory.members_of(service).filter(|member| member.info.id != local.id);
        let to: Vec<(MemberId, SocketAddr)> = others
            .map(|member| (member.info.id, member.info.control))
            .take(MAX_REPORT_RECIPIENTS)
            .collect();
        let reports: Vec<_> = changed
            .iter()
            .filter_map(|request| self.crash_guard.report(now, request.fingerprint))
            .collect();
        if !to.is_empty() && !reports.is_empty() {
            out.push(Effect::ReportSuspects { to, reports });
        }
        self.is_payload_stale = true;
        self.log_suspects(changed, out);
    }

    /// Refuses queued requests that are now known to crash targets.
    fn refuse_blocked(&mut self, now: Time, out: &mut Vec<Effect>) {
        let is_blocked = |work: &super::Work| {
            !work.is_running
                && self.crash_guard.standing(now, work.crash_fingerprint) == Standing::Blocked
        };
        let blocked = self.works.iter().filter(|(_, work)| is_blocked(work));
        let blocked: Vec<WorkKey> = blocked.map(|(key, _)| key).collect();
        for key in blocked {
            self.works.remove(key);
            let refusal = Refusal::not_run(Reason::CrashSuspect);
            out.push(Effect::Work(key, WorkStep::Refuse(refusal)));
            let dequeued = self.admission.cancel(now, key);
            self.advance_queue(dequeued, out);
        }
    }

    fn log_suspects(
        &self,
        changed: impl IntoIterator<Item = RequestStanding>,
        out: &mut Vec<Effect>,
    ) {
        out.extend(changed.into_iter().map(|request| Effect::Log(Record::Suspect(request))));
    }
}
