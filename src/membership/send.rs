//! Sends messages within the byte budget, and fills their free space with queued updates.

use std::net::SocketAddr;

use crate::keys::MemberId;

use super::{
    Body, MAX_ENVELOPE_BYTES, MAX_MESSAGE_BYTES, Membership, Message, Output, SYNC_RESERVE_BYTES,
    Source, State, Update, budget::UDP_HEADER_BYTES, encoded_bytes,
};

/// The class of a message, of which only probes may use the reserved part of the budget.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum TrafficClass {
    Probe,
    Bulk,
}

/// The receiver of a message.
#[derive(Copy, Clone, Debug)]
pub(super) struct Receiver {
    pub(super) address: SocketAddr,
    pub(super) id: Option<MemberId>,
}

impl From<Source> for Receiver {
    fn from(source: Source) -> Receiver {
        Receiver { address: source.address, id: Some(source.id) }
    }
}

impl Membership {
    /// Sends queued updates to `fanout` random members.
    pub(super) fn spread(&mut self, fanout: usize, out: &mut Vec<Output>) {
        if !self.table.has_queued() {
            return;
        }
        for id in self.table.choose_live(&mut self.rng, fanout, self.id) {
            if let Some(to) = self.receiver(id)
                && self.table.has_queued()
            {
                self.send(to, TrafficClass::Bulk, vec![], Body::Gossip, out);
            }
        }
    }

    pub(super) fn receiver(&self, id: MemberId) -> Option<Receiver> {
        self.table.get(id).map(|r| Receiver { address: r.member.gossip, id: Some(id) })
    }

    /// Sends a message if the byte budget allows it, and returns whether it was sent. Free space in probes and gossip
    /// is filled with queued updates.
    pub(super) fn send(
        &mut self,
        to: Receiver,
        class: TrafficClass,
        mut updates: Vec<Update>,
        body: Body,
        out: &mut Vec<Output>,
    ) -> bool {
        // Each message to a member held suspect or dead carries that claim, so that the member can refute it.
        let held = to.id.and_then(|id| self.table.get(id)).map(|r| r.claim());
        updates.extend(
            held.filter(|c| matches!(c.state, State::Suspect | State::Dead)).map(Update::Claim),
        );
        let takes_updates = matches!(
            body,
            Body::Ping { .. } | Body::PingRequest { .. } | Body::Ack { .. } | Body::Gossip
        );
        let is_gossip = body == Body::Gossip;
        let mut message =
            Message { revision: self.revision, payload: self.payload.clone(), updates, body };
        // The encoded number of updates may grow by one byte.
        let bytes = encoded_bytes(&message) + 1;
        let cost = bytes + MAX_ENVELOPE_BYTES + UDP_HEADER_BYTES;
        let available = self.budget.available();
        if class == TrafficClass::Bulk && cost > available {
            self.counters.throttled += 1;
            return false;
        }
        let mut update_bytes = 0;
        if takes_updates {
            let room = MAX_MESSAGE_BYTES
                .saturating_sub(bytes)
                .min(available.saturating_sub(cost + SYNC_RESERVE_BYTES));
            update_bytes = self.table.take_updates(room, &mut message.updates);
        }
        if is_gossip && message.updates.is_empty() {
            return false;
        }
        let is_sent = self.budget.try_spend(cost + update_bytes);
        if is_sent {
            out.push(Output::Send { to: to.address, message });
        } else {
            self.counters.throttled += 1;
        }
        is_sent
    }

    /// Returns the bytes available to records in a message with the given empty body.
    pub(super) fn room(&self, body: &Body) -> usize {
        // The lengths of two lists may take one more byte each, and the claim about the receiver up to 20 bytes.
        let fixed = encoded_bytes(body) + self.payload.len() + 10 + 3 + 22;
        let available =
            self.budget.available().saturating_sub(MAX_ENVELOPE_BYTES + UDP_HEADER_BYTES);
        MAX_MESSAGE_BYTES.min(available).saturating_sub(fixed)
    }
}
