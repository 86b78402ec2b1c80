//! The codec of gossip datagrams.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

use super::{DropReason, GossipConfig, replay::ReplayFilter};
use crate::{
    keys::MemberId,
    membership::{MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES, Message, Source},
};

const TAG_BYTES: usize = 32;

/// The key derivation context. It must change with the datagram format, so that nodes with different formats reject
/// each other's datagrams.
const KEY_CONTEXT: &str = "poplarbarrow 2025-01 gossip datagram v1";

/// The key that authenticates datagrams.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the secret text in the settings.
    pub fn derive(text: &str) -> Key {
        Key(blake3::derive_key(KEY_CONTEXT, text.as_bytes()))
    }

    /// Computes the tag over the body of a datagram.
    pub(super) fn tag(&self, body: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, body)
    }
}

/// Hides the key, to keep it out of logs.
impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

#[derive(Serialize)]
pub(super) struct Outgoing<'a> {
    pub(super) sender: MemberId,
    pub(super) sequence: u64,
    pub(super) message: &'a Message,
}

#[derive(Deserialize)]
struct Incoming {
    sender: MemberId,
    sequence: u64,
    message: Message,
}

/// Encodes the datagrams of one sender.
#[derive(Debug)]
pub struct Encoder {
    config: GossipConfig,
    sequence: u64,
}

impl Encoder {
    /// Creates an encoder whose first datagram has sequence number 1.
    pub fn new(config: GossipConfig) -> Encoder {
        Encoder { config, sequence: 0 }
    }

    /// Creates an encoder whose last used sequence number is `sequence`.
    pub(crate) fn resuming_after(config: GossipConfig, sequence: u64) -> Encoder {
        Encoder { config, sequence }
    }

    /// Encodes a message for `to`, which must lie within the configured address ranges.
    pub fn encode(&mut self, to: SocketAddr, message: &Message) -> Result<Vec<u8>, DropReason> {
        if !self.config.allows(to) {
            return Err(DropReason::Foreign);
        }
        self.sequence += 1;
        let outgoing = Outgoing { sender: self.config.id, sequence: self.sequence, message };
        let buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        let mut datagram =
            postcard::to_extend(&outgoing, buffer).map_err(|_| DropReason::Malformed)?;
        let tag = self.config.key.tag(&datagram);
        datagram.extend_from_slice(tag.as_bytes());
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DropReason::Oversize);
        }
        Ok(datagram)
    }
}

/// Verifies and decodes received datagrams.
#[derive(Debug)]
pub struct Decoder {
    config: GossipConfig,
    replay: ReplayFilter,
}

impl Decoder {
    /// Creates a decoder that tracks no sender yet.
    pub fn new(config: GossipConfig) -> Decoder {
        Decoder { config, replay: ReplayFilter::default() }
    }

    /// Verifies and decodes a datagram.
    ///
    /// The cheapest checks come first, and nothing is decoded before the tag is verified.
    pub fn decode(
        &mut self,
        from: SocketAddr,
        datagram: &[u8],
    ) -> Result<(Source, Message), DropReason> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DropReason::Oversize);
        }
        if !self.config.allows(from) {
            return Err(DropReason::Foreign);
        }
        let (body, tag) =
            datagram.split_last_chunk::<TAG_BYTES>().ok_or(DropReason::Unauthenticated)?;
        // `blake3::Hash` compares in constant time.
        if self.config.key.tag(body) != blake3::Hash::from_bytes(*tag) {
            return Err(DropReason::Unauthenticated);
        }
        let (incoming, rest) =
            postcard::take_from_bytes::<Incoming>(body).map_err(|_| DropReason::Malformed)?;
        let Incoming { sender, sequence, message } = incoming;
        if !rest.is_empty() || message.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(DropReason::Malformed);
        }
        self.replay.check(sender, sequence)?;
        Ok((Source { id: sender, address: from }, message))
    }
}
