//! The operators' configuration in the form in which decisions use it: routes, services and limits on callers.

use std::{collections::HashMap, time::Duration};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// One version of the configuration. A node never applies a version older than the one in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The version; versions increase in uneven steps.
    pub version: u64,
    /// The routes, in any order.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: HashMap<CompactString, Service>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// Which requests belong together and how they are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name, unique within a configuration.
    pub name: CompactString,
    /// The host of the requests, in lower case and without a port.
    pub host: CompactString,
    /// The start of the path; it begins and ends with a slash.
    pub prefix: CompactString,
    /// Whether its requests are idempotent, so that they may run more than once.
    pub is_idempotent: bool,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer has its full value.
    pub objective: Duration,
    /// The rank among the routes of a service; 0 is the highest.
    pub priority: u8,
    /// The most targets that may run one request.
    pub attempts: u8,
    /// The services that serve the route, with the weights of their shares of the requests.
    pub shares: Vec<Share>,
}

/// The share of a route's requests that one service receives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: CompactString,
    /// The weight relative to those of the other shares.
    pub weight: u32,
}

/// What the configuration says of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The path of the health endpoint of its targets.
    pub health: CompactString,
    /// The most connections that one target accepts.
    pub connections: u32,
    /// The requests per second that a target in cold start tolerates.
    pub cold_rate: f64,
}

/// Limits on what a caller may send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest head of a request in bytes.
    pub head: usize,
    /// The largest body of a request in bytes.
    pub body: u64,
    /// The longest time in which a head must arrive.
    pub head_timeout: Duration,
    /// The time after which an idle connection may be closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            head: 16 << 10,
            body: 64 << 20,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// A configuration with an index of its routes.
#[derive(Debug)]
pub struct RouteTable {
    /// The configuration.
    pub config: Config,
    /// Positions of the routes of each host, the longest prefix first.
    hosts: HashMap<CompactString, Vec<usize>>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(config: Config) -> RouteTable {
        let mut hosts: HashMap<CompactString, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in hosts.values_mut() {
            indexes.sort_by_key(|&index| std::cmp::Reverse(config.routes[index].prefix.len()));
        }
        RouteTable { config, hosts }
    }

    /// Returns the route of the host with the longest prefix that begins the path.
    ///
    /// `host` may have a port and capitals.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let indexes = match self.hosts.get(name) {
            Some(indexes) => indexes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let routes = indexes.iter().map(|&index| &self.config.routes[index]);
        routes.into_iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns what is known of a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.config.services.get(name)
    }
}

#[cfg(test)]
mod tests;
