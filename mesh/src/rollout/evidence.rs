//! Evidence about a new version: its failures and service times compared with those of the old
//! version, and its failures at busy targets compared with those at others.
//!
//! Some versions fail only under load. Their failures are few among all responses, but many among
//! those that began with at least half of the target's slots taken, so these are counted
//! separately.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    keys::MemberId,
    statistics::{MantelHaenszel, Proportion, fisher_exact},
    tally::Tally,
    time::Time,
};

/// The window of recent responses of the new version.
const RECENT_WINDOW: Duration = Duration::from_millis(2_500);

/// The window of the old version's responses with which recent responses of the new version are
/// compared.
const OLD_VERSION_WINDOW: Duration = Duration::from_secs(6);

/// The minimum number of failures that counts as evidence.
const MIN_FAILURES: u32 = 4;

/// The minimum difference between the failure rates of the new and the old version.
const MIN_FAILURE_EXCESS: f64 = 0.03;

/// The minimum difference between the failure rate at busy targets and that at others.
const MIN_LOAD_EXCESS: f64 = 0.1;

/// The p-value below which a difference counts as a fault. A false alarm costs one rollout, a
/// missed fault exposes callers to it.
const FAULT_P_VALUE: f64 = 1e-3;

/// The z-score over all strata that corresponds to [`FAULT_P_VALUE`].
const FAULT_Z_SCORE: f64 = 3.1;

/// The z-score over all strata that corresponds to [`DOUBT_P_VALUE`].
const DOUBT_Z_SCORE: f64 = 1.9;

/// The duration of a stratum. Conditions that affect all targets change over seconds.
const STRATUM_DURATION: Duration = Duration::from_secs(1);

/// The p-value below which a rollout is not completed yet.
const DOUBT_P_VALUE: f64 = 0.03;

/// The minimum number of timed responses of each version for a comparison of service times.
const MIN_TIMED_RESPONSES: u32 = 12;

/// The ratio of mean service times above which a version counts as slow.
const SLOW_RATIO: f64 = 2.2;

/// The result of judging a version.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// There is too little evidence, or none of a fault.
    NoFault,
    /// The version fails more often than the old one.
    Failing,
    /// The version fails at busy targets.
    FailingUnderLoad,
    /// The version is slower than the old one.
    Slow,
}

impl Verdict {
    /// Returns the name used in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Verdict::NoFault => "no-fault",
            Verdict::Failing => "failing",
            Verdict::FailingUnderLoad => "failing-under-load",
            Verdict::Slow => "slow",
        }
    }
}

/// The counts and the load of one member's target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemberSample {
    pub(crate) member: MemberId,
    pub(crate) is_new: bool,
    pub(crate) tally: Tally,
    pub(crate) running: u32,
    pub(crate) is_open: bool,
}

/// Responses of both versions. Counts of members that have restarted or left are included.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    last_tallies: HashMap<MemberId, Tally>,
    has_baseline: bool,
    pub(super) total: Tallies,
    /// The responses counted since the current stratum began.
    stratum: Tallies,
    stratum_start: Time,
    strata: MantelHaenszel,
    /// Failures at busy targets compared with those at others, for the new and the old version.
    load_strata: [MantelHaenszel; 2],
    updated_at: Time,
    /// The responses added within [`OLD_VERSION_WINDOW`], the oldest first.
    recent: VecDeque<(Time, Tallies)>,
}

/// Response counts of the new version and of the old ones.
#[derive(Copy, Clone, Debug, Default, PartialEq)]
pub(crate) struct Tallies {
    pub(crate) new: Tally,
    pub(crate) old: Tally,
}

impl Tallies {
    fn add(&mut self, other: &Tallies) {
        self.new.add(&other.new);
        self.old.add(&other.old);
    }
}

impl Evidence {
    /// Adds the responses that members have counted since the last update.
    pub(super) fn update(&mut self, now: Time, samples: &[MemberSample]) {
        let mut added = Tallies::default();
        for sample in samples {
            let last = self.last_tallies.insert(sample.member, sample.tally).unwrap_or_default();
            let side = if sample.is_new { &mut added.new } else { &mut added.old };
            side.add(&sample.tally.since(&last));
        }
        self.total.add(&added);
        if self.start_if_first(now) {
            // Counts from before this node started cover different periods for each member and
            // mostly concern old targets, so they are not compared.
            self.updated_at = now;
            return;
        }
        self.stratum.add(&added);
        if now.since(self.stratum_start) >= STRATUM_DURATION {
            let Tallies { new, old } = std::mem::take(&mut self.stratum);
            self.strata.add(failures(&new), failures(&old));
            for (load, tally) in self.load_strata.iter_mut().zip([&new, &old]) {
                load.add(tally.at_load(), tally.at_light_load());
            }
            self.stratum_start = now;
        }
        self.updated_at = now;
        self.recent.push_back((now, added));
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) > OLD_VERSION_WINDOW) {
            self.recent.pop_front();
        }
    }

    /// Starts the first stratum if this is the first update, and returns whether it is.
    fn start_if_first(&mut self, now: Time) -> bool {
        let is_first = !self.has_baseline;
        if is_first {
            self.has_baseline = true;
            self.stratum_start = now;
        }
        is_first
    }

    /// Compares the versions over the whole rollout and over the recent windows, because some
    /// faults occur only under load.
    ///
    /// Once the new version is proven, the old one receives fewer and fewer requests. A disturbance
    /// that begins then shows only in the new version's recent responses, so only responses of the
    /// same strata are compared.
    pub(super) fn judge(&self, is_proven: bool) -> Verdict {
        let is_failing = self.total.new.bad >= MIN_FAILURES && self.strata.score() > FAULT_Z_SCORE;
        if is_failing && exceeds_failure_rate(&self.total) {
            return Verdict::Failing;
        }
        if self.fails_under_load() {
            return Verdict::FailingUnderLoad;
        }
        if is_proven {
            return Verdict::NoFault;
        }
        let windows = [self.recent_tallies(RECENT_WINDOW), self.recent_tallies(OLD_VERSION_WINDOW)];
        let mut verdicts =
            windows.iter().flat_map(|tallies| [compare(tallies), compare_under_load(tallies)]);
        verdicts.find(|verdict| *verdict != Verdict::NoFault).unwrap_or(Verdict::NoFault)
    }

    /// Returns whether the new version fails more often at busy targets than at others while the
    /// old one does not.
    fn fails_under_load(&self) -> bool {
        let [new, old] = self.load_strata.map(|load| load.score());
        let tally = &self.total.new;
        let excess = rate(tally.at_load()) - rate(tally.at_light_load());
        tally.at_load().hits >= u64::from(MIN_FAILURES)
            && excess >= MIN_LOAD_EXCESS
            && new > FAULT_Z_SCORE
            && old < DOUBT_Z_SCORE
    }

    /// Returns whether the new version may be faulty although the evidence does not suffice for a
    /// verdict.
    pub(super) fn is_doubtful(&self, is_proven: bool) -> bool {
        let is_suspicious = |Tallies { new, old }: &Tallies| {
            new.bad > 1 && fisher_exact(failures(new), failures(old)) < DOUBT_P_VALUE
        };
        let is_suspicious_now =
            || !is_proven && is_suspicious(&self.recent_tallies(OLD_VERSION_WINDOW));
        let [new, old] = self.load_strata.map(|load| load.score());
        let is_suspicious_at_load = new > DOUBT_Z_SCORE && old < DOUBT_Z_SCORE;
        self.strata.score() > DOUBT_Z_SCORE || is_suspicious_at_load || is_suspicious_now()
    }

    /// Returns the recent responses of the new version and those of the old version within `old`,
    /// which is longer because the old version receives few requests once traffic has shifted.
    fn recent_tallies(&self, old: Duration) -> Tallies {
        let mut recent = Tallies::default();
        for (at, added) in &self.recent {
            let age = self.updated_at.since(*at);
            if age <= RECENT_WINDOW {
                recent.new.add(&added.new);
            }
            if age <= old {
                recent.old.add(&added.old);
            }
        }
        recent
    }
}

/// Compares the responses of both versions over the same period.
pub(crate) fn compare(tallies: &Tallies) -> Verdict {
    let Tallies { new, old } = tallies;
    if new.bad >= MIN_FAILURES
        && exceeds_failure_rate(tallies)
        && fisher_exact(failures(new), failures(old)) < FAULT_P_VALUE
    {
        return Verdict::Failing;
    }
    let mean = |tally: &Tally| f64::from(tally.service_ms) / f64::from(tally.timed.max(1));
    let is_comparable = new.timed >= MIN_TIMED_RESPONSES && old.timed >= MIN_TIMED_RESPONSES;
    if is_comparable && mean(new) > SLOW_RATIO * mean(old) {
        return Verdict::Slow;
    }
    Verdict::NoFault
}

/// Compares responses of the new version at busy targets with all responses of the old version over
/// the same period.
fn compare_under_load(tallies: &Tallies) -> Verdict {
    let (new, old) = (tallies.new.at_load(), failures(&tallies.old));
    let is_excess = rate(new) - rate(old) >= MIN_LOAD_EXCESS;
    if new.hits >= u64::from(MIN_FAILURES) && is_excess && fisher_exact(new, old) < FAULT_P_VALUE {
        return Verdict::FailingUnderLoad;
    }
    Verdict::NoFault
}

fn exceeds_failure_rate(Tallies { new, old }: &Tallies) -> bool {
    rate(failures(new)) - rate(failures(old)) >= MIN_FAILURE_EXCESS
}

fn rate(proportion: Proportion) -> f64 {
    proportion.hits as f64 / proportion.trials.max(1) as f64
}

fn failures(tally: &Tally) -> Proportion {
    Proportion { hits: tally.bad.into(), trials: (tally.good + tally.bad).into() }
}
