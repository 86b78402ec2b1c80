//! The share of a data centre's demand for one service that goes to other data centres.
//!
//! The decision compares the load of the local targets with the load that they bear within the time to the objective.
//! All nodes of a data centre see about the same reports and send about the same share away, which is drawn for each
//! request, so that they do not all send everything at once.

mod capacity;
mod table;

use std::{collections::VecDeque, time::Duration};

use compact_str::CompactString;
use rand::{Rng as _, rngs::SmallRng};

pub(crate) use self::{
    capacity::{CentreLoad, MeanDemand, Travel, travel_time},
    table::{LoadSource, SpillTable},
};
use crate::{placement::Demand, time::Time};

/// The time constant in seconds of the averages of demand and load. Reports of single moments vary by several requests.
const SMOOTHING_S: f64 = 0.5;

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

/// The load of a data centre, as a part of the load that it bears, from which it counts as one that sends traffic away.
/// The free room of the others is divided among these.
const CLAIM_LOAD: f64 = 0.9;

/// The time between two decisions above which the earlier state is discarded, because the process was suspended.
const MAX_GAP: Duration = Duration::from_secs(1);

/// The number of earlier decisions whose shares are kept. At ten per second they reach back further than usable reports.
const HISTORY_LEN: usize = 40;

/// The most data centres compared for one service. Further ones receive traffic only by the cost of a request.
pub(crate) const MAX_CENTRES: usize = 16;

/// Why a share of the demand leaves the data centre, or why none does.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum SpillReason {
    /// No decision: only one data centre, or the own one, has no usable targets.
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
    /// When it appeared or returned.
    since: Time,
    /// The part of this data centre's demand that goes there.
    share: f64,
    /// Its part of the whole share, as a moving average.
    weight: f64,
    /// The load that it bears beyond its present load without that of this data centre, as a moving average.
    room: f64,
    /// The shares after the last decisions, newest first.
    past: VecDeque<f64>,
}

impl Remote {
    fn new(now: Time, centre: CompactString) -> Remote {
        let past = VecDeque::new();
        Remote { centre, since: now, share: 0.0, weight: 0.0, room: 0.0, past }
    }

    /// Returns the share that was in force `age` ago, in intervals between decisions of `interval` seconds.
    fn share_before(&self, age: Duration, interval: f64) -> f64 {
        let index = (age.as_secs_f64() / interval.max(0.01)) as usize;
        self.past.get(index).or(self.past.back()).copied().unwrap_or(0.0)
    }

    /// Returns the part of its room that may be used. It rises step by step after a return.
    fn ramp(&self, now: Time) -> f64 {
        (FIRST_RAMP + now.since(self.since).as_secs_f64() / RAMP_S).min(1.0)
    }
}

/// The decision of one node for one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Spill {
    remotes: Vec<Remote>,
    /// The load that would be at the local targets if no traffic left, as a moving average.
    demand: Option<f64>,
    reason: SpillReason,
    decided: Time,
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
        let interval = gap.min(MAX_GAP).as_secs_f64();
        let local = loads.iter().find(|load| load.centre == centre);
        let others = || loads.iter().filter(|load| load.centre != centre).take(MAX_CENTRES);
        self.update_remotes(now, others());
        let (Some(local), false) = (local, self.remotes.is_empty()) else {
            *self = Spill { decided: now, ..Spill::default() };
            return;
        };
        let sent = |remote: &Remote| remote.share_before(local.age + service, interval);
        let stayed = 1.0 - self.remotes.iter().map(sent).sum::<f64>().min(MAX_SHARE);
        let demand = smooth(self.demand, local.load / stayed, interval);
        self.demand = Some(demand);
        self.update_rooms(demand, service, loads, interval);
        self.update_shares(now, demand, local.bearable, interval);
    }

    /// Adds data centres that have appeared, and removes those that are gone, at once and with their shares.
    fn update_remotes<'a>(&mut self, now: Time, loads: impl Iterator<Item = &'a CentreLoad>) {
        let mut earlier = std::mem::take(&mut self.remotes);
        for load in loads {
            let known = earlier.iter().position(|remote| remote.centre == load.centre);
            self.remotes.push(match known {
                Some(index) => earlier.swap_remove(index),
                None => Remote::new(now, load.centre.clone()),
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
        for remote in &mut self.remotes {
            let Some(load) = loads.iter().find(|load| load.centre == remote.centre) else {
                continue;
            };
            let claims = |other: &&CentreLoad| other.load >= other.bearable * CLAIM_LOAD;
            let rivals = loads.iter().filter(|other| other.centre != remote.centre);
            let claimants = rivals.filter(claims).count().max(1);
            let own = remote.share_before(load.age + service, interval) * demand;
            let room = own + (load.bearable - load.load) / claimants as f64;
            let known = (!remote.past.is_empty()).then_some(remote.room);
            remote.room = smooth(known, room.max(0.0), interval);
        }
    }

    fn update_shares(&mut self, now: Time, demand: f64, bearable: f64, interval: f64) {
        let demand = demand.max(f64::MIN_POSITIVE);
        let rooms: Vec<f64> =
            self.remotes.iter().map(|remote| remote.room * remote.ramp(now)).collect();
        let all_room: f64 = rooms.iter().sum();
        let excess = (demand - bearable).max(0.0);
        let target = (excess.min(all_room) / demand).min(MAX_SHARE);
        let share = next_share(self.share(), target, interval).min(all_room / demand);
        let keep = (-interval / SMOOTHING_S).exp();
        for (remote, room) in self.remotes.iter_mut().zip(&rooms) {
            let weight = if all_room > 0.0 { room / all_room } else { 0.0 };
            let earlier = if remote.past.is_empty() { weight } else { remote.weight };
            remote.weight = earlier * keep + weight * (1.0 - keep);
        }
        let all_weight: f64 = self.remotes.iter().map(|remote| remote.weight).sum();
        for (remote, room) in self.remotes.iter_mut().zip(&rooms) {
            let part = if all_weight > 0.0 { remote.weight / all_weight } else { 0.0 };
            remote.share = (share * part).min(room / demand);
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

fn smooth(known: Option<f64>, new: f64, interval: f64) -> f64 {
    let keep = (-interval / SMOOTHING_S).exp();
    known.map_or(new, |known| known * keep + new * (1.0 - keep))
}

#[cfg(test)]
mod tests;
