//! The current lifetime of the local target, from its heartbeats and health checks, and whether it takes new requests.
//!
//! Nothing about it outlives the process. What a node has acknowledged before a restart must hold after it too, so a
//! lifetime that may be leaving gets no requests before it has proved that it is not: its health endpoint says so, which a
//! leaving target's does not, or its heartbeats go on.

mod ended;
mod leaving;
mod lifetime;

use std::time::Duration;

use compact_str::CompactString;

use crate::time::Time;

use self::{
    ended::{EndedLifetimes, HeartbeatSeries, Judgement},
    leaving::Leaving,
};

pub(crate) use self::lifetime::Health;
pub use self::lifetime::{Heartbeat, HeartbeatReply, Lifetime};

/// The time after a deregistration without a start in which health answers do not prove that the target stays: the target has the
/// confirmation within a second, and a health check takes 0.6 s at most.
const NOTICE_TIME: Duration = Duration::from_millis(1_600);

/// A change of the target that concerns the rest of the node.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum TargetChange {
    Unchanged,
    /// A new lifetime started.
    Started,
    /// The target has proved that it is not leaving.
    Confirmed,
    /// The target began to shut down.
    Leaving,
}

/// The state of the local target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Target {
    current: Option<Current>,
    ended: EndedLifetimes,
    /// The lifetime refused last because it may have ended, unless another one has spoken since.
    refused: Option<(Lifetime, HeartbeatSeries)>,
    is_reachable: bool,
    /// When the target was last found not to run, if ever.
    absent_at: Option<Time>,
    /// The last answer of the health endpoint that named an id.
    answer: Option<Answer>,
    /// The id in the last deregistration without a start, and when it came.
    noticed: Option<(CompactString, Time)>,
    /// The end of the time in which a lifetime is accepted by its health check alone.
    adopt_until: Time,
}

/// What the last answer of the health endpoint said of the lifetime at the address.
#[derive(Clone, Debug)]
struct Answer {
    id: CompactString,
    is_healthy: bool,
}

#[derive(Clone, Debug)]
struct Current {
    lifetime: Lifetime,
    /// Whether it has stated by a heartbeat that it runs the service of this node.
    has_named_service: bool,
    version: CompactString,
    slots: u16,
    sequence: u64,
    heartbeats: HeartbeatSeries,
    /// Whether it has proved that it is not leaving.
    is_confirmed: bool,
    /// The notice that it leaves, if there was one.
    leaving: Option<Leaving>,
    cold_until: Time,
}

impl Target {
    /// Creates the state of a node that starts.
    ///
    /// The settings with which a node starts name the service of the target that runs at its address then. `reuse_delay` is
    /// the time after the end of that target before which its address goes to no other service. Later lifetimes are
    /// accepted only by a heartbeat, which names the service.
    pub(crate) fn new(reuse_delay: Duration) -> Target {
        Target { adopt_until: Time::ZERO + reuse_delay, ..Target::default() }
    }

    /// Applies a heartbeat of the target.
    pub(crate) fn apply_heartbeat(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
    ) -> (HeartbeatReply, TargetChange) {
        if self.is_outdated(now, heartbeat) {
            return (HeartbeatReply::Refused, TargetChange::Unchanged);
        }
        self.refused = None;
        let absent_at = self.absent_at;
        let change = match &mut self.current {
            Some(current) if current.may_send(heartbeat, absent_at) => {
                current.update(now, heartbeat)
            }
            current => {
                let is_healthy = self.is_reachable
                    && self.answer.as_ref().is_some_and(|answer| {
                        answer.is_healthy && answer.id == heartbeat.lifetime.id
                    });
                if let Some(ended) = current.replace(Current::new(now, heartbeat, is_healthy)) {
                    self.ended.push(now, ended.lifetime, ended.leaving.is_some());
                }
                TargetChange::Started
            }
        };
        if heartbeat.is_leaving {
            self.void_health_answer();
        }
        (HeartbeatReply::Accepted, change)
    }

    /// Takes the last health answer for no proof any more: it is from before a notice that the target leaves.
    fn void_health_answer(&mut self) {
        if let Some(answer) = &mut self.answer {
            answer.is_healthy = false;
        }
    }

    /// Returns whether a heartbeat is one of a lifetime that has ended, as far as it is not part of a steady series.
    fn is_outdated(&mut self, now: Time, heartbeat: &Heartbeat) -> bool {
        let lifetime = &heartbeat.lifetime;
        let is_current = |current: &Current| current.lifetime.is_same(lifetime);
        if self.current.as_ref().is_some_and(is_current) {
            return false;
        }
        let is_before = |current: &Current| lifetime.is_before(&current.lifetime);
        match self.ended.judge(lifetime, self.absent_at) {
            Judgement::Ended => true,
            Judgement::Other if !self.current.as_ref().is_some_and(is_before) => false,
            // The clock may have been set back before the target started.
            Judgement::Other | Judgement::Doubtful => !self.is_steady(now, heartbeat),
        }
    }

    /// Records a heartbeat of a lifetime that may have ended, and returns whether its heartbeats go on.
    fn is_steady(&mut self, now: Time, heartbeat: &Heartbeat) -> bool {
        if let Some((lifetime, heartbeats)) = &mut self.refused
            && *lifetime == heartbeat.lifetime
        {
            heartbeats.record(heartbeat.sequence);
            return heartbeats.is_steady(now);
        }
        let heartbeats = HeartbeatSeries::new(now, heartbeat.sequence);
        self.refused = Some((heartbeat.lifetime.clone(), heartbeats));
        false
    }

    /// Records that a lifetime deregistered. It may serve running requests for some seconds but takes no new ones.
    pub(crate) fn mark_leaving(
        &mut self,
        now: Time,
        lifetime: &Lifetime,
    ) -> (HeartbeatReply, TargetChange) {
        self.void_health_answer();
        if lifetime.started_ms.is_none() {
            // The notice may be of a lifetime that is not known yet, whose health answers are not told from those of others.
            self.noticed = Some((lifetime.id.clone(), now));
        }
        let change = match &mut self.current {
            Some(current) if current.lifetime.may_equal(lifetime) => {
                // An adopted lifetime has not stated its start. A later one is told from it by this one.
                current.lifetime.started_ms = current.lifetime.started_ms.or(lifetime.started_ms);
                current.leave(now, lifetime)
            }
            // The current lifetime has ended, and the health answers since then are those of the later one.
            Some(current) if current.lifetime.is_earlier_start_of(lifetime) => {
                let ended = std::mem::replace(current, Current::leaving(now, lifetime.clone()));
                self.ended.push(now, ended.lifetime, ended.leaving.is_some());
                TargetChange::Leaving
            }
            // It is a late notice, or the clock was set back before the lifetime that runs now started. What is not applied is
            // not confirmed.
            Some(current) if lifetime.is_earlier_start_of(&current.lifetime) => {
                return (HeartbeatReply::Refused, TargetChange::Unchanged);
            }
            _ => {
                // A lifetime that was never current here must not become current later.
                self.ended.push(now, lifetime.clone(), true);
                TargetChange::Unchanged
            }
        };
        (HeartbeatReply::Accepted, change)
    }

    /// Handles a heartbeat that names another service. The lifetime that sent it gets no requests of this one.
    ///
    /// A lifetime that has named this service itself stays: the heartbeat comes from another writer.
    pub(crate) fn reject_service(&mut self, now: Time, lifetime: &Lifetime) {
        if let Some(current) = self.current.as_ref().filter(|c| c.lifetime.id == lifetime.id) {
            if current.has_named_service && !current.lifetime.is_before(lifetime) {
                return;
            }
            self.current = None;
        }
        self.ended.push(now, lifetime.clone(), true);
    }

    /// Applies an answer of the health endpoint, which names the lifetime that now runs at the address.
    pub(crate) fn apply_health(&mut self, now: Time, health: &Health) -> TargetChange {
        self.is_reachable = true;
        let Some(id) = &health.id else { return TargetChange::Unchanged };
        let is_healthy = health.is_healthy && !self.is_just_noticed(now, id);
        self.answer = Some(Answer { id: id.clone(), is_healthy });
        if is_healthy && self.may_adopt(now) {
            self.current = Some(Current::adopt(now, id.clone(), health));
            return TargetChange::Started;
        }
        let current = self.current.as_mut().filter(|current| current.lifetime.id == *id);
        let health = Health { is_healthy, ..health.clone() };
        current.map_or(TargetChange::Unchanged, |current| current.apply_health(now, &health))
    }

    /// Returns whether a lifetime with this id deregistered so shortly before that its health endpoint need not say so yet.
    fn is_just_noticed(&self, now: Time, id: &str) -> bool {
        self.noticed
            .as_ref()
            .is_some_and(|(noticed, at)| noticed == id && now.since(*at) < NOTICE_TIME)
    }

    /// Returns whether the lifetime that answers a health check ran at the address when this node started.
    fn may_adopt(&self, now: Time) -> bool {
        self.current.is_none() && self.ended.is_empty() && now < self.adopt_until
    }

    /// Records that the target refuses connections or does not answer a health check. Returns whether it was reachable
    /// before.
    pub(crate) fn mark_unreachable(&mut self, now: Time) -> bool {
        self.adopt_until = Time::ZERO;
        self.absent_at = Some(now);
        std::mem::replace(&mut self.is_reachable, false)
    }

    /// Ends the lifetime with this id if it is the current one, because another one answered at its address.
    pub(crate) fn end_lifetime(&mut self, now: Time, id: &str) {
        if let Some(current) = self.current.take_if(|current| current.lifetime.id == id) {
            self.ended.push(now, current.lifetime, current.leaving.is_some());
        }
    }

    /// Returns the lifetime that takes new requests, if there is one.
    pub(crate) fn available(&self) -> Option<&Lifetime> {
        let current = self.current.as_ref()?;
        // Another lifetime at the address does not run requests for this one.
        let is_answering = self.is_reachable
            && self.answer.as_ref().is_none_or(|answer| answer.id == current.lifetime.id);
        let takes_requests = current.is_confirmed && current.leaving.is_none();
        (is_answering && takes_requests).then_some(&current.lifetime)
    }

    pub(crate) fn version(&self) -> Option<&CompactString> {
        self.current.as_ref().map(|current| &current.version)
    }

    pub(crate) fn lifetime(&self) -> Option<&Lifetime> {
        self.current.as_ref().map(|current| &current.lifetime)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.current.as_ref().is_some_and(|current| current.leaving.is_some())
    }

    pub(crate) fn slots(&self) -> u16 {
        self.current.as_ref().map_or(1, |current| current.slots.max(1))
    }

    pub(crate) fn is_cold(&self, now: Time) -> bool {
        self.current.as_ref().is_some_and(|current| now < current.cold_until)
    }
}

impl Current {
    /// Creates the lifetime that sent a heartbeat. `is_healthy` tells whether its last health check has proved that it is
    /// not leaving.
    fn new(now: Time, heartbeat: &Heartbeat, is_healthy: bool) -> Current {
        Current {
            lifetime: heartbeat.lifetime.clone(),
            has_named_service: true,
            version: heartbeat.version.clone(),
            slots: heartbeat.slots,
            sequence: heartbeat.sequence,
            heartbeats: HeartbeatSeries::new(now, heartbeat.sequence),
            is_confirmed: is_healthy,
            leaving: heartbeat.is_leaving.then(|| Leaving::new(now, &heartbeat.lifetime)),
            cold_until: now + heartbeat.cold_left,
        }
    }

    /// Creates a lifetime of which nothing is known but that it leaves.
    fn leaving(now: Time, lifetime: Lifetime) -> Current {
        Current {
            leaving: Some(Leaving::new(now, &lifetime)),
            lifetime,
            has_named_service: false,
            version: CompactString::default(),
            slots: 1,
            sequence: 0,
            heartbeats: HeartbeatSeries::new(now, 0),
            is_confirmed: false,
            cold_until: now,
        }
    }

    fn adopt(now: Time, id: CompactString, health: &Health) -> Current {
        Current {
            lifetime: Lifetime { id, started_ms: None },
            has_named_service: false,
            version: CompactString::default(),
            slots: health.slots.unwrap_or(1),
            sequence: 0,
            heartbeats: HeartbeatSeries::new(now, 0),
            is_confirmed: true,
            leaving: None,
            cold_until: now + health.cold_left,
        }
    }

    /// Returns whether a heartbeat can be one of this lifetime. Of a lifetime that left, which did not state its start, it
    /// is not if it is ready and the target was away since.
    fn may_send(&self, heartbeat: &Heartbeat, absent_at: Option<Time>) -> bool {
        let has_restarted = !heartbeat.is_leaving
            && !self.lifetime.is_same(&heartbeat.lifetime)
            && self.leaving.as_ref().is_some_and(|leaving| absent_at > Some(leaving.at));
        self.lifetime.may_equal(&heartbeat.lifetime) && !has_restarted
    }

    fn update(&mut self, now: Time, heartbeat: &Heartbeat) -> TargetChange {
        if self.leaving.is_none() || heartbeat.is_leaving {
            self.lifetime.started_ms = self.lifetime.started_ms.or(heartbeat.lifetime.started_ms);
        }
        if heartbeat.is_leaving {
            // A target that leaves does not return, so this holds whenever it was sent.
            return self.leave(now, &heartbeat.lifetime);
        }
        if let Some(leaving) = &mut self.leaving
            && leaving.is_refuted(now, heartbeat)
        {
            self.leaving = None;
            self.is_confirmed = false;
            self.heartbeats = HeartbeatSeries::new(now, heartbeat.sequence);
            return self.confirm();
        }
        if heartbeat.sequence < self.sequence {
            return TargetChange::Unchanged;
        }
        self.sequence = heartbeat.sequence;
        self.has_named_service = true;
        self.version = heartbeat.version.clone();
        self.slots = heartbeat.slots;
        self.cold_until = self.cold_until.max(now + heartbeat.cold_left);
        self.heartbeats.record(heartbeat.sequence);
        if self.heartbeats.is_steady(now) { self.confirm() } else { TargetChange::Unchanged }
    }

    fn apply_health(&mut self, now: Time, health: &Health) -> TargetChange {
        self.cold_until = now + health.cold_left;
        if let Some(slots) = health.slots {
            self.slots = slots;
        }
        if health.is_healthy { self.confirm() } else { TargetChange::Unchanged }
    }

    fn confirm(&mut self) -> TargetChange {
        if self.leaving.is_some() || std::mem::replace(&mut self.is_confirmed, true) {
            return TargetChange::Unchanged;
        }
        TargetChange::Confirmed
    }

    /// Handles a notice that this lifetime leaves, which names it by `lifetime`.
    fn leave(&mut self, now: Time, lifetime: &Lifetime) -> TargetChange {
        if let Some(leaving) = &mut self.leaving {
            leaving.repeat(lifetime);
            return TargetChange::Unchanged;
        }
        self.leaving = Some(Leaving::new(now, lifetime));
        TargetChange::Leaving
    }
}

#[cfg(test)]
mod tests;
