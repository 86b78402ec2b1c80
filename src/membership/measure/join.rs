//! Measures the cost of a join at the joining member.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use super::{Bench, sample_member};
use crate::{
    gossip::Encoder,
    keys::MemberId,
    membership::{
        Body, Member, Membership, Message, Output, Settings, Source, State, TICK,
        budget::UDP_HEADER_BYTES,
    },
    time::Time,
};

/// The number of members that answer pulls on behalf of all, each within its own budget.
const RESPONDERS: usize = 8;

/// The number of contacts that the platform lists for a joining node: three in each of two data centres.
const CONTACTS: usize = 6;

/// The time after which an incomplete join is abandoned.
const JOIN_TIMEOUT: Duration = Duration::from_secs(600);

/// The cost of one join.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct JoinCost {
    /// The members of the region, the joining one included.
    pub members: usize,
    /// The chunks of the table that arrived.
    pub chunks: usize,
    /// Bytes sent until the table was complete, headers included.
    pub sent_bytes: usize,
    /// Bytes received until the table was complete, headers included.
    pub received_bytes: usize,
    /// The time until the table was complete in seconds.
    pub seconds: f64,
    /// The members known at the end.
    pub known: usize,
}

/// Measures a node that joins a region in which nothing else changes, and whose pulls are all answered.
pub fn measure_join(members: usize, seed: u64) -> JoinCost {
    // The steady-state measurement provides the records; its measured member is not used.
    let Bench { others, identity, .. } = Bench::new(members.max(CONTACTS + 2), seed);
    let me = sample_member(MemberId(seed | 1), u32::try_from(members).unwrap_or(u32::MAX));
    let mut responders: Vec<Membership> =
        others[..RESPONDERS.min(others.len())].iter().map(|own| responder(own, &others)).collect();
    let at: HashMap<SocketAddr, MemberId> = others.iter().map(|m| (m.gossip, m.id)).collect();
    let own = Source { id: me.id, address: me.gossip };
    let mut subject = Membership::new(me, Settings::default(), seed);
    let mut encoder = Encoder::new(identity);
    let mut size = |to, message: &Message| {
        encoder.encode(to, message).map_or(0, |datagram| datagram.len()) + UDP_HEADER_BYTES
    };
    let (mut now, mut out) = (Time::ZERO, vec![]);
    let mut cost =
        JoinCost { members, chunks: 0, sent_bytes: 0, received_bytes: 0, seconds: 0.0, known: 0 };
    subject.join(now, others[..CONTACTS].iter().map(|m| m.gossip).collect(), &mut out);
    while !subject.is_synced() && now < Time::ZERO + JOIN_TIMEOUT {
        now += TICK;
        subject.tick(now, &mut out);
        while let Some(output) = out.pop() {
            let Output::Send { to, message } = output else { continue };
            cost.sent_bytes += size(to, &message);
            let Some(&id) = at.get(&to) else { continue };
            let answers = match message.body {
                Body::Ping { probe, target } => vec![Message {
                    revision: 0,
                    payload: vec![],
                    updates: vec![],
                    body: Body::Ack { probe, subject: target },
                }],
                Body::Pull { .. } => {
                    let index = (id.0 % responders.len() as u64) as usize;
                    let mut answers = vec![];
                    responders[index].handle(now, own, message, &mut answers);
                    answers.into_iter().filter_map(answer_to(own.address)).collect()
                }
                _ => vec![],
            };
            for answer in answers {
                cost.received_bytes += size(own.address, &answer);
                cost.chunks += usize::from(matches!(answer.body, Body::Chunk { .. }));
                subject.handle(now, Source { id, address: to }, answer, &mut out);
            }
        }
    }
    JoinCost { seconds: now.since(Time::ZERO).as_secs_f64(), known: subject.live_count(), ..cost }
}

fn responder(own: &Member, others: &[Member]) -> Membership {
    let mut responder = Membership::new(own.clone(), Settings::default(), own.id.0);
    for other in others.iter().filter(|other| other.id != own.id) {
        responder.admit(Time::ZERO, other.clone(), State::Alive, &mut vec![]);
    }
    responder
}

fn answer_to(receiver: SocketAddr) -> impl Fn(Output) -> Option<Message> {
    move |output| match output {
        Output::Send { to, message } if to == receiver => Some(message),
        _ => None,
    }
}
