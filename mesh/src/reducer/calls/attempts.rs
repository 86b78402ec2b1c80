//! Selection of a target for an attempt, retries and hedging.

use std::time::Duration;

use crate::{
    budget::RetryKind,
    effect::{CallStep, Effect, Record},
    event::Timer,
    keys::{CallKey, MemberKey},
    placement::{self, Candidate, Distance},
    refusal::Reason,
    time::Time,
};

use super::{OpenAttempt, Reducer};
use crate::reducer::versions::VersionFilter;

/// The number of refusals by nodes after which no target is expected to meet the objective. Each refusal costs a round
/// trip between nodes, and after a few of them the load reports on this node are up to date.
const MAX_REFUSALS: u8 = 3;

/// The fraction of the time to the objective after which an idempotent request is hedged.
const HEDGE_DELAY_SHARE: f64 = 0.45;

/// A hedge is sent only if at least this multiple of the service time is left until the objective.
const HEDGE_MARGIN: f64 = 1.2;

impl Reducer {
    /// Starts the next attempt, or refuses the request.
    pub(super) fn place(&mut self, now: Time, key: CallKey, out: &mut Vec<Effect>) {
        if self.try_place(now, key, out) {
            return;
        }
        let Some(call) = self.calls.get(key) else { return };
        if call.open.is_empty() {
            let reason = call.last_reason;
            self.give_up(now, key, reason, out);
        }
    }

    /// Starts an attempt at the best target that has not been tried yet. Returns `false` if there is none.
    pub(super) fn try_place(&mut self, now: Time, key: CallKey, out: &mut Vec<Effect>) -> bool {
        let Some(call) = self.calls.get(key) else { return false };
        let is_over = call.deadline <= now || self.stop_end().is_some_and(|end| end <= now);
        if is_over || !call.allows_another_target() {
            return false;
        }
        if self.is_blocked(now, call.fingerprint) {
            if let Some(call) = self.calls.get_mut(key) {
                call.last_reason = Reason::CrashSuspect;
            }
            return false;
        }
        let (service, is_first) = (call.service.clone(), call.tried.is_empty());
        let is_new = call.attempts == 0;
        let versions = self.pick_versions(now, &service);
        let mut candidates = self.candidates(now, key, &versions);
        if matches!(versions, VersionFilter::Only(_)) && self.has_active_rollout(&service) {
            if self.is_load_test(now, &service) {
                restrict_to_first(&mut candidates, is_first);
            } else {
                prefer_first_with_room(&mut candidates);
            }
        }
        if let (true, VersionFilter::Only(version)) = (candidates.is_empty(), &versions) {
            candidates = self.candidates(now, key, &VersionFilter::Except(version.clone()));
        }
        let Some(call) = self.calls.get(key) else { return false };
        let demand = self.demand(now, call);
        let drawn = is_new.then(|| self.choose_drawn(now, &service, &candidates, &demand));
        let choice =
            drawn.flatten().or_else(|| placement::choose(&candidates, &demand, &mut self.rng));
        let Some(choice) = choice else { return false };
        let chosen = candidates.iter().find(|candidate| candidate.key == choice.key);
        let age = chosen.and_then(|candidate| candidate.load).map(|(age, _)| age);
        let Some(call) = self.calls.get_mut(key) else { return false };
        let (executions, open) = (call.executions, call.open.len());
        call.attempts += 1;
        call.tried.push(choice.key);
        call.open.push(OpenAttempt { number: call.attempts, member: choice.key });
        if let Some(member) = self.directory.get_mut(choice.key) {
            member.sent += 1;
            member.in_flight += 1;
        }
        let Some(call) = self.calls.get(key) else { return false };
        let Some(attempt) = self.build_attempt(now, call, choice.key) else { return false };
        let Some(member) = self.directory.get(choice.key) else { return false };
        out.push(Effect::Log(Record::Route {
            id: call.id.clone(),
            route: call.route.clone(),
            service,
            attempt: call.attempts,
            executions,
            open,
            allowed: call.max_executions,
            member: member.record.id,
            cost: choice.cost,
            compared: choice.compared,
            age,
            config: self.config.as_ref().map_or(0, |config| config.config.version),
            is_nested: call.is_nested,
        }));
        out.push(Effect::Call(key, CallStep::Attempt(attempt)));
        true
    }

    fn candidates(&self, now: Time, key: CallKey, versions: &VersionFilter) -> Vec<Candidate> {
        let Some(call) = self.calls.get(key) else { return Vec::new() };
        let members = self.directory.members_of(&call.service);
        let eligible = members.filter(|(key, member)| {
            let is_evacuated = self.evacuated.contains(&member.record.centre);
            !call.tried.contains(key)
                && !is_evacuated
                && versions.allows(member)
                && if self.is_local(member.record.id) {
                    self.admission.report(now).is_open
                } else {
                    member.is_open()
                }
        });
        let candidate = |(key, member): (MemberKey, &crate::directory::Member)| {
            let is_local = self.is_local(member.record.id);
            let distance = if is_local {
                Distance::Local
            } else if member.record.centre == self.local.centre {
                Distance::SameCentre
            } else {
                Distance::OtherCentre
            };
            let local_load = (Duration::ZERO, self.admission.report(now));
            Candidate {
                key,
                id: member.record.id,
                load: if is_local {
                    Some(local_load)
                } else {
                    placement::with_age(now, member.load)
                },
                sent: if is_local { 0 } else { member.sent },
                distance,
                is_unresponsive: !is_local
                    && (self.directory.is_silent(now, member) || member.is_paused(now)),
            }
        };
        eligible.map(candidate).collect()
    }

    /// Starts another attempt after a node has refused the last one, which has not run.
    pub(super) fn retry_refused(&mut self, now: Time, key: CallKey, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.get_mut(key) else { return };
        call.refusals += 1;
        // The first attempt consumed a body that is not buffered.
        let can_resend = call.can_resend;
        if can_resend && call.refusals <= MAX_REFUSALS && self.try_place(now, key, out) {
            return;
        }
        let Some(call) = self.calls.get_mut(key) else { return };
        if !call.open.is_empty() {
            return;
        }
        // No target can meet the objective. A late answer is better than none if a target has spare capacity.
        if can_resend && !call.is_late && call.last_reason == Reason::Overloaded {
            call.is_late = true;
            call.tried.clear();
            call.refusals = MAX_REFUSALS;
            if self.try_place(now, key, out) {
                return;
            }
        }
        let reason = self.calls.get(key).map_or(Reason::NoTarget, |call| call.last_reason);
        self.give_up(now, key, reason, out);
    }

    /// Returns whether a request may be sent to another target, and if so takes one retry from the budget.
    pub(super) fn try_take_retry(&mut self, now: Time, key: CallKey) -> bool {
        let Some(call) = self.calls.get(key) else { return false };
        let is_allowed = call.can_resend && call.allows_another_target() && now < call.deadline;
        let is_safe = call.is_idempotent || !call.may_have_run;
        if !is_allowed || !is_safe {
            return false;
        }
        let bound = self.local.limits.retries;
        let is_hedge = !call.open.is_empty();
        let Some(budget) = self.retry_budgets.get_mut(&call.service) else { return false };
        let kind =
            if call.may_have_run || is_hedge { RetryKind::MayHaveRun } else { RetryKind::NotRun };
        budget.try_withdraw(now, &bound, &self.fleet, kind, &mut self.rng)
    }

    /// Arms the hedge timer of a request that may be sent to two targets at once.
    pub(super) fn arm_hedge(&self, now: Time, key: CallKey, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(key) else { return };
        if call.is_idempotent && call.can_resend && call.max_executions > 1 && !call.is_late {
            let after = call.objective.since(now).mul_f64(HEDGE_DELAY_SHARE);
            out.push(Effect::Arm { timer: Timer::Hedge(key), after });
        }
    }

    /// Sends a slow idempotent request to a second target as well, if that target is expected to meet the objective.
    pub(in crate::reducer) fn hedge(&mut self, now: Time, key: CallKey, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(key) else { return };
        if call.is_answered || call.open.len() != 1 {
            return;
        }
        let demand = self.demand(now, call);
        let service = call.service.clone();
        if demand.nominal_service.mul_f64(HEDGE_MARGIN) > demand.time_left {
            return;
        }
        let versions = self.pick_versions(now, &service);
        let candidates = self.candidates(now, key, &versions);
        let responsive = candidates.iter().filter(|candidate| !candidate.is_unresponsive);
        let best = responsive.map(|candidate| placement::cost(candidate, &demand)).min();
        if best.is_some_and(|best| best < demand.time_left) && self.try_take_retry(now, key) {
            // Without another target, the first attempt continues alone.
            let _ = self.try_place(now, key, out);
        }
    }
}

/// Reduces the candidates to the first one that has free capacity, if there is one. A version on trial receives few
/// requests, and they reveal load-dependent faults only if a single target receives all of them.
fn prefer_first_with_room(candidates: &mut Vec<Candidate>) {
    candidates.sort_by_key(|candidate| candidate.id);
    let first = candidates.iter().find(|candidate| is_comparable(candidate) && has_room(candidate));
    if let Some(first) = first.copied() {
        *candidates = vec![first];
    }
}

/// Reduces the candidates to the first one while it has free capacity, and otherwise to none. A load test fills one
/// target, whatever the number of requests; a request that this target has refused goes to the old version.
fn restrict_to_first(candidates: &mut Vec<Candidate>, is_first: bool) {
    candidates.sort_by_key(|candidate| candidate.id);
    let first = candidates.iter().find(|candidate| is_comparable(candidate)).copied();
    let first = first.filter(|candidate| is_first && has_room(candidate));
    *candidates = first.into_iter().collect();
}

/// Returns whether a target is responsive and warm, so that it can be compared with others.
fn is_comparable(candidate: &Candidate) -> bool {
    !candidate.is_unresponsive && candidate.load.is_none_or(|(_, load)| !load.is_cold)
}

fn has_room(candidate: &Candidate) -> bool {
    let load = candidate.load.map(|(_, load)| load);
    let busy = load.map_or(0, |load| load.running + load.queued);
    let limit = load.map_or(1, |load| load.limit);
    u32::from(busy) + candidate.sent < u32::from(limit)
}
