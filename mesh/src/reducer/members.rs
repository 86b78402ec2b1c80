//! Members, the statuses that they send, and the state of the local target.

use std::net::SocketAddr;

use crate::{
    directory::{Member, MemberRecord},
    effect::{Effect, Record},
    event::Found,
    keys::MemberId,
    limits::Limits,
    node_status::NodeStatus,
    refusal::Reason,
    tally::Tally,
    target::{Health, TargetChange},
    time::Time,
    watchers::{self, RecorderScope, WatcherCandidate},
};

use super::Reducer;

impl Reducer {
    pub(super) fn members_listed(
        &mut self,
        now: Time,
        records: Vec<MemberRecord>,
        out: &mut Vec<Effect>,
    ) {
        let (ended, records): (Vec<_>, Vec<_>) =
            records.into_iter().partition(|record| self.is_earlier_local(record));
        for record in &records {
            self.log_if_new(record, out);
        }
        self.directory.replace(now, records);
        self.fleet.set_known(now);
        for record in ended {
            self.directory.put_ended(now, record);
        }
        if !std::mem::replace(&mut self.has_member_list, true) {
            self.send_status_now(now, out);
        }
        self.update_ready(out);
    }

    pub(super) fn member_put(&mut self, now: Time, record: MemberRecord, out: &mut Vec<Effect>) {
        if self.is_earlier_local(&record) {
            return self.directory.put_ended(now, record);
        }
        self.log_if_new(&record, out);
        self.directory.put(now, record);
    }

    pub(super) fn log_if_new(&self, record: &MemberRecord, out: &mut Vec<Effect>) {
        if self.directory.key(record.id).is_none() {
            let (id, service) = (record.id, record.service.clone());
            out.push(Effect::Log(Record::Member { id, service, change: "joined" }));
        }
    }

    /// Handles the outcome of a call to the store.
    pub(super) fn store_called(&mut self, is_reachable: bool, out: &mut Vec<Effect>) {
        if self.has_store != is_reachable {
            self.has_store = is_reachable;
            out.push(Effect::RestartWatches { is_reachable });
            out.push(Effect::Log(Record::Store { is_reachable }));
        }
    }

    /// Updates this node's own entry in the directory, since it receives no status from itself.
    pub(super) fn update_own_entry(&mut self, now: Time) {
        if let Some(key) = self.directory.key(self.local.id)
            && let Some(member) = self.directory.get_mut(key)
        {
            member.last_heard = Some(now);
            member.version = self.target.version().cloned().unwrap_or_default();
            member.tally = self.tally;
        }
    }

    pub(super) fn expire_members(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.update_own_entry(now);
        let id = self.local.id;
        for Member { record, .. } in self.directory.expire(now, id) {
            out.push(Effect::ClosePeer(record.address));
            let (id, service) = (record.id, record.service);
            out.push(Effect::Log(Record::Member { id, service, change: "gone" }));
        }
    }

    /// Handles the status of another node.
    pub(super) fn status_received(
        &mut self,
        now: Time,
        status: &NodeStatus,
        source: SocketAddr,
        out: &mut Vec<Effect>,
    ) {
        self.status_eras_seen(now, status, out);
        let positions = self.positions_of(status);
        self.orders_confirmed(now, status, &positions);
        let config_version = status.extension.map_or(0, |extension| extension.config_version);
        if let Some(record) = status.record.as_ref().filter(|record| record.id == status.from) {
            self.register_sender(now, record, out);
        }
        let key = self.directory.key(status.from);
        let Some(member) = key.and_then(|key| self.directory.get_mut(key)) else {
            // The sender's record is newer than this node's replica of the store.
            return self.pull_from_unknown((&positions, config_version), source, out);
        };
        member.update_load(now, status.load);
        member.tally = status.tally;
        member.version = status.version.clone();
        member.has_store = status.has_store;
        member.revisions = positions;
        member.config_version = config_version;
        member.is_stopping = status.is_stopping;
        self.merge_suspects(now, &status.suspects, out);
        for rollout in &status.rollouts {
            self.merge_rollout(now, rollout);
        }
        if self.is_behind(&positions, config_version) {
            self.pull_if_behind(now, out);
        }
    }

    /// Adds a new node by the record in its own status, since the store may be slow or unavailable, and sends it the
    /// status of this node.
    fn register_sender(&mut self, now: Time, record: &MemberRecord, out: &mut Vec<Effect>) {
        if self.directory.key(record.id).is_some() {
            return;
        }
        self.log_if_new(record, out);
        self.directory.upsert(now, record.clone());
        let is_own_service = record.service == self.local.service;
        let suspects = if is_own_service { self.suspects_for_new_node(now) } else { Vec::new() };
        let (to, status) = (vec![record.address], self.node_status(now, suspects));
        out.push(Effect::SendStatus { to, status });
    }

    pub(super) fn members_synced(&mut self, now: Time, found: Found, out: &mut Vec<Effect>) {
        self.is_synced = true;
        if found == Found::Nobody {
            self.start_deployment(now);
        }
        self.update_watcher(now, out);
        self.write_records(now, out);
        self.send_status_now(now, out);
    }

    /// Updates whether this node watches the store for the other nodes.
    pub(super) fn update_watcher(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.is_synced {
            return;
        }
        let local = WatcherCandidate {
            id: self.local.id,
            centre: self.local.centre.clone(),
            has_store: self.has_store,
        };
        let candidate = |(_, member): (_, &Member)| WatcherCandidate {
            id: member.record.id,
            centre: member.record.centre.clone(),
            has_store: member.has_store,
        };
        let members = || self.directory.iter();
        let recorders: Vec<WatcherCandidate> = members()
            .filter(|(_, member)| !self.directory.is_silent(now, member))
            .map(candidate)
            .collect();
        // A second watcher does no harm, so its turn comes sooner than that of another recorder. A node that stops no longer
        // watches, although it goes on to send its status.
        let watchers: Vec<WatcherCandidate> = members()
            .filter(|(_, member)| !member.is_stopping && !self.directory.is_overdue(now, member))
            .map(candidate)
            .collect();
        let is_running = self.stopping_since.is_none();
        // The other nodes of a deployment that starts leave all duties to the one that they have found.
        let is_founder = self.is_deployment_starting(now);
        let scope = if is_founder {
            Some(RecorderScope::All)
        } else {
            watchers::recorder_scope(&local, &recorders)
        };
        self.set_recorder(now, scope.filter(|_| is_running), out);
        let has_duty = is_founder || watchers::is_watcher(&local, &watchers);
        let is_watcher = is_running && (has_duty || self.is_trying_store(now));
        if is_watcher != self.is_watcher {
            self.is_watcher = is_watcher;
            out.push(Effect::WatchStore(is_watcher));
            out.push(Effect::Log(Record::Watcher { is_watcher }));
        }
    }

    /// Returns whether another node has spoken to this one.
    pub(crate) fn has_heard_others(&self, now: Time) -> bool {
        let mut members = self.directory.iter().map(|(_, member)| member);
        members.any(|member| {
            !self.is_local(member.record.id) && !self.directory.is_silent(now, member)
        })
    }

    pub(super) fn apply_health(
        &mut self,
        now: Time,
        health: Option<Health>,
        out: &mut Vec<Effect>,
    ) {
        let Some(health) = health else {
            if self.target.mark_unreachable(now) {
                self.log_target("unreachable", out);
                self.record_target_crash(now, out);
            }
            self.update_admission(now, out);
            return self.decide_unmeasured(now, out);
        };
        if let Some(percent) = health.slowdown {
            self.admission.update_slowdown(now, percent);
        }
        let change = self.target.apply_health(now, &health);
        self.target_changed(now, change, out);
        self.crash_guard.target_recovered();
        self.update_admission(now, out);
        self.decide_unmeasured(now, out);
        self.send_due_statuses(now, out);
    }

    pub(super) fn apply_slowdown(&mut self, now: Time, percent: u32, out: &mut Vec<Effect>) {
        self.admission.update_slowdown(now, percent);
        self.decide_unmeasured(now, out);
        self.send_due_statuses(now, out);
    }

    pub(super) fn target_changed(
        &mut self,
        now: Time,
        change: TargetChange,
        out: &mut Vec<Effect>,
    ) {
        match change {
            TargetChange::Unchanged => {}
            TargetChange::Started => {
                self.record_target_crash(now, out);
                self.admission.clear_failures();
                self.tally = Tally::default();
                self.log_target("started", out);
            }
            TargetChange::Confirmed => self.log_target("confirmed", out),
            TargetChange::Leaving => self.log_target("leaving", out),
        }
        self.update_own_entry(now);
        self.update_admission(now, out);
    }

    fn log_target(&self, change: &'static str, out: &mut Vec<Effect>) {
        let lifetime =
            self.target.lifetime().map(|lifetime| lifetime.id.clone()).unwrap_or_default();
        out.push(Effect::Log(Record::Target { lifetime, change }));
    }

    /// Updates admission from the state of the target, the configuration and the operators' orders.
    pub(super) fn update_admission(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.admission.set_slots(self.target.slots());
        let bound = self.cold_rate_limit();
        self.admission.set_cold_rate(now, bound.filter(|_| self.target.is_cold(now)));
        let was_open = self.admission.report(now).is_open;
        let dequeued = self.admission.set_closed(self.closed_reason());
        self.apply_dequeued(now, dequeued, out);
        if was_open != self.admission.report(now).is_open {
            self.send_due_statuses(now, out);
        }
    }

    /// Returns why the target accepts no new requests, or `None` if it does.
    fn closed_reason(&self) -> Option<Reason> {
        if self.stopping_since.is_some() {
            return Some(Reason::Stopping);
        }
        if self.config.is_none() {
            return Some(Reason::NoConfig);
        }
        let is_withdrawn = self.target.is_leaving() || self.is_version_stopped();
        if is_withdrawn || self.evacuated.contains(&self.local.centre) {
            return Some(Reason::OutOfService);
        }
        self.target.available().is_none().then_some(Reason::NoTarget)
    }

    /// Returns the maximum number of requests that the target may receive in any second of its cold start.
    fn cold_rate_limit(&self) -> Option<f64> {
        let service = self.config.as_ref()?.service(&self.local.service)?;
        let Limits { cold_ratio, cold_slack, .. } = self.local.limits;
        (service.cold_rate > 0.0).then_some(service.cold_rate * cold_ratio + cold_slack)
    }

    pub(super) fn is_local(&self, id: MemberId) -> bool {
        self.local.id == id
    }
}
