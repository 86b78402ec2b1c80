use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Returns the sending times of `count` requests as offsets from the start of a round, drawn from a Poisson process
/// with a mean of `rate` requests per second. The same seed gives the same times.
pub fn poisson(rate: f64, count: u32, seed: u64) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut offset = 0.0;
    let step = |_| {
        let u: f64 = rng.random();
        offset -= (1.0 - u).ln() / rate;
        Duration::from_secs_f64(offset)
    };
    (0..count).map(step).collect()
}
