//! The parts of the process's memory and descriptors that peers may take.

use crate::peer_memory::{Endpoint, account::Part};

/// The memory of the process where the settings state none: that of the smallest machines.
const DEFAULT_MEMORY_BYTES: u64 = 160 << 20;

/// The descriptors of the process where the settings state none: those of the smallest machines.
const DEFAULT_DESCRIPTORS: usize = 4_096;

/// The part of the memory that is given to peers, as a fraction of 100. The rest is for the node itself, and for what the
/// allocator and the HTTP library take beyond what is counted: half as much again, as measured with crowds of 400.
const PEER_PERCENT: u64 = 40;

/// The part of an endpoint that connections and heads have beyond bodies, so that a crowd of bodies does not keep out small
/// requests.
const HEAD_PERCENT: usize = 25;

/// What the process may use, from its settings; the defaults apply to what is absent.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct ProcessLimits {
    /// The memory in bytes.
    pub memory_bytes: Option<u64>,
    /// The file descriptors.
    pub descriptors: Option<usize>,
}

/// The bounds on what peers hold.
#[derive(Copy, Clone, Debug)]
pub(super) struct Bounds {
    bytes: usize,
    descriptors: usize,
}

impl Bounds {
    pub(super) fn new(limits: ProcessLimits) -> Bounds {
        let memory = limits.memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        let bytes = usize::try_from(memory / 100 * PEER_PERCENT).unwrap_or(usize::MAX);
        Bounds { bytes, descriptors: limits.descriptors.unwrap_or(DEFAULT_DESCRIPTORS) }
    }

    /// Returns the bytes of all endpoints and answers together.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the bytes that an endpoint may take for a part of requests.
    pub(super) fn endpoint_bytes(&self, endpoint: Endpoint, part: Part) -> usize {
        let bytes = match endpoint {
            Endpoint::Callers => self.bytes / 2,
            Endpoint::Peers => self.bytes / 4,
            Endpoint::Ready | Endpoint::Control | Endpoint::Metrics => self.bytes / 24,
        };
        match part {
            Part::Head => bytes,
            Part::Body => bytes / 100 * (100 - HEAD_PERCENT),
        }
    }

    /// Returns the connections of an endpoint; at least two, so that a prober or a target finds one free. More than a quarter of
    /// the descriptors remain for connections that the node opens.
    pub(super) fn connections(&self, endpoint: Endpoint) -> usize {
        let part = match endpoint {
            Endpoint::Callers | Endpoint::Peers => self.descriptors / 16 * 5,
            Endpoint::Ready | Endpoint::Control | Endpoint::Metrics => self.descriptors / 32,
        };
        part.max(2)
    }
}
