//! The duty to report usage: who holds it, for how long, under which fence number, and which report is next.
//!
//! [`Duty`] is a pure state machine: the clocks and the outcomes of all calls come as data, and what is to be done is
//! returned as [`Action`]s. At most one call of each kind is in progress, and each ends with one event.

use std::{collections::VecDeque, time::Duration};

use compact_str::{CompactString, format_compact};

use crate::store::{Lease, Transaction};

use super::{
    SendOutcome, UsageSettings,
    counter::{self, Counts},
    records::{self, HolderRecord, Report, Reports, Snapshot},
};

mod candidate;
mod holder;

pub(crate) use self::candidate::Turn;
use self::{
    candidate::{Attempt, Candidate, Progress},
    holder::Holding,
};

/// The time after the end of a window before its counts are collected. Clocks of machines differ by less, and an attempt
/// that a target rejects is taken back within it.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// The part of the time between the end of a window and the time at which its report is due that the collection may take.
/// The rest is for recording and for repeated sends.
const GATHER_SHARE: f64 = 0.6;

/// The clocks at one moment, and a random number.
#[derive(Copy, Clone, Debug)]
pub(super) struct Now {
    /// The elapsed time including suspension, by which a lease counts.
    pub(super) clock: Duration,
    /// The monotonic time, by which waits count. It may stop during a suspension, which makes a wait longer.
    pub(super) steady: Duration,
    /// The time of day.
    pub(super) unix: Duration,
    /// A random number from 0 to 1.
    pub(super) jitter: f64,
}

/// The outcome of a transaction.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum Commit {
    /// It was applied, at this revision.
    Done(u64),
    /// A condition did not hold.
    Conflict,
    /// The lease has ended, or the store answered in another era.
    Lost,
    /// It was not applied.
    Refused,
    /// It may have been applied, or may still be.
    Unanswered,
}

/// The outcome of a renewal.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum Renewal {
    Done,
    Lost,
    Failed,
}

#[derive(Clone, Debug)]
pub(super) enum Event {
    /// Time has passed.
    Tick(Turn),
    /// The node stops gracefully.
    Stop,
    /// The outcome of [`Action::Look`].
    Looked { is_free: bool },
    /// The outcome of [`Action::Read`].
    Read(Option<Snapshot>),
    /// The outcome of [`Action::Grant`].
    Granted(Option<Lease>),
    /// The outcome of [`Action::Take`].
    Taken(Commit),
    /// The outcome of [`Action::Renew`].
    Renewed(Renewal),
    /// The outcome of [`Action::Gather`]: the counts of all nodes that answered.
    Gathered { window: u64, counts: Counts },
    /// The outcome of [`Action::Record`].
    Recorded(Commit),
    /// The outcome of [`Action::Send`].
    Sent { window: u64, outcome: SendOutcome },
}

#[derive(Clone, Debug, PartialEq)]
pub(super) enum Action {
    /// Find out cheaply whether the duty seems free.
    Look,
    /// Read the latest keys.
    Read,
    Grant,
    Take {
        transaction: Transaction,
        era: u64,
    },
    Renew(Lease),
    /// End a lease without waiting for the outcome.
    Release(Lease),
    /// Collect the counts of a window until this time of day.
    Gather {
        window: u64,
        until: Duration,
    },
    Record {
        transaction: Transaction,
        era: u64,
    },
    /// Send a report, after another check of [`Duty::may_send`] when the connection is open.
    Send {
        fence: u64,
        report: Report,
    },
    Note(Note),
}

/// What is logged and counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Note {
    Taken { fence: u64 },
    Lost { fence: u64, cause: &'static str },
    Released { fence: u64 },
    Reported { window: u64, fence: u64 },
    Unsent { window: u64, outcome: SendOutcome },
    Missed { window: u64, count: u64, cause: &'static str },
}

/// The state machine of one process.
#[derive(Debug)]
pub(super) struct Duty {
    settings: UsageSettings,
    /// Identifies the process.
    source: u64,
    /// Counts the attempts to take the duty. The outcome of a call of an earlier attempt has no effect.
    term: u64,
    phase: Phase,
    /// The highest fence number seen.
    seen_fence: u64,
    is_stopping: bool,
}

#[derive(Debug)]
enum Phase {
    Waiting(Candidate),
    Taking(Attempt),
    Holding(Box<Holding>),
    Stopped,
}

impl Duty {
    pub(super) fn new(settings: UsageSettings, source: u64, now: Now) -> Duty {
        let phase = Phase::Waiting(Candidate::at_start(now));
        Duty { settings, source, term: 0, phase, seen_fence: 0, is_stopping: false }
    }

    /// Returns the number that events must carry to have an effect.
    pub(super) fn term(&self) -> u64 {
        self.term
    }

    pub(super) fn is_holder(&self) -> bool {
        matches!(self.phase, Phase::Holding(_))
    }

    /// Returns whether nothing is due soon.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Waiting(_) | Phase::Stopped)
    }

    /// Returns whether a report may be sent now: the lease has a margin left, and an earlier holder's calls are over.
    pub(super) fn may_send(&self, now: Now, term: u64) -> bool {
        match &self.phase {
            Phase::Holding(holding) => {
                term == self.term && !self.is_stopping && holding.may_act(now, &self.settings)
            }
            Phase::Waiting(_) | Phase::Taking(_) | Phase::Stopped => false,
        }
    }

    /// Applies an event of the attempt `term`.
    pub(super) fn apply(&mut self, now: Now, term: u64, event: Event, out: &mut Vec<Action>) {
        if term != self.term {
            return;
        }
        match event {
            Event::Stop => self.is_stopping = true,
            Event::Tick(turn) => self.tick(now, turn, out),
            Event::Looked { is_free } => {
                if let Phase::Waiting(candidate) = &mut self.phase {
                    candidate.looked(now, is_free);
                }
            }
            Event::Read(snapshot) => self.read(now, snapshot, out),
            Event::Granted(lease) => self.granted(now, lease, out),
            Event::Taken(commit) => self.taken(now, commit, out),
            Event::Renewed(renewal) => {
                let Phase::Holding(holding) = &mut self.phase else { return };
                match renewal {
                    Renewal::Done => holding.renewed(&self.settings),
                    Renewal::Failed => holding.renewal_failed(now),
                    Renewal::Lost => self.lose(now, "lease-ended", out),
                }
            }
            Event::Gathered { window, counts } => {
                let Phase::Holding(holding) = &mut self.phase else { return };
                holding.gathered(now, window, &counts);
            }
            Event::Recorded(commit) => {
                let Phase::Holding(holding) = &mut self.phase else { return };
                if let Err(cause) = holding.recorded(now, commit, out) {
                    self.lose(now, cause, out);
                }
            }
            Event::Sent { window, outcome } => {
                let Phase::Holding(holding) = &mut self.phase else { return };
                holding.sent(now, window, outcome, &self.settings, out);
            }
        }
    }

    fn tick(&mut self, now: Now, turn: Turn, out: &mut Vec<Action>) {
        match &mut self.phase {
            Phase::Waiting(_) if self.is_stopping => self.phase = Phase::Stopped,
            Phase::Waiting(candidate) => match candidate.tick(now, turn) {
                Progress::Wait => {}
                Progress::Look => out.push(Action::Look),
                Progress::Take => {
                    self.term += 1;
                    self.phase = Phase::Taking(Attempt::Reading);
                    out.push(Action::Read);
                }
            },
            Phase::Taking(_) | Phase::Stopped => {}
            Phase::Holding(holding) => {
                if holding.is_over(now) {
                    return self.lose(now, "lease-unrenewed", out);
                }
                if self.is_stopping && holding.is_between_reports() {
                    out.push(Action::Release(holding.lease));
                    out.push(Action::Note(Note::Released { fence: holding.fence }));
                    self.term += 1;
                    self.phase = Phase::Stopped;
                    return;
                }
                holding.tick(now, &self.settings, self.is_stopping, out);
            }
        }
    }

    fn read(&mut self, now: Now, snapshot: Option<Snapshot>, out: &mut Vec<Action>) {
        if let Some(snapshot) = &snapshot {
            self.seen_fence = self.seen_fence.max(snapshot.fence);
        }
        match &mut self.phase {
            Phase::Waiting(_) | Phase::Stopped => {}
            Phase::Taking(Attempt::Reading) => match snapshot {
                Some(snapshot) if snapshot.holder_revision == 0 && !self.is_stopping => {
                    self.phase = Phase::Taking(Attempt::Granting { snapshot, since: now.clock });
                    out.push(Action::Grant);
                }
                Some(_) => self.wait(now, Duration::ZERO),
                None => self.wait(now, self.settings.lease),
            },
            Phase::Taking(Attempt::Confirming { holder, lease, since, .. }) => {
                let (lease, since) = (*lease, *since);
                let confirmed = snapshot.filter(|snapshot| {
                    snapshot.holder.as_ref() == Some(holder) && snapshot.era == lease.era
                });
                match confirmed {
                    Some(snapshot) => {
                        let fence = holder.fence;
                        let holding =
                            Holding::new(now, since, lease, fence, snapshot, &self.settings);
                        self.phase = Phase::Holding(Box::new(holding));
                        out.push(Action::Note(Note::Taken { fence }));
                    }
                    // The transaction may still be applied, until its lease has ended.
                    None => {
                        out.push(Action::Release(lease));
                        self.wait(now, self.settings.lease);
                    }
                }
            }
            Phase::Taking(_) => {}
            Phase::Holding(holding) => {
                if let Err(cause) = holding.reread(now, snapshot, out) {
                    self.lose(now, cause, out);
                }
            }
        }
    }

    fn granted(&mut self, now: Now, lease: Option<Lease>, out: &mut Vec<Action>) {
        let Phase::Taking(Attempt::Granting { snapshot, since }) = &self.phase else { return };
        let Some(lease) = lease.filter(|lease| lease.era == snapshot.era && !self.is_stopping)
        else {
            return self.wait(now, self.settings.lease);
        };
        let holder = HolderRecord {
            node: self.settings.node.clone(),
            attempt: format_compact!("{:016x}-{}", self.source, self.term),
            fence: snapshot.next_fence(self.seen_fence),
        };
        self.seen_fence = holder.fence;
        let transaction = records::take(snapshot, lease, &holder);
        let since = *since;
        self.phase = Phase::Taking(Attempt::Committing { holder, lease, since });
        out.push(Action::Take { transaction, era: lease.era });
    }

    fn taken(&mut self, now: Now, commit: Commit, out: &mut Vec<Action>) {
        let Phase::Taking(Attempt::Committing { holder, lease, since }) = &self.phase else {
            return;
        };
        let (holder, lease, since) = (holder.clone(), *lease, *since);
        match commit {
            Commit::Done(_) | Commit::Unanswered => {
                self.phase = Phase::Taking(Attempt::Confirming { holder, lease, since });
                out.push(Action::Read);
            }
            // The lease ends by itself, without the cost of a call.
            Commit::Conflict | Commit::Lost | Commit::Refused => self.wait(now, Duration::ZERO),
        }
    }

    /// Ends the duty. What is in progress has no effect any more.
    fn lose(&mut self, now: Now, cause: &'static str, out: &mut Vec<Action>) {
        if let Phase::Holding(holding) = &self.phase {
            out.push(Action::Note(Note::Lost { fence: holding.fence, cause }));
        }
        self.wait(now, self.settings.lease);
    }

    fn wait(&mut self, now: Now, pause: Duration) {
        self.term += 1;
        self.phase = Phase::Waiting(Candidate::after(now, pause));
    }
}

#[cfg(test)]
mod tests;
