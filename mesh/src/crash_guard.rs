//! Detection of requests that crash the targets that run them: fingerprints, suspicion and refusal.
//!
//! This module does no I/O. `docs/crash-guard.md` states the guarantees to operators;
//! `docs/design.md`, section 5.8, gives the requirements. The nodes of this crate and of the root crate use it.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{keys::MemberId, time::Time};

/// The number of crashes after which a request is refused. One more is needed if other requests
/// were in progress at each of them and none was already suspected.
pub const BLOCK_CRASHES: usize = 2;

/// How long a crash counts against the requests that were in progress. Callers retry within seconds
/// or minutes; a longer time would only keep harmless requests from running concurrently.
pub(crate) const SUSPICION_TIME: Duration = Duration::from_secs(600);

/// The maximum number of suspected requests: 85 crashes of targets with 12 requests each. When the
/// table is full, the one that expires first is evicted, unblocked requests before blocked ones.
pub(crate) const MAX_SUSPICIONS: usize = 1_024;

/// The time before and after a crash within which a lost connection is attributed to it. The node
/// detects the crash with its next connection, within 250 ms unless its retries are due.
pub(crate) const CRASH_WINDOW: Duration = Duration::from_secs(1);

/// The maximum number of crashes stored for one request.
const MAX_CRASHES: usize = 4;

/// The maximum number of lost connections stored before a crash is detected; a target has 12 slots.
const MAX_LOST_CONNECTIONS: usize = 64;

/// A hash that identifies a request across retries.
#[derive(
    Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestHash([u8; 8]);

impl RequestHash {
    /// Wraps a hash that was computed elsewhere.
    pub const fn from_bytes(bytes: [u8; 8]) -> RequestHash {
        RequestHash(bytes)
    }

    /// Hashes what all sends of a request have in common. All nodes must hash the same parts.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> RequestHash {
        let mut hasher = DefaultHasher::new();
        for part in parts {
            // Hashing a slice includes its length, which separates the parts.
            part.hash(&mut hasher);
        }
        RequestHash(hasher.finish().to_be_bytes())
    }
}

impl fmt::Display for RequestHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", u64::from_be_bytes(self.0))
    }
}

/// Whether a request may run.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// The request is not suspected.
    Clear,
    /// The request was in progress at a crash. It runs, but not concurrently with another suspected
    /// request.
    Suspected,
    /// The request was in progress at [`BLOCK_CRASHES`] crashes, at one of them as the only
    /// suspect, or at more crashes. It is refused.
    Blocked,
}

impl Standing {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Standing::Clear => "cleared",
            Standing::Suspected => "suspected",
            Standing::Blocked => "blocked",
        }
    }
}

/// A crash at which a request was in progress.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
struct Crash {
    member: MemberId,
    /// The sequence number of the crash at that member, starting at 1.
    number: u32,
    /// Whether no other request can have caused the crash: this one ran alone or was the only
    /// suspected one.
    is_only_suspect: bool,
    /// Whether the request has completed since.
    is_cleared: bool,
    expires: Time,
}

/// The crashes of one suspected request, as sent to other members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    fingerprint: RequestHash,
    crashes: Vec<CrashEntry>,
}

#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CrashEntry {
    member: [u8; 8],
    number: u32,
    is_only_suspect: bool,
    is_cleared: bool,
    /// The remaining seconds for which the crash counts, rounded down so that forwarding a report
    /// never extends it.
    ttl_s: u16,
}

/// The standing of a request.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct RequestStanding {
    /// The hash of the request.
    pub fingerprint: RequestHash,
    /// Whether it may run.
    pub standing: Standing,
}

/// A request whose connection was lost before a crash was detected.
#[derive(Copy, Clone, Debug)]
struct LostConnection {
    at: Time,
    fingerprint: RequestHash,
    was_suspected: bool,
}

/// The suspected requests, as one node knows them.
///
/// Suspicions are merged as sets of crashes, so a repeated or late report changes nothing.
#[derive(Clone, Debug)]
pub struct CrashGuard {
    local_id: MemberId,
    crash_count: u32,
    crashed_at: Option<Time>,
    lost_connections: VecDeque<LostConnection>,
    suspicions: BTreeMap<RequestHash, Vec<Crash>>,
    /// The last request that was reported; [`CrashGuard::next_reports`] continues after it.
    last_reported: Option<RequestHash>,
}

impl CrashGuard {
    /// Creates a guard without suspicions.
    pub fn new(local_id: MemberId) -> CrashGuard {
        CrashGuard {
            local_id,
            crash_count: 0,
            crashed_at: None,
            lost_connections: VecDeque::new(),
            suspicions: BTreeMap::new(),
            last_reported: None,
        }
    }

    /// Returns whether a request may run.
    pub fn standing(&self, now: Time, fingerprint: RequestHash) -> Standing {
        let Some(crashes) = self.suspicions.get(&fingerprint) else { return Standing::Clear };
        let is_counted = |crash: &&Crash| crash.expires > now && !crash.is_cleared;
        let counted = crashes.iter().filter(is_counted).count();
        let has_only_suspect = crashes.iter().filter(is_counted).any(|crash| crash.is_only_suspect);
        match counted {
            0 => Standing::Clear,
            // Several targets may crash at once, with the same popular request in progress at each.
            n if n > BLOCK_CRASHES || (n == BLOCK_CRASHES && has_only_suspect) => Standing::Blocked,
            _ => Standing::Suspected,
        }
    }

    /// Records that the connection of a running request to the local target was lost. Returns the
    /// request's standing if the loss is attributed to a crash that is already known.
    ///
    /// `was_suspected` tells whether the request was suspected when it was admitted, and therefore
    /// ran without any other suspected request.
    pub fn connection_lost(
        &mut self,
        now: Time,
        fingerprint: RequestHash,
        was_suspected: bool,
    ) -> Option<RequestStanding> {
        if self.crashed_at.is_some_and(|at| now.since(at) < CRASH_WINDOW) {
            return Some(self.suspect(now, fingerprint, was_suspected));
        }
        if self.lost_connections.len() >= MAX_LOST_CONNECTIONS {
            self.lost_connections.pop_front();
        }
        self.lost_connections.push_back(LostConnection { at: now, fingerprint, was_suspected });
        None
    }

    /// Records a crash of the local target, and returns the standings of the requests that were in
    /// progress.
    pub fn target_crashed(&mut self, now: Time) -> Vec<RequestStanding> {
        self.crash_count += 1;
        self.crashed_at = Some(now);
        let lost = std::mem::take(&mut self.lost_connections);
        let recent = lost.into_iter().filter(|lost| now.since(lost.at) < CRASH_WINDOW);
        let recent: Vec<LostConnection> = recent.collect();
        let is_only_lost = recent.len() == 1;
        let suspect = |lost: LostConnection| {
            self.suspect(now, lost.fingerprint, lost.was_suspected || is_only_lost)
        };
        recent.into_iter().map(suspect).collect()
    }

    /// Records that the local target accepts connections again, so that later losses are attributed
    /// to a later crash.
    pub fn target_recovered(&mut self) {
        self.crashed_at = None;
    }

    /// Records that a request has completed, which clears it of all crashes so far. Returns its
    /// standing if that has changed.
    pub fn request_completed(
        &mut self,
        now: Time,
        fingerprint: RequestHash,
    ) -> Option<RequestStanding> {
        self.change(now, fingerprint, |crashes| {
            crashes.iter_mut().for_each(|crash| crash.is_cleared = true);
        })
    }

    fn suspect(
        &mut self,
        now: Time,
        fingerprint: RequestHash,
        is_only_suspect: bool,
    ) -> RequestStanding {
        let (member, number, expires) = (self.local_id, self.crash_count, now + SUSPICION_TIME);
        let crash = Crash { member, number, is_only_suspect, is_cleared: false, expires };
        self.add(now, fingerprint, crash);
        RequestStanding { fingerprint, standing: self.standing(now, fingerprint) }
    }

    fn add(&mut self, now: Time, fingerprint: RequestHash, crash: Crash) {
        if !self.suspicions.contains_key(&fingerprint) {
            self.evict_if_full(now);
            self.suspicions.insert(fingerprint, Vec::new());
        }
        self.change(now, fingerprint, |crashes| {
            crashes.retain(|crash| crash.expires > now);
            let same = |c: &&mut Crash| (c.member, c.number) == (crash.member, crash.number);
            let has_room = crashes.len() < MAX_CRASHES;
            match crashes.iter_mut().find(same) {
                Some(known) => {
                    known.is_cleared |= crash.is_cleared;
                    known.is_only_suspect |= crash.is_only_suspect;
                }
                None if has_room => crashes.push(crash),
                None => {
                    // Crashes of which the request is cleared no longer count and may be replaced.
                    if let Some(cleared) = crashes.iter_mut().find(|c| c.is_cleared) {
                        *cleared = crash;
                    }
                }
            }
        });
    }

    fn change(
        &mut self,
        now: Time,
        fingerprint: RequestHash,
        change: impl FnOnce(&mut Vec<Crash>),
    ) -> Option<RequestStanding> {
        let before = self.standing(now, fingerprint);
        change(self.suspicions.get_mut(&fingerprint)?);
        let standing = self.standing(now, fingerprint);
        (standing != before).then_some(RequestStanding { fingerprint, standing })
    }

    /// If the table is full, removes expired suspicions, or else the one with the mildest standing
    /// that expires first.
    fn evict_if_full(&mut self, now: Time) {
        if self.suspicions.len() < MAX_SUSPICIONS {
            return;
        }
        self.expire(now);
        if self.suspicions.len() < MAX_SUSPICIONS {
            return;
        }
        let expires = |crashes: &[Crash]| crashes.iter().map(|crash| crash.expires).max();
        let standing = |fingerprint| self.standing(now, fingerprint);
        let first = self.suspicions.iter().min_by_key(|(f, c)| (standing(**f), expires(c)));
        if let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) {
            self.suspicions.remove(&fingerprint);
        }
    }

    /// Removes expired suspicions.
    pub fn expire(&mut self, now: Time) {
        self.suspicions.retain(|_, crashes| crashes.iter().any(|crash| crash.expires > now));
    }

    /// Returns up to `count` reports for other members, cycling through all suspected requests.
    pub fn next_reports(&mut self, now: Time, count: usize) -> Vec<SuspectReport> {
        self.expire(now);
        let after = |f: &&RequestHash| self.last_reported.is_none_or(|last| **f > last);
        let keys = self.suspicions.keys();
        let next = keys.clone().filter(after).chain(keys.filter(|f| !after(f)));
        let next: Vec<RequestHash> = next.take(count).copied().collect();
        self.last_reported = next.last().copied();
        next.into_iter().filter_map(|fingerprint| self.report(now, fingerprint)).collect()
    }

    /// Returns the report on a request for other members, or `None` if it has no unexpired crash.
    pub fn report(&self, now: Time, fingerprint: RequestHash) -> Option<SuspectReport> {
        let crashes = self.suspicions.get(&fingerprint)?.iter();
        let crashes = crashes.map(|crash| CrashEntry {
            member: crash.member.0.to_be_bytes(),
            number: crash.number,
            is_only_suspect: crash.is_only_suspect,
            is_cleared: crash.is_cleared,
            ttl_s: u16::try_from(crash.expires.since(now).as_secs()).unwrap_or(u16::MAX),
        });
        let crashes: Vec<_> = crashes.filter(|crash| crash.ttl_s > 0).collect();
        (!crashes.is_empty()).then_some(SuspectReport { fingerprint, crashes })
    }

    /// Merges a report of another member, and returns the request's standing if it has changed.
    pub fn merge(&mut self, now: Time, report: &SuspectReport) -> Option<RequestStanding> {
        let fingerprint = report.fingerprint;
        let before = self.standing(now, fingerprint);
        for crash in report.crashes.iter().filter(|c| c.ttl_s > 0).take(MAX_CRASHES) {
            let ttl = Duration::from_secs(crash.ttl_s.into()).min(SUSPICION_TIME);
            let member = MemberId(u64::from_be_bytes(crash.member));
            let &CrashEntry { number, is_only_suspect, is_cleared, .. } = crash;
            let expires = now + ttl;
            self.add(
                now,
                fingerprint,
                Crash { member, number, is_only_suspect, is_cleared, expires },
            );
        }
        let standing = self.standing(now, fingerprint);
        (standing != before).then_some(RequestStanding { fingerprint, standing })
    }

    /// Returns the number of suspected requests.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.suspicions.len()
    }

    /// Returns whether no request is suspected.
    #[cfg(test)]
    pub(crate) fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }
}

#[cfg(test)]
mod tests;
