//! A stand-in of the store in memory.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;

use super::world::settings;
use crate::{
    store::{Item, Lease, Transaction},
    usage::{
        duty::{Action, Commit, Event, Renewal},
        records::Snapshot,
    },
};

#[derive(Clone, Default)]
pub(super) struct StoreState {
    pub(super) era: u64,
    pub(super) revision: u64,
    pub(super) items: BTreeMap<CompactString, (Bytes, u64, u64)>,
    pub(super) leases: BTreeMap<u64, Duration>,
    pub(super) next_lease: u64,
}

impl StoreState {
    pub(super) fn expire(&mut self, now: Duration) {
        self.leases.retain(|_, expiry| *expiry > now);
        let leases = &self.leases;
        self.items.retain(|_, (_, _, lease)| *lease == 0 || leases.contains_key(lease));
    }

    pub(super) fn commit(&mut self, transaction: &Transaction, era: u64) -> Commit {
        let revision_of = |key| self.items.get(key).map_or(0, |(_, revision, _)| *revision);
        if transaction.expected.iter().any(|(key, revision)| revision_of(key) != *revision) {
            return Commit::Conflict;
        }
        for (key, value, lease) in &transaction.writes {
            let lease = lease.map_or(0, |lease| lease.id);
            if lease != 0 && !self.leases.contains_key(&lease) {
                return Commit::Lost;
            }
            self.revision += 1;
            self.items.insert(key.clone(), (value.clone(), self.revision, lease));
        }
        if self.era == era { Commit::Done(self.revision) } else { Commit::Lost }
    }

    pub(super) fn snapshot(&self) -> Snapshot {
        let item = |(key, (value, revision, _)): (&CompactString, &(Bytes, u64, u64))| Item {
            key: key.clone(),
            value: value.clone(),
            revision: *revision,
        };
        let items: Vec<Item> = self.items.iter().map(item).collect();
        Snapshot::read(&items, self.era).expect("readable keys")
    }

    /// Carries a call out and returns its outcome, if it has one.
    pub(super) fn call(&mut self, now: Duration, call: &Action) -> Option<Event> {
        self.expire(now);
        let store = self;
        Some(match call {
            Action::Look => Event::Looked { is_free: store.snapshot().holder_revision == 0 },
            Action::Read => Event::Read(Some(store.snapshot())),
            Action::Grant => {
                store.next_lease += 1;
                let ttl = settings().lease;
                store.leases.insert(store.next_lease, now + ttl);
                Event::Granted(Some(Lease { id: store.next_lease, ttl, era: store.era }))
            }
            Action::Take { transaction, era } => Event::Taken(store.commit(transaction, *era)),
            Action::Record { transaction, era } => Event::Recorded(store.commit(transaction, *era)),
            Action::Renew(lease) => {
                let expiry = store.leases.get_mut(&lease.id);
                let is_alive = expiry.is_some() && store.era == lease.era;
                if let Some(expiry) = expiry {
                    *expiry = now + lease.ttl;
                }
                Event::Renewed(if is_alive { Renewal::Done } else { Renewal::Lost })
            }
            Action::Release(lease) => {
                store.leases.remove(&lease.id);
                store.expire(now);
                return None;
            }
            Action::Gather { .. } | Action::Send { .. } | Action::Note(_) => return None,
        })
    }
}
