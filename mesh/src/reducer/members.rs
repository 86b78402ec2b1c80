//! Members, the own target and what nodes tell each other.

use std::time::Duration;

use crate::{
    directory::{Member, MemberRecord, Tally, TargetRecord},
    effect::{Effect, Record},
    keys::MemberId,
    note::Note,
    refusal::Reason,
    report::LoadReport,
    target::{Change, Health},
    time::Time,
};

use super::Reducer;

/// The shortest time between two notes of a node.
const MIN_GAP: Duration = Duration::from_millis(40);

/// The longest time between two notes of a node, a third of the silence after which others doubt it.
const MAX_GAP: Duration = Duration::from_millis(500);

/// The longest time between two notes while a version of the own service is judged.
const ROLLOUT_GAP: Duration = Duration::from_millis(150);

/// The most datagrams of a node in a second; with more members, notes are sent less often.
const MAX_NOTES: f64 = 150.0;

/// The change of the pace that is told at once.
const PACE_CHANGE: f64 = 1.4;

impl Reducer {
    pub(super) fn members_listed(
        &mut self,
        now: Time,
        records: Vec<MemberRecord>,
        out: &mut Vec<Effect>,
    ) {
        for record in &records {
            self.log_new(record, out);
        }
        self.directory.replace(now, records);
        self.is_synced = true;
        self.update_ready(out);
    }

    pub(super) fn member_put(&mut self, now: Time, record: MemberRecord, out: &mut Vec<Effect>) {
        if record.id == self.me.id {
            return;
        }
        self.log_new(&record, out);
        self.directory.put(now, record);
    }

    fn log_new(&self, record: &MemberRecord, out: &mut Vec<Effect>) {
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

    pub(super) fn expire_members(&mut self, now: Time, out: &mut Vec<Effect>) {
        if let Some(key) = self.directory.key(self.me.id)
            && let Some(me) = self.directory.get_mut(key)
        {
            me.heard = now;
        }
        let me = self.me.id;
        for Member { record, .. } in self.directory.expire(now, self.has_store, me) {
            out.push(Effect::Forget(record.address));
            let (id, service) = (record.id, record.service);
            out.push(Effect::Log(Record::Member { id, service, change: "gone" }));
        }
    }

    /// Takes a datagram of another node.
    pub(super) fn noted(&mut self, now: Time, note: &Note) {
        let Some(key) = self.directory.key(note.from) else { return };
        let Some(member) = self.directory.get_mut(key) else { return };
        member.reported(now, note.load);
        member.tally = note.tally;
        member.config = note.config;
        for rollout in &note.rollouts {
            self.rollout_noted(now, rollout);
        }
    }

    /// Tells other nodes of this one, if something changed or nothing was told for long.
    pub(super) fn tell(&mut self, now: Time, out: &mut Vec<Effect>) {
        let load = self.gate.report(now);
        let gap = MIN_GAP.max(Duration::from_secs_f64(self.directory.len() as f64 / MAX_NOTES));
        if let Some((at, told)) = self.told {
            let since = now.since(at);
            let longest = if self.has_rollout() { ROLLOUT_GAP } else { MAX_GAP };
            let is_due = since >= longest.max(gap) || (since >= gap && is_news(&told, &load));
            if !is_due {
                return;
            }
        }
        self.told = Some((now, load));
        let note = Note {
            from: self.me.id,
            config: self.config.as_ref().map_or(0, |config| config.config.version),
            load,
            tally: self.tally,
            rollouts: self.rollout_notes(now),
        };
        let others = self.directory.iter().filter(|(_, member)| member.record.id != self.me.id);
        let to: Vec<_> = others.map(|(_, member)| member.record.address).collect();
        if !to.is_empty() {
            out.push(Effect::Tell { to, note });
        }
    }

    pub(super) fn health(&mut self, now: Time, health: Option<Health>, out: &mut Vec<Effect>) {
        let Some(health) = health else {
            if self.target.lost() {
                self.log_target("unreachable", out);
            }
            return self.reopen(now, out);
        };
        if let Some(percent) = health.pace {
            self.gate.read_pace(now, percent);
        }
        let change = self.target.checked(now, &health);
        self.target_changed(now, change, out);
        self.reopen(now, out);
        self.tell(now, out);
    }

    pub(super) fn read_pace(&mut self, now: Time, percent: u32, out: &mut Vec<Effect>) {
        self.gate.read_pace(now, percent);
        self.tell(now, out);
    }

    pub(super) fn target_changed(&mut self, now: Time, change: Change, out: &mut Vec<Effect>) {
        match change {
            Change::Nothing => {}
            Change::Started => {
                self.gate.restart();
                self.tally = Tally::default();
                self.log_target("started", out);
            }
            Change::Left => self.log_target("leaving", out),
        }
        self.reopen(now, out);
        self.publish(now, out);
    }

    fn log_target(&self, change: &'static str, out: &mut Vec<Effect>) {
        let life = self.target.life().map(|life| life.id.clone()).unwrap_or_default();
        out.push(Effect::Log(Record::Target { life, change }));
    }

    /// Opens or closes the gate by what is known of the target, the configuration and the operators' orders.
    pub(super) fn reopen(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.gate.set_slots(self.target.slots());
        let rate = self.cold_rate();
        self.gate.set_cold(now, rate.filter(|_| self.target.is_cold(now)));
        let was_open = self.gate.report(now).is_open;
        let next = self.gate.set_closed(self.closed());
        self.continue_works(now, next, out);
        if was_open != self.gate.report(now).is_open {
            self.tell(now, out);
        }
    }

    /// Returns why the target takes no new work, if so.
    fn closed(&self) -> Option<Reason> {
        if self.stopping.is_some() {
            return Some(Reason::Stopping);
        }
        if self.config.is_none() {
            return Some(Reason::NoConfig);
        }
        let is_withdrawn = self.target.is_leaving() || self.is_version_stopped();
        if is_withdrawn || self.evacuated.contains(&self.me.centre) {
            return Some(Reason::OutOfService);
        }
        self.target.open().is_none().then_some(Reason::NoTarget)
    }

    fn cold_rate(&self) -> Option<f64> {
        let service = self.config.as_ref()?.service(&self.me.service)?;
        (service.cold_rate > 0.0).then_some(service.cold_rate)
    }

    /// Keeps the record of this node in the store and in its own directory.
    pub(super) fn publish(&mut self, now: Time, out: &mut Vec<Effect>) {
        let target = self.target.life().filter(|_| self.stopping.is_none());
        let target = target.map(|life| TargetRecord {
            id: life.id.clone(),
            version: self.target.version().cloned().unwrap_or_default(),
            is_leaving: self.target.is_leaving(),
        });
        let record = MemberRecord {
            id: self.me.id,
            address: self.me.address,
            centre: self.me.centre.clone(),
            service: self.me.service.clone(),
            target,
        };
        if self.published.as_ref() == Some(&record) {
            return;
        }
        self.directory.put(now, record.clone());
        self.published = Some(record.clone());
        out.push(Effect::Publish(Box::new(record)));
    }

    pub(super) fn is_me(&self, id: MemberId) -> bool {
        self.me.id == id
    }
}

/// Returns whether a report differs enough from the one told last.
fn is_news(told: &LoadReport, load: &LoadReport) -> bool {
    let ratio = f64::from(load.pace.max(1)) / f64::from(told.pace.max(1));
    let is_full = |load: &LoadReport| load.running >= load.limit;
    load.is_open != told.is_open
        || load.is_cold != told.is_cold
        || !(1.0 / PACE_CHANGE..=PACE_CHANGE).contains(&ratio)
        || is_full(load) != is_full(told)
        || load.failing.abs_diff(told.failing) > 100
}
