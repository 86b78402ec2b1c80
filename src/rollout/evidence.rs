//! Observations of versions in rollout, by source, route and time window.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::RolloutId;
use crate::{keys::MemberId, time::WallTime};

/// The number of latency buckets. Bucket `i` ends at [`FIRST_BUCKET_BOUND`] times 2^i, so the last one starts at
/// 4 s.
pub const LATENCY_BUCKETS: usize = 16;

/// The upper bound of the first latency bucket.
pub const FIRST_BUCKET_BOUND: Duration = Duration::from_micros(250);

/// The length of a short window in milliseconds. Short windows hold only this node's own observations, and show a
/// fault within seconds if the node sees enough calls.
pub const SHORT_WINDOW_MS: u64 = 5_000;

/// The length of a long window in milliseconds. Long windows are exchanged between members. A message has 200 bytes
/// for them, so a fleet of 12 callers needs a few seconds to exchange everything once.
pub const LONG_WINDOW_MS: u64 = 120_000;

/// The maximum number of series over all sources and rollouts: 4,096 of about 320 bytes take 1.3 MB of the 32 MB
/// that a node may use.
pub const MAX_SERIES: usize = 4_096;

/// The maximum count in one window; larger ones from other members are reduced to it.
const MAX_COUNT: u32 = 10_000_000;

/// A group of comparable requests: those of the same route and over the same distance.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stratum {
    /// The hash of the route's prefix and method; 0 for requests that match no route.
    pub route: u16,
    /// Whether the caller's node and the target are in the same data centre; latency depends on the distance.
    pub is_local: bool,
}

/// The length of a window.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WindowLength {
    /// [`SHORT_WINDOW_MS`].
    Short,
    /// [`LONG_WINDOW_MS`].
    Long,
}

impl WindowLength {
    /// Both lengths.
    pub const ALL: [WindowLength; 2] = [WindowLength::Short, WindowLength::Long];

    /// Returns the index of the window that contains `wall`, counted from the Unix epoch.
    pub fn index_at(self, wall: WallTime) -> u64 {
        match self {
            WindowLength::Short => wall.as_millis() / SHORT_WINDOW_MS,
            WindowLength::Long => wall.as_millis() / LONG_WINDOW_MS,
        }
    }
}

/// The outcome of the first attempt of a request.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered without an error after this time, or another attempt answered first after this time.
    Answer(Duration),
    /// The target answered with a status of 500 or more other than 503, or the answer was lost.
    Error,
    /// The target shed the request (status 503).
    Shed,
    /// The deadline passed without an answer.
    Timeout,
}

/// The counts of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests with a known outcome.
    pub ended: u32,
    /// Requests that failed.
    pub errors: u32,
    /// Answers of targets that are not in cold start, by latency bucket.
    pub buckets: [u32; LATENCY_BUCKETS],
}

impl Counts {
    /// Counts one request.
    ///
    /// Cold start explains a slow answer, a timeout and a shed request, so these are no evidence about the version
    /// if the target is cold. It does not explain an error.
    pub fn count(&mut self, outcome: AttemptOutcome, is_cold: bool) {
        match outcome {
            AttemptOutcome::Answer(latency) if !is_cold => {
                let bucket = &mut self.buckets[latency_bucket(latency)];
                *bucket = bucket.saturating_add(1);
            }
            AttemptOutcome::Shed | AttemptOutcome::Timeout if is_cold => return,
            AttemptOutcome::Answer(_) => {}
            AttemptOutcome::Error | AttemptOutcome::Shed | AttemptOutcome::Timeout => {
                self.errors = self.errors.saturating_add(1);
            }
        }
        self.ended = self.ended.saturating_add(1);
    }

    /// Returns the number of answers with a latency.
    pub fn answers(&self) -> u64 {
        self.buckets.iter().map(|&n| u64::from(n)).sum()
    }

    /// Returns the number of answers in buckets above `bucket`.
    pub fn count_above(&self, bucket: usize) -> u64 {
        self.buckets.iter().skip(bucket + 1).map(|&n| u64::from(n)).sum()
    }

    /// Returns the mean bucket index, which estimates the binary logarithm of the geometric mean latency up to a
    /// constant.
    pub fn mean_bucket(&self) -> f64 {
        let sum: f64 = self.buckets.iter().enumerate().map(|(i, &n)| i as f64 * f64::from(n)).sum();
        sum / self.answers().max(1) as f64
    }

    pub(super) fn add(&mut self, other: &Counts) {
        self.merge(other, u32::saturating_add);
    }

    fn merge(&mut self, other: &Counts, with: impl Fn(u32, u32) -> u32) {
        self.ended = with(self.ended, other.ended);
        self.errors = with(self.errors, other.errors);
        for (a, &b) in self.buckets.iter_mut().zip(&other.buckets) {
            *a = with(*a, b);
        }
    }
}

/// The counts of the new version and of all older ones over the same period.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// The version in rollout.
    pub new: Counts,
    /// The older versions.
    pub old: Counts,
}

impl Tally {
    pub(super) fn add(&mut self, other: &Tally) {
        self.new.add(&other.new);
        self.old.add(&other.old);
    }

    /// Takes the larger of each two counts, which is the later one, because the counts of a source only rise
    /// within a window.
    fn merge_max(&mut self, other: &Tally) {
        let later = |a: u32, b: u32| a.max(b.min(MAX_COUNT));
        self.new.merge(&other.new, later);
        self.old.merge(&other.old, later);
    }
}

/// The current and the previous window of one source.
#[derive(Clone, Debug, Default)]
struct Series {
    /// The index of the current window.
    window: u64,
    current: Tally,
    previous: Tally,
}

impl Series {
    /// Returns the tally of a window, which becomes the current one if it is newer, or `None` if it is older than
    /// the previous one.
    fn tally(&mut self, window: u64) -> Option<&mut Tally> {
        if window > self.window {
            let previous = std::mem::take(&mut self.current);
            self.previous = if window == self.window + 1 { previous } else { Tally::default() };
            self.window = window;
        }
        match self.window - window {
            0 => Some(&mut self.current),
            1 => Some(&mut self.previous),
            _ => None,
        }
    }

    /// Adds the counts of a window and of the one before it to `sum`.
    fn sum(&self, window: u64, sum: &mut Tally) {
        if self.window == window {
            sum.add(&self.previous);
        }
        if self.window == window || self.window + 1 == window {
            sum.add(&self.current);
        }
    }
}

/// The key of a series, whose order groups the series of one rollout.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    rollout_id: RolloutId,
    length: WindowLength,
    stratum: Stratum,
    source: MemberId,
}

/// One series as it is sent to other members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvidenceReport {
    /// The rollout that the counts are about.
    pub rollout_id: RolloutId,
    /// The member that counted.
    pub source: MemberId,
    /// The group of comparable requests.
    pub stratum: Stratum,
    /// The index of the long window.
    pub window: u64,
    /// The counts since the start of the window.
    pub tally: Tally,
}

/// All evidence that a node holds.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    series: BTreeMap<Key, Series>,
    /// The series sent last, after which the next report starts.
    last_sent: Option<(RolloutId, Stratum, MemberId)>,
    /// Observations and reports dropped because the table was full.
    rejected: u64,
}

impl Evidence {
    /// Counts an observation of this node.
    pub fn count(
        &mut self,
        wall: WallTime,
        rollout_id: RolloutId,
        stratum: Stratum,
        local_id: MemberId,
        count: impl Fn(&mut Tally),
    ) {
        for length in WindowLength::ALL {
            let key = Key { rollout_id, length, stratum, source: local_id };
            if let Some(tally) = self.tally(key, length.index_at(wall)) {
                count(tally);
            }
        }
    }

    /// Merges the counts of another member. The merge is idempotent and independent of the order: a report that
    /// arrives twice, late or over several members changes nothing.
    pub fn merge(&mut self, wall: WallTime, report: &EvidenceReport) {
        let current = WindowLength::Long.index_at(wall);
        if report.window + 1 < current || report.window > current + 1 {
            return;
        }
        let &EvidenceReport { rollout_id, source, stratum, .. } = report;
        let key = Key { rollout_id, length: WindowLength::Long, stratum, source };
        if let Some(tally) = self.tally(key, report.window) {
            tally.merge_max(&report.tally);
        }
    }

    fn tally(&mut self, key: Key, window: u64) -> Option<&mut Tally> {
        if !self.series.contains_key(&key) && self.series.len() >= MAX_SERIES {
            self.rejected += 1;
            return None;
        }
        let empty = || Series { window, ..Series::default() };
        self.series.entry(key).or_insert_with(empty).tally(window)
    }

    /// Returns the sums over all sources by stratum for the current and the previous window.
    pub fn sums(
        &self,
        wall: WallTime,
        rollout_id: RolloutId,
        length: WindowLength,
    ) -> BTreeMap<Stratum, Tally> {
        let mut sums: BTreeMap<Stratum, Tally> = BTreeMap::new();
        let window = length.index_at(wall);
        for (key, series) in self.series_of(rollout_id).filter(|(key, _)| key.length == length) {
            series.sum(window, sums.entry(key.stratum).or_default());
        }
        sums
    }

    /// Returns the next report to send, in rotation over all sources.
    pub fn next_report(&mut self, wall: WallTime) -> Option<EvidenceReport> {
        let window = WindowLength::Long.index_at(wall);
        let is_current = |(key, series): &(&Key, &Series)| {
            key.length == WindowLength::Long && series.window == window
        };
        let position = |key: &Key| (key.rollout_id, key.stratum, key.source);
        let sent = self.last_sent;
        let is_after = |(key, _): &(&Key, &Series)| sent.is_none_or(|sent| position(key) > sent);
        let next = self.series.iter().filter(is_current).find(is_after);
        let (key, series) = next.or_else(|| self.series.iter().find(is_current))?;
        self.last_sent = Some(position(key));
        Some(EvidenceReport {
            rollout_id: key.rollout_id,
            source: key.source,
            stratum: key.stratum,
            window,
            tally: series.current.clone(),
        })
    }

    /// Returns one of this node's own reports: the one at index `rotation` modulo their number.
    pub fn local_report(
        &self,
        wall: WallTime,
        local_id: MemberId,
        rotation: usize,
    ) -> Option<EvidenceReport> {
        let window = WindowLength::Long.index_at(wall);
        let own = || {
            self.series.iter().filter(|(key, series)| {
                key.source == local_id
                    && key.length == WindowLength::Long
                    && series.window == window
            })
        };
        let (key, series) = own().nth(rotation % own().count().max(1))?;
        let &Key { rollout_id, source, stratum, .. } = key;
        Some(EvidenceReport { rollout_id, source, stratum, window, tally: series.current.clone() })
    }

    /// Drops the evidence of rollouts that `is_wanted` does not include, and series without a count in the current
    /// or previous window.
    pub fn retain(&mut self, wall: WallTime, is_wanted: impl Fn(RolloutId) -> bool) {
        self.series.retain(|key, series| {
            series.window + 1 >= key.length.index_at(wall) && is_wanted(key.rollout_id)
        });
    }

    /// Returns the number of observations and reports dropped because the table was full.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Returns the number of series.
    pub fn len(&self) -> usize {
        self.series.len()
    }

    /// Returns whether there are no series.
    pub fn is_empty(&self) -> bool {
        self.series.is_empty()
    }

    fn series_of(&self, rollout_id: RolloutId) -> impl Iterator<Item = (&Key, &Series)> {
        let stratum = Stratum { route: 0, is_local: false };
        let first = Key { rollout_id, length: WindowLength::Short, stratum, source: MemberId(0) };
        self.series.range(first..).take_while(move |(key, _)| key.rollout_id == rollout_id)
    }
}

fn latency_bucket(latency: Duration) -> usize {
    let units = latency.as_micros() / FIRST_BUCKET_BOUND.as_micros();
    let bucket = (u128::BITS - units.leading_zeros()) as usize;
    bucket.min(LATENCY_BUCKETS - 1)
}
