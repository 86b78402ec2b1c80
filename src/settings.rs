//! Settings of one node: its addresses, data centre, region and target.
//!
//! The fields are described in `docs/settings.md`. Routing policy is not part of the settings; it comes from
//! the operators' document.

use std::{
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
};

use compact_str::{CompactString, ToCompactString};
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// The minimum length of the cluster key and of the token; shorter ones can be guessed.
pub const MIN_KEY_CHARS: usize = 16;

/// The maximum number of slots; the load report carries it in 16 bits.
pub const MAX_SLOTS: u16 = 4_096;

/// The maximum time for a graceful stop.
pub const MAX_DRAIN_MS: u32 = 600_000;

/// Settings of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The service that the target provides.
    pub service: CompactString,
    /// The version that the target runs.
    #[serde(default = "default_version")]
    pub version: CompactString,
    /// The data centre of this instance.
    pub centre: CompactString,
    /// The region of the data centre.
    pub region: CompactString,
    /// The addresses on which the node listens.
    #[serde(default)]
    pub listen: Listen,
    /// The local target of this node.
    pub target: TargetSettings,
    /// The address of the platform's key-value service.
    pub platform: SocketAddr,
    /// Gossip addresses of other nodes, used while the platform is unavailable.
    #[serde(default)]
    pub contacts: Vec<SocketAddr>,
    /// The address ranges from which other nodes are accepted.
    #[serde(default = "default_networks")]
    pub networks: Vec<IpNet>,
    /// The key that authenticates messages between nodes.
    pub key: String,
    /// The token that the operator address requires; needed if that address is not on loopback.
    #[serde(default)]
    pub token: Option<String>,
    /// The time in milliseconds that a graceful stop waits for requests in progress.
    #[serde(default = "default_drain")]
    pub drain_ms: u32,
    /// The UDP address that receives metrics in statsd form; no metrics are sent if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The seed of the random generator; drawn at random if absent.
    #[serde(default)]
    pub seed: Option<u64>,
    /// The lowest severity that is logged.
    #[serde(default)]
    pub log: LogLevel,
}

/// The addresses on which a node listens; port 0 selects a free port.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// Requests of callers, over HTTP.
    pub callers: SocketAddr,
    /// Requests from other nodes, over HTTP/1.1.
    pub peers: SocketAddr,
    /// Control calls from other nodes, over `tarpc`.
    pub control: SocketAddr,
    /// Membership datagrams.
    pub gossip: SocketAddr,
    /// The operators' pages and status.
    pub operator: SocketAddr,
}

impl Default for Listen {
    fn default() -> Listen {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Listen { callers: any, peers: any, control: any, gossip: any, operator: any }
    }
}

/// The local target of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// The address of the target's HTTP server.
    pub address: SocketAddr,
    /// The number of requests that the target runs at the same time.
    #[serde(default = "default_slots")]
    pub slots: u16,
    /// The number of connections that the target accepts.
    #[serde(default = "default_connections")]
    pub connections: u16,
    /// The path of the target's health endpoint, which is polled once a second if it is set.
    #[serde(default)]
    pub health: Option<CompactString>,
}

/// The lowest severity that is logged.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Unexpected conditions that the node handles.
    Warning,
    /// Each event, and each routing and placement decision.
    #[default]
    Info,
    /// Details for developers.
    Debug,
}

/// A problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The path of the field, for instance `target.slots`.
    pub field: CompactString,
    /// The kind of problem; its message says how to correct it.
    pub kind: ProblemKind,
}

/// The kind of a problem in a settings file; the message says how to correct it.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ProblemKind {
    /// The text is not valid JSON, or a field has the wrong type or is unknown or missing.
    #[snafu(display("{message}; see docs/settings.md for the fields"))]
    InvalidJson {
        /// The message of the JSON parser.
        message: String,
    },
    /// A path is not valid.
    #[snafu(display("use a path that begins with '/'"))]
    InvalidPath,
    /// A name is empty or has characters that are not allowed.
    #[snafu(display("use 1 to 63 letters, digits, '-', '_' or '.'"))]
    InvalidName,
    /// A number lies outside its range.
    #[snafu(display("use a number from {min} to {max}"))]
    OutOfRange {
        /// The smallest accepted value.
        min: u32,
        /// The largest accepted value.
        max: u32,
    },
    /// The cluster key or the operators' token is too short.
    #[snafu(display("use at least {MIN_KEY_CHARS} characters"))]
    TooShort,
    /// No address range is given.
    #[snafu(display("name at least one address range, for instance \"10.0.0.0/8\""))]
    NoNetworks,
    /// An address that other nodes connect to is the unspecified address.
    #[snafu(display("use the address of this instance, not 0.0.0.0 or ::"))]
    UnspecifiedAddress,
    /// The operator address is reachable from outside without a token.
    #[snafu(display("set `token`, or listen on a loopback address"))]
    MissingToken,
    /// The operators' token has characters that a header cannot carry.
    #[snafu(display("use visible ASCII characters without spaces"))]
    InvalidToken,
}

/// The settings cannot be read or are invalid.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read settings file {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is invalid.
    #[snafu(display("settings file {}: {}", path.display(), format_problems(problems)))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// All problems that were found.
        problems: Vec<Problem>,
    },
}

impl Settings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is invalid; the error lists all problems.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        Settings::parse(&text)
            .map_err(|problems| SettingsError::Invalid { path: path.to_owned(), problems })
    }

    /// Parses and checks settings in JSON.
    ///
    /// # Errors
    ///
    /// Returns all problems; if the JSON cannot be deserialized, only that problem.
    pub fn parse(text: &str) -> Result<Settings, Vec<Problem>> {
        let mut json = serde_json::Deserializer::from_str(text);
        let parsed: Settings = serde_path_to_error::deserialize(&mut json).map_err(|e| {
            let field = e.path().to_compact_string();
            vec![Problem {
                field,
                kind: ProblemKind::InvalidJson { message: e.into_inner().to_string() },
            }]
        })?;
        json.end().map_err(|e| {
            let kind = ProblemKind::InvalidJson { message: e.to_string() };
            vec![Problem { field: CompactString::default(), kind }]
        })?;
        let problems = parsed.find_problems();
        if problems.is_empty() { Ok(parsed) } else { Err(problems) }
    }

    fn find_problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut check = |field: &str, is_valid: bool, kind: ProblemKind| {
            if !is_valid {
                problems.push(Problem { field: field.into(), kind });
            }
        };
        check("service", is_name(&self.service), ProblemKind::InvalidName);
        check("version", is_name(&self.version), ProblemKind::InvalidName);
        check("centre", is_name(&self.centre), ProblemKind::InvalidName);
        check("region", is_name(&self.region), ProblemKind::InvalidName);
        let slots = self.target.slots;
        check("target.slots", in_range(slots, 1, MAX_SLOTS), out_of_range(1, MAX_SLOTS));
        let connections = self.target.connections;
        check(
            "target.connections",
            in_range(connections, slots, u16::MAX),
            out_of_range(slots, u16::MAX),
        );
        let is_path = self.target.health.as_deref().is_none_or(is_path);
        check("target.health", is_path, ProblemKind::InvalidPath);
        check(
            "drain_ms",
            self.drain_ms <= MAX_DRAIN_MS,
            ProblemKind::OutOfRange { min: 0, max: MAX_DRAIN_MS },
        );
        check("key", self.key.chars().count() >= MIN_KEY_CHARS, ProblemKind::TooShort);
        check("networks", !self.networks.is_empty(), ProblemKind::NoNetworks);
        check("listen.peers", is_specific(self.listen.peers), ProblemKind::UnspecifiedAddress);
        check("listen.control", is_specific(self.listen.control), ProblemKind::UnspecifiedAddress);
        check("listen.gossip", is_specific(self.listen.gossip), ProblemKind::UnspecifiedAddress);
        let is_protected = self.token.is_some() || self.listen.operator.ip().is_loopback();
        check("listen.operator", is_protected, ProblemKind::MissingToken);
        let is_long_enough = |token: &String| token.chars().count() >= MIN_KEY_CHARS;
        check("token", self.token.as_ref().is_none_or(is_long_enough), ProblemKind::TooShort);
        let is_graphic = |token: &String| token.bytes().all(|b| b.is_ascii_graphic());
        check("token", self.token.as_ref().is_none_or(is_graphic), ProblemKind::InvalidToken);
        problems
    }
}

fn is_name(s: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=63).contains(&s.len()) && s.chars().all(is_allowed)
}

fn is_path(s: &str) -> bool {
    s.starts_with('/') && s.parse::<http::uri::PathAndQuery>().is_ok()
}

fn is_specific(addr: SocketAddr) -> bool {
    !addr.ip().is_unspecified()
}

fn in_range(n: u16, min: u16, max: u16) -> bool {
    (min..=max).contains(&n)
}

fn out_of_range(min: u16, max: u16) -> ProblemKind {
    ProblemKind::OutOfRange { min: min.into(), max: max.into() }
}

fn format_problems(problems: &[Problem]) -> String {
    let lines: Vec<_> =
        problems.iter().map(|p| format!("field `{}`: {}", p.field, p.kind)).collect();
    lines.join("; ")
}

fn default_version() -> CompactString {
    "1".into()
}

pub(crate) fn default_networks() -> Vec<IpNet> {
    vec![IpNet::from(IpAddr::from(Ipv4Addr::LOCALHOST))]
}

fn default_drain() -> u32 {
    10_000
}

fn default_slots() -> u16 {
    12
}

fn default_connections() -> u16 {
    200
}

#[cfg(test)]
mod tests;
