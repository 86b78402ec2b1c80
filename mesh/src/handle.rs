//! The handle by which the adapter of a deployment tells a node what it has received.

use std::{collections::BTreeSet, sync::Arc};

use compact_str::CompactString;
use rand::Rng as _;

use crate::{
    config::{Config, RouteTable},
    driver::Driver,
    event::Event,
    keys::MemberId,
    limits::Limits,
    rollout::{RolloutOrder, RolloutRecord},
    target::{Heartbeat, HeartbeatReply, Lifetime},
};

/// A cloneable handle to report target events to a running node and to change its configuration.
#[derive(Clone)]
pub struct NodeHandle {
    driver: Arc<Driver>,
}

impl NodeHandle {
    pub(crate) fn new(driver: Arc<Driver>) -> NodeHandle {
        NodeHandle { driver }
    }

    /// Applies a heartbeat of the target and returns whether it was accepted.
    pub fn heartbeat(&self, heartbeat: &Heartbeat) -> HeartbeatReply {
        self.driver.heartbeat(heartbeat)
    }

    /// Applies the target's announcement that it takes no new requests.
    pub fn target_leaving(&self, lifetime: &Lifetime) -> HeartbeatReply {
        self.driver.target_leaving(lifetime)
    }

    /// Applies a configuration, unless the version in force is the same or newer.
    pub fn set_config(&self, config: Config) {
        let table = Arc::new(RouteTable::new(config));
        self.driver.dispatch(Event::Config(table));
    }

    /// Reports that the store holds a newer configuration that cannot be read. Until the next one is read, the node does
    /// not take the configuration that it has as the one in force.
    pub fn report_unreadable_config(&self) {
        self.driver.dispatch(Event::ConfigUnreadable);
    }

    /// Replaces the limits from the settings.
    pub fn set_limits(&self, limits: Limits) {
        self.driver.dispatch(Event::Limits(limits));
    }

    /// Sets the service of the local target, which makes this node a new member.
    pub fn set_service(&self, service: CompactString) {
        let id = MemberId(rand::rng().random());
        self.driver.dispatch(Event::Service { id, service });
    }

    /// Replaces the set of data centres that are out of service.
    pub fn set_evacuated(&self, centres: BTreeSet<CompactString>) {
        self.driver.dispatch(Event::Evacuated(centres));
    }

    /// Starts or changes the rollout of a service; `None` removes its order.
    pub fn order_rollout(&self, service: CompactString, order: Option<RolloutOrder>) {
        self.driver.dispatch(Event::Rollout { service, order });
    }

    /// Applies the state of a rollout as saved in the store.
    pub fn apply_rollout_record(&self, record: RolloutRecord) {
        self.driver.dispatch(Event::RolloutRecorded(record));
    }

    /// Returns the version of the configuration in force, or 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.driver.inspect(|_, reducer| reducer.config_version())
    }

    /// Returns the number of members in the node's directory.
    pub fn member_count(&self) -> usize {
        self.driver.inspect(|_, reducer| reducer.member_count())
    }
}
