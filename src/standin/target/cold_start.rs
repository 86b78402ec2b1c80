use std::time::Duration;

use super::Behaviour;

/// Returns the slots available to a target that has finished `finished` requests in the `age` since its last
/// cold start began.
///
/// The slots grow linearly from `cold_slots` to `slots`, by finished requests or by time, whichever has
/// progressed less.
pub fn capacity(b: &Behaviour, finished: u32, age: Duration) -> u32 {
    let progress = progress(b, finished, age);
    let first = b.cold_slots.min(b.slots);
    first + (f64::from(b.slots - first) * progress) as u32
}

/// Whether the target is still in its cold start.
pub(super) fn is_cold(b: &Behaviour, finished: u32, age: Duration) -> bool {
    progress(b, finished, age) < 1.0
}

/// Returns the progress of the cold start from 0 to 1.
fn progress(b: &Behaviour, finished: u32, age: Duration) -> f64 {
    let share = |part: f64, whole: f64| if whole > 0.0 { (part / whole).min(1.0) } else { 1.0 };
    let by_requests = share(f64::from(finished), f64::from(b.cold_requests));
    let by_time = share(age.as_secs_f64() * 1000.0, b.cold_ms as f64);
    by_requests.min(by_time)
}
