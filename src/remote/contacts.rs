//! The known contacts in other regions.

use std::{collections::BTreeMap, net::SocketAddr};

use compact_str::CompactString;

use crate::{
    keys::MemberId,
    membership::{Contact, CrossRegion, MAX_MESSAGE_BYTES, encoded_bytes},
};

use super::WATCHERS_PER_CENTRE;

/// The maximum number of data centres with stored contacts: 60 contacts at three per data centre.
const MAX_CENTRES: usize = 20;

#[derive(Debug)]
struct ContactEntry {
    contact: Contact,
    /// The number of unanswered requests.
    failures: u32,
}

/// The contacts by data centre.
#[derive(Debug)]
pub(super) struct Contacts {
    region: CompactString,
    centres: BTreeMap<CompactString, Vec<ContactEntry>>,
    next_index: usize,
}

impl Contacts {
    pub(super) fn new(region: CompactString) -> Contacts {
        Contacts { region, centres: BTreeMap::new(), next_index: 0 }
    }

    /// Adds or updates contacts. If a data centre's list is full, a new contact replaces the one with the most
    /// unanswered requests, and among equals the oldest.
    pub(super) fn add(&mut self, contacts: &[Contact]) {
        for contact in contacts.iter().filter(|contact| contact.region != self.region) {
            if self.centres.len() >= MAX_CENTRES && !self.centres.contains_key(&contact.centre) {
                continue;
            }
            let entries = self.centres.entry(contact.centre.clone()).or_default();
            if let Some(known) = entries.iter_mut().find(|entry| entry.contact.id == contact.id) {
                known.contact = contact.clone();
                continue;
            }
            if entries.len() >= WATCHERS_PER_CENTRE {
                let most = entries.iter().map(|entry| entry.failures).max();
                let worst = entries.iter().position(|entry| Some(entry.failures) == most);
                entries.remove(worst.unwrap_or(0));
            }
            entries.push(ContactEntry { contact: contact.clone(), failures: 0 });
        }
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.centres.values().map(Vec::len).sum()
    }

    pub(super) fn regions(&self) -> Vec<CompactString> {
        let mut regions: Vec<_> =
            self.centres.values().flatten().map(|entry| entry.contact.region.clone()).collect();
        regions.sort_unstable();
        regions.dedup();
        regions
    }

    /// Chooses the contact of a region with the fewest unanswered requests. The new request counts as unanswered
    /// until its answer arrives, so that a retry goes to another contact.
    pub(super) fn choose(&mut self, region: &str) -> Option<(MemberId, SocketAddr)> {
        let known = self.centres.values_mut().flatten();
        let best = known
            .filter(|entry| entry.contact.region == region)
            .min_by_key(|entry| entry.failures)?;
        best.failures = best.failures.saturating_add(1);
        Some((best.contact.id, best.contact.gossip))
    }

    pub(super) fn record_answer(&mut self, id: MemberId) {
        let known = self.centres.values_mut().flatten().find(|entry| entry.contact.id == id);
        if let Some(entry) = known {
            entry.failures = 0;
        }
    }

    /// Returns a message with one contact per data centre, as many as fit into a datagram. Successive messages rotate
    /// the first data centre and the contact of each.
    pub(super) fn next_message(&mut self) -> CrossRegion {
        let turn = self.next_index;
        self.next_index = self.next_index.wrapping_add(1);
        let count = self.centres.len();
        let centres = self.centres.values().cycle().skip(turn.checked_rem(count).unwrap_or(0));
        let chosen =
            centres.take(count).filter_map(|entries| entries.get(turn % entries.len().max(1)));
        // The message's other fields take up to 20 bytes.
        let mut room = MAX_MESSAGE_BYTES - 20;
        let mut contacts = vec![];
        for entry in chosen {
            let bytes = encoded_bytes(&entry.contact);
            if bytes > room {
                break;
            }
            room -= bytes;
            contacts.push(entry.contact.clone());
        }
        CrossRegion::Contacts(contacts)
    }
}
