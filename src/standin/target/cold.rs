use std::time::Duration;

use super::Behaviour;

/// Returns the slots available to a target that has finished `done` requests in the `age` since its last cold
/// start began.
///
/// The slots grow linearly from `cold_slots` to `slots` with the slower of the requests done and the time.
pub fn capacity(b: &Behaviour, done: u32, age: Duration) -> u32 {
    let warmth = warmth(b, done, age);
    let first = b.cold_slots.min(b.slots);
    first + (f64::from(b.slots - first) * warmth) as u32
}

/// Whether the target is still in its cold start.
pub(super) fn is_cold(b: &Behaviour, done: u32, age: Duration) -> bool {
    warmth(b, done, age) < 1.0
}

fn warmth(b: &Behaviour, done: u32, age: Duration) -> f64 {
    let share = |part: f64, whole: f64| if whole > 0.0 { (part / whole).min(1.0) } else { 1.0 };
    let by_requests = share(f64::from(done), f64::from(b.cold_requests));
    let by_time = share(age.as_secs_f64() * 1000.0, b.cold_ms as f64);
    by_requests.min(by_time)
}
