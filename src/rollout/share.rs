//! The shares of traffic that the schedule gives to the versions of a service.

use crate::{document::Version, time::WallTime};

/// The traffic share of a version at the start of its rollout.
pub const INITIAL_SHARE: f64 = 0.01;

/// Returns the share of each version at `wall`; `is_usable` tells which versions may receive traffic at all.
///
/// The newest version gets the share that its schedule gives it, the next older one its scheduled share of the
/// remainder, and so on; the oldest usable version that has started gets what remains. A version that has not
/// started never receives traffic, so all shares are 0 if no usable version has started. The first version of the
/// document counts as started.
pub fn shares(versions: &[Version], wall: WallTime, is_usable: impl Fn(usize) -> bool) -> Vec<f64> {
    let mut shares = vec![0.0; versions.len()];
    let mut remainder = 1.0;
    let mut oldest = None;
    for (i, version) in versions.iter().enumerate().rev() {
        let ramp = if i == 0 { 1.0 } else { ramp(version, wall) };
        if ramp == 0.0 || !is_usable(i) {
            continue;
        }
        shares[i] = remainder * ramp;
        remainder -= shares[i];
        oldest = Some(i);
    }
    if let Some(i) = oldest {
        shares[i] += remainder;
    }
    shares
}

/// Returns the index of the version that a number drawn uniformly from 0 to 1 selects, or `None` if no version has
/// a share.
pub fn pick_version(shares: &[f64], random: f64) -> Option<usize> {
    let mut cumulative = 0.0;
    let mut last = None;
    for (i, &share) in shares.iter().enumerate().filter(|(_, share)| **share > 0.0) {
        cumulative += share;
        last = Some(i);
        if random < cumulative {
            break;
        }
    }
    last
}

/// Returns the scheduled share of a version relative to it and all older ones together.
fn ramp(version: &Version, wall: WallTime) -> f64 {
    let now = wall.as_millis();
    if now < version.start_ms {
        return 0.0;
    }
    if now >= version.end_ms {
        return 1.0;
    }
    let progress = (now - version.start_ms) as f64 / (version.end_ms - version.start_ms) as f64;
    INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress
}
