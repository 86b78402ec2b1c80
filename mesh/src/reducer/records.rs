//! The member records in the store.
//!
//! One node of each data centre, its recorder, writes the records of all members that it hears there, several at once and
//! under one lease, so that the calls to the store do not grow with the starts of processes. The first recorder of all
//! also writes records that have been missing for long. The records serve nodes that start later; members learn of each
//! other by their status datagrams. `docs/platform.md` describes the design.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    directory::{Member, RecordBatch},
    effect::{Effect, Record},
    keys::MemberId,
    time::Time,
    watchers::RecorderScope,
};

use super::Reducer;

/// The most changes of one write. The store accepts 32 in a transaction.
const MAX_CHANGES: usize = 32;

/// The interval of writes, in which further changes are collected.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// The delay after a write that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The time without a sign of a member after which its record is removed.
const MAX_SILENCE: Duration = Duration::from_secs(20);

/// The time after which the first recorder of all writes the record of a member of another data centre, whose recorder has
/// not.
const OTHER_CENTRE_DELAY: Duration = Duration::from_secs(5);

/// The same at the start of a deployment, when the other data centres have no recorders yet.
const DEPLOYMENT_START_DELAY: Duration = Duration::from_millis(500);

/// The time for which a deployment counts as starting. By then its nodes share the duties.
const DEPLOYMENT_START_TIME: Duration = Duration::from_secs(8);

/// The time after which a node writes its own record, because no recorder has: the recorders may not hear it, or be of a
/// build that writes no records of others.
const SELF_RECORD_DELAY: Duration = Duration::from_secs(8);

/// What this node knows and does about the records in the store.
#[derive(Debug, Default)]
pub(super) struct Records {
    /// The members that this node records, if it is a recorder, and since when.
    scope: Option<(RecorderScope, Time)>,
    /// Until when the deployment counts as starting.
    start_until: Time,
    /// Whether a write is in progress.
    is_writing: bool,
    /// The time before which no write begins.
    next_write: Time,
    /// The members whose records were written under the lease of this node.
    written: BTreeSet<MemberId>,
}

impl Reducer {
    pub(super) fn set_recorder(
        &mut self,
        now: Time,
        scope: Option<RecorderScope>,
        out: &mut Vec<Effect>,
    ) {
        let previous = self.records.scope;
        let since = previous.map_or(now, |(_, since)| since);
        self.records.scope = scope.map(|scope| (scope, since));
        if previous.is_some() != scope.is_some() {
            out.push(Effect::Log(Record::Recorder { is_recorder: scope.is_some() }));
        }
    }

    /// Records that this node found no other one in the store.
    pub(super) fn start_deployment(&mut self, now: Time) {
        self.records.start_until = now + DEPLOYMENT_START_TIME;
    }

    /// Returns whether the deployment starts and this node is one of its first.
    pub(super) fn is_deployment_starting(&self, now: Time) -> bool {
        now < self.records.start_until
    }

    /// Returns whether the store holds the record of this node, as far as this node knows.
    pub(super) fn is_recorded(&self) -> bool {
        let member = self.directory.key(self.local.id).and_then(|key| self.directory.get(key));
        member.is_some_and(Member::is_recorded)
    }

    /// Starts a write of the records that are due, unless one is in progress.
    pub(super) fn write_records(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.is_synced || self.records.is_writing || now < self.records.next_write {
            return;
        }
        let batch = self.due_records(now);
        if batch.len() > 0 {
            self.records.is_writing = true;
            out.push(Effect::WriteRecords(batch));
        }
    }

    /// Returns the records to write and to remove.
    fn due_records(&self, now: Time) -> RecordBatch {
        let mut batch = RecordBatch::default();
        if self.stopping_since.is_some() {
            return batch;
        }
        let members = self.directory.iter().map(|(_, member)| member);
        for member in members {
            if batch.len() == MAX_CHANGES {
                break;
            }
            if self.is_record_missing(now, member) {
                batch.puts.push(member.record.clone());
            } else if self.is_record_over(now, member) {
                batch.removes.push(member.record.clone());
            }
        }
        batch
    }

    /// Returns whether this node writes the record of a member now, because the store lacks it.
    fn is_record_missing(&self, now: Time, member: &Member) -> bool {
        let Some(time) = member.unrecorded_time(now) else { return false };
        let is_local = self.is_local(member.record.id);
        let delay = self.record_delay(now, member);
        let delay = if is_local { Some(delay.unwrap_or(SELF_RECORD_DELAY)) } else { delay };
        let is_running = is_local || !(member.is_stopping || self.directory.is_silent(now, member));
        is_running && delay.is_some_and(|delay| time >= delay)
    }

    /// Returns the time for which the record of a member is missing before this node writes it, if it records the member.
    fn record_delay(&self, now: Time, member: &Member) -> Option<Duration> {
        let (scope, _) = self.records.scope?;
        if member.record.centre == self.local.centre {
            return Some(Duration::ZERO);
        }
        let delay = if self.is_deployment_starting(now) {
            DEPLOYMENT_START_DELAY
        } else {
            OTHER_CENTRE_DELAY
        };
        (scope == RecorderScope::All).then_some(delay)
    }

    /// Returns whether this node removes the record of a member, because the member has ended.
    fn is_record_over(&self, now: Time, member: &Member) -> bool {
        let Some((_, recorder_since)) = self.records.scope else { return false };
        let is_own = member.record.centre == self.local.centre && !self.is_local(member.record.id);
        let last_sign = member.last_sign().unwrap_or_default().max(recorder_since);
        let is_over = member.is_stopping || now.since(last_sign) >= MAX_SILENCE;
        is_own && member.is_recorded() && is_over
    }

    pub(super) fn records_written(&mut self, now: Time, batch: &RecordBatch) {
        for record in &batch.puts {
            self.directory.mark_recorded(now, record.id);
            self.records.written.insert(record.id);
        }
        for record in &batch.removes {
            self.directory.mark_removed(now, record.id);
            self.records.written.remove(&record.id);
        }
        self.records.is_writing = false;
        let pause = if batch.len() == MAX_CHANGES { Duration::ZERO } else { WRITE_INTERVAL };
        self.records.next_write = now + pause;
    }

    pub(super) fn records_unwritten(&mut self, now: Time) {
        self.records.is_writing = false;
        self.records.next_write = now + RETRY_INTERVAL;
    }

    /// Treats all records that were written under the lost lease as missing, so that they are written again at once.
    pub(super) fn record_lease_lost(&mut self, now: Time) {
        for id in std::mem::take(&mut self.records.written) {
            self.directory.mark_removed(now, id);
        }
        self.records.next_write = Time::ZERO;
    }
}
