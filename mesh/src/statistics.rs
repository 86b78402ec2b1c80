//! Statistical tests of whether one of two groups of trials has a higher rate of hits.

/// The number of hits among a number of trials.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Proportion {
    /// The number of hits.
    pub hits: u64,
    /// The number of trials.
    pub trials: u64,
}

/// The Mantel-Haenszel test, which compares two groups over strata, such as periods with different
/// conditions.
#[derive(Copy, Clone, Debug, Default)]
pub struct MantelHaenszel {
    /// The difference between observed and expected hits of the new group, summed over the strata.
    excess: f64,
    variance: f64,
}

impl MantelHaenszel {
    /// Adds one stratum. A stratum in which a group has no trials has no effect.
    pub fn add(&mut self, new: Proportion, old: Proportion) {
        let all = (new.trials + old.trials) as f64;
        if new.trials == 0 || old.trials == 0 {
            return;
        }
        let hits = (new.hits + old.hits) as f64;
        let (new_trials, old_trials) = (new.trials as f64, old.trials as f64);
        self.excess += new.hits as f64 - new_trials * hits / all;
        self.variance += new_trials * old_trials * hits * (all - hits) / (all * all * (all - 1.0));
    }

    /// Returns the excess of the new group in standard deviations, or 0 if there is no data.
    pub fn score(&self) -> f64 {
        if self.variance > 0.0 { self.excess / self.variance.sqrt() } else { 0.0 }
    }
}

/// Fisher's exact test: returns the probability that the new group has at least as many of all hits
/// by chance.
pub fn fisher_exact(new: Proportion, old: Proportion) -> f64 {
    let Proportion { hits: k, trials: n } = new;
    let hits = k + old.hits;
    let all = n + old.trials;
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

/// Returns ln(n!) by Stirling's series with an error below 1e-9.
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
