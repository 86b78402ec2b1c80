//! Ejection of failing targets, each time for longer.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::{keys::MemberKey, time::Time};

/// The weight of a new outcome in the moving average of a target's failures.
const OUTCOME_WEIGHT: f64 = 0.125;

/// The failure share above which a target is ejected: reached by six failures in a row after none.
const MAX_FAILURE_SHARE: f64 = 0.5;

/// The duration of the first ejection, and of the pause of an unreachable target.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);

/// The maximum number of doublings of the ejection time: 500 ms x 2^6 = 32 s.
const MAX_DOUBLINGS: u32 = 6;

/// The failure history of one target.
#[derive(Copy, Clone, Debug, Default)]
struct Record {
    /// The moving average of failures, from 0 to 1.
    failure_share: f64,
    /// Past ejections that still lengthen the next one.
    ejections: u32,
    /// The end of the last ejection, or the time at which an ejection was last forgiven.
    ejected_until: Option<Time>,
    /// The end of the pause after a connection could not be opened.
    paused_until: Option<Time>,
}

/// Ejects failing targets of one service for a time, during which they receive no requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ejector {
    records: SecondaryMap<MemberKey, Record>,
}

impl Ejector {
    /// Creates an ejector that knows no failures.
    pub(crate) fn new() -> Ejector {
        Ejector::default()
    }

    /// Records a successful request.
    ///
    /// The count of past ejections falls by one when as much time as the last ejection took has passed since its end.
    pub(crate) fn record_success(&mut self, now: Time, key: MemberKey) {
        let Some(record) = self.records.get_mut(key) else { return };
        record.failure_share *= 1.0 - OUTCOME_WEIGHT;
        if let Some(until) = record.ejected_until
            && record.ejections > 0
            && now >= until + ejection_time(record.ejections - 1)
        {
            record.ejections -= 1;
            record.ejected_until = Some(now);
        }
    }

    /// Records a failed request and ejects the target if its failure share is too high. Returns the end of the
    /// ejection.
    ///
    /// At most `percent` of the service's `targets` are ejected at once, and never the last one.
    pub(crate) fn record_failure(
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
        let is_already_ejected = self.is_ejected(now, key);
        let record = self.records.get_mut(key)?;
        record.failure_share += (1.0 - record.failure_share) * OUTCOME_WEIGHT;
        if is_already_ejected || record.failure_share <= MAX_FAILURE_SHARE || ejected >= allowed {
            return None;
        }
        let until = now + ejection_time(record.ejections);
        record.ejections = (record.ejections + 1).min(MAX_DOUBLINGS + 1);
        record.ejected_until = Some(until);
        // A target that still fails after its return is ejected again after three failures instead of six.
        record.failure_share = MAX_FAILURE_SHARE / 2.0;
        Some(until)
    }

    /// Records that no connection to a target could be opened and pauses the target at once. Returns the end of the
    /// pause.
    ///
    /// The limit on the share of ejected targets does not apply, because a node without a listener cannot serve
    /// requests. The last of the `targets` is not paused, because the cause may be at this node.
    pub(crate) fn record_unreachable(
        &mut self,
        now: Time,
        key: MemberKey,
        targets: usize,
    ) -> Option<Time> {
        let ejected = self.records.keys().filter(|&k| self.is_ejected(now, k)).count();
        if self.is_ejected(now, key) || ejected + 1 >= targets {
            return None;
        }
        let until = now + BASE_EJECTION_TIME;
        if !self.records.contains_key(key) {
            self.records.insert(key, Record::default());
        }
        self.records.get_mut(key)?.paused_until = Some(until);
        Some(until)
    }

    /// Returns whether the target is ejected or paused now.
    pub(crate) fn is_ejected(&self, now: Time, key: MemberKey) -> bool {
        self.records.get(key).is_some_and(|r| {
            let is_failing = r.ejections > 0 && r.ejected_until.is_some_and(|t| now < t);
            is_failing || r.paused_until.is_some_and(|t| now < t)
        })
    }

    /// Removes the history of a target that is gone.
    pub(crate) fn remove(&mut self, key: MemberKey) {
        self.records.remove(key);
    }
}

/// Returns the duration of an ejection after `ejections` earlier ones.
fn ejection_time(ejections: u32) -> Duration {
    BASE_EJECTION_TIME * (1 << ejections.min(MAX_DOUBLINGS))
}
