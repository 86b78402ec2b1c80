//! The state of the in-memory platform. The current time is an argument.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use compact_str::CompactString;
use tokio::time::Instant;

use super::{Faults, Stats};
use crate::platform::{
    ConflictSnafu, Entry, Expect, LeaseId, LeaseLostSnafu, Listing, MAX_ENTRIES, MAX_RESULT_BYTES,
    MAX_VALUE_BYTES, Result, TooLargeSnafu, Watched,
};

/// The maximum number of deletions recorded for watches. A watch from before the oldest recorded one returns a
/// snapshot.
pub const MAX_DELETIONS: usize = 16_384;

#[derive(Default)]
pub(super) struct State {
    revision: u64,
    pub(super) entries: BTreeMap<CompactString, Entry>,
    /// Deleted keys by the revision of their deletion.
    deletions: BTreeMap<u64, CompactString>,
    /// The highest revision of a deletion that is no longer recorded.
    floor: u64,
    leases: BTreeMap<LeaseId, Lease>,
    pub(super) expiries: BTreeSet<(Instant, LeaseId)>,
    last_lease: u64,
    pub(super) faults: Faults,
    pub(super) stats: Stats,
}

struct Lease {
    ttl: Duration,
    expires: Instant,
    keys: BTreeSet<CompactString>,
}

impl State {
    fn check(&self, key: &str, expect: Expect) -> Result<()> {
        let current = self.entries.get(key).map(|e| e.revision);
        let met = match expect {
            Expect::Any => true,
            Expect::Absent => current.is_none(),
            Expect::Revision(r) => current == Some(r),
        };
        if met { Ok(()) } else { ConflictSnafu { current }.fail() }
    }

    pub(super) fn put(
        &mut self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<u64> {
        if value.len() > MAX_VALUE_BYTES {
            return TooLargeSnafu { size: value.len() }.fail();
        }
        if let Some(id) = lease
            && !self.leases.contains_key(&id)
        {
            return LeaseLostSnafu.fail();
        }
        self.check(key, expect)?;
        self.remove(key);
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.insert(key.into());
        }
        self.revision += 1;
        self.entries.insert(key.into(), Entry { value, revision: self.revision, lease });
        Ok(self.revision)
    }

    pub(super) fn delete(&mut self, key: &str, expect: Expect) -> Result<u64> {
        self.check(key, expect)?;
        if self.remove(key) {
            self.revision += 1;
            self.deletions.insert(self.revision, key.into());
            if self.deletions.len() > MAX_DELETIONS
                && let Some((revision, _)) = self.deletions.pop_first()
            {
                self.floor = revision;
            }
        }
        Ok(self.revision)
    }

    /// Removes an entry and its link to a lease, without a new revision.
    fn remove(&mut self, key: &str) -> bool {
        let Some(entry) = self.entries.remove(key) else { return false };
        if let Some(lease) = entry.lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.remove(key);
        }
        true
    }

    pub(super) fn list(&self, prefix: &str) -> Listing {
        let mut listing = Listing { revision: self.revision, ..Listing::default() };
        let mut bytes = 0;
        for (key, entry) in self.entries_with_prefix(prefix) {
            bytes += entry.value.len();
            if is_full(listing.entries.len(), bytes) {
                listing.more = true;
                break;
            }
            listing.entries.push((key.clone(), entry.clone()));
        }
        listing
    }

    pub(super) fn changes(&self, prefix: &str, after: u64) -> Watched {
        // A revision above the current one belongs to a different history of the platform,
        // such as before a reset.
        let snapshot = after < self.floor || after > self.revision;
        let from = if snapshot { 0 } else { after };
        let mut changes: BTreeMap<u64, (CompactString, Option<Entry>)> = self
            .entries_with_prefix(prefix)
            .filter(|(_, e)| e.revision > from)
            .map(|(k, e)| (e.revision, (k.clone(), Some(e.clone()))))
            .collect();
        if !snapshot {
            for (revision, key) in self.deletions.range(after + 1..) {
                if key.starts_with(prefix) && !self.entries.contains_key(key) {
                    changes.insert(*revision, (key.clone(), None));
                }
            }
        }
        let mut watched = Watched { revision: self.revision, changes: Vec::new(), snapshot };
        let mut bytes = 0;
        let mut last = after;
        for (revision, change) in changes {
            bytes += change.1.as_ref().map_or(0, |e| e.value.len());
            if is_full(watched.changes.len(), bytes) {
                watched.revision = last;
                break;
            }
            last = revision;
            watched.changes.push(change);
        }
        watched
    }

    fn entries_with_prefix(&self, prefix: &str) -> impl Iterator<Item = (&CompactString, &Entry)> {
        self.entries
            .range(CompactString::new(prefix)..)
            .take_while(move |(k, _)| k.starts_with(prefix))
    }

    pub(super) fn lease(&mut self, now: Instant, ttl: Duration) -> LeaseId {
        self.last_lease += 1;
        let id = LeaseId(self.last_lease);
        let expires = now + ttl;
        self.leases.insert(id, Lease { ttl, expires, keys: BTreeSet::new() });
        self.expiries.insert((expires, id));
        id
    }

    pub(super) fn renew(&mut self, now: Instant, id: LeaseId) -> Result<()> {
        let Some(lease) = self.leases.get_mut(&id) else { return LeaseLostSnafu.fail() };
        self.expiries.remove(&(lease.expires, id));
        lease.expires = now + lease.ttl;
        self.expiries.insert((lease.expires, id));
        Ok(())
    }

    pub(super) fn end(&mut self, id: LeaseId) {
        let Some(lease) = self.leases.remove(&id) else { return };
        self.expiries.remove(&(lease.expires, id));
        for key in lease.keys {
            // An unconditional deletion has no failure.
            let _ = self.delete(&key, Expect::Any);
        }
    }

    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let mut ended = false;
        while let Some(&(at, id)) = self.expiries.first()
            && at <= now
        {
            self.end(id);
            ended = true;
        }
        ended
    }
}

fn is_full(entries: usize, bytes: usize) -> bool {
    entries > 0 && (entries >= MAX_ENTRIES || bytes > MAX_RESULT_BYTES)
}
