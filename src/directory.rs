//! The members that this node knows, by service, and what it has seen of their targets.

use std::collections::HashMap;

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::{
    event::MemberInfo,
    keys::{MemberId, MemberKey, ServiceKey},
};

/// The largest number of members in the directory; beyond it new members are ignored and counted.
pub(crate) const MAX_MEMBERS: usize = 8_192;

/// The members that this node knows.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    services: SlotMap<ServiceKey, Group>,
    names: HashMap<CompactString, ServiceKey>,
    members: SlotMap<MemberKey, Member>,
    ids: HashMap<MemberId, MemberKey>,
}

/// The members of one service.
#[derive(Debug, Default)]
pub(crate) struct Group {
    pub(crate) members: Vec<MemberKey>,
}

/// One member.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) info: MemberInfo,
    pub(crate) service: ServiceKey,
    pub(crate) in_flight: u32,
}

/// What an announcement changed.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    Joined,
    Changed,
    Unchanged,
    /// The directory is full.
    Ignored,
}

impl Directory {
    /// Records what a member announced.
    pub(crate) fn upsert(&mut self, info: MemberInfo) -> Change {
        if let Some(&key) = self.ids.get(&info.id) {
            let member = &mut self.members[key];
            if member.info == info {
                return Change::Unchanged;
            }
            if member.info.service == info.service {
                member.info = info;
                return Change::Changed;
            }
            self.remove(info.id);
        }
        if self.members.len() >= MAX_MEMBERS {
            return Change::Ignored;
        }
        let service = self.service_or_insert(&info.service);
        let id = info.id;
        let key = self.members.insert(Member { info, service, in_flight: 0 });
        self.ids.insert(id, key);
        self.services[service].members.push(key);
        Change::Joined
    }

    /// Forgets a member that left or failed, and returns what it had announced.
    pub(crate) fn remove(&mut self, id: MemberId) -> Option<MemberInfo> {
        let key = self.ids.remove(&id)?;
        let member = self.members.remove(key)?;
        self.services[member.service].members.retain(|&k| k != key);
        Some(member.info)
    }

    /// Returns the members of a service.
    pub(crate) fn group(&self, service: &str) -> &[MemberKey] {
        match self.names.get(service) {
            Some(&key) => &self.services[key].members,
            None => &[],
        }
    }

    /// Returns a member unless it is gone.
    pub(crate) fn get(&self, key: MemberKey) -> Option<&Member> {
        self.members.get(key)
    }

    /// Returns a member unless it is gone.
    pub(crate) fn get_mut(&mut self, key: MemberKey) -> Option<&mut Member> {
        self.members.get_mut(key)
    }

    /// Returns the key of a known member.
    pub(crate) fn key(&self, id: MemberId) -> Option<MemberKey> {
        self.ids.get(&id).copied()
    }

    fn service_or_insert(&mut self, name: &CompactString) -> ServiceKey {
        if let Some(&key) = self.names.get(name) {
            return key;
        }
        let key = self.services.insert(Group::default());
        self.names.insert(name.clone(), key);
        key
    }
}
