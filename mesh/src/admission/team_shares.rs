//! The fair order of teams in the queue of a target that has a shortage.
//!
//! It addresses one large team whose load exceeds the capacity of a target: within one priority, the team that has the
//! fewest requests running and recently started goes first, so that each team gets an equal share of the starts and what
//! a small team leaves goes to the others. Equal shares can leave little for the requests of a large team, and priorities
//! nothing for those of a low one. So a team that gets much less of what it asks for than all together goes ahead of
//! other priorities until it has caught up.

use std::collections::{HashMap, HashSet};

use compact_str::CompactString;

use crate::time::Time;

/// The half-life in seconds of the starts by which teams of one priority are compared. It spans several requests, and a
/// team that was idle for a few seconds does not get all the starts that it has missed.
const RECENT_HALF_LIFE_S: f64 = 1.0;

/// The half-life in seconds of the counts that show whether a team is owed starts. A team that sends one request in some
/// seconds must show in them.
const SERVED_HALF_LIFE_S: f64 = 60.0;

/// The share of the served part of all requests below which a team is owed starts. A team must get a quarter; the rest is
/// for requests that are on their way or expire in the queue.
const OWED_SHARE: f64 = 0.4;

/// The starts that a team must lack before it is owed any, so that the first requests of a team do not go ahead.
const OWED_STARTS: f64 = 1.0;

/// The number of teams that are counted; requests of further ones count as those without a team. Each decision looks at
/// all of them.
const MAX_TEAMS: usize = 256;

/// The activity below which a team is forgotten.
const MIN_ACTIVITY: f64 = 0.01;

/// How many times the tag of a request in a full queue must be that of an arriving one to be displaced by it.
const DISPLACING_RATIO: u64 = 2;

/// The resolution of tags.
const TAGS_PER_START: f64 = 1_000.0;

/// The sort key of a waiting request: lateness, whether its route mostly fails, whether its team is owed nothing,
/// priority, tag and objective.
pub(super) type FairKey = (bool, bool, bool, u8, u64, Time);

/// Lateness, whether the route mostly fails, and priority.
pub(super) type Class = (bool, bool, u8);

/// A waiting request as the order of teams sees it.
#[derive(Copy, Clone, Debug)]
pub(super) struct Waiting<'a> {
    pub(super) class: Class,
    pub(super) team: Option<&'a CompactString>,
    pub(super) objective: Time,
}

/// A count that decays with time.
#[derive(Copy, Clone, Debug, Default)]
struct Decaying {
    count: f64,
    at: Time,
}

impl Decaying {
    fn get(&self, now: Time, half_life_s: f64) -> f64 {
        self.count * 0.5_f64.powf(now.since(self.at).as_secs_f64() / half_life_s)
    }

    fn increment(&mut self, now: Time, half_life_s: f64) {
        *self = Decaying { count: self.get(now, half_life_s) + 1.0, at: now };
    }
}

/// What a team has asked for and got at this target.
#[derive(Copy, Clone, Debug, Default)]
struct Usage {
    running: u32,
    recent: Decaying,
    arrived: Decaying,
    started: Decaying,
}

impl Usage {
    /// Returns the number of running and recently started requests.
    fn level(&self, now: Time) -> f64 {
        f64::from(self.running) + self.recent.get(now, RECENT_HALF_LIFE_S)
    }

    fn arrived(&self, now: Time) -> f64 {
        self.arrived.get(now, SERVED_HALF_LIFE_S)
    }

    fn started(&self, now: Time) -> f64 {
        self.started.get(now, SERVED_HALF_LIFE_S)
    }

    fn is_idle(&self, now: Time) -> bool {
        self.running == 0 && self.arrived(now) < MIN_ACTIVITY
    }
}

/// The usage of a target by team. Requests without a team count together as a team that weighs as much as all others,
/// since nested calls are among them.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamShares {
    usages: HashMap<Option<CompactString>, Usage>,
    /// Whether a request of a team has arrived here. Until then nothing is counted or reordered.
    has_teams: bool,
}

impl TeamShares {
    /// Returns whether requests of teams arrive here, so that the queue has the fair order.
    pub(super) fn has_teams(&self) -> bool {
        self.has_teams
    }

    /// Returns the number of teams that are counted.
    pub(super) fn len(&self) -> usize {
        self.usages.len()
    }

    /// Records that a request arrived.
    pub(super) fn record_arrival(&mut self, now: Time, team: Option<&CompactString>) {
        self.has_teams |= team.is_some();
        if !self.has_teams {
            return;
        }
        if self.usages.len() >= MAX_TEAMS {
            self.usages.retain(|_, usage| !usage.is_idle(now));
        }
        let team = team.filter(|_| self.usages.len() < MAX_TEAMS || self.is_known(team)).cloned();
        self.usages.entry(team).or_default().arrived.increment(now, SERVED_HALF_LIFE_S);
    }

    /// Records that a request started.
    pub(super) fn record_start(&mut self, now: Time, team: Option<&CompactString>) {
        if let Some(usage) = self.usage_mut(team) {
            usage.running += 1;
            usage.recent.increment(now, RECENT_HALF_LIFE_S);
            usage.started.increment(now, SERVED_HALF_LIFE_S);
        }
    }

    /// Records that a request that had started ended.
    pub(super) fn record_end(&mut self, team: Option<&CompactString>) {
        if let Some(usage) = self.usage_mut(team) {
            usage.running = usage.running.saturating_sub(1);
        }
    }

    /// Returns the sort keys of waiting requests, in their order.
    ///
    /// The n-th request of a team in its class, by objective, has the tag that it would have if the ones before it had
    /// started. So the order is that in which the requests would start if no other arrived.
    pub(super) fn keys(&self, now: Time, waiting: &[Waiting<'_>]) -> Vec<FairKey> {
        let teams: HashSet<_> = waiting.iter().filter_map(|waiting| waiting.team).collect();
        let others = self.usages.iter().filter(|(team, usage)| {
            team.as_ref().is_some_and(|team| !teams.contains(team)) && usage.level(now) >= 1.0
        });
        let weight = (teams.len() + others.count()).max(1) as f64;
        let served = self.served_share(now);
        let mut flows: HashMap<Option<&CompactString>, (f64, bool)> = HashMap::new();
        let mut ahead: HashMap<(Class, Option<&CompactString>), f64> = HashMap::new();
        let mut keys = vec![FairKey::default(); waiting.len()];
        let mut indexes: Vec<usize> = (0..waiting.len()).collect();
        indexes.sort_by_key(|&index| waiting[index].objective);
        for index in indexes {
            let Waiting { class, team, objective } = waiting[index];
            let (level, is_owed) = *flows.entry(team).or_insert_with(|| {
                let usage = self.usage(team).copied().unwrap_or_default();
                (usage.level(now), is_owed(now, &usage, served))
            });
            let ahead = ahead.entry((class, team)).or_default();
            let weight = if team.is_some() { 1.0 } else { weight };
            let tag = ((level + *ahead) / weight * TAGS_PER_START) as u64;
            *ahead += 1.0;
            let (is_late, mostly_fails, priority) = class;
            keys[index] = (is_late, mostly_fails, !is_owed, priority, tag, objective);
        }
        keys
    }

    /// Returns the share of all requests that has started.
    fn served_share(&self, now: Time) -> f64 {
        let arrived: f64 = self.usages.values().map(|usage| usage.arrived(now)).sum();
        let started: f64 = self.usages.values().map(|usage| usage.started(now)).sum();
        if arrived > 0.0 { started / arrived } else { 1.0 }
    }

    fn is_known(&self, team: Option<&CompactString>) -> bool {
        self.usages.contains_key(&team.cloned())
    }

    /// Returns the usage of a team, or that of requests without a team if the team is not counted.
    fn usage(&self, team: Option<&CompactString>) -> Option<&Usage> {
        self.usages.get(&team.cloned()).or_else(|| self.usages.get(&None))
    }

    fn usage_mut(&mut self, team: Option<&CompactString>) -> Option<&mut Usage> {
        let team = team.filter(|_| self.is_known(team)).cloned();
        self.usages.get_mut(&team)
    }
}

/// Returns whether a team gets so much less of what it asks for than all together that it goes first.
fn is_owed(now: Time, usage: &Usage, served_share: f64) -> bool {
    usage.started(now) + OWED_STARTS < usage.arrived(now) * served_share * OWED_SHARE
}

/// Returns whether an arriving request displaces the last one of a full queue: its team is far above its share.
pub(super) fn may_displace(own: &FairKey, last: &FairKey) -> bool {
    let class = |key: &FairKey| (key.0, key.1, key.2, key.3);
    class(own) == class(last) && last.4 / DISPLACING_RATIO > own.4
}

#[cfg(test)]
mod tests;
