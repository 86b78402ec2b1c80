//! The status of this node: what it tells other nodes, when, and which of them.

use std::time::Duration;

use crate::{
    crash_guard::SuspectReport,
    directory::{Member, OTHER_CENTRE_FANOUT, SAME_CENTRE_FANOUT, other_centre_interval},
    effect::Effect,
    node_status::{Extension, NodeStatus},
    report::LoadReport,
    time::Time,
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
        let has_new_record = now.since(self.member_since) < RECORD_SEND_TIME
            || self.is_just_restored(now, RECORD_SEND_TIME)
            || !self.is_recorded();
        let age_ms = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let orders_age_ms = self.orders_age(now).map(age_ms);
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
                store_age_ms: orders_age_ms,
                orders_age_ms,
            }),
        }
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
