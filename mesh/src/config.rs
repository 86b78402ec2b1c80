//! The operators' configuration in the form that decisions use: routes, services and limits on
//! callers.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::teams::{Identity, KeyDigest, Team, TeamIndex};

/// One version of the configuration. A node never replaces it by an older version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The version number, which increases, though not always by one.
    pub version: u64,
    /// The routes, in any order.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: HashMap<CompactString, Service>,
    /// The limits on callers' requests.
    pub limits: CallerLimits,
    /// The teams whose keys are accepted; `None` if requests need no key. An empty list accepts no key.
    ///
    /// Nodes exchange a configuration in a layout without field names, which earlier builds read. So this field is not part
    /// of it and follows it separately.
    #[serde(skip)]
    pub teams: Option<Vec<Team>>,
}

impl Config {
    /// Takes the teams and the public routes of another configuration over.
    pub(crate) fn inherit_access(&mut self, other: &Config) {
        let public = other.routes.iter().filter(|route| route.is_public);
        let public: HashSet<&str> = public.map(|route| route.name.as_str()).collect();
        for route in &mut self.routes {
            route.is_public = public.contains(route.name.as_str());
        }
        self.teams.clone_from(&other.teams);
    }
}

/// A class of requests and how they are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name, unique within a configuration.
    pub name: CompactString,
    /// The host of the requests, in lower case and without a port.
    pub host: CompactString,
    /// The prefix of the path; it begins and ends with a slash.
    pub prefix: CompactString,
    /// Whether the requests are idempotent, so that they may run more than once.
    pub is_idempotent: bool,
    /// The maximum time that a caller waits for an answer.
    pub timeout: Duration,
    /// The latency objective: the time within which an answer has its full value.
    pub objective: Duration,
    /// The priority among the routes of a service; 0 is the highest.
    pub priority: u8,
    /// The maximum number of targets that may run one request.
    pub attempts: u8,
    /// The services that serve the route, with their weights.
    pub shares: Vec<Share>,
    /// Whether requests need no key. It travels between nodes like [`Config::teams`].
    #[serde(skip)]
    pub is_public: bool,
}

/// A service's share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: CompactString,
    /// The weight relative to the other shares.
    pub weight: u32,
}

/// The configuration of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The path of the targets' health endpoint.
    #[serde(rename = "health")]
    pub health_path: CompactString,
    /// The maximum number of connections that one target accepts.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// The rate in requests per second that a target in cold start tolerates.
    pub cold_rate: f64,
}

/// Limits on callers' requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request head in bytes.
    #[serde(rename = "head")]
    pub max_head_bytes: usize,
    /// The maximum size of a request body in bytes.
    #[serde(rename = "body")]
    pub max_body_bytes: u64,
    /// The time within which a request head must arrive.
    pub head_timeout: Duration,
    /// The time after which an idle connection may be closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// A configuration with its routes indexed by host.
#[derive(Debug)]
pub struct RouteTable {
    /// The configuration.
    pub config: Config,
    /// The indexes of the routes of each host, the longest prefix first.
    hosts: HashMap<CompactString, Vec<usize>>,
    /// The teams by their keys, if there are teams.
    teams: Option<TeamIndex>,
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
        let teams = config.teams.as_deref().map(TeamIndex::new);
        RouteTable { config, hosts, teams }
    }

    /// Returns the route of the host whose prefix is the longest that matches the path.
    ///
    /// `host` may contain a port, upper-case letters and a trailing dot.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = strip_port(host);
        // The dot after the last label names the same host.
        let name = name.strip_suffix('.').unwrap_or(name);
        let indexes = match self.hosts.get(name) {
            Some(indexes) => indexes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let routes = indexes.iter().map(|&index| &self.config.routes[index]);
        routes.into_iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns who sends a request with this key on this route, or `None` if the request is not allowed.
    pub fn identify(&self, route: &Route, key: Option<KeyDigest>) -> Option<Identity> {
        let Some(teams) = &self.teams else { return Some(Identity::default()) };
        let team = key.and_then(|key| teams.find(&key)).cloned();
        (team.is_some() || route.is_public).then_some(Identity { team, hides_key: true })
    }

    /// Returns whether requests carry the keys of teams.
    pub fn has_teams(&self) -> bool {
        self.teams.is_some()
    }

    /// Returns the configuration of a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.config.services.get(name)
    }
}

/// Removes the port of a host. An IPv6 address is in brackets and contains colons.
fn strip_port(host: &str) -> &str {
    host.rsplit_once(':')
        .filter(|(name, _)| !name.starts_with('[') || name.ends_with(']'))
        .map_or(host, |(name, _)| name)
}

#[cfg(test)]
mod tests;
