//! What the local target says of its lifetime: heartbeats and deregistrations.

use crate::{
    effect::{Effect, NoticeKind, Record},
    target::{Heartbeat, HeartbeatReply, Lifetime, TargetChange},
    time::Time,
};

use super::Reducer;

impl Reducer {
    /// Handles a heartbeat of the target and returns whether it was accepted.
    pub(crate) fn heartbeat(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        out: &mut Vec<Effect>,
    ) -> HeartbeatReply {
        let known = self.target.lifetime().cloned();
        let (reply, change) = if heartbeat.service == self.local.service {
            self.target.apply_heartbeat(now, heartbeat)
        } else {
            self.target.reject_service(now, &heartbeat.lifetime);
            (HeartbeatReply::Refused, TargetChange::Unchanged)
        };
        if reply == HeartbeatReply::Refused {
            let lifetime = heartbeat.lifetime.clone();
            log_notice(NoticeKind::Heartbeat, (lifetime, known), reply, out);
        }
        self.target_changed(now, change, out);
        reply
    }

    /// Handles the target's notice that it is leaving and accepts no new requests.
    pub(crate) fn target_leaving(
        &mut self,
        now: Time,
        lifetime: &Lifetime,
        out: &mut Vec<Effect>,
    ) -> HeartbeatReply {
        let known = self.target.lifetime().cloned();
        let (reply, change) = self.target.mark_leaving(now, lifetime);
        log_notice(NoticeKind::Deregistration, (lifetime.clone(), known), reply, out);
        self.target_changed(now, change, out);
        reply
    }
}

/// Logs what a target said of a lifetime, beside the one that was known at its address until then.
fn log_notice(
    kind: NoticeKind,
    (lifetime, current): (Lifetime, Option<Lifetime>),
    reply: HeartbeatReply,
    out: &mut Vec<Effect>,
) {
    let is_accepted = reply == HeartbeatReply::Accepted;
    out.push(Effect::Log(Record::Notice { lifetime, current, kind, is_accepted }));
}
