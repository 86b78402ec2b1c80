//! Plays how a configuration spreads between nodes with narrow links.

use std::collections::VecDeque;

use super::*;
use crate::{event::PullOutcome, replica::Topic, sync::MAX_UPLOADS};

const NODES: u64 = 64;
const CENTRES: [&str; 4] = ["a", "b", "c", "d"];

/// One link carries 10 Mbit/s, as those of the smallest instances.
const LINK_BYTES_PER_MS: f64 = 1_250.0;

/// A configuration of 2,800 routes before compression.
const CONFIG_BYTES: f64 = 350_000.0;

const DELAY_MS: u64 = 2;
const TICK_MS: u64 = 100;

/// The time at which one node in each data centre has read the configuration from the store.
const READ_MS: u64 = 2_000;

struct Transfer {
    from: usize,
    to: usize,
    left: f64,
}

/// Nodes that exchange status datagrams and data over links of limited rate.
struct Network {
    nodes: Vec<Reducer>,
    now_ms: u64,
    transfers: Vec<Transfer>,
    events: VecDeque<(u64, usize, Event)>,
    received: Vec<Option<u64>>,
}

impl Network {
    fn new() -> Network {
        let local = |id: u64| LocalNode {
            id: MemberId(id),
            address: address(id),
            centre: CENTRES[id as usize % CENTRES.len()].into(),
            ..local_node()
        };
        let nodes: Vec<Reducer> = (1..=NODES).map(|id| Reducer::new(local(id), id)).collect();
        let records: Vec<MemberRecord> = nodes.iter().map(|node| node.local.record()).collect();
        let mut network = Network {
            received: vec![None; nodes.len()],
            nodes,
            now_ms: 0,
            transfers: Vec::new(),
            events: VecDeque::new(),
        };
        for index in 0..network.nodes.len() {
            network.nodes[index].start(&mut Vec::new());
            network.apply(index, Event::Store { is_reachable: true });
            network.apply(index, Event::Members(records.clone()));
        }
        network
    }

    fn apply(&mut self, index: usize, event: Event) {
        let mut effects = Vec::new();
        self.nodes[index].apply(at_ms(self.now_ms), event, &mut effects);
        for effect in effects {
            match effect {
                Effect::SendStatus { to, status } => {
                    for address in to {
                        let event =
                            Event::Status { status: status.clone(), source: self.address(index) };
                        let to = usize::from(address.port()) - 1;
                        self.events.push_back((self.now_ms + DELAY_MS, to, event));
                    }
                }
                Effect::Pull(address) => self.pull(usize::from(address.port()) - 1, index),
                _ => {}
            }
        }
    }

    fn address(&self, index: usize) -> SocketAddr {
        self.nodes[index].local.address
    }

    fn pull(&mut self, from: usize, to: usize) {
        let uploads = self.transfers.iter().filter(|transfer| transfer.from == from).count();
        if uploads < MAX_UPLOADS {
            self.transfers.push(Transfer { from, to, left: CONFIG_BYTES });
        } else {
            let event = Event::PullEnded(PullOutcome::Busy);
            self.events.push_back((self.now_ms + 2 * DELAY_MS, to, event));
        }
    }

    fn read(&mut self, index: usize) {
        self.received[index].get_or_insert(self.now_ms);
        let mut revisions = self.nodes[index].revisions;
        revisions[Topic::Orders.index()] = Position { era: 1, revision: 5 };
        self.apply(index, Event::Revisions(revisions));
    }

    /// Plays one millisecond.
    fn advance(&mut self) {
        self.now_ms += 1;
        for index in 0..self.nodes.len() {
            if (self.now_ms + index as u64).is_multiple_of(TICK_MS) {
                self.apply(index, Event::Timer(Timer::Tick));
            }
        }
        while self.events.front().is_some_and(|(due, ..)| *due <= self.now_ms) {
            let Some((_, to, event)) = self.events.pop_front() else { break };
            self.apply(to, event);
        }
        let mut uploads = vec![0; self.nodes.len()];
        for transfer in &self.transfers {
            uploads[transfer.from] += 1;
        }
        for transfer in &mut self.transfers {
            transfer.left -= LINK_BYTES_PER_MS / f64::from(uploads[transfer.from]);
        }
        let (ended, running) =
            std::mem::take(&mut self.transfers).into_iter().partition(|t| t.left <= 0.0);
        self.transfers = running;
        let ended: Vec<Transfer> = ended;
        for Transfer { to, .. } in ended {
            self.read(to);
            self.apply(to, Event::PullEnded(PullOutcome::Done));
        }
    }
}

/// Guards against pulls that share the links of the first few nodes until all of them run out of time and start again.
#[test]
fn a_large_configuration_reaches_all_nodes_over_narrow_links() {
    let mut network = Network::new();
    while network.now_ms < READ_MS {
        network.advance();
    }
    (0..CENTRES.len()).for_each(|index| network.read(index));
    while network.now_ms < READ_MS + 2_000 {
        network.advance();
    }
    let late = network.received.iter().filter(|received| received.is_none()).count();
    assert_eq!(late, 0, "nodes without the configuration after 2 s");
}
