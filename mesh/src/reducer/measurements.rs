//! Measurement of the target's slowdown right before a request starts.
//!
//! The slowdown changes several times per second, and a request keeps the one of its start. The periodic health checks
//! are too old for that decision, and the target answers a check at once.

use std::time::Duration;

use crate::{
    admission::AdmissionRequest,
    effect::Effect,
    event::{Timer, WorkHead},
    keys::{MemberId, WorkKey},
    time::Time,
};

use super::Reducer;

/// The maximum time for which a request waits for the slowdown. A target that takes longer to answer is measured by the
/// periodic checks.
const MAX_WAIT: Duration = Duration::from_millis(20);

/// A request that waits for the present slowdown of the target before its admission.
pub(super) struct Unmeasured {
    pub(super) key: WorkKey,
    head: WorkHead,
    request: AdmissionRequest,
}

impl Reducer {
    /// Lets a request wait for the slowdown of the target if the known one is too old, and returns whether it does.
    pub(super) fn wait_for_slowdown(
        &mut self,
        now: Time,
        key: WorkKey,
        head: &WorkHead,
        request: &AdmissionRequest,
        out: &mut Vec<Effect>,
    ) -> bool {
        if !self.admission.needs_slowdown(now, request) {
            return false;
        }
        if self.unmeasured.is_empty() {
            out.push(Effect::MeasureSlowdown);
            out.push(Effect::Arm { timer: Timer::Slowdown, after: MAX_WAIT });
        }
        self.unmeasured.push(Unmeasured { key, head: head.clone(), request: request.clone() });
        true
    }

    /// Limits the time of the requests of another node that wait for the slowdown.
    pub(super) fn limit_unmeasured(&mut self, from: MemberId, end: Time) {
        let sent =
            self.unmeasured.iter_mut().filter(|unmeasured| unmeasured.head.from == Some(from));
        sent.for_each(|unmeasured| unmeasured.request.limit_time(end));
    }

    /// Decides on the requests that wait for the slowdown: it has been measured, or is not expected any more.
    pub(super) fn decide_unmeasured(&mut self, now: Time, out: &mut Vec<Effect>) {
        for Unmeasured { key, head, request } in std::mem::take(&mut self.unmeasured) {
            self.decide_work(now, key, &head, &request, out);
        }
    }
}
