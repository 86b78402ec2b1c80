//! Ejection of failing targets for an increasing time.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::{keys::MemberKey, time::Time};

/// The weight of a new outcome in the failure share of a target.
const WEIGHT: f64 = 0.125;

/// The failure share from which a target is ejected: six failures in a row after none.
const MAX_FAILURES: f64 = 0.5;

/// The time of the first ejection.
const BASE_TIME: Duration = Duration::from_millis(500);

/// The most doublings of the ejection time: 500 ms x 2^6 = 32 s.
const MAX_DOUBLINGS: u32 = 6;

/// The outcomes of one target.
#[derive(Copy, Clone, Debug, Default)]
struct Record {
    failures: f64,
    /// Ejections that still count for the time of the next.
    level: u32,
    /// The end of the last ejection.
    until: Option<Time>,
    /// The end of the pause after a connection could not be opened.
    unreachable: Option<Time>,
}

/// Decides which targets of one service receive no requests because they fail.
#[derive(Clone, Debug, Default)]
pub struct Ejector {
    records: SecondaryMap<MemberKey, Record>,
}

impl Ejector {
    /// Creates an ejector without any record.
    pub fn new() -> Ejector {
        Ejector::default()
    }

    /// Notes a successful request. A target without failures for as long as its last ejection took loses one
    /// level.
    pub fn succeeded(&mut self, now: Time, key: MemberKey) {
        let Some(record) = self.records.get_mut(key) else { return };
        record.failures *= 1.0 - WEIGHT;
        if let Some(until) = record.until
            && record.level > 0
            && now >= until + time(record.level - 1)
        {
            record.level -= 1;
            record.until = Some(now);
        }
    }

    /// Notes a failed request, and ejects the target if it keeps failing. Returns the end of the ejection.
    ///
    /// At most `percent` of the `targets` of the service are ejected at once, and never the last one.
    pub fn failed(
        &mut self,
        now: Time,
        key: MemberKey,
        targets: usize,
        percent: u8,
    ) -> Option<Time> {
        let ejected = self.records.keys().filter(|&k| self.is_ejected(now, k)).count();
        let allowed = (targets * usize::from(percent) / 100).min(targets.saturating_sub(1));
        if !self.records.contains_key(key) {
            self.records.insert(key, Record::default());
        }
        let already = self.is_ejected(now, key);
        let record = self.records.get_mut(key)?;
        record.failures += (1.0 - record.failures) * WEIGHT;
        if already || record.failures <= MAX_FAILURES || ejected >= allowed {
            return None;
        }
        let until = now + time(record.level);
        record.level = (record.level + 1).min(MAX_DOUBLINGS + 1);
        record.until = Some(until);
        // After its return, a target that still fails is ejected again after three failures, not six.
        record.failures = MAX_FAILURES / 2.0;
        Some(until)
    }

    /// Notes that no connection to a target could be opened, and pauses it at once. Returns the end of the pause.
    ///
    /// The share of a service that failures may eject does not apply: a node without a listener can take nothing.
    /// The last target of `targets` is not paused, because the cause may be at this node.
    pub fn unreachable(&mut self, now: Time, key: MemberKey, targets: usize) -> Option<Time> {
        let ejected = self.records.keys().filter(|&k| self.is_ejected(now, k)).count();
        if self.is_ejected(now, key) || ejected + 1 >= targets {
            return None;
        }
        let until = now + BASE_TIME;
        if !self.records.contains_key(key) {
            self.records.insert(key, Record::default());
        }
        self.records.get_mut(key)?.unreachable = Some(until);
        Some(until)
    }

    /// Returns whether the target is ejected or paused now.
    pub fn is_ejected(&self, now: Time, key: MemberKey) -> bool {
        self.records.get(key).is_some_and(|r| {
            let is_failing = r.level > 0 && r.until.is_some_and(|t| now < t);
            is_failing || r.unreachable.is_some_and(|t| now < t)
        })
    }

    /// Forgets a target that is gone.
    pub fn remove(&mut self, key: MemberKey) {
        self.records.remove(key);
    }
}

/// Returns the time of an ejection after `level` earlier ones.
fn time(level: u32) -> Duration {
    BASE_TIME * (1 << level.min(MAX_DOUBLINGS))
}
