//! The share of a data centre's demand for one service that goes to other data centres.
//!
//! The decision compares the load of the local targets with the load that they bear within the time to the objective.
//! All nodes of a data centre see about the same reports and send about the same share away, which is drawn for each
//! request, so that they do not all send everything at once.

mod average;
mod capacity;
mod table;

use std::{collections::VecDeque, time::Duration};

use compact_str::CompactString;
use rand::{Rng as _, rngs::SmallRng};

use self::average::Average;
pub(crate) use self::{
    capacity::{CentreLoad, MeanDemand, Travel, travel_time},
    table::{LoadSource, SpillTable},
};
use crate::{placement::Demand, time::Time};

/// The mean age in seconds up to which reports count fully. Those of the own data centre are at most 0.5 s apart.
const NEW_AGE_S: f64 = 0.3;

/// The time constant in seconds of the counts of answers by data centre.
const ANSWERS_S: f64 = 1.0;

/// The weight of the decided shares beside the counted answers, in answers. A node with few requests relies on them.
const PRIOR_ANSWERS: f64 = 10.0;

/// The rise of the share per second under a shortage. Callers are late until it has risen.
const RISE_PER_S: f64 = 0.5;

/// The fall of the share per second once local targets suffice. It is a tenth of the rise, so that a swing of the demand
/// or a short gap in it does not make the share oscillate.
const FALL_PER_S: f64 = 0.05;

/// The share from which traffic starts to leave. Smaller shortages are within the noise of the reports.
const START_SHARE: f64 = 0.05;

/// The share below which no more traffic leaves.
const STOP_SHARE: f64 = 0.01;

/// The difference between the present and the computed share that is ignored.
const DEAD_BAND: f64 = 0.03;

/// The highest share that leaves. The rest shows how much the local targets bear.
const MAX_SHARE: f64 = 0.9;

/// The part of its room that a data centre gets in the first moment after its return.
const FIRST_RAMP: f64 = 0.1;

/// The time in seconds after which a data centre that has returned gets its full share. Its targets and connections are
/// cold, and all other data centres turn to it at the same time.
const RAMP_S: f64 = 10.0;

/// The load of a data centre, as a part of the load that it bears, from which it counts as one that sends traffic away and
/// takes no more. It is below the load at which traffic leaves, so that two data centres do not send each other traffic.
/// The free room of the others is divided among all that send.
const FULL_LOAD: f64 = 0.9;

/// The idle part of the local targets' limits above which there is no shortage. A target that is slow for a moment bears less
/// within the time to the objective, but while there are idle ones the choice for each request evades it.
const IDLE_SHARE: f64 = 0.3;

/// The time between two decisions above which the earlier state is discarded, because the process was suspended.
const MAX_GAP: Duration = Duration::from_secs(1);

/// The number of earlier decisions whose shares are kept. At ten per second they reach back further than usable reports.
const HISTORY_LEN: usize = 40;

/// Why a share of the demand leaves the data centre, or why none does.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum SpillReason {
    /// No decision: the own data centre, or each other one, has no usable targets.
    #[default]
    Unknown,
    /// The local targets bear the demand.
    Sufficient,
    /// The local targets do not bear the demand.
    Shortage,
    /// The local targets do not bear the demand, and the other data centres bear only a part of the rest.
    Limited,
    /// The local targets bear the demand again, and the share falls slowly.
    Recovering,
}

impl SpillReason {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            SpillReason::Unknown => "unknown",
            SpillReason::Sufficient => "sufficient",
            SpillReason::Shortage => "shortage",
            SpillReason::Limited => "limited",
            SpillReason::Recovering => "recovering",
        }
    }
}

/// Another data centre, as the decision sees it.
#[derive(Clone, Debug)]
struct Remote {
    centre: CompactString,
    /// When it appeared or returned, unless it was there at the first decision.
    since: Option<Time>,
    /// The part of this data centre's demand that goes there.
    share: f64,
    /// The load that it bears beside that of the other data centres.
    room: Average,
    /// The answers to callers of this node that came from there, with exponential decay.
    answers: f64,
    /// The shares after the last decisions, newest first.
    past: VecDeque<f64>,
}

impl Remote {
    fn new(since: Option<Time>, centre: CompactString) -> Remote {
        let past = VecDeque::new();
        Remote { centre, since, share: 0.0, room: Average::default(), answers: 0.0, past }
    }

    /// Returns the share that was in force `age` ago, in intervals between decisions of `interval` seconds.
    fn share_before(&self, age: Duration, interval: f64) -> f64 {
        let index = (age.as_secs_f64() / interval.max(0.01)) as usize;
        self.past.get(index).or(self.past.back()).copied().unwrap_or(0.0)
    }

    /// Returns the part of its room that may be used. It rises step by step after a return.
    fn ramp(&self, now: Time) -> f64 {
        let ramp = |since| FIRST_RAMP + now.since(since).as_secs_f64() / RAMP_S;
        self.since.map_or(1.0, |since| ramp(since).min(1.0))
    }
}

/// The decision of one node for one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Spill {
    remotes: Vec<Remote>,
    /// The load that would be at the local targets if no traffic left.
    demand: Average,
    /// The idle part of the local targets' limits.
    idle: Average,
    /// All answers to callers of this node, with exponential decay.
    answers: f64,
    reason: SpillReason,
    decided: Time,
    /// Whether a decision was possible before, so that a data centre seen for the first time has returned.
    is_started: bool,
}

impl Spill {
    /// Updates the shares from the load of the data centres that may receive requests. Data centres out of service and
    /// ones without usable targets are absent from `loads`. `service` is the nominal service time.
    pub(crate) fn update(
        &mut self,
        now: Time,
        centre: &str,
        loads: &[CentreLoad],
        service: Duration,
    ) {
        let gap = now.since(self.decided);
        if gap > MAX_GAP {
            *self = Spill::default();
        }
        self.decided = now;
        let interval = if gap > MAX_GAP { 0.0 } else { gap.as_secs_f64() };
        let local = loads.iter().find(|load| load.centre == centre);
        let others = || loads.iter().filter(|load| load.centre != centre);
        self.update_remotes(now, others());
        let (Some(local), false) = (local, self.remotes.is_empty()) else {
            let is_started = self.is_started;
            *self = Spill { decided: now, is_started, ..Spill::default() };
            return;
        };
        self.is_started = true;
        self.decay_answers(interval);
        let age = local.age + service;
        let sent: f64 = self.remotes.iter().map(|remote| self.sent(remote, age, interval)).sum();
        let demand = local.load / (1.0 - sent.min(MAX_SHARE));
        let demand = self.demand.update(demand, demand, interval * weight_of(local.age));
        self.update_rooms(demand, service, loads, interval);
        let idle = local.idle / local.limit.max(1.0);
        let idle = self.idle.update(idle, 1.0, interval * weight_of(local.age));
        let bearable = if idle > IDLE_SHARE { local.bearable.max(demand) } else { local.bearable };
        self.update_shares(now, demand, bearable, interval);
    }

    /// Counts an answer to a caller of this node.
    pub(crate) fn record_answer(&mut self, centre: &str) {
        self.answers += 1.0;
        if let Some(remote) = self.remotes.iter_mut().find(|remote| remote.centre == centre) {
            remote.answers += 1.0;
        }
    }

    fn decay_answers(&mut self, interval: f64) {
        let keep = (-interval / ANSWERS_S).exp();
        self.answers *= keep;
        self.remotes.iter_mut().for_each(|remote| remote.answers *= keep);
    }

    /// Returns the share of the demand that was sent to a data centre `age` ago. Requests are also sent there by their own
    /// cost, so the decided share alone would be too low.
    fn sent(&self, remote: &Remote, age: Duration, interval: f64) -> f64 {
        let decided = remote.share_before(age, interval) * PRIOR_ANSWERS;
        (remote.answers + decided) / (self.answers + PRIOR_ANSWERS)
    }

    /// Adds data centres that have appeared, and removes those that are gone, at once and with their shares.
    fn update_remotes<'a>(&mut self, now: Time, loads: impl Iterator<Item = &'a CentreLoad>) {
        let mut earlier = std::mem::take(&mut self.remotes);
        for load in loads {
            let known = earlier.iter().position(|remote| remote.centre == load.centre);
            self.remotes.push(match known {
                Some(index) => earlier.swap_remove(index),
                None => Remote::new(self.is_started.then_some(now), load.centre.clone()),
            });
        }
    }

    /// Updates how much of this data centre's demand each other one bears.
    fn update_rooms(
        &mut self,
        demand: f64,
        service: Duration,
        loads: &[CentreLoad],
        interval: f64,
    ) {
        for index in 0..self.remotes.len() {
            let remote = &self.remotes[index];
            let Some(load) = loads.iter().find(|load| load.centre == remote.centre) else {
                continue;
            };
            let claims = |other: &&CentreLoad| other.load >= other.bearable * FULL_LOAD;
            let rivals = loads.iter().filter(|other| other.centre != remote.centre);
            let claimants = rivals.filter(claims).count().max(1);
            let own = self.sent(remote, load.age + service, interval) * demand;
            let room = own + (load.bearable * FULL_LOAD - load.load) / claimants as f64;
            let weighted = interval * weight_of(load.age);
            self.remotes[index].room.update(room.max(0.0), demand, weighted);
        }
    }

    fn update_shares(&mut self, now: Time, demand: f64, bearable: f64, interval: f64) {
        let demand = demand.max(f64::MIN_POSITIVE);
        let room = |remote: &Remote| remote.room.get() * remote.ramp(now);
        let all_room: f64 = self.remotes.iter().map(room).sum();
        let excess = (demand - bearable).max(0.0);
        let target = (excess.min(all_room) / demand).min(MAX_SHARE);
        let share = next_share(self.share(), target, interval).min(all_room / demand);
        for remote in &mut self.remotes {
            remote.share = if share > 0.0 { share * room(remote) / all_room } else { 0.0 };
            remote.past.push_front(remote.share);
            remote.past.truncate(HISTORY_LEN);
        }
        self.reason = if excess > all_room && excess / demand >= START_SHARE {
            SpillReason::Limited
        } else if share == 0.0 {
            SpillReason::Sufficient
        } else if target < share - DEAD_BAND {
            SpillReason::Recovering
        } else {
            SpillReason::Shortage
        };
    }

    /// Returns the share of the demand that leaves the data centre.
    pub(crate) fn share(&self) -> f64 {
        self.remotes.iter().map(|remote| remote.share).sum()
    }

    /// Returns the shares of the other data centres that get one.
    pub(crate) fn shares(&self) -> impl Iterator<Item = (&CompactString, f64)> {
        let shares = self.remotes.iter().map(|remote| (&remote.centre, remote.share));
        shares.filter(|&(_, share)| share > 0.0)
    }

    pub(crate) fn reason(&self) -> SpillReason {
        self.reason
    }

    /// Draws the data centre for a request, or `None` if its choice is not restricted. `mean_size` is that of all
    /// requests of the service: larger requests leave more rarely than smaller ones, and the share of all is unchanged
    /// in the long run, because the decision follows the load.
    pub(crate) fn draw(
        &self,
        demand: &Demand,
        mean_size: f64,
        rng: &mut SmallRng,
    ) -> Option<&CompactString> {
        let share = self.share();
        let time = demand.nominal_service + travel_time(f64::from(demand.size));
        if share <= 0.0 || time > demand.time_left {
            return None;
        }
        let size = (f64::from(demand.size) / mean_size.max(1.0)).clamp(0.5, 2.0);
        let chance = share.powf(size);
        let drawn = rng.random_range(0.0..1.0);
        if drawn >= chance {
            return None;
        }
        let mut left = drawn / chance * share;
        let mut found = None;
        for (centre, share) in self.shares() {
            found = Some(centre);
            left -= share;
            if left < 0.0 {
                break;
            }
        }
        found
    }
}

/// Returns the weight of a report in an average. The reports of one moment would count many times if they are old.
fn weight_of(age: Duration) -> f64 {
    NEW_AGE_S / age.as_secs_f64().max(NEW_AGE_S)
}

/// Returns the share after `interval` seconds: it rises fast and falls slowly.
fn next_share(share: f64, target: f64, interval: f64) -> f64 {
    let next = if share == 0.0 {
        if target < START_SHARE { 0.0 } else { target.min(RISE_PER_S * interval) }
    } else if target > share + DEAD_BAND {
        (share + RISE_PER_S * interval).min(target)
    } else if target < share - DEAD_BAND || target == 0.0 {
        (share - FALL_PER_S * interval).max(target)
    } else {
        share
    };
    if next < STOP_SHARE && target == 0.0 { 0.0 } else { next }
}

#[cfg(test)]
mod tests;
