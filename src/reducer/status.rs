//! Read-only views of the reducer's state for operators.

use std::{collections::BTreeMap, sync::Arc};

use compact_str::{CompactString, ToCompactString};

use crate::{
    addresses::Addresses,
    directory,
    document::Document,
    membership,
    status::{Admission, Measuring, MemberState, MemberStatus, ServiceMembers, Status},
    time::Time,
};

use super::Reducer;

impl Reducer {
    /// Returns the document in force and its revision.
    pub(crate) fn document(&self) -> Option<(u64, Arc<Document>)> {
        self.document.as_ref().map(|document| (self.revision, document.clone()))
    }

    /// Returns the status of the node.
    pub(crate) fn status(&self, now: Time, addresses: Addresses) -> Status {
        let local = &self.local.info;
        Status {
            node: local.id.to_compact_string(),
            addresses,
            service: local.service.clone(),
            version: local.version.clone(),
            centre: local.centre.clone(),
            region: local.region.clone(),
            stopping: self.is_stopping,
            target_up: self.is_target_up,
            revision: self.revision,
            revision_age_ms: self.document_since.map(|at| millis(now, at)),
            seat: self.watcher_rank,
            admission: self.admission(),
            measuring: self.measuring(),
            calls: self.calls.len(),
            works: self.works.len(),
            times: Vec::new(),
            services: self.services(now),
        }
    }

    fn admission(&self) -> Admission {
        let report = self.admission.report();
        Admission {
            slots: self.local.slots,
            limit: report.limit,
            running: report.running,
            queued: report.queued,
            latency_us: report.latency_us,
            cold: report.is_cold,
        }
    }

    fn measuring(&self) -> Measuring {
        let counts = self.measurement_budget.counts();
        Measuring {
            budget: self.measurement_budget.rate(),
            bytes: counts.bytes,
            reports: counts.reports,
            probes: counts.probes,
            reports_denied: counts.reports_denied,
            probes_denied: counts.probes_denied,
        }
    }

    fn services(&self, now: Time) -> Vec<ServiceMembers> {
        let mut services: BTreeMap<&CompactString, Vec<MemberStatus>> = BTreeMap::new();
        for member in self.directory.members() {
            let members = services.entry(&member.info.service).or_default();
            members.push(self.member_status(now, member));
        }
        let service_members = |(service, mut members): (&CompactString, Vec<MemberStatus>)| {
            members.sort_by(|a, b| a.id.cmp(&b.id));
            ServiceMembers { service: service.clone(), members }
        };
        services.into_iter().map(service_members).collect()
    }

    fn member_status(&self, now: Time, member: &directory::Member) -> MemberStatus {
        let info = &member.info;
        let state = self.membership.member(info.id).map(|(_, state)| state);
        let is_local = info.id == self.local.info.id;
        MemberStatus {
            id: info.id.to_compact_string(),
            version: info.version.clone(),
            centre: info.centre.clone(),
            state: match state {
                Some(membership::State::Suspect) => MemberState::Suspected,
                _ => MemberState::Alive,
            },
            leaving: info.is_leaving,
            cold: if is_local { self.admission.report().is_cold } else { member.view.is_cold() },
            ejected: self.directory.is_ejected(now, info.id),
            in_flight: member.view.in_flight(),
        }
    }
}

fn millis(now: Time, at: Time) -> u64 {
    u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX)
}
