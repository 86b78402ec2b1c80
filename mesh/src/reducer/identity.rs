//! The identity of this node: its member id and the service of its target.

use compact_str::CompactString;

use crate::{
    effect::{Effect, Record},
    keys::MemberId,
    tally::Tally,
    target::Target,
    time::Time,
};

use super::Reducer;

impl Reducer {
    /// Continues as a new member, because the settings name another service for the local target.
    ///
    /// Other nodes send requests to a member for its service, so the member of the earlier service ends. Requests that are
    /// in progress are finished.
    pub(super) fn service_changed(
        &mut self,
        now: Time,
        id: MemberId,
        service: CompactString,
        out: &mut Vec<Effect>,
    ) {
        if service == self.local.service {
            return;
        }
        let change = "service-changed";
        out.push(Effect::Log(Record::Member { id, service: service.clone(), change }));
        self.local.id = id;
        self.local.service = service;
        self.member_since = now;
        // No heartbeat has named the new service yet.
        self.target = Target::default();
        self.tally = Tally::default();
        self.admission.clear_failures();
        self.directory.upsert(now, self.local.record());
        self.update_own_entry(now);
        self.check_health(out);
        self.update_admission(now, out);
        self.send_status_now(now, out);
    }

    /// Sets the path of the health endpoint, which belongs to the service.
    pub(super) fn check_health(&self, out: &mut Vec<Effect>) {
        let service = self.config.as_ref().and_then(|table| table.service(&self.local.service));
        if let Some(service) = service {
            out.push(Effect::CheckHealth { path: service.health_path.clone() });
        }
    }
}
