//! The configuration in force on this node, and whether a newer one may be in force elsewhere.

use std::{sync::Arc, time::Duration};

use crate::{
    config::{Config, RouteTable},
    directory::Member,
    effect::{Effect, Record},
    replica::Topic,
    time::Time,
};

use super::{PAUSE_THRESHOLD, Reducer};

/// The time after a suspension in which the nodes of the own data centre send their status at least twice.
const RESUME_TIME: Duration = Duration::from_secs(1);

impl Reducer {
    pub(super) fn set_config(&mut self, now: Time, table: Arc<RouteTable>, out: &mut Vec<Effect>) {
        self.has_unreadable_config = false;
        let previous = self.config_version();
        let version = table.config.version;
        if self.config.is_some() && version <= previous {
            return;
        }
        let routes = table.config.routes.len();
        if let Some(service) = table.service(&self.local.service) {
            out.push(Effect::CheckHealth { path: service.health_path.clone() });
        }
        out.push(Effect::LimitCallers(table.config.limits.clone()));
        self.config = Some(table);
        self.config_since = now;
        out.push(Effect::Log(Record::Config { version, routes, previous }));
        self.update_admission(now, out);
        self.update_ready(out);
    }

    /// Returns the current configuration.
    pub(crate) fn config(&self) -> Option<&Arc<RouteTable>> {
        self.config.as_ref()
    }

    /// Returns the version of the configuration in force, or 0 if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |table| table.config.version)
    }

    /// Returns the configuration in force if it is newer than the given version.
    pub(crate) fn config_newer_than(&self, version: u64) -> Option<Config> {
        let config = self.config.as_ref().map(|table| &table.config);
        config.filter(|config| config.version > version).cloned()
    }

    /// Returns whether no newer configuration can be in force as far as this node knows: it could read the last one, it
    /// has not just been suspended, no node that it hears has newer orders, and it or one of them reaches the store.
    ///
    /// Only then is a request that the configuration does not allow refused for good. Otherwise the caller may come
    /// back, since the configuration that allows it may be on its way.
    pub(super) fn is_config_current(&self, now: Time) -> bool {
        let orders = Topic::Orders.index();
        let is_heard = |member: &&Member| {
            !self.is_local(member.record.id) && !self.directory.is_silent(now, member)
        };
        let heard = || self.directory.iter().map(|(_, member)| member).filter(is_heard);
        let is_behind = heard().any(|member| member.revisions[orders] > self.revisions[orders]);
        let has_store = self.has_store || heard().any(|member| member.has_store);
        !self.has_unreadable_config && !self.was_suspended(now) && !is_behind && has_store
    }

    /// Returns whether this process was suspended so recently that other nodes may not have told it of changes since.
    fn was_suspended(&self, now: Time) -> bool {
        // Requests that arrived meanwhile may be handled before the tick that is due.
        let is_tick_missed = now.since(self.last_tick) > PAUSE_THRESHOLD;
        is_tick_missed || self.resumed_at.is_some_and(|at| now.since(at) < RESUME_TIME)
    }
}
