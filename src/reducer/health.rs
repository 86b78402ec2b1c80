//! Evaluation of the target's health endpoint against the results of its requests.

use crate::{
    effect::{Effect, Record},
    load::Health,
    time::Time,
};

use super::Reducer;

/// The number of consecutive failures that confirm a failed health check. A single failure may have another cause.
const CONFIRMING_FAILURES: u8 = 3;

/// The health that the target reports, and the evidence for it.
#[derive(Copy, Clone, Debug, Default)]
pub(super) struct TargetHealth {
    /// The last state reported by the health endpoint.
    reported: Health,
    /// Consecutive failed requests since the reported state last changed.
    failures: u8,
    /// Whether the target is treated as leaving.
    pub(super) is_leaving: bool,
}

impl Reducer {
    /// Applies the state reported by the health endpoint.
    ///
    /// The endpoint may be late or wrong, so a reported failure alone has no effect. The target is taken out of
    /// service only if it also fails several consecutive requests; a successful request resets the count.
    pub(super) fn apply_health(&mut self, now: Time, reported: Health, out: &mut Vec<Effect>) {
        if reported == self.target_health.reported {
            return;
        }
        self.target_health.reported = reported;
        self.target_health.failures = 0;
        let change = match reported {
            Health::Healthy => "reports-healthy",
            Health::Failed => "reports-failed",
        };
        out.push(Effect::Log(Record::Target { change }));
        if reported == Health::Healthy && self.target_health.is_leaving {
            // The target has been idle, so it is cold.
            self.admission.enter_cold_start(now);
            self.set_target_leaving(false, out);
        }
    }

    /// Counts the result of a request. Takes the target out of service if its failures confirm a failed health check.
    pub(super) fn count_target_result(&mut self, is_success: bool, out: &mut Vec<Effect>) {
        let failures = if is_success { 0 } else { self.target_health.failures.saturating_add(1) };
        self.target_health.failures = failures;
        let is_confirmed =
            self.target_health.reported == Health::Failed && failures >= CONFIRMING_FAILURES;
        if is_confirmed && !self.target_health.is_leaving {
            self.set_target_leaving(true, out);
        }
    }

    fn set_target_leaving(&mut self, is_leaving: bool, out: &mut Vec<Effect>) {
        self.target_health.is_leaving = is_leaving;
        let change = if is_leaving { "leaving" } else { "returned" };
        out.push(Effect::Log(Record::Target { change }));
        self.local.info.is_leaving = is_leaving || self.is_stopping;
        let leaving = self.local.info.is_leaving;
        self.membership.update_local(|member| member.is_leaving = leaving);
        self.directory.upsert(self.local.info.clone());
    }
}
