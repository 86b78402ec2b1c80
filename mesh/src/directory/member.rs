//! A member as one node sees it, and its record in the store.

use std::{net::SocketAddr, time::Duration};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{keys::MemberId, replica::Revisions, report::LoadReport, tally::Tally, time::Time};

/// The record of a node in the store, kept under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberRecord {
    /// Identifies this lifetime of the node's process.
    pub(crate) id: MemberId,
    /// The address for requests and status datagrams of other nodes.
    pub(crate) address: SocketAddr,
    /// The data centre of the node.
    pub(crate) centre: CompactString,
    /// The service of the node's target.
    pub(crate) service: CompactString,
}

/// Whether the store holds the record of a member, as far as this node knows.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Registration {
    /// It has held the record since this time or longer.
    Recorded(Time),
    /// It has lacked the record since this time, as far as this node knows.
    Missing(Time),
}

/// Changes of member records in the store, which are made together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RecordBatch {
    /// Records to write.
    pub(crate) puts: Vec<MemberRecord>,
    /// Records to remove.
    pub(crate) removes: Vec<MemberRecord>,
}

impl RecordBatch {
    /// Returns the number of changes.
    pub(crate) fn len(&self) -> usize {
        self.puts.len() + self.removes.len()
    }
}

/// A member as this node sees it.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) record: MemberRecord,
    /// The last load report with the time of its arrival.
    pub(crate) load: Option<(Time, LoadReport)>,
    /// Requests sent since that report and not yet answered.
    pub(crate) sent: u32,
    /// All requests sent and not yet answered.
    pub(crate) in_flight: u32,
    /// The time of the last load report, if there was one.
    pub(crate) last_heard: Option<Time>,
    /// The end of the pause after a failed connection.
    pub(crate) paused_until: Option<Time>,
    pub(super) registration: Registration,
    /// Whether it is stopping, as it says itself, or has ended, because another process has its address.
    pub(crate) is_stopping: bool,
    /// The time of its last request to this node.
    pub(crate) last_request: Option<Time>,
    /// The counts of its target's answers, as the member reports them.
    pub(crate) tally: Tally,
    /// The version of its target's software, or empty if it is unknown.
    pub(crate) version: CompactString,
    /// Whether it reaches the store, as the member reports.
    pub(crate) has_store: bool,
    /// The store revisions up to which the member has data, as it reports.
    pub(crate) revisions: Revisions,
    /// The version of the configuration in force there, or 0 if there is none or it does not state it.
    pub(crate) config_version: u64,
    /// The time before which it is not asked for its data, after it refused a pull or a pull from it failed.
    pub(crate) pull_after: Option<Time>,
}

impl Member {
    /// Returns whether the store holds its record, as far as this node knows.
    pub(crate) fn is_recorded(&self) -> bool {
        matches!(self.registration, Registration::Recorded(_))
    }

    /// Returns the time for which the store has lacked its record, or `None` if it holds the record.
    pub(crate) fn unrecorded_time(&self, now: Time) -> Option<Duration> {
        match self.registration {
            Registration::Recorded(_) => None,
            Registration::Missing(since) => Some(now.since(since)),
        }
    }

    /// Returns when it was last heard or found in the store.
    pub(crate) fn last_sign(&self) -> Option<Time> {
        match self.registration {
            Registration::Recorded(since) => self.last_heard.max(Some(since)),
            Registration::Missing(_) => self.last_heard,
        }
    }

    pub(crate) fn is_paused(&self, now: Time) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns whether the target takes new requests according to its last load report. Without any report the member
    /// counts as closed, because its process may have ended long ago.
    pub(crate) fn is_open(&self) -> bool {
        self.load.is_some_and(|(_, load)| load.is_open)
    }

    /// Records a load report, which includes the requests sent before it.
    pub(crate) fn update_load(&mut self, now: Time, load: LoadReport) {
        self.load = Some((now, load));
        self.sent = 0;
        self.last_heard = Some(now);
    }
}
