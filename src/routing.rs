//! Selection of one target among the candidates for a request.

use std::{fmt, ops::Deref};

use rand::{Rng as _, rngs::SmallRng};

use crate::{
    keys::MemberKey,
    load::TargetView,
    refusal::{Reason, Refusal},
    time::Time,
};

/// The maximum number of candidates compared in one decision. A service has about five targets; the bound keeps the
/// cost of a decision constant for large services.
pub const MAX_CANDIDATES: usize = 16;

/// The load of a target, as a share of its limit, above which the target counts as busy. Requests then spill over to
/// other data centres before local targets refuse them.
const SPILLOVER_LOAD: f64 = 0.8;

/// The largest share of decisions that choose a cold target while warm ones are available.
const MAX_COLD_SHARE: f64 = 0.1;

/// A load balancing policy. The policies other than [`Policy::LeastLoaded`] are baselines for comparison.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Chooses every candidate with equal probability.
    Random,
    /// Chooses the candidates in turn.
    RoundRobin,
    /// Draws two candidates at random and chooses the one to which this node has fewer requests in flight.
    TwoChoices,
    /// Chooses the candidate with the lowest [`TargetView::score`]; cold targets receive a small share only.
    #[default]
    LeastLoaded,
}

impl Policy {
    /// All policies, the baselines first.
    pub const ALL: [Policy; 4] =
        [Policy::Random, Policy::RoundRobin, Policy::TwoChoices, Policy::LeastLoaded];

    /// Returns the name used in logs and tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Policy::Random => "random",
            Policy::RoundRobin => "round-robin",
            Policy::TwoChoices => "two-choices",
            Policy::LeastLoaded => "least-loaded",
        }
    }
}

/// Whether a target may receive new requests.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub enum TargetState {
    /// The target may receive requests.
    #[default]
    InService,
    /// The target is ejected because of failures.
    Ejected,
    /// The target is leaving.
    Draining,
    /// The target's data centre or version is out of service.
    OutOfService,
}

/// A known target of the service.
#[derive(Copy, Clone, Debug)]
pub struct Candidate<'a> {
    /// The member that runs beside the target.
    pub key: MemberKey,
    /// This node's estimate of the target's load and health.
    pub view: &'a TargetView,
    /// Whether the target is in this node's data centre.
    pub is_local: bool,
    /// Whether the target may receive new requests.
    pub state: TargetState,
}

/// Why a target was chosen.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// The best target in this node's data centre.
    Local,
    /// The best target of all data centres, because the local ones are near their limits, stalled or missing.
    Spillover,
    /// A cold target, which receives a small share of the requests.
    ColdTrial,
    /// No warm target is available.
    OnlyCold,
}

impl ChoiceReason {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            ChoiceReason::Local => "local",
            ChoiceReason::Spillover => "spillover",
            ChoiceReason::ColdTrial => "cold-trial",
            ChoiceReason::OnlyCold => "only-cold",
        }
    }
}

/// Why no target was chosen.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum NoChoice {
    /// No target is in service.
    NoTarget,
    /// Every target in service has already been tried for this request.
    AllTried,
}

impl NoChoice {
    /// Returns the refusal of a request of which no attempt has run.
    pub const fn refusal(self) -> Refusal {
        match self {
            NoChoice::NoTarget => Refusal::not_run(Reason::NoTarget),
            NoChoice::AllTried => Refusal::not_run(Reason::Overloaded),
        }
    }
}

/// The score of one candidate in a decision; the lowest is best.
#[derive(Copy, Clone, Debug, Default, PartialEq)]
pub struct Score {
    /// The candidate.
    pub key: MemberKey,
    /// The score of the candidate, see [`TargetView::score`].
    pub score: f64,
}

/// The scores of the candidates in a decision.
#[derive(Copy, Clone, Debug, Default)]
pub struct Scores {
    items: [Score; MAX_CANDIDATES],
    len: usize,
}

impl Deref for Scores {
    type Target = [Score];

    fn deref(&self) -> &[Score] {
        &self.items[..self.len]
    }
}

impl fmt::Display for Scores {
    /// Writes `key:score` pairs in the order of the candidates, rounded and separated by commas, for a log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, s) in self.iter().enumerate() {
            if i > 0 {
                f.write_str(",")?;
            }
            write!(f, "{:?}:{:.0}", s.key, s.score)?;
        }
        Ok(())
    }
}

/// A chosen target, with the reason and the scores behind the choice.
#[derive(Copy, Clone, Debug)]
pub struct Choice {
    /// The chosen member.
    pub key: MemberKey,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// The scores of all candidates in the decision.
    pub scores: Scores,
}

/// Selects targets of one service at one calling node.
#[derive(Clone, Debug, Default)]
pub struct Router {
    policy: Policy,
    /// The position of the next candidate, at which the subset starts when it rotates.
    next: usize,
}

/// The candidates compared in one decision, and their number.
type Subset<'a> = ([Option<Candidate<'a>>; MAX_CANDIDATES], usize);

impl Router {
    /// Creates a router with the given policy.
    pub fn new(policy: Policy) -> Router {
        Router { policy, next: 0 }
    }

    /// Chooses a target for a request among those that have not been tried for it.
    ///
    /// # Errors
    ///
    /// Returns the reason if no target can be chosen.
    pub fn choose(
        &mut self,
        now: Time,
        candidates: &[Candidate<'_>],
        tried: &[MemberKey],
        rng: &mut SmallRng,
    ) -> Result<Choice, NoChoice> {
        let is_eligible =
            |c: &Candidate<'_>| c.state == TargetState::InService && !tried.contains(&c.key);
        let (subset, len) = self.subset(candidates, is_eligible, rng);
        if len == 0 {
            let is_any_in_service = candidates.iter().any(|c| c.state == TargetState::InService);
            return Err(if is_any_in_service { NoChoice::AllTried } else { NoChoice::NoTarget });
        }
        let subset: &[Option<Candidate<'_>>] = &subset[..len];
        let mut scores = Scores { len, ..Scores::default() };
        for (score, c) in scores.items.iter_mut().zip(subset.iter().flatten()) {
            *score = Score { key: c.key, score: c.view.score(now) };
        }
        let (index, reason) = match self.policy {
            Policy::LeastLoaded => choose_least_loaded(now, subset, &scores, rng),
            policy => self.choose_baseline(policy, subset, rng),
        };
        Ok(Choice { key: scores[index].key, reason, scores })
    }

    /// Takes up to [`MAX_CANDIDATES`] eligible candidates from a changing start position, local ones first.
    ///
    /// A few places are reserved for other data centres, so that spillover remains possible in large services.
    fn subset<'a>(
        &mut self,
        candidates: &[Candidate<'a>],
        is_eligible: impl Fn(&Candidate<'_>) -> bool,
        rng: &mut SmallRng,
    ) -> Subset<'a> {
        const RESERVED_REMOTE: usize = 4;
        let known = candidates.len();
        let mut items = [None; MAX_CANDIDATES];
        let mut len = 0;
        if known == 0 {
            return (items, 0);
        }
        // In a large service the start is random: this reaches every target whatever their number, and calling nodes
        // do not compare the same targets at the same time.
        let is_rotating = known <= MAX_CANDIDATES || self.policy == Policy::RoundRobin;
        let start = if is_rotating { self.next % known } else { rng.random_range(0..known) };
        self.next = start + 1;
        let remote = candidates.iter().filter(|c| !c.is_local && is_eligible(c)).count();
        let max_local = MAX_CANDIDATES - remote.min(RESERVED_REMOTE);
        for (is_local, max_len) in [(true, max_local), (false, MAX_CANDIDATES)] {
            let rotated = candidates[start..].iter().chain(&candidates[..start]);
            for c in rotated.filter(|c| c.is_local == is_local && is_eligible(c)) {
                if len == max_len {
                    break;
                }
                items[len] = Some(*c);
                len += 1;
            }
        }
        (items, len)
    }

    /// Applies one of the policies that ignore the scores, to local candidates if there are any.
    fn choose_baseline(
        &self,
        policy: Policy,
        subset: &[Option<Candidate<'_>>],
        rng: &mut SmallRng,
    ) -> (usize, ChoiceReason) {
        let locals = subset.iter().flatten().filter(|c| c.is_local).count();
        let (len, reason) = if locals > 0 {
            (locals, ChoiceReason::Local)
        } else {
            (subset.len(), ChoiceReason::Spillover)
        };
        let in_flight = |i: usize| subset[i].map_or(0, |c| c.view.in_flight());
        let index = match policy {
            // The subset moves on by one candidate with each decision, so its first candidate is the next in turn.
            Policy::RoundRobin => 0,
            Policy::TwoChoices if len > 1 => {
                let a = rng.random_range(0..len);
                let b = (a + rng.random_range(1..len)) % len;
                if in_flight(b) < in_flight(a) { b } else { a }
            }
            Policy::Random | Policy::TwoChoices | Policy::LeastLoaded => rng.random_range(0..len),
        };
        (index, reason)
    }
}

/// Chooses the candidate with the lowest score. Local warm targets come first, then warm targets of other data
/// centres; cold targets receive a small share, or more while all warm ones are busy.
fn choose_least_loaded(
    now: Time,
    subset: &[Option<Candidate<'_>>],
    scores: &[Score],
    rng: &mut SmallRng,
) -> (usize, ChoiceReason) {
    let mut best =
        |filter: &dyn Fn(&Candidate<'_>) -> bool| lowest_score(subset, scores, filter, rng);
    let is_warm = |c: &Candidate<'_>| !c.view.is_cold();
    // A cold target has at most as many requests in flight as its limit, or one while its limit is unknown.
    let may_try_cold = |c: &Candidate<'_>| {
        let limit = c.view.report(now).map_or(1.0, |_| c.view.limit());
        c.view.is_cold() && c.view.estimated_requests(now) < limit && !c.view.is_stalled(now)
    };
    let is_free = |c: &Candidate<'_>| !c.view.is_busy(now, SPILLOVER_LOAD);
    let choice = best(&|c| c.is_local && is_warm(c) && is_free(c))
        .map(|i| (i, ChoiceReason::Local))
        .or_else(|| best(&|c| is_warm(c) && is_free(c)).map(|i| (i, ChoiceReason::Spillover)));
    let busy = best(&is_warm).map(|i| (i, ChoiceReason::Spillover));
    let trial = best(&|c| c.is_local && may_try_cold(c)).or_else(|| best(&may_try_cold));
    match (choice, trial, busy) {
        (Some((index, reason)), Some(trial), _) => {
            let share = cold_share(now, subset, &may_try_cold);
            if rng.random_bool(share) { (trial, ChoiceReason::ColdTrial) } else { (index, reason) }
        }
        (Some(choice), None, _) => choice,
        // While all warm targets are near their limits, a cold one takes what its own limit allows.
        (None, Some(trial), Some(_)) => (trial, ChoiceReason::ColdTrial),
        (None, Some(trial), None) => (trial, ChoiceReason::OnlyCold),
        (None, None, Some(busy)) => busy,
        (None, None, None) => {
            let any = lowest_score(subset, scores, &|_| true, rng);
            (any.expect("the subset has a candidate"), ChoiceReason::OnlyCold)
        }
    }
}

/// Returns the share of decisions that choose a cold target: the cold targets' part of the sum of all limits, at most
/// [`MAX_COLD_SHARE`].
fn cold_share(
    now: Time,
    subset: &[Option<Candidate<'_>>],
    may_try_cold: &dyn Fn(&Candidate<'_>) -> bool,
) -> f64 {
    let (mut cold_limit, mut warm_limit) = (0.0, 0.0);
    for c in subset.iter().flatten() {
        if may_try_cold(c) {
            cold_limit += if c.view.report(now).is_some() { c.view.limit() } else { 1.0 };
        } else if !c.view.is_cold() {
            warm_limit += c.view.limit();
        }
    }
    (cold_limit / (cold_limit + warm_limit)).min(MAX_COLD_SHARE)
}

/// Returns the index of the candidate with the lowest score among those that pass the filter. Ties are broken at
/// random.
fn lowest_score(
    subset: &[Option<Candidate<'_>>],
    scores: &[Score],
    filter: &dyn Fn(&Candidate<'_>) -> bool,
    rng: &mut SmallRng,
) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    let mut ties = 1;
    for (i, c) in subset.iter().enumerate() {
        if !c.as_ref().is_some_and(filter) {
            continue;
        }
        let score = scores[i].score;
        match best {
            Some((_, lowest)) if score > lowest => {}
            Some((_, lowest)) if score == lowest => {
                ties += 1;
                if rng.random_range(0..ties) == 0 {
                    best = Some((i, score));
                }
            }
            _ => {
                ties = 1;
                best = Some((i, score));
            }
        }
    }
    best.map(|(i, _)| i)
}

#[cfg(test)]
mod tests;
