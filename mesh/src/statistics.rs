//! Exact tests on small counts.

/// The hits among a number of trials.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The trials that are hits.
    pub hits: u64,
    /// All trials.
    pub of: u64,
}

/// Returns the probability that the new part has at least as many of all hits by chance: Fisher's exact test.
pub fn chance(new: Share, old: Share) -> f64 {
    let Share { hits: k, of: n } = new;
    let hits = k + old.hits;
    let all = n + old.of;
    let first = ln_choose(hits, k) + ln_choose(all - hits, n - k) - ln_choose(all, n);
    let (mut term, mut sum) = (1.0, 1.0);
    for i in k..n.min(hits) {
        let rest = (all - hits + i + 1) as f64 - n as f64;
        term *= (hits - i) as f64 * (n - i) as f64 / ((i + 1) as f64 * rest);
        sum += term;
        if term < sum * 1e-12 {
            break;
        }
    }
    (first.exp() * sum).min(1.0)
}

fn ln_choose(n: u64, k: u64) -> f64 {
    ln_factorial(n) - ln_factorial(k) - ln_factorial(n - k)
}

/// Returns the logarithm of n!, by Stirling's series with an error below 1e-9.
fn ln_factorial(n: u64) -> f64 {
    if n < 16 {
        return (2..=n).map(|i| (i as f64).ln()).sum();
    }
    let x = n as f64;
    let series = 1.0 / (12.0 * x) - 1.0 / (360.0 * x.powi(3));
    x * x.ln() - x + 0.5 * (2.0 * std::f64::consts::PI * x).ln() + series
}

#[cfg(test)]
mod tests;
