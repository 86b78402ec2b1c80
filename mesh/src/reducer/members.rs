//! Members, the state of the local target, and the exchange of status between nodes.

use std::{net::SocketAddr, time::Duration};

use crate::{
    crash_guard::SuspectReport,
    directory::{
        Member, MemberRecord, OTHER_CENTRE_FANOUT, SAME_CENTRE_FANOUT, Tally, other_centre_interval,
    },
    effect::{Effect, Record},
    event::Found,
    keys::MemberId,
    limits::Limits,
    node_status::{Extension, NodeStatus},
    refusal::Reason,
    report::LoadReport,
    target::{Health, TargetChange},
    time::Time,
    watchers::{self, RecorderScope, WatcherCandidate},
};

use super::Reducer;

/// Whether other nodes are in this node's data centre.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
enum Locality {
    /// In the same data centre.
    SameCentre,
    /// In other data centres, to which traffic costs money.
    OtherCentre,
}

/// The time for which a node includes its record in its status after its start, and after the store may have lost the
/// record. Later it does so only while the store does not hold the record.
const RECORD_SEND_TIME: Duration = Duration::from_secs(10);

/// The minimum interval of status datagrams to other data centres.
const OTHER_CENTRE_MIN_INTERVAL: Duration = Duration::from_millis(120);

/// The minimum interval of status datagrams within a data centre.
const SAME_CENTRE_MIN_INTERVAL: Duration = Duration::from_millis(40);

/// The maximum interval of status datagrams within a data centre.
const SAME_CENTRE_MAX_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum intervals of status datagrams while a version of the local service is evaluated: within a data centre,
/// and to other ones.
const ROLLOUT_MAX_INTERVALS: [Duration; 2] =
    [Duration::from_millis(150), Duration::from_millis(300)];

/// The maximum rate of a node's status datagrams, per second. With more members, its status is sent less often.
const MAX_STATUSES_PER_S: f64 = 150.0;

/// The ratio by which the slowdown must change for a status to be sent before the maximum interval.
const SLOWDOWN_CHANGE_RATIO: f64 = 1.4;

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

    pub(super) fn store_changed(&mut self, is_reachable: bool, out: &mut Vec<Effect>) {
        if self.has_store != is_reachable {
            self.has_store = is_reachable;
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
        let responsive =
            self.directory.iter().filter(|(_, member)| !self.directory.is_silent(now, member));
        let candidate = |member: &Member| WatcherCandidate {
            id: member.record.id,
            centre: member.record.centre.clone(),
            has_store: member.has_store,
        };
        let nodes: Vec<WatcherCandidate> =
            responsive.map(|(_, member)| candidate(member)).collect();
        let is_running = self.stopping_since.is_none();
        // The other nodes of a deployment that starts leave all duties to the one that they have found.
        let is_founder = self.is_deployment_starting(now);
        let scope = if is_founder {
            Some(RecorderScope::All)
        } else {
            watchers::recorder_scope(&local, &nodes)
        };
        self.set_recorder(now, scope.filter(|_| is_running), out);
        let is_watcher = is_running && (is_founder || watchers::is_watcher(&local, &nodes));
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

    /// Sends this node's status to other nodes if its load has changed significantly or the maximum interval has
    /// passed.
    pub(super) fn send_due_statuses(&mut self, now: Time, out: &mut Vec<Effect>) {
        let load = self.admission.report(now);
        for locality in [Locality::SameCentre, Locality::OtherCentre] {
            if self.is_status_due(now, locality, &load) {
                self.send_status(now, locality, load, out);
            }
        }
    }

    /// Starts a round of status datagrams to both groups of nodes at once, whatever the intervals.
    pub(super) fn send_status_now(&mut self, now: Time, out: &mut Vec<Effect>) {
        let load = self.admission.report(now);
        self.send_status(now, Locality::SameCentre, load, out);
        self.send_status(now, Locality::OtherCentre, load, out);
    }

    fn is_status_due(&self, now: Time, locality: Locality, load: &LoadReport) -> bool {
        let Some((at, sent)) = self.last_status[locality as usize] else { return true };
        let recipients = self.directory.len().min(SAME_CENTRE_FANOUT + OTHER_CENTRE_FANOUT);
        let round_time = Duration::from_secs_f64(recipients as f64 / MAX_STATUSES_PER_S);
        let (shortest, longest) = match locality {
            Locality::SameCentre => {
                (SAME_CENTRE_MIN_INTERVAL.max(round_time / 3), SAME_CENTRE_MAX_INTERVAL)
            }
            Locality::OtherCentre => (
                OTHER_CENTRE_MIN_INTERVAL.max(round_time),
                other_centre_interval(self.directory.len()),
            ),
        };
        let longest = if self.has_active_local_rollout() {
            ROLLOUT_MAX_INTERVALS[locality as usize]
        } else {
            longest
        };
        let since = now.since(at);
        let is_open_changed = load.is_open != sent.is_open;
        let is_significant = is_open_changed
            || (locality == Locality::SameCentre && is_significant_change(&sent, load));
        since >= longest.max(shortest) || (is_significant && since >= shortest)
    }

    fn send_status(
        &mut self,
        now: Time,
        locality: Locality,
        load: LoadReport,
        out: &mut Vec<Effect>,
    ) {
        self.last_status[locality as usize] = Some((now, load));
        let is_recipient = |member: &Member| {
            let is_same_centre = member.record.centre == self.local.centre;
            member.record.id != self.local.id
                && is_same_centre == (locality == Locality::SameCentre)
                && !(member.is_stopping && self.directory.is_silent(now, member))
        };
        let others = self.directory.iter().map(|(_, member)| member);
        let others: Vec<&Member> = others.filter(|member| is_recipient(member)).collect();
        let last_requests: Vec<Option<Time>> =
            others.iter().map(|member| member.last_request).collect();
        let chosen = self.fanouts[locality as usize].choose(now, &last_requests);
        let to: Vec<_> = chosen.into_iter().map(|index| others[index].record.address).collect();
        if to.is_empty() {
            return;
        }
        let status = self.node_status(now, Vec::new());
        out.push(Effect::SendStatus { to, status });
    }

    pub(super) fn node_status(&self, now: Time, suspects: Vec<SuspectReport>) -> NodeStatus {
        let has_new_record = now.since(Time::ZERO) < RECORD_SEND_TIME
            || self.is_just_restored(now, RECORD_SEND_TIME)
            || !self.is_recorded();
        NodeStatus {
            from: self.local.id,
            revisions: self.revisions.map(|position| position.revision),
            has_store: self.has_store,
            is_stopping: self.stopping_since.is_some(),
            record: has_new_record.then(|| self.local.record()),
            version: self.target.version().cloned().unwrap_or_default(),
            load: self.admission.report(now),
            tally: self.tally,
            rollouts: self.rollout_progress(now),
            suspects,
            extension: Some(Extension {
                eras: self.revisions.map(|position| position.era),
                config_version: self.config_version(),
                orders_age_ms: self
                    .orders_age(now)
                    .map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX)),
            }),
        }
    }

    pub(super) fn apply_health(
        &mut self,
        now: Time,
        health: Option<Health>,
        out: &mut Vec<Effect>,
    ) {
        let Some(health) = health else {
            if self.target.mark_unreachable() {
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

/// Returns whether a load report differs from the last one sent by enough to be sent early.
fn is_significant_change(sent: &LoadReport, load: &LoadReport) -> bool {
    let ratio = f64::from(load.slowdown.max(1)) / f64::from(sent.slowdown.max(1));
    let is_full = |load: &LoadReport| load.running >= load.limit;
    load.is_open != sent.is_open
        || load.is_cold != sent.is_cold
        || !(1.0 / SLOWDOWN_CHANGE_RATIO..=SLOWDOWN_CHANGE_RATIO).contains(&ratio)
        || is_full(load) != is_full(sent)
        || load.failure_permille.abs_diff(sent.failure_permille) > 100
}
