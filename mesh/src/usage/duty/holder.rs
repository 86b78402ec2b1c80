//! What the holder of the duty does: it keeps its lease, records the report of one window after the other, and sends what
//! is recorded.

use super::Now;
use super::{
    Action, Commit, CompactString, Counts, Duration, GATHER_SHARE, Lease, Note, Report, Reports,
    SETTLE_TIME, SendOutcome, Snapshot, UsageSettings, VecDeque, counter, records,
};

/// The part of a lease after which it is renewed. Two renewals may fail before it ends.
const RENEW_SHARE: f64 = 0.3;

/// The time to the next renewal after one failed.
const RENEW_RETRY: Duration = Duration::from_millis(200);

/// The time to the next attempt to record a report after one failed.
const RECORD_RETRY: Duration = Duration::from_millis(400);

/// The time to the next send after one failed; it doubles up to [`MAX_SEND_BACKOFF`].
const SEND_BACKOFF: Duration = Duration::from_millis(400);

/// The maximum time to the next send after one failed.
const MAX_SEND_BACKOFF: Duration = Duration::from_secs(2);

/// The time after the end of the lease at the latest time that a call may still be on its way from the holder. The margin
/// is this and the slack of the settings.
const CALL_MARGIN: Duration = Duration::from_millis(300);

/// How far the report of the next window is.
#[derive(Debug)]
enum Stage {
    /// The window has not ended, or its counts have not settled.
    Waiting,
    Gathering(u64),
    /// The body is fixed and must be recorded before it is sent.
    Recording(Report, Step),
}

#[derive(Debug)]
enum Step {
    /// The transaction is sent at this time of the monotonic clock.
    At(Duration),
    InProgress,
    /// The transaction may have been applied, so the keys are read again; at this time, or in progress.
    RereadAt(Duration),
    Rereading,
}

/// The state of the holder.
#[derive(Debug)]
pub(super) struct Holding {
    pub(super) lease: Lease,
    pub(super) fence: u64,
    holder_revision: u64,
    reports: Reports,
    reports_revision: u64,
    /// The end of the lease, counted from before its last renewal was sent.
    valid_until: Duration,
    renew_at: Duration,
    /// The time at which the renewal in progress was sent.
    renewing_since: Option<Duration>,
    /// The time from which calls of an earlier holder are over.
    send_from: Duration,
    next_window: u64,
    stage: Stage,
    unsent: VecDeque<Report>,
    send_at: Duration,
    backoff: Duration,
    is_sending: bool,
}

impl Holding {
    /// Begins to hold the duty under a lease that was asked for at `since`.
    pub(super) fn new(
        now: Now,
        since: Duration,
        lease: Lease,
        fence: u64,
        snapshot: Snapshot,
        settings: &UsageSettings,
    ) -> Holding {
        let Snapshot { era, holder_revision, reports, reports_revision, .. } = snapshot;
        let UsageSettings { window, late, .. } = *settings;
        let next_window = match reports.last_window() {
            Some(last) if reports.era == era => {
                let oldest = counter::window_at(now.unix.saturating_sub(late), window);
                oldest.max(last + 1)
            }
            // A report that an earlier holder has sent may be missing here, so only windows count that it cannot have
            // reported.
            _ => counter::window_at(now.unix, window) + 1,
        };
        Holding {
            lease,
            fence,
            holder_revision,
            unsent: reports.due(now.unix, window, late).into(),
            reports,
            reports_revision,
            valid_until: since + lease.ttl.min(settings.lease),
            renew_at: since + settings.lease.mul_f64(RENEW_SHARE),
            renewing_since: None,
            send_from: now.steady + settings.lease,
            next_window,
            stage: Stage::Waiting,
            send_at: Duration::ZERO,
            backoff: SEND_BACKOFF,
            is_sending: false,
        }
    }

    pub(super) fn is_over(&self, now: Now) -> bool {
        now.clock >= self.valid_until
    }

    pub(super) fn may_act(&self, now: Now, settings: &UsageSettings) -> bool {
        let margin = settings.slack + CALL_MARGIN;
        now.clock + margin < self.valid_until && now.steady >= self.send_from
    }

    /// Returns whether the duty can be given up without a call in progress.
    pub(super) fn is_between_reports(&self) -> bool {
        let is_recording = match &self.stage {
            Stage::Waiting | Stage::Gathering(_) => false,
            Stage::Recording(_, Step::At(_)) => false,
            Stage::Recording(_, Step::InProgress | Step::RereadAt(_) | Step::Rereading) => true,
        };
        !is_recording && !self.is_sending
    }

    pub(super) fn tick(
        &mut self,
        now: Now,
        settings: &UsageSettings,
        is_stopping: bool,
        out: &mut Vec<Action>,
    ) {
        if self.renewing_since.is_none() && now.clock >= self.renew_at {
            self.renewing_since = Some(now.clock);
            out.push(Action::Renew(self.lease));
        }
        if !is_stopping {
            self.begin_window(now, settings, out);
        }
        self.record(now, settings, is_stopping, out);
        if !is_stopping {
            self.send(now, settings, out);
        }
    }

    pub(super) fn renewed(&mut self, settings: &UsageSettings) {
        let Some(since) = self.renewing_since.take() else { return };
        let end = since + self.lease.ttl.min(settings.lease);
        self.valid_until = self.valid_until.max(end);
        self.renew_at = since + settings.lease.mul_f64(RENEW_SHARE);
    }

    pub(super) fn renewal_failed(&mut self, now: Now) {
        self.renewing_since = None;
        self.renew_at = now.clock + RENEW_RETRY;
    }

    fn begin_window(&mut self, now: Now, settings: &UsageSettings, out: &mut Vec<Action>) {
        let UsageSettings { window, late, .. } = *settings;
        if !matches!(self.stage, Stage::Waiting) {
            return;
        }
        // Windows whose reports would be too late are skipped together.
        let oldest = counter::window_at(now.unix.saturating_sub(late), window);
        if oldest > self.next_window {
            let count = oldest - self.next_window;
            out.push(Action::Note(Note::Missed {
                window: self.next_window,
                count,
                cause: "no-holder",
            }));
            self.next_window = oldest;
        }
        let end = counter::window_end(self.next_window, window);
        if now.unix >= end + SETTLE_TIME.min(late / 4) {
            let until = end + late.mul_f64(GATHER_SHARE);
            self.stage = Stage::Gathering(self.next_window);
            out.push(Action::Gather { window: self.next_window, until });
        }
    }

    pub(super) fn gathered(&mut self, now: Now, window: u64, counts: &Counts) {
        if matches!(self.stage, Stage::Gathering(gathering) if gathering == window) {
            let report = Report::new(window, counts);
            self.stage = Stage::Recording(report, Step::At(now.steady));
        }
    }

    fn record(
        &mut self,
        now: Now,
        settings: &UsageSettings,
        is_stopping: bool,
        out: &mut Vec<Action>,
    ) {
        let Stage::Recording(report, step) = &mut self.stage else { return };
        let due = counter::window_end(report.window, settings.window) + settings.late;
        match step {
            Step::At(_) if now.unix >= due => {
                let window = report.window;
                out.push(Action::Note(Note::Missed { window, count: 1, cause: "unrecorded" }));
                self.next_window = window + 1;
                self.stage = Stage::Waiting;
            }
            Step::At(at) if now.steady >= *at && !is_stopping => {
                *step = Step::InProgress;
                let reports = self.reports.with(report.clone(), self.lease.era);
                let transaction =
                    records::record(self.holder_revision, self.reports_revision, &reports);
                out.push(Action::Record { transaction, era: self.lease.era });
            }
            Step::RereadAt(at) if now.steady >= *at => {
                *step = Step::Rereading;
                out.push(Action::Read);
            }
            Step::At(_) | Step::RereadAt(_) | Step::InProgress | Step::Rereading => {}
        }
    }

    /// Applies the outcome of a transaction that records a report; an error is the reason for which the duty is lost.
    pub(super) fn recorded(
        &mut self,
        now: Now,
        commit: Commit,
        out: &mut Vec<Action>,
    ) -> Result<(), &'static str> {
        let Stage::Recording(report, step) = &mut self.stage else { return Ok(()) };
        match commit {
            Commit::Done(revision) => {
                let report = report.clone();
                let reports = self.reports.with(report, self.lease.era);
                self.adopt(reports, revision);
            }
            Commit::Lost => return Err("lease-ended"),
            Commit::Refused => *step = Step::At(now.steady + RECORD_RETRY),
            Commit::Conflict | Commit::Unanswered => {
                *step = Step::Rereading;
                out.push(Action::Read);
            }
        }
        Ok(())
    }

    /// Takes the report in progress as recorded.
    fn adopt(&mut self, reports: Reports, revision: u64) {
        (self.reports, self.reports_revision) = (reports, revision);
        if let Stage::Recording(report, _) = std::mem::replace(&mut self.stage, Stage::Waiting) {
            self.next_window = report.window + 1;
            self.unsent.push_back(report);
        }
    }

    /// Applies the keys that were read after a transaction of unknown outcome.
    pub(super) fn reread(
        &mut self,
        now: Now,
        snapshot: Option<Snapshot>,
        _out: &mut Vec<Action>,
    ) -> Result<(), &'static str> {
        let Stage::Recording(report, step) = &mut self.stage else { return Ok(()) };
        let Some(snapshot) = snapshot else {
            *step = Step::RereadAt(now.steady + RECORD_RETRY);
            return Ok(());
        };
        let Snapshot { era, holder_revision, reports, reports_revision, .. } = snapshot;
        if era != self.lease.era || holder_revision != self.holder_revision {
            return Err("held-by-another");
        }
        match reports.body(report.window).map(CompactString::from) {
            Some(body) if body == report.body => self.adopt(reports, reports_revision),
            Some(_) => return Err("recorded-by-another"),
            None => {
                *step = Step::At(now.steady);
                (self.reports, self.reports_revision) = (reports, reports_revision);
            }
        }
        Ok(())
    }

    fn send(&mut self, now: Now, settings: &UsageSettings, out: &mut Vec<Action>) {
        if self.is_sending {
            return;
        }
        let due =
            |report: &Report| counter::window_end(report.window, settings.window) + settings.late;
        while let Some(report) = self.unsent.front().filter(|report| now.unix >= due(report)) {
            let window = report.window;
            out.push(Action::Note(Note::Missed { window, count: 1, cause: "unsent" }));
            self.unsent.pop_front();
        }
        if let Some(report) = self.unsent.front()
            && now.steady >= self.send_at
            && self.may_act(now, settings)
        {
            self.is_sending = true;
            self.send_at = now.steady + settings.call_interval;
            out.push(Action::Send { fence: self.fence, report: report.clone() });
        }
    }

    pub(super) fn sent(
        &mut self,
        now: Now,
        window: u64,
        outcome: SendOutcome,
        settings: &UsageSettings,
        out: &mut Vec<Action>,
    ) {
        self.is_sending = false;
        if self.unsent.front().is_none_or(|report| report.window != window) {
            return;
        }
        match outcome {
            SendOutcome::Accepted => {
                self.unsent.pop_front();
                self.backoff = SEND_BACKOFF;
                out.push(Action::Note(Note::Reported { window, fence: self.fence }));
            }
            SendOutcome::Rejected(_) => {
                self.unsent.pop_front();
                out.push(Action::Note(Note::Unsent { window, outcome }));
                out.push(Action::Note(Note::Missed { window, count: 1, cause: "rejected" }));
            }
            SendOutcome::Busy(_) | SendOutcome::Unanswered | SendOutcome::NotSent => {
                let spread = 0.75 + now.jitter / 2.0;
                let pause = self.backoff.mul_f64(spread).max(settings.call_interval);
                self.send_at = now.steady + pause;
                self.backoff = (self.backoff * 2).min(MAX_SEND_BACKOFF);
                out.push(Action::Note(Note::Unsent { window, outcome }));
            }
        }
    }
}
