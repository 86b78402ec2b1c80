//! The distribution of a route's requests among the services that share it.

use compact_str::CompactString;

use crate::config::Share;

/// Distributes the requests of a split route over its shares by smooth weighted round-robin.
///
/// The scheduler outlives changes of the configuration. Its credits are counted in turns and kept by service, so that they
/// hold for any weights: each stays within one turn, whatever the weights were when it arose.
#[derive(Clone, Debug, Default)]
pub(crate) struct SplitScheduler {
    credits: Vec<Credit>,
}

#[derive(Clone, Debug)]
struct Credit {
    service: CompactString,
    /// The turns that the service is due, or has had in advance if negative.
    turns: f64,
}

impl SplitScheduler {
    /// Returns the service of the next request, or `None` if no share has a weight. Shares are interleaved evenly, so that
    /// even a few requests follow the weights. `start`, in `0.0..1.0`, sets the position in the sequence at which a new
    /// scheduler begins.
    pub(crate) fn next(&mut self, shares: &[Share], start: f64) -> Option<CompactString> {
        let total: f64 = shares.iter().map(|share| f64::from(share.weight)).sum();
        if total <= 0.0 {
            return None;
        }
        let start = if self.credits.is_empty() { start } else { 0.0 };
        let known = std::mem::take(&mut self.credits);
        for share in shares.iter().filter(|share| share.weight > 0) {
            let portion = f64::from(share.weight) / total;
            // A service may have several shares.
            if let Some(credit) = self.find(&share.service) {
                credit.turns += portion;
                continue;
            }
            let credit = known.iter().find(|credit| credit.service == share.service);
            let turns = credit.map_or(portion * start, |credit| credit.turns) + portion;
            self.credits.push(Credit { service: share.service.clone(), turns });
        }
        let next = self.credits.iter_mut().max_by(|a, b| a.turns.total_cmp(&b.turns))?;
        next.turns -= 1.0;
        Some(next.service.clone())
    }

    fn find(&mut self, service: &str) -> Option<&mut Credit> {
        self.credits.iter_mut().find(|credit| credit.service == service)
    }
}

#[cfg(test)]
mod tests;
