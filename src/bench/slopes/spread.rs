//! The time in which a revision reaches all members of a region.

use std::time::Duration;

use super::{Slope, region::Region};
use crate::time::Time;

/// Members of a region. All of them hold the whole table, so that larger regions would take gigabytes.
const SIZES: [u32; 4] = [64, 128, 256, 512];

/// The seats that receive a revision from the platform: three in each of two data centres, which is the average
/// of a region (20 data centres in 9 regions).
pub(super) const SEATS: usize = 6;

/// The time in which members settle before the revision.
const SETTLE: Duration = Duration::from_secs(3);

/// The time in which a revision may spread.
const PATIENCE: Duration = Duration::from_secs(30);

/// The seeds of one measurement; the times are the means over them.
const RUNS: u64 = 3;

/// How a revision spread through a region.
#[derive(Copy, Clone, Debug, PartialEq)]
pub(super) struct Spread {
    /// The time until 99 of 100 members had the revision, in seconds.
    pub(super) most: f64,
    /// The time until all members had it, in seconds.
    pub(super) all: f64,
}

pub(super) fn measure(seed: u64) -> Vec<Slope> {
    let spreads = SIZES.map(|members| {
        let runs: Vec<Spread> = (0..RUNS).map(|run| spread(members, seed + run)).collect();
        (f64::from(members).log2(), runs)
    });
    let over = |id, unit, value: &dyn Fn(&Spread) -> f64| {
        let mean = |runs: &[Spread]| runs.iter().map(value).sum::<f64>() / runs.len() as f64;
        let points = spreads.iter().map(|(size, runs)| (*size, mean(runs)));
        Slope::new(id, unit, "log2 of the members of the region", points.collect())
    };
    vec![
        over("spread.most", "s", &|spread| spread.most),
        over("spread.all", "s", &|spread| spread.all),
    ]
}

/// Lets a revision spread from the seats.
pub(super) fn spread(count: u32, seed: u64) -> Spread {
    let mut region = Region::new(count, seed);
    region.run(Time::ZERO + SETTLE, |_| false);
    let revised = region.now;
    let total = region.members.len();
    for seat in 0..SEATS.min(total) {
        region.revise(seat, 2);
    }
    let reached = |region: &Region| region.revisions.iter().filter(|r| **r == 2).count();
    region.run(revised + PATIENCE, |region| reached(region) * 100 >= total * 99);
    let most = region.now.since(revised);
    if reached(&region) < total {
        region.run(revised + PATIENCE, |region| reached(region) == total);
    }
    let all = region.now.since(revised);
    Spread { most: most.as_secs_f64(), all: all.as_secs_f64() }
}
