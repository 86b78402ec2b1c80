//! The state machine that makes all decisions of a node. It maps state, event and time to a new state and effects.
//!
//! The reducer performs no I/O and reads no clock, so replaying a recorded sequence of events produces the same
//! effects. See `docs/design.md`, section 3.

mod calls;
mod crashes;
mod gossip_payload;
mod health;
mod identities;
mod members;
mod remote;
mod status;
mod versions;
mod works;

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SecondaryMap;

use crate::{
    admission::AdmissionController,
    crash_guard::CrashGuard,
    directory::Directory,
    document::{Budgets, Document},
    effect::{Effect, Record},
    event::{Event, Timer},
    identity::{ClaimBudget, ClaimEvent, DuplicateFilter, Owner},
    keys::{CallKey, WorkKey},
    load::MeasurementBudget,
    membership::{self, Member, Membership},
    pool::Reachability,
    remote::{Remote, SubscriptionServer},
    rollout::Rollouts,
    time::{Time, WallTime},
};

use self::{calls::Call, health::TargetHealth, members::Pull, works::Work};

/// The interval of periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The minimum interval between log lines about the cost of load measurement.
const COST_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The properties and settings of the node that the reducer runs on.
#[derive(Clone, Debug)]
pub(crate) struct LocalNode {
    pub(crate) info: Member,
    /// The wall-clock time at which the node started. Sequence numbers start at a value derived from it.
    pub(crate) started: WallTime,
    /// The number of requests that the target can run at the same time.
    pub(crate) slots: u16,
    /// Gossip addresses from the settings, which allow a node to join while the platform is unavailable.
    pub(crate) contacts: Vec<SocketAddr>,
    /// The maximum time for which a graceful stop waits for requests in progress.
    pub(crate) drain_timeout: Duration,
}

/// The complete decision state of one node.
pub(crate) struct Reducer {
    local: LocalNode,
    rng: SmallRng,
    directory: Directory,
    membership: Membership,
    has_joined: bool,
    next_watcher_update: Time,
    next_cost_log: Time,
    /// The total bytes spent on load measurement when its cost was last logged.
    logged_bytes: u64,
    /// The node's rank among the watchers of its data centre, if it is one of them.
    watcher_rank: Option<usize>,
    pull: Option<Pull>,
    remote: Remote,
    /// Subscriptions of other regions to services of this region.
    subscription_server: SubscriptionServer,
    /// Calls that wait for the members of their service in another region.
    waiting_calls: Vec<CallKey>,
    document: Option<Arc<Document>>,
    revision: u64,
    rollouts: Rollouts,
    crash_guard: CrashGuard,
    /// Whether the payload of membership messages must be rebuilt at the next tick.
    is_payload_stale: bool,
    /// The time at which the document came into force on this node.
    document_since: Option<Time>,
    /// Callers' requests for which this node is the entry node.
    calls: SecondaryMap<CallKey, Call>,
    /// Requests for this node's target.
    works: SecondaryMap<WorkKey, Work>,
    admission: AdmissionController,
    owner: Owner,
    duplicate_filter: DuplicateFilter,
    claim_budget: ClaimBudget,
    has_started_handover: bool,
    is_handing_over: bool,
    measurement_budget: MeasurementBudget,
    is_target_up: bool,
    target_health: TargetHealth,
    is_stopping: bool,
    has_exited: bool,
    /// The last reading of the wall clock, with the monotonic time at which it was taken.
    clock: Option<(Time, WallTime)>,
}

impl Reducer {
    /// Creates the state of a starting node.
    pub(crate) fn new(local: LocalNode, seed: u64) -> Reducer {
        let mut directory = Directory::new(local.info.region.clone());
        directory.upsert(local.info.clone());
        let crash_guard = CrashGuard::new(local.info.id);
        let rollouts = Rollouts::new(local.info.id);
        let owner = Owner::new(local.info.id, local.started.as_millis().saturating_mul(1_000));
        let admission = AdmissionController::new(local.slots, Time::ZERO);
        let membership = Membership::new(local.info.clone(), membership::Settings::default(), seed);
        let remote = Remote::new(local.info.id, local.info.region.clone());
        Reducer {
            local,
            rng: SmallRng::seed_from_u64(seed),
            directory,
            membership,
            has_joined: false,
            next_watcher_update: Time::ZERO,
            next_cost_log: Time::ZERO,
            logged_bytes: 0,
            watcher_rank: None,
            pull: None,
            remote,
            subscription_server: SubscriptionServer::default(),
            waiting_calls: Vec::new(),
            document: None,
            revision: 0,
            rollouts,
            crash_guard,
            is_payload_stale: true,
            document_since: None,
            calls: SecondaryMap::new(),
            works: SecondaryMap::new(),
            admission,
            owner,
            duplicate_filter: DuplicateFilter::new(),
            claim_budget: ClaimBudget::new(Budgets::default().claim_rate, 1),
            has_started_handover: false,
            is_handing_over: false,
            measurement_budget: MeasurementBudget::new(&Budgets::default(), Time::ZERO),
            // Assumed until a connection fails. A request whose connection to the target fails has provably not run.
            is_target_up: true,
            target_health: TargetHealth::default(),
            is_stopping: false,
            has_exited: false,
            clock: None,
        }
    }

    /// Returns the effects that start the node.
    pub(crate) fn start(&self, out: &mut Vec<Effect>) {
        out.push(Effect::Arm { timer: Timer::Tick, after: TICK_INTERVAL });
    }

    /// Returns the revision of the document in force, or 0 without one.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of members of a service that are leaving.
    pub(crate) fn leaving_count(&self, service: &str) -> usize {
        let members = self.directory.members();
        members.filter(|member| member.info.service == service && member.info.is_leaving).count()
    }

    /// Returns the number of known members of a service.
    pub(crate) fn member_count(&self, service: &str) -> usize {
        self.directory.members().filter(|member| member.info.service == service).count()
    }

    /// Returns whether an armed timer would still have an effect when it expires.
    pub(crate) fn is_timer_needed(&self, timer: Timer) -> bool {
        match timer {
            Timer::CallDeadline(key)
            | Timer::Hedge(key)
            | Timer::ClaimWrite(key)
            | Timer::ClaimTimeout(key) => self.calls.contains_key(key),
            Timer::Tick | Timer::StopDeadline => true,
        }
    }

    /// Applies one event that happened at `now` and appends its effects to `out`.
    pub(crate) fn apply(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Call(key, event) => self.apply_call(now, key, event, out),
            Event::Work(key, event) => self.apply_work(now, key, event, out),
            Event::Gossip(from, message) => self.handle_gossip(now, from, *message, out),
            Event::ProbeEnded { member, report } => self.apply_probe(now, member, report),
            Event::Contacts(contacts) => self.join_contacts(now, &contacts, out),
            Event::PullEnded => self.pull_ended(),
            Event::HandoverEnded => self.is_handing_over = false,
            Event::Document { revision, document } => {
                self.set_document(now, revision, document, out);
            }
            Event::Verdicts(records) => self.merge_verdicts(records, out),
            Event::SuspectReports(reports) => self.merge_suspect_reports(now, &reports, out),
            Event::Reachability(reachability) => self.set_reachability(now, reachability, out),
            Event::Timer(timer) => self.timer_expired(now, timer, out),
            Event::Clock(wall) => self.clock = Some((now, wall)),
            Event::Health(health) => self.apply_health(now, health, out),
            Event::Stop => self.stop(now, out),
        }
    }

    /// Puts a document in force unless one of the same or a later revision is in force already.
    fn set_document(
        &mut self,
        now: Time,
        revision: u64,
        document: Arc<Document>,
        out: &mut Vec<Effect>,
    ) {
        if revision <= self.revision && self.document.is_some() {
            return;
        }
        self.revision = revision;
        self.document_since = Some(now);
        self.membership.set_revision(revision);
        self.measurement_budget.set_limits(&document.budgets, now);
        self.rollouts.set_document(revision, &document);
        out.push(Effect::Log(Record::Document { revision, services: document.services.len() }));
        let was_out = self.is_centre_out();
        self.document = Some(document);
        self.subscription_server.mark_all_changed();
        if was_out && !self.is_centre_out() {
            // Caches and connections of an idle target are cold, so its load is increased gradually.
            self.admission.enter_cold_start(now);
        }
    }

    fn set_reachability(&mut self, now: Time, reachability: Reachability, out: &mut Vec<Effect>) {
        self.is_target_up = reachability == Reachability::Up;
        if reachability == Reachability::Down {
            let dequeued = self.admission.target_crashed(now);
            self.advance_queue(dequeued, out);
        }
        self.track_reachability(now, reachability, out);
        let change = if self.is_target_up { "reachable" } else { "unreachable" };
        out.push(Effect::Log(Record::Target { change }));
    }

    fn timer_expired(&mut self, now: Time, timer: Timer, out: &mut Vec<Effect>) {
        match timer {
            Timer::CallDeadline(key) => self.call_deadline(now, key, out),
            Timer::ClaimWrite(key) => self.write_claim(key, out),
            Timer::ClaimTimeout(key) => self.apply_claim_event(now, key, ClaimEvent::Timeout, out),
            Timer::Hedge(key) => self.hedge(now, key, out),
            Timer::Tick => {
                let dequeued = self.admission.tick(now);
                self.advance_queue(dequeued, out);
                self.tick_rollouts(now, out);
                self.tick_members(now, out);
                self.tick_remote(now, out);
                self.owner.sweep(now);
                self.update_claim_rate();
                self.log_measurement_cost(now, out);
                self.exit_if_drained(out);
                out.push(Effect::Arm { timer: Timer::Tick, after: TICK_INTERVAL });
            }
            Timer::StopDeadline => self.exit("deadline", out),
        }
    }

    fn stop(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.is_stopping {
            return;
        }
        self.is_stopping = true;
        self.admission.drain();
        self.owner.leave();
        self.local.info.is_leaving = true;
        self.directory.upsert(self.local.info.clone());
        self.subscription_server.mark_changed(&self.local.info.service);
        self.announce_leave(now, out);
        out.push(Effect::Log(self.stop_record("begin")));
        out.push(Effect::Arm { timer: Timer::StopDeadline, after: self.local.drain_timeout });
    }

    /// Sets this node's share of the claim rate, which is divided evenly among all nodes. The number of all nodes is
    /// estimated from the members of this region and the number of regions.
    fn update_claim_rate(&mut self) {
        let Some(document) = &self.document else { return };
        let regions: BTreeSet<_> = document.centres.values().map(|centre| &centre.region).collect();
        let nodes = self.membership.live_count() * regions.len().max(1);
        self.claim_budget.set_rate(document.budgets.claim_rate, nodes as u64);
    }

    /// Logs the cost of load measurement at a low rate, and only if it has changed.
    fn log_measurement_cost(&mut self, now: Time, out: &mut Vec<Effect>) {
        let counts = self.measurement_budget.counts();
        if now < self.next_cost_log || counts.bytes == self.logged_bytes {
            return;
        }
        self.next_cost_log = now + COST_LOG_INTERVAL;
        self.logged_bytes = counts.bytes;
        out.push(Effect::Log(Record::Measured {
            bytes: counts.bytes,
            reports: counts.reports,
            probes: counts.probes,
            denied: counts.reports_denied + counts.probes_denied,
        }));
    }

    fn exit_if_drained(&mut self, out: &mut Vec<Effect>) {
        let is_idle = self.calls.is_empty() && self.works.is_empty();
        let is_leave_announced = self.membership.has_left() || self.membership.live_count() <= 1;
        if self.is_stopping && is_idle && is_leave_announced && self.hand_over(out) {
            self.exit("idle", out);
        }
    }

    fn exit(&mut self, phase: &'static str, out: &mut Vec<Effect>) {
        if self.has_exited {
            return;
        }
        self.has_exited = true;
        out.push(Effect::Log(self.stop_record(phase)));
        out.push(Effect::Exit);
    }

    fn stop_record(&self, phase: &'static str) -> Record {
        Record::Stop { phase, calls: self.calls.len(), works: self.works.len() }
    }
}

#[cfg(test)]
mod tests;
