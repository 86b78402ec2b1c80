//! Arrival of a caller's request at its entry node.

use std::time::Duration;

use http::Method;

use crate::{
    document::{Route, Service},
    effect::{CallStep, Effect, Record},
    event::{CallHead, Timer},
    keys::CallKey,
    refusal::{Reason, Refusal},
    rollout::route_hash,
    time::Time,
};

use super::{Call, CallCrashes, MAX_DEPTH, Reducer};

impl Reducer {
    pub(super) fn call_arrived(
        &mut self,
        now: Time,
        key: CallKey,
        head: CallHead,
        out: &mut Vec<Effect>,
    ) {
        let service = match self.check_call(&head) {
            Ok(service) => service,
            Err(reason) => {
                let refusal = Refusal::not_run(reason);
                out.push(Effect::Log(Record::Refuse { call: key, service: head.service, refusal }));
                out.push(Effect::Call(key, CallStep::Refuse(refusal)));
                return;
            }
        };
        let timeout = head.timeout.unwrap_or(Duration::from_millis(service.deadline_ms.into()));
        let is_idempotent = is_idempotent(service, &head.method, &head.path);
        let route = route_hash(route(service, &head.method, &head.path));
        let percent = service.retry_percent;
        let depth = u8::try_from(head.depth).unwrap_or(u8::MAX);
        let service_key = self.directory.ensure_service(&head.service);
        let budget = &mut self.directory.service_mut(service_key).retry_budget;
        budget.set_percent(percent);
        budget.deposit(depth);
        self.measurement_budget.record_call();
        let call = Call {
            service: head.service,
            service_key,
            is_idempotent,
            deadline: now + timeout,
            depth,
            attempts: 0,
            open_attempts: Vec::new(),
            tried: Vec::new(),
            fingerprint: head.fingerprint,
            identity: None,
            tag: None,
            claim: None,
            is_relayed: head.identity.relay_stamp.is_some(),
            is_relaying: false,
            may_have_run: false,
            is_answered: false,
            route,
            sample: None,
            crashes: CallCrashes::new(head.crash_fingerprint),
        };
        self.calls.insert(key, call);
        out.push(Effect::Arm { timer: Timer::CallDeadline(key), after: timeout });
        if is_idempotent {
            self.start_or_refuse(now, key, out);
            self.arm_hedge(key, out);
        } else {
            self.start_at_most_once(now, key, head.identity, out);
        }
    }

    /// Returns the service of a request, or the reason for which the request is refused on arrival.
    fn check_call(&self, head: &CallHead) -> Result<&Service, Reason> {
        let document = self.document.as_ref().ok_or(Reason::NoConfig)?;
        let service = document.services.get(&head.service).ok_or(Reason::UnknownService)?;
        if head.depth > MAX_DEPTH {
            return Err(Reason::Depth);
        }
        if head.timeout.is_some_and(|timeout| timeout.is_zero()) {
            return Err(Reason::Deadline);
        }
        if self.is_stopping {
            return Err(Reason::Draining);
        }
        Ok(service)
    }

    /// Starts the first attempt of a call, lets the call wait for the members of another region, or refuses it.
    pub(in crate::reducer) fn start_or_refuse(
        &mut self,
        now: Time,
        key: CallKey,
        out: &mut Vec<Effect>,
    ) {
        self.subscribe_remote(now, key, out);
        if let Err(reason) = self.start_attempt(now, key, out) {
            if reason == Reason::NoTarget && self.wait_for_remote(now, key) {
                return;
            }
            self.refuse_call(now, key, reason, out);
        }
    }

    /// Arms the hedge timer of an idempotent request.
    fn arm_hedge(&mut self, key: CallKey, out: &mut Vec<Effect>) {
        let Some(call) = self.calls.get(key) else { return };
        let Some(service) = self.service(&call.service) else { return };
        if !service.hedge || !call.is_idempotent {
            return;
        }
        if let Some(after) = self.directory.service_mut(call.service_key).hedge_delay.get() {
            out.push(Effect::Arm { timer: Timer::Hedge(key), after });
        }
    }
}

/// Returns whether a request may run more than once. This is a setting of the longest matching route; without a route
/// it depends on the method (RFC 9110, section 9.2.2).
fn is_idempotent(service: &Service, method: &Method, path: &str) -> bool {
    let route = route(service, method, path);
    route.map_or_else(|| method.is_idempotent(), |route| route.idempotent)
}

/// Returns the route with the longest matching prefix. Among routes with equal prefixes, one for the given method takes
/// precedence over one for all methods.
fn route<'a>(service: &'a Service, method: &Method, path: &str) -> Option<&'a Route> {
    let matching = service.routes.iter().filter(|route| {
        let matches_method = route.method.as_ref().is_none_or(|m| m.as_str() == method.as_str());
        matches_method && path.starts_with(route.prefix.as_str())
    });
    matching.max_by_key(|route| (route.prefix.len(), route.method.is_some()))
}
