//! The decision logic of a node: a deterministic function of state, event and time.
//!
//! The reducer performs no I/O and reads no clock, so replaying a recorded sequence of events produces the same
//! effects.

mod calls;
mod configuration;
mod crashes;
mod denials;
mod eras;
mod identity;
mod members;
mod measurements;
mod notices;
mod order_reads;
mod orders;
mod parents;
mod pulls;
mod records;
mod spills;
mod statuses;
mod stops;
mod store_trials;
mod usage;
mod versions;
mod works;

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use compact_str::CompactString;
use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SecondaryMap;

use crate::{
    admission::AdmissionController,
    budget::{Fleet, RetryBudget},
    config::RouteTable,
    crash_guard::CrashGuard,
    directory::{Directory, Member, MemberRecord, OTHER_CENTRE_FANOUT, SAME_CENTRE_FANOUT},
    effect::{Effect, Record},
    event::{Event, Timer},
    fanout::Fanout,
    gauges::GaugeValues,
    keys::{CallKey, MemberId, WorkKey},
    limits::Limits,
    replica::Revisions,
    report::LoadReport,
    rollout::{Rollout, RolloutRecord},
    spill::SpillTable,
    split::SplitScheduler,
    tally::Tally,
    target::Target,
    time::Time,
};

pub(crate) use self::denials::RequestSize;
use self::{
    calls::Call, configuration::Confirmation, eras::Eras, measurements::Unmeasured,
    orders::KeptOrders, pulls::Pulls, records::Records, store_trials::StoreTrials, works::Work,
};

/// The interval of [`Timer::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The gap between two ticks above which the process counts as having been suspended.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// The identity, address and limits of this node.
#[derive(Clone, Debug)]
pub(crate) struct LocalNode {
    pub(crate) id: MemberId,
    /// The address at which other nodes reach this one.
    pub(crate) address: SocketAddr,
    pub(crate) centre: CompactString,
    pub(crate) service: CompactString,
    pub(crate) limits: Limits,
}

impl LocalNode {
    /// Returns the record that this node publishes in the store.
    pub(crate) fn record(&self) -> MemberRecord {
        MemberRecord {
            id: self.id,
            address: self.address,
            centre: self.centre.clone(),
            service: self.service.clone(),
        }
    }
}

/// The complete decision state of one node.
pub(crate) struct Reducer {
    local: LocalNode,
    /// When this node became the member that it is.
    member_since: Time,
    rng: SmallRng,
    config: Option<Arc<RouteTable>>,
    /// When the configuration in `config` took effect on this node.
    config_since: Time,
    confirmation: Confirmation,
    /// Whether what the configuration in force says of teams is that of an earlier one.
    lacks_access: bool,
    /// Whether the store holds a newer configuration that this node cannot read.
    has_unreadable_config: bool,
    directory: Directory,
    /// Whether the list of members has been read since the start.
    has_member_list: bool,
    /// Whether members that started at the same time have had time to write their records.
    is_synced: bool,
    has_store: bool,
    evacuated: BTreeSet<CompactString>,
    rollouts: HashMap<CompactString, Rollout>,
    /// The last recorded rollout state of each service. It may be read before the order itself.
    rollout_records: HashMap<CompactString, RolloutRecord>,
    target: Target,
    admission: AdmissionController,
    tally: Tally,
    /// Requests that wait for the present slowdown of the target.
    unmeasured: Vec<Unmeasured>,
    calls: SecondaryMap<CallKey, Call>,
    works: SecondaryMap<WorkKey, Work>,
    retry_budgets: HashMap<CompactString, RetryBudget>,
    /// The nodes that share the bound on retries.
    fleet: Fleet,
    estimates: HashMap<calls::ServiceRoute, calls::RouteEstimate>,
    /// The scheduler of each route that splits its requests among services.
    splits: HashMap<CompactString, SplitScheduler>,
    /// How much traffic goes to other data centres.
    spills: SpillTable,
    /// The timeouts that callers have stated for each route.
    caller_timeouts: HashMap<CompactString, calls::CallerTimeouts>,
    crash_guard: CrashGuard,
    /// Suspect reports that are still to be sent again.
    pending_reports: Vec<crashes::PendingReport>,
    /// Selects the recipients of a status round: in this data centre, and in the others.
    fanouts: [Fanout; 2],
    /// When a status was last sent and its load report: to this data centre, and to the others.
    last_status: [Option<(Time, LoadReport)>; 2],
    revisions: Revisions,
    eras: Eras,
    kept_orders: KeptOrders,
    pulls: Pulls,
    records: Records,
    /// Whether this node watches the store for the other nodes.
    is_watcher: bool,
    store_trials: StoreTrials,
    is_ready: bool,
    has_queue_timer: bool,
    /// When the last tick was handled.
    last_tick: Time,
    stopping_since: Option<Time>,
    has_exited: bool,
}

impl Reducer {
    pub(crate) fn new(local: LocalNode, seed: u64) -> Reducer {
        Reducer {
            directory: Directory::new(local.centre.clone()),
            member_since: Time::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            config: None,
            config_since: Time::ZERO,
            confirmation: Confirmation::default(),
            lacks_access: false,
            has_unreadable_config: false,
            has_member_list: false,
            is_synced: false,
            has_store: false,
            evacuated: BTreeSet::new(),
            rollouts: HashMap::new(),
            rollout_records: HashMap::new(),
            target: Target::new(local.limits.address_reuse),
            admission: AdmissionController::new(),
            tally: Tally::default(),
            unmeasured: Vec::new(),
            calls: SecondaryMap::new(),
            works: SecondaryMap::new(),
            retry_budgets: HashMap::new(),
            fleet: Fleet::default(),
            estimates: HashMap::new(),
            splits: HashMap::new(),
            spills: SpillTable::default(),
            caller_timeouts: HashMap::new(),
            crash_guard: CrashGuard::new(local.id),
            pending_reports: Vec::new(),
            fanouts: [Fanout::new(SAME_CENTRE_FANOUT), Fanout::new(OTHER_CENTRE_FANOUT)],
            last_status: [None, None],
            revisions: Revisions::default(),
            eras: Eras::default(),
            kept_orders: KeptOrders::default(),
            pulls: Pulls::default(),
            records: Records::default(),
            is_watcher: false,
            store_trials: StoreTrials::default(),
            is_ready: false,
            has_queue_timer: false,
            last_tick: Time::ZERO,
            stopping_since: None,
            has_exited: false,
            local,
        }
    }

    /// Arms the first tick and registers this node in its own directory.
    pub(crate) fn start(&mut self, out: &mut Vec<Effect>) {
        out.push(Effect::Arm { timer: Timer::Tick, after: TICK_INTERVAL });
        self.directory.upsert(Time::ZERO, self.local.record());
        self.update_own_entry(Time::ZERO);
    }

    /// Applies one event.
    pub(crate) fn apply(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Call(key, event) => self.apply_call(now, key, event, out),
            Event::Work(key, event) => self.apply_work(now, key, event, out),
            Event::Health(health) => self.apply_health(now, health, out),
            Event::Slowdown(percent) => self.apply_slowdown(now, percent, out),
            Event::Members(records) => self.members_listed(now, records, out),
            Event::MemberPut(record) => self.member_put(now, record, out),
            Event::MemberRemoved(id) => self.directory.mark_removed(now, id),
            Event::RecordsWritten(batch) => self.records_written(now, &batch),
            Event::RecordsUnwritten => self.records_unwritten(now),
            Event::RecordLeaseLost => self.record_lease_lost(now),
            Event::Synced(found) => self.members_synced(now, found, out),
            Event::Revisions(revisions) => self.revisions_changed(now, revisions, out),
            Event::StoreEra(era) => self.era_seen(now, era, out),
            Event::PullEnded(outcome) => self.pull_ended(now, outcome, out),
            Event::Store { is_reachable } => self.store_called(is_reachable, out),
            Event::Config(table) => self.set_config(now, table, out),
            Event::ConfigWithoutAccess(config) => self.config_without_access(now, config, out),
            Event::OrdersRead { sent_at } => self.orders_read(now, sent_at, out),
            Event::OrdersIncomplete => self.orders_incomplete(),
            Event::ConfigUnreadable => self.has_unreadable_config = true,
            Event::Limits(limits) => self.local.limits = limits,
            Event::Service { id, service } => self.service_changed(now, id, service, out),
            Event::Evacuated(centres) => self.evacuation_read(now, centres, out),
            Event::Rollout { service, order } => self.rollout_read(now, service, order, out),
            Event::RolloutRecorded(record) => self.rollout_recorded(now, &record, out),
            Event::Status { status, source } => self.status_received(now, &status, source, out),
            Event::Timer(timer) => self.timer_expired(now, timer, out),
            Event::Recalled { from, left } => self.recalled(now, from, left, out),
            Event::Stop => self.stop(now, out),
        }
    }

    /// Returns whether a timer still has an effect.
    pub(crate) fn is_timer_needed(&self, timer: Timer) -> bool {
        match timer {
            Timer::CallDeadline(key) | Timer::Hedge(key) => self.calls.contains_key(key),
            // `has_queue_timer` is cleared only when the timer fires. A queue timer that is dropped while the queue
            // is empty would never be armed again.
            Timer::Queue => self.has_queue_timer,
            Timer::Slowdown => !self.unmeasured.is_empty(),
            Timer::Tick | Timer::StopRecall | Timer::StopDeadline => true,
        }
    }

    /// Returns the load report that accompanies an answer to another node.
    pub(crate) fn load_report(&self, now: Time) -> LoadReport {
        self.admission.report(now)
    }

    /// Returns the measured service time of a route at the target's normal speed.
    pub(crate) fn nominal_service_time(&self, route: &str) -> Option<Duration> {
        self.admission.nominal_service_time(route)
    }

    /// Returns the current values of the gauge metrics.
    pub(crate) fn gauge_values(&self, now: Time) -> GaugeValues {
        let report = self.admission.report(now);
        let members = || self.directory.iter().map(|(_, member)| member);
        let is_cold = |member: &&Member| member.load.is_some_and(|(_, load)| load.is_cold);
        GaugeValues {
            calls: self.calls.len(),
            running: report.running.into(),
            queued: report.queued.into(),
            limit: report.limit.into(),
            slowdown: self.admission.slowdown(),
            is_open: report.is_open,
            is_cold: report.is_cold,
            teams: self.admission.team_count(),
            members: self.directory.len(),
            silent: members().filter(|member| self.directory.is_silent(now, member)).count(),
            cold: members().filter(is_cold).count(),
            retries_left: self.retry_budgets.values().map(RetryBudget::remaining).sum(),
            config_version: self.config_version(),
            config_age: now.since(self.config_since),
            orders_age: self.orders_age(now),
            has_store: self.has_store,
            remote_shares: self.spills.gauges(),
        }
    }

    pub(crate) fn local_id(&self) -> MemberId {
        self.local.id
    }

    /// Returns the service of the local target.
    pub(crate) fn local_service(&self) -> &CompactString {
        &self.local.service
    }

    /// Returns the number of members that this node knows.
    pub(crate) fn member_count(&self) -> usize {
        self.directory.len()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping_since.is_some()
    }

    fn timer_expired(&mut self, now: Time, timer: Timer, out: &mut Vec<Effect>) {
        match timer {
            Timer::CallDeadline(key) => self.call_deadline(now, key, out),
            Timer::Hedge(key) => self.hedge(now, key, out),
            Timer::Queue => {
                self.has_queue_timer = false;
                let dequeued = self.admission.advance(now);
                self.apply_dequeued(now, dequeued, out);
            }
            Timer::Slowdown => self.decide_unmeasured(now, out),
            Timer::Tick => self.tick(now, out),
            Timer::StopRecall => self.recall_all(Duration::ZERO, out),
            Timer::StopDeadline => self.end_stop(now, out),
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        out.push(Effect::Arm { timer: Timer::Tick, after: TICK_INTERVAL });
        self.adjust_for_pause(now, out);
        self.expire_members(now, out);
        self.log_confirmation(now, out);
        self.update_watcher(now, out);
        self.write_records(now, out);
        self.continue_pull(now, out);
        self.drop_kept_orders(now, out);
        self.evaluate_rollouts(now, out);
        self.save_lost_records(now, out);
        self.resend_suspects(now, out);
        self.update_admission(now, out);
        self.update_spills(now, out);
        self.send_due_statuses(now, out);
        self.exit_if_idle(now, out);
    }

    /// Excludes the time in which this process was suspended from the silence of other members, since it could not
    /// receive anything from them.
    fn adjust_for_pause(&mut self, now: Time, out: &mut Vec<Effect>) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > PAUSE_THRESHOLD {
            self.directory.extend_last_heard(gap);
            self.confirmation.note_pause(now, gap);
            out.push(Effect::Log(Record::Paused { time: gap }));
        }
    }

    /// Reports this node as ready once it has a configuration and a member list, and until it stops.
    fn update_ready(&mut self, out: &mut Vec<Effect>) {
        let is_ready =
            self.config.is_some() && self.has_member_list && self.stopping_since.is_none();
        if is_ready != self.is_ready {
            self.is_ready = is_ready;
            out.push(Effect::Ready(is_ready));
        }
    }
}

#[cfg(test)]
mod tests;
