//! Pulls of newer store data from other nodes: when, and from which node.
//!
//! A few nodes read a change from the store, and each node that has it is a source for the others. A node that sends
//! enough already refuses a pull, so that a large configuration spreads from node to node instead of filling the links
//! of the first ones.

use std::{net::SocketAddr, time::Duration};

use rand::{Rng as _, seq::IteratorRandom as _};

use crate::{
    directory::Member,
    effect::Effect,
    event::PullOutcome,
    keys::MemberId,
    replica::{Revisions, Topic},
    time::Time,
};

use super::Reducer;

/// The time for which this node waits for a node of its own data centre to have newer revisions before it pulls them
/// from another data centre.
const OTHER_CENTRE_PULL_DELAY: Duration = Duration::from_millis(250);

/// The time for which this node waits for busy nodes of its own data centre before it pulls from another one.
const BUSY_CENTRE_PULL_DELAY: Duration = Duration::from_millis(800);

/// The time for which this node waits before it pulls newer members, in which further changes are collected. Members that
/// start announce themselves by their status datagrams, so the records are not urgent.
const MEMBERS_PULL_DELAY: Duration = Duration::from_secs(1);

/// The time in which a node that was read or refused a pull is not asked again, randomised by half of it.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

/// The time in which a node is not asked again after a pull from it failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// The topics in the order in which sources are chosen. Members change all the time in a large deployment, and a source
/// of those must not hide that another node has newer orders.
const PULL_ORDER: [Topic; 3] = [Topic::Orders, Topic::Status, Topic::Members];

/// The maximum number of large responses to pulls that a node sends at the same time. Each node that has the data sends
/// it on, so the number of sources grows by this factor in each round.
const MAX_UPLOADS: usize = 2;

/// The time after which a large response no longer counts as being on its way, whatever its receiver says.
const MAX_UPLOAD_TIME: Duration = Duration::from_secs(2);

/// The same for a receiver whose build does not say who it is.
const MAX_ANONYMOUS_UPLOAD_TIME: Duration = Duration::from_millis(500);

/// The number of refusals in a row up to which the pause after a refusal doubles.
const MAX_PAUSE_DOUBLINGS: u32 = 3;

/// A large response to a pull that may still be on its way.
#[derive(Copy, Clone, Debug)]
struct Upload {
    to: Option<MemberId>,
    started: Time,
    /// What the receiver knows once it has the response.
    revisions: Revisions,
    config_version: u64,
}

/// The pull in progress and the lag behind other nodes.
#[derive(Debug, Default)]
pub(super) struct Pulls {
    uploads: Vec<Upload>,
    /// The number of refusals since the last pull that brought data.
    refusals: u32,
    /// The member that is asked in the pull in progress, or `None` for a node without a record here.
    in_progress: Option<Option<MemberId>>,
    /// Since when a member has been known to have newer data of each topic than this node.
    behind_since: [Option<Time>; 3],
}

/// A member that has newer data than this node.
#[derive(Copy, Clone, Debug)]
struct Source {
    id: MemberId,
    address: SocketAddr,
    /// Whether it is in the data centre of this node.
    is_near: bool,
    /// Whether it has not just refused a pull or failed to serve one.
    is_askable: bool,
}

impl Reducer {
    /// Returns whether another node knows more of the store than this one in any topic, or has a newer configuration.
    pub(super) fn is_behind(&self, revisions: &Revisions, config_version: u64) -> bool {
        Topic::ALL.into_iter().any(|topic| self.is_behind_in(topic, revisions, config_version))
    }

    /// The same for one topic. A configuration that is newer although the orders are not is that of a node that started
    /// before the store returned from an earlier copy of its state.
    pub(super) fn is_behind_in(
        &self,
        topic: Topic,
        revisions: &Revisions,
        config_version: u64,
    ) -> bool {
        let is_config_older = topic == Topic::Orders && config_version > self.config_version();
        is_config_older || revisions[topic.index()] > self.revisions[topic.index()]
    }

    /// Pulls from a node that has newer data than this one, unless a pull is in progress. A node of another data centre
    /// is asked only if the nodes of this data centre cannot help.
    pub(super) fn pull_if_behind(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.pulls.in_progress.is_some() {
            return;
        }
        let source = PULL_ORDER.into_iter().find_map(|topic| self.choose_source(now, topic));
        if let Some(source) = source {
            self.pulls.in_progress = Some(Some(source.id));
            out.push(Effect::Pull(source.address));
        }
    }

    /// Continues a pull that was delayed.
    pub(super) fn continue_pull(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.pulls.behind_since.iter().any(Option::is_some) {
            self.pull_if_behind(now, out);
        }
    }

    /// Pulls from a node whose record this node lacks, if that node has newer data.
    pub(super) fn pull_from_unknown(
        &mut self,
        (revisions, config_version): (&Revisions, u64),
        source: SocketAddr,
        out: &mut Vec<Effect>,
    ) {
        if self.is_behind(revisions, config_version) && self.pulls.in_progress.is_none() {
            self.pulls.in_progress = Some(None);
            out.push(Effect::Pull(source));
        }
    }

    /// Returns a random source of a topic, or `None` if no member can be asked now.
    fn choose_source(&mut self, now: Time, topic: Topic) -> Option<Source> {
        let sources = self.sources(now, topic);
        if sources.is_empty() {
            self.pulls.behind_since[topic.index()] = None;
            return None;
        }
        let lag = now.since(*self.pulls.behind_since[topic.index()].get_or_insert(now));
        let is_first = self.revisions[topic.index()].revision == 0;
        if topic == Topic::Members && !is_first && lag < MEMBERS_PULL_DELAY {
            return None;
        }
        let askable = sources.iter().filter(|source| source.is_askable);
        let near = askable.clone().filter(|source| source.is_near);
        if let Some(source) = near.choose(&mut self.rng) {
            return Some(*source);
        }
        let has_near = sources.iter().any(|source| source.is_near);
        let delay = if has_near { BUSY_CENTRE_PULL_DELAY } else { OTHER_CENTRE_PULL_DELAY };
        askable.choose(&mut self.rng).filter(|_| lag >= delay).copied()
    }

    /// Returns the members that have newer data of a topic than this node.
    fn sources(&self, now: Time, topic: Topic) -> Vec<Source> {
        let is_source = |member: &&Member| {
            !self.is_local(member.record.id)
                && self.is_behind_in(topic, &member.revisions, member.config_version)
                && !self.directory.is_silent(now, member)
        };
        let source = |member: &Member| Source {
            id: member.record.id,
            address: member.record.address,
            is_near: member.record.centre == self.local.centre,
            is_askable: member.pull_after.is_none_or(|after| after <= now),
        };
        let members = self.directory.iter().map(|(_, member)| member);
        members.filter(is_source).map(source).collect()
    }

    /// Returns whether this node sends a large response now to the node that pulls, and counts it if so.
    ///
    /// That the response was written says nothing: it fits into the buffers of the connection. Its receiver has it when
    /// its status says so.
    pub(crate) fn admit_upload(&mut self, now: Time, to: Option<MemberId>) -> bool {
        let mut uploads = std::mem::take(&mut self.pulls.uploads);
        uploads
            .retain(|upload| self.is_on_its_way(now, upload) && (to.is_none() || upload.to != to));
        let is_admitted = uploads.len() < MAX_UPLOADS;
        if is_admitted {
            let (revisions, config_version) = (self.revisions, self.config_version());
            uploads.push(Upload { to, started: now, revisions, config_version });
        }
        self.pulls.uploads = uploads;
        is_admitted
    }

    fn is_on_its_way(&self, now: Time, upload: &Upload) -> bool {
        let time = now.since(upload.started);
        let Some(id) = upload.to else { return time < MAX_ANONYMOUS_UPLOAD_TIME };
        let member = self.directory.key(id).and_then(|key| self.directory.get(key));
        let is_received = member.is_some_and(|member| {
            let known = member.revisions.iter().zip(&upload.revisions);
            member.config_version >= upload.config_version
                && known.into_iter().all(|(theirs, sent)| theirs >= sent)
        });
        time < MAX_UPLOAD_TIME && !is_received
    }

    /// Handles the end of a pull, and asks another node if this one is still behind.
    pub(super) fn pull_ended(&mut self, now: Time, outcome: PullOutcome, out: &mut Vec<Effect>) {
        let source = self.pulls.in_progress.take().flatten();
        // A source that was just read is also paused, so that one that claims more than it sends causes no tight loop.
        let jitter = self.rng.random_range(0.5..1.5);
        let pause = match outcome {
            PullOutcome::Done => {
                self.pulls.refusals = 0;
                BUSY_PAUSE.mul_f64(jitter)
            }
            PullOutcome::Busy => {
                let doublings = self.pulls.refusals.min(MAX_PAUSE_DOUBLINGS);
                self.pulls.refusals += 1;
                BUSY_PAUSE.mul_f64(jitter) * 2_u32.pow(doublings)
            }
            PullOutcome::Failed => FAILURE_PAUSE,
        };
        let key = source.and_then(|id| self.directory.key(id));
        if let Some(member) = key.and_then(|key| self.directory.get_mut(key)) {
            member.pull_after = Some(now + pause);
        }
        self.continue_pull(now, out);
    }

    /// Returns whether other nodes should learn of these revisions at once: they bring orders or states, or are the first
    /// that this node knows.
    fn is_first_or_urgent(&self, revisions: &Revisions) -> bool {
        let members = Topic::Members.index();
        let is_first = self.revisions[members].revision == 0;
        let mut others = [Topic::Orders, Topic::Status].into_iter().map(Topic::index);
        is_first || others.any(|topic| self.revisions[topic] != revisions[topic])
    }

    pub(super) fn revisions_changed(
        &mut self,
        now: Time,
        revisions: Revisions,
        out: &mut Vec<Effect>,
    ) {
        if self.revisions != revisions {
            self.record_eras(now, &revisions, out);
            for topic in Topic::ALL.map(Topic::index) {
                if self.revisions[topic] != revisions[topic] {
                    self.pulls.behind_since[topic] = None;
                }
            }
            let is_urgent = self.is_first_or_urgent(&revisions);
            self.revisions = revisions;
            if is_urgent {
                self.send_status_now(now, out);
            }
        }
    }
}
