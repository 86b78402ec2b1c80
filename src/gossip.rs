//! Gossip datagrams: their codec and the UDP endpoint that carries the messages of [`crate::membership`].
//!
//! A datagram holds the sender's member id, a sequence number and the message, encoded with `postcard` and followed
//! by a keyed BLAKE3 tag over all of them. Datagrams that fail a check are dropped and counted by reason.

mod codec;
mod replay;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use ipnet::IpNet;
use tokio::{
    net::UdpSocket,
    sync::mpsc::{self, error::TrySendError},
    task::JoinHandle,
};

use crate::{
    keys::MemberId,
    membership::{MAX_DATAGRAM_BYTES, Message, Source},
};

pub use codec::{Decoder, Encoder, Key};
pub use replay::{MAX_SENDERS, REPLAY_WINDOW};

/// The maximum number of messages that wait for the driver.
///
/// A member receives a few datagrams a second. If the whole region sends at once, the excess is dropped.
pub const RECEIVE_QUEUE_CAPACITY: usize = 1_024;

/// The delay after a failed receive, so that a broken socket does not keep a core busy.
const RECEIVE_ERROR_DELAY: Duration = Duration::from_millis(100);

/// Why a datagram was dropped.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It is larger than [`MAX_DATAGRAM_BYTES`].
    Oversize,
    /// Its source or destination address lies outside the configured address ranges.
    Foreign,
    /// Its tag is missing or does not match the key.
    Unauthenticated,
    /// Its content cannot be decoded.
    Malformed,
    /// Its sequence number was received before, or is too old to be tracked.
    Replayed,
    /// It came from a new sender while [`MAX_SENDERS`] others were active.
    Untracked,
    /// The receive queue was full.
    Overrun,
    /// The socket reported an error.
    Socket,
}

impl DropReason {
    /// All reasons, in the order of their counters.
    pub const ALL: [DropReason; 8] = [
        DropReason::Oversize,
        DropReason::Foreign,
        DropReason::Unauthenticated,
        DropReason::Malformed,
        DropReason::Replayed,
        DropReason::Untracked,
        DropReason::Overrun,
        DropReason::Socket,
    ];

    /// Returns the name of the reason in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            DropReason::Oversize => "oversize",
            DropReason::Foreign => "foreign",
            DropReason::Unauthenticated => "unauthenticated",
            DropReason::Malformed => "malformed",
            DropReason::Replayed => "replayed",
            DropReason::Untracked => "untracked",
            DropReason::Overrun => "overrun",
            DropReason::Socket => "socket",
        }
    }
}

/// Counters of datagrams and bytes since the start, shared by both halves of the endpoint.
#[derive(Debug, Default)]
pub struct Counters {
    received: AtomicU64,
    received_bytes: AtomicU64,
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    drops: [AtomicU64; DropReason::ALL.len()],
}

impl Counters {
    /// Returns the numbers of accepted datagrams and of their bytes.
    pub fn received(&self) -> (u64, u64) {
        (self.received.load(Ordering::Relaxed), self.received_bytes.load(Ordering::Relaxed))
    }

    /// Returns the numbers of sent datagrams and of their bytes.
    pub fn sent(&self) -> (u64, u64) {
        (self.sent.load(Ordering::Relaxed), self.sent_bytes.load(Ordering::Relaxed))
    }

    /// Returns the number of datagrams that were dropped for one reason, on receipt or before sending.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.drops[reason as usize].load(Ordering::Relaxed)
    }

    fn count_drop(&self, reason: DropReason) {
        self.drops[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn count_received(&self, bytes: usize) {
        self.received.fetch_add(1, Ordering::Relaxed);
        self.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// The identity of this node and the addresses with which it exchanges datagrams.
#[derive(Clone, Debug)]
pub struct GossipConfig {
    /// The id under which datagrams are sent.
    pub id: MemberId,
    /// The key shared by all nodes.
    pub key: Key,
    /// The address ranges from which datagrams are accepted and to which they are sent.
    pub ranges: Vec<IpNet>,
}

impl GossipConfig {
    fn allows(&self, address: SocketAddr) -> bool {
        self.ranges.iter().any(|range| range.contains(&address.ip()))
    }
}

/// The sending half of the endpoint.
#[derive(Debug)]
pub struct Sender {
    socket: Arc<UdpSocket>,
    encoder: Encoder,
    counters: Arc<Counters>,
}

impl Sender {
    /// Sends a message without waiting.
    ///
    /// A failure is counted and otherwise treated as packet loss, which the protocol tolerates.
    pub fn send(&mut self, to: SocketAddr, message: &Message) {
        let sent = self.encoder.encode(to, message).and_then(|datagram| {
            self.socket.try_send_to(&datagram, to).map_err(|_| DropReason::Socket)
        });
        match sent {
            Ok(bytes) => self.counters.count_sent(bytes),
            Err(reason) => self.counters.count_drop(reason),
        }
    }
}

/// An open gossip endpoint.
#[derive(Debug)]
pub struct GossipEndpoint {
    /// The local address of the socket.
    pub address: SocketAddr,
    /// The sending half.
    pub sender: Sender,
    /// The accepted messages. When the receiver is dropped, the task ends.
    pub messages: mpsc::Receiver<(Source, Message)>,
    /// The counters of both halves.
    pub counters: Arc<Counters>,
    /// The task that reads datagrams.
    pub task: JoinHandle<()>,
}

/// Binds the UDP socket and starts to read datagrams.
pub async fn open(bind: SocketAddr, config: GossipConfig) -> io::Result<GossipEndpoint> {
    let socket = Arc::new(UdpSocket::bind(bind).await?);
    // `try_send_to` fails until the runtime has observed that the socket is writable.
    socket.writable().await?;
    let address = socket.local_addr()?;
    let counters = Arc::new(Counters::default());
    let (tx, messages) = mpsc::channel(RECEIVE_QUEUE_CAPACITY);
    let decoder = Decoder::new(config.clone());
    let task = tokio::spawn(read(socket.clone(), decoder, tx, counters.clone()));
    let sender = Sender { socket, encoder: Encoder::new(config), counters: counters.clone() };
    Ok(GossipEndpoint { address, sender, messages, counters, task })
}

async fn read(
    socket: Arc<UdpSocket>,
    mut decoder: Decoder,
    messages: mpsc::Sender<(Source, Message)>,
    counters: Arc<Counters>,
) {
    // The additional byte distinguishes an oversize datagram from one of the maximum size.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buffer) => received,
            () = messages.closed() => return,
        };
        let (bytes, from) = match received {
            Ok(received) => received,
            Err(_) => {
                counters.count_drop(DropReason::Socket);
                tokio::time::sleep(RECEIVE_ERROR_DELAY).await;
                continue;
            }
        };
        match decoder.decode(from, &buffer[..bytes]) {
            Ok(accepted) => match messages.try_send(accepted) {
                Ok(()) => counters.count_received(bytes),
                Err(TrySendError::Full(_)) => counters.count_drop(DropReason::Overrun),
                Err(TrySendError::Closed(_)) => return,
            },
            Err(reason) => counters.count_drop(reason),
        }
    }
}

#[cfg(test)]
mod tests;
