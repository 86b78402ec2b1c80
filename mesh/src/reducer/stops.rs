//! The graceful stop of this node, and of nodes whose requests wait here for the local target.
//!
//! Within the grace period every request that this node has accepted is answered. A request that waits at another node
//! for a slot of its target would be cut off, although only that node knows that it has not run. So a stopping node
//! recalls its requests: the other nodes refuse those that have not started and would not end in time, and callers get a
//! refusal that is true while they can still be served elsewhere.

use std::time::Duration;

use crate::{
    effect::{Effect, Record},
    event::Timer,
    keys::{CallKey, MemberId, MemberKey, WorkKey},
    refusal::Reason,
    time::Time,
};

use super::Reducer;

/// The minimum time for which callers' requests are accepted after a graceful stop begins. Callers notice that the
/// node is no longer ready only with their next readiness check.
const STOP_ACCEPT_TIME: Duration = Duration::from_millis(2_500);

/// The part of the grace period that is reserved for closing connections.
const CONNECTION_CLOSE_TIME: Duration = Duration::from_millis(300);

/// The time before the forced end at which all requests are recalled that have not started by then. Their refusals must
/// arrive before the end.
const RECALL_TIME: Duration = Duration::from_millis(700);

impl Reducer {
    pub(super) fn stop(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(now);
        self.log_stop("begin", out);
        let after = self.stop_duration();
        out.push(Effect::Arm { timer: Timer::StopDeadline, after });
        let after = after.saturating_sub(RECALL_TIME);
        out.push(Effect::Arm { timer: Timer::StopRecall, after });
        self.recall_all(self.stop_duration(), out);
        self.update_admission(now, out);
        self.send_status_now(now, out);
        self.update_ready(out);
    }

    /// Asks the nodes of all open attempts to refuse what has not started and would not end within `left`.
    pub(super) fn recall_all(&self, left: Duration, out: &mut Vec<Effect>) {
        let open = self.calls.values().flat_map(|call| call.open_members());
        let mut members: Vec<MemberKey> = open.collect();
        members.sort_unstable();
        members.dedup();
        let records = members.into_iter().filter_map(|key| self.directory.get(key));
        for member in records.filter(|member| !self.is_local(member.record.id)) {
            let (member, address) = (member.record.id, member.record.address);
            out.push(Effect::Recall { member, address, left });
        }
    }

    /// Handles a recall of another node, which ends after `left`.
    pub(super) fn recalled(
        &mut self,
        now: Time,
        from: MemberId,
        left: Duration,
        out: &mut Vec<Effect>,
    ) {
        let end = now + left;
        let works: Vec<WorkKey> = self
            .works
            .iter()
            .filter(|(_, work)| work.from == Some(from) && work.started.is_none())
            .map(|(key, _)| key)
            .collect();
        self.limit_unmeasured(from, end);
        let dequeued = self.admission.limit_queued(now, &works, end);
        self.apply_dequeued(now, dequeued, out);
    }

    /// Ends the process once nothing is in progress and callers have had time to notice the stop.
    pub(super) fn exit_if_idle(&mut self, now: Time, out: &mut Vec<Effect>) {
        let is_noticed = |since| now.since(since) >= STOP_ACCEPT_TIME;
        if self.is_idle() && self.stopping_since.is_some_and(is_noticed) {
            self.exit(out);
        }
    }

    /// Answers all calls that are still open and ends the process.
    pub(super) fn end_stop(&mut self, now: Time, out: &mut Vec<Effect>) {
        let open = self.calls.iter().filter(|(_, call)| !call.is_answered());
        let open: Vec<CallKey> = open.map(|(key, _)| key).collect();
        for key in open {
            self.give_up(now, key, Reason::Stopping, out);
        }
        self.exit(out);
    }

    /// Returns the time from the beginning of a graceful stop to its forced end.
    fn stop_duration(&self) -> Duration {
        self.local.limits.grace.saturating_sub(CONNECTION_CLOSE_TIME)
    }

    /// Returns the forced end of a graceful stop, if one has begun.
    pub(super) fn stop_end(&self) -> Option<Time> {
        self.stopping_since.map(|since| since + self.stop_duration())
    }

    /// Returns the rest of the grace period.
    pub(crate) fn stop_time_left(&self, now: Time) -> Duration {
        let since = self.stopping_since.map_or(Duration::ZERO, |since| now.since(since));
        self.local.limits.grace.saturating_sub(since)
    }

    /// Returns whether no request is in progress on this node.
    pub(crate) fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.works.is_empty() && self.unmeasured.is_empty()
    }

    /// Returns whether the forced end of a graceful stop would cut off a request that may take `time`. Such a request is
    /// refused on arrival, since another node can serve it.
    pub(super) fn would_outlast_stop(&self, now: Time, time: Duration) -> bool {
        self.stop_end().is_some_and(|end| now + time > end)
    }

    fn exit(&mut self, out: &mut Vec<Effect>) {
        if !self.has_exited {
            self.has_exited = true;
            self.log_stop("end", out);
            out.push(Effect::Exit);
        }
    }

    fn log_stop(&self, phase: &'static str, out: &mut Vec<Effect>) {
        let (calls, works) = (self.calls.len(), self.works.len());
        out.push(Effect::Log(Record::Stop { phase, calls, works }));
    }
}
