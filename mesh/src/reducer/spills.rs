//! The load by data centre for the decision how much traffic goes to other ones.

use std::time::Duration;

use compact_str::CompactString;

use crate::{
    effect::Effect,
    keys::{CallKey, MemberKey},
    placement::{self, Candidate, Choice, Demand},
    report::LoadReport,
    spill::{CentreLoad, LoadSource, MeanDemand, Travel},
    time::Time,
};

use super::{Member, Reducer};

/// The state of the reducer at one time.
struct State<'a> {
    reducer: &'a Reducer,
    now: Time,
}

impl LoadSource for State<'_> {
    fn loads(&self, service: &str, demand: &MeanDemand) -> Vec<CentreLoad> {
        let State { reducer, now } = *self;
        let config = reducer.config.as_ref();
        let cold_rate = config.and_then(|config| config.service(service));
        let demand =
            MeanDemand { cold_rate: cold_rate.map_or(0.0, |service| service.cold_rate), ..*demand };
        let mut loads: Vec<CentreLoad> = Vec::new();
        for (_, member) in reducer.directory.members_of(service) {
            let Some((age, report)) = reducer.usable_load(now, member) else { continue };
            let centre = &member.record.centre;
            let travel = if *centre == reducer.local.centre { Travel::Near } else { Travel::Far };
            let index = loads.iter().position(|load| load.centre == *centre).unwrap_or_else(|| {
                loads.push(CentreLoad::new(centre.clone()));
                loads.len() - 1
            });
            loads[index].add(age, &report, &demand, travel);
        }
        loads.sort_by(|a, b| a.centre.cmp(&b.centre));
        loads
    }
}

impl Reducer {
    /// Updates how much traffic of each service goes to other data centres.
    pub(super) fn update_spills(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut spills = std::mem::take(&mut self.spills);
        let records = spills.update(now, &self.local.centre, &State { reducer: self, now });
        self.spills = spills;
        out.extend(records.into_iter().map(Effect::Log));
    }

    /// Returns the load report of a member that may receive requests, with its age.
    fn usable_load(&self, now: Time, member: &Member) -> Option<(Duration, LoadReport)> {
        let load = if self.is_local(member.record.id) {
            Some((Duration::ZERO, self.admission.report(now)))
        } else if self.directory.is_silent(now, member) || member.is_paused(now) {
            None
        } else {
            placement::with_age(now, member.load)
        };
        let is_evacuated = self.evacuated.contains(&member.record.centre);
        load.filter(|(_, load)| load.is_open && !is_evacuated)
    }

    /// Counts the data centre that answered a request.
    pub(super) fn count_spill(&mut self, call: CallKey, member: Option<MemberKey>) {
        let member = member.and_then(|member| self.directory.get(member));
        if let (Some(call), Some(member)) = (self.calls.get(call), member) {
            self.spills.record_answer(call.service(), &member.record.centre);
        }
    }

    /// Chooses a target of the first attempt in the data centre drawn for the request, if one was drawn and a target there
    /// is fast enough.
    pub(super) fn choose_drawn(
        &mut self,
        now: Time,
        service: &CompactString,
        candidates: &[Candidate],
        demand: &Demand,
    ) -> Option<Choice> {
        let centre = self.spills.draw(now, service, demand, &mut self.rng)?;
        let is_drawn = |candidate: &&Candidate| {
            let member = self.directory.get(candidate.key);
            !candidate.is_unresponsive
                && member.is_some_and(|member| member.record.centre == centre)
        };
        let drawn: Vec<Candidate> = candidates.iter().filter(is_drawn).copied().collect();
        let choice = placement::choose(&drawn, demand, &mut self.rng)?;
        (choice.cost <= demand.time_left).then_some(choice)
    }
}
