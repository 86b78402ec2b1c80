//! The configuration in force on this node, and whether a newer one may be in force elsewhere.

use std::{sync::Arc, time::Duration};

use crate::{
    config::{Config, RouteTable},
    directory::Member,
    effect::{Effect, Record},
    node_status::NodeStatus,
    replica::{Revisions, Topic},
    teams::Access,
    time::Time,
};

use super::{PAUSE_THRESHOLD, Reducer};

/// The maximum age of orders that count as current. The nodes of the own data centre state the age of theirs twice a
/// second.
const MAX_ORDERS_AGE: Duration = Duration::from_secs(2);

/// The time that a status may take from one node to another. It is added to the age of orders at each hop: if nodes that
/// confirm the orders to each other left it out, the orders would never grow old.
const MAX_STATUS_DELAY: Duration = Duration::from_millis(150);

/// The time after a pause of this process in which it reads the statuses that arrived meanwhile.
const DRAIN_TIME: Duration = Duration::from_millis(300);

/// When the orders of this node were last known to be those of the store.
#[derive(Copy, Clone, Debug, Default)]
pub(super) struct Confirmation {
    last: Option<OrdersAge>,
    /// The last pause of this process, and the end of the time in which it reads what arrived meanwhile.
    pause: Option<(Duration, Time)>,
    /// Whether the orders were confirmed when that was last logged.
    was_confirmed: bool,
}

impl Confirmation {
    pub(super) fn note_pause(&mut self, now: Time, pause: Duration) {
        self.pause = Some((pause, now + DRAIN_TIME));
    }
}

/// The age of orders at some time. The orders may be older than this process.
#[derive(Copy, Clone, Debug)]
struct OrdersAge {
    age: Duration,
    at: Time,
}

impl OrdersAge {
    fn at(self, now: Time) -> Duration {
        self.age + now.since(self.at)
    }
}

impl Reducer {
    pub(super) fn set_config(&mut self, now: Time, table: Arc<RouteTable>, out: &mut Vec<Effect>) {
        let previous = self.config_version();
        let version = table.config.version;
        if version >= previous {
            self.has_unreadable_config = false;
        }
        if self.config.is_some() && (version, self.lacks_access) <= (previous, false) {
            return;
        }
        self.lacks_access = false;
        let routes = table.config.routes.len();
        out.push(Effect::LimitCallers(table.config.limits.clone()));
        self.config = Some(table);
        self.config_since = now;
        self.check_health(out);
        out.push(Effect::Log(Record::Config { version, routes, previous }));
        self.update_admission(now, out);
        self.update_ready(out);
    }

    /// Applies a configuration of which this node does not know whether it has teams: those of the one in force remain.
    ///
    /// A key that is unknown by them is not refused for good, as if this node could not read the configuration.
    pub(super) fn config_without_access(
        &mut self,
        now: Time,
        mut config: Config,
        out: &mut Vec<Effect>,
    ) {
        let Some(current) = self.config.clone() else { return };
        if config.version <= current.config.version {
            return;
        }
        config.inherit_access(&current.config);
        self.set_config(now, Arc::new(RouteTable::new(config)), out);
        self.lacks_access = true;
        self.has_unreadable_config = true;
    }

    /// Returns the current configuration.
    pub(crate) fn config(&self) -> Option<&Arc<RouteTable>> {
        self.config.as_ref()
    }

    /// Returns the version of the configuration in force, or 0 if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |table| table.config.version)
    }

    /// Returns the configuration in force if it is newer than the given version, and what it says of teams, if this node
    /// knows that.
    pub(crate) fn config_newer_than(&self, version: u64) -> Option<(Config, Option<Access>)> {
        let config = self.config.as_ref().map(|table| &table.config);
        let config = config.filter(|config| config.version > version)?;
        Some((config.clone(), (!self.lacks_access).then(|| Access::of(config))))
    }

    /// Returns whether no newer configuration can be in force as far as this node knows: its orders have been confirmed
    /// a short time ago, it could read the last configuration, and no node that it hears has newer orders, a newer
    /// configuration or an era of the store that its orders are not of.
    ///
    /// Only then is a request that the configuration does not allow refused for good. Otherwise the caller may come
    /// back, since the configuration that allows it may be on its way.
    pub(super) fn is_config_current(&self, now: Time) -> bool {
        self.has_confirmed_orders(now)
            && !self.has_unreadable_config
            && !self.is_orders_era_outdated()
            && !self.is_behind_in_orders(now)
    }

    /// Returns whether the orders of this node were those of the store a short time ago.
    pub(crate) fn has_confirmed_orders(&self, now: Time) -> bool {
        self.orders_age(now).is_some_and(|age| age <= MAX_ORDERS_AGE)
    }

    /// Returns the time since the orders of this node were known to be those of the store: since it sent the last read of them
    /// that was answered, or heard from a node whose orders are not newer, plus the age there.
    ///
    /// Neither a watch that waits nor the answer to another call counts. The watch may have been lost while the store answers
    /// all other calls.
    pub(super) fn orders_age(&self, now: Time) -> Option<Duration> {
        self.confirmation.last.map(|last| last.at(now))
    }

    /// Records that the orders of this node have this age at most.
    pub(super) fn set_max_orders_age(&mut self, now: Time, age: Duration) {
        if self.orders_age(now).is_none_or(|known| age < known) {
            self.confirmation.last = Some(OrdersAge { age, at: now });
        }
    }

    pub(super) fn orders_incomplete(&mut self) {
        self.confirmation.last = None;
    }

    /// Logs when the orders of this node begin or cease to be confirmed, since requests are served by them meanwhile.
    pub(super) fn log_confirmation(&mut self, now: Time, out: &mut Vec<Effect>) {
        let is_confirmed = self.has_confirmed_orders(now);
        if std::mem::replace(&mut self.confirmation.was_confirmed, is_confirmed) != is_confirmed {
            let (age, config) = (self.orders_age(now), self.config_version());
            out.push(Effect::Log(Record::Orders { is_confirmed, age, config }));
        }
    }

    /// Takes the age of the orders of another node over if its orders are not newer than those of this node.
    pub(super) fn orders_confirmed(&mut self, now: Time, status: &NodeStatus, known: &Revisions) {
        let orders = Topic::Orders.index();
        let age = status.extension.and_then(|extension| extension.orders_age());
        if let Some(age) = age
            && known[orders] <= self.revisions[orders]
        {
            self.set_max_orders_age(now, age + self.max_status_delay(now));
        }
    }

    /// Returns the longest time that a status may have taken. One that is read after a pause of this process may have waited
    /// for as long as the pause.
    fn max_status_delay(&self, now: Time) -> Duration {
        let pause = match self.confirmation.pause {
            Some((pause, drained_at)) if now < drained_at => pause,
            _ => now.since(self.last_tick),
        };
        if pause > PAUSE_THRESHOLD { MAX_STATUS_DELAY + pause } else { MAX_STATUS_DELAY }
    }

    fn is_behind_in_orders(&self, now: Time) -> bool {
        let is_heard = |member: &&Member| {
            !self.is_local(member.record.id) && !self.directory.is_silent(now, member)
        };
        let mut heard = self.directory.iter().map(|(_, member)| member).filter(is_heard);
        heard.any(|member| {
            self.is_behind_in(Topic::Orders, &member.revisions, member.config_version)
        })
    }
}
