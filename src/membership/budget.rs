//! The byte budget of gossip.

use crate::time::Time;

/// The control budget of a node in bytes per second, sent and received (design section 2.5).
pub const CONTROL_BYTES_PER_S: u32 = 17_000;

/// The bytes per second that a member may send as gossip.
///
/// Configuration takes 53,000 changes a day x 3.7 KB a part = 2.3 KB/s in each direction. Of the remaining
/// 12.4 KB/s half is for sending, because what one member sends another receives.
pub const GOSSIP_BYTES_PER_S: u32 = 6_000;

/// The seconds of budget that may accumulate, so that a burst of updates after an idle period is not delayed.
const BURST_S: u32 = 2;

/// Bytes reserved for probes when other messages have used up the rest.
///
/// A second of probing takes two pings, two acks, six ping requests and six relayed pings and acks, about 130
/// bytes each without updates: 22 x 130 = 2,860 bytes.
const PROBE_RESERVE_BYTES: u64 = 3_000;

/// The IPv4 and UDP headers of a datagram in bytes.
pub(super) const UDP_HEADER_BYTES: usize = 28;

const MICROS_PER_S: u64 = 1_000_000;

/// A token bucket over sent bytes with a reserve for probes.
#[derive(Debug)]
pub(super) struct ByteBudget {
    rate: u64,
    /// Available bytes x 1,000,000, so that short intervals are not rounded away.
    level: u64,
    last_refill: Time,
}

impl ByteBudget {
    pub(super) fn new(rate: u32) -> ByteBudget {
        let rate = u64::from(rate);
        ByteBudget {
            rate,
            level: rate * u64::from(BURST_S) * MICROS_PER_S,
            last_refill: Time::ZERO,
        }
    }

    pub(super) fn refill(&mut self, now: Time) {
        let us = u64::try_from(now.since(self.last_refill).as_micros()).unwrap_or(u64::MAX);
        let cap = self.rate * u64::from(BURST_S) * MICROS_PER_S;
        self.level = self.level.saturating_add(us.saturating_mul(self.rate)).min(cap);
        self.last_refill = now;
    }

    /// Returns the bytes that may be used by updates and by messages other than probes.
    pub(super) fn available(&self) -> usize {
        usize::try_from((self.level / MICROS_PER_S).saturating_sub(PROBE_RESERVE_BYTES))
            .unwrap_or(usize::MAX)
    }

    /// Takes `bytes` from the bucket and returns whether they were available.
    pub(super) fn try_spend(&mut self, bytes: usize) -> bool {
        let cost = (bytes as u64).saturating_mul(MICROS_PER_S);
        let is_available = cost <= self.level;
        if is_available {
            self.level -= cost;
        }
        is_available
    }
}
