//! The status of a node for operators, as `GET /status` returns it.
//!
//! Times are in milliseconds; the counts begin when the process starts. `docs/console.md` explains the fields.

mod fetch;

use std::{io, io::Write};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::addresses::Addresses;

pub use self::fetch::{StatusError, fetch};

/// The state of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The id of this process lifetime: 16 hexadecimal digits.
    pub node: CompactString,
    /// The addresses on which the node listens.
    pub addresses: Addresses,
    /// The service of the local target.
    pub service: CompactString,
    /// The version of the target.
    pub version: CompactString,
    /// The data centre of the node.
    pub centre: CompactString,
    /// The region of the data centre.
    pub region: CompactString,
    /// Whether a graceful stop has begun.
    pub stopping: bool,
    /// Whether the target accepts connections.
    pub target_up: bool,
    /// The revision of the document in force at this node; 0 without one.
    pub revision: u64,
    /// The time in milliseconds since that revision came into force at this node.
    pub revision_age_ms: Option<u64>,
    /// The node's rank among the platform watchers of its data centre, if it is one of them.
    pub seat: Option<usize>,
    /// Admission of requests to the target.
    pub admission: Admission,
    /// The budget for measuring load.
    pub measuring: Measuring,
    /// Callers' requests in progress at this node as the entry node.
    pub calls: usize,
    /// Requests in progress at this node for its target, those in the queue included.
    pub works: usize,
    /// The time that requests took inside the node, by stage.
    #[serde(default)]
    pub times: Vec<StageTime>,
    /// The members that the node knows, by service in the order of the names.
    pub services: Vec<ServiceMembers>,
}

/// Admission of requests to the local target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admission {
    /// The slots of the target.
    pub slots: u16,
    /// The concurrency limit in force.
    pub limit: u16,
    /// Requests running at the target.
    pub running: u16,
    /// Requests waiting in the queue.
    pub queued: u16,
    /// Recent mean service time in microseconds.
    pub latency_us: u32,
    /// Whether the target is in cold start.
    pub cold: bool,
}

/// The cost of load measurement since the start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Measuring {
    /// The budget in bytes per second.
    pub budget: u64,
    /// Bytes spent on load reports and probes.
    pub bytes: u64,
    /// Load reports sent.
    pub reports: u64,
    /// Probes sent.
    pub probes: u64,
    /// Load reports that the budget denied.
    pub reports_denied: u64,
    /// Probes that the budget denied.
    pub probes_denied: u64,
}

/// The time that requests took in one stage inside the node since the start, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageTime {
    /// The stage: `call.request`, `call.answer`, `work.request` or `work.answer`.
    pub stage: CompactString,
    /// The number of requests.
    pub count: u64,
    /// The median.
    pub p50_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The longest time.
    pub max_us: u64,
}

/// The members of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceMembers {
    /// The name of the service.
    pub service: CompactString,
    /// The members in the order of their ids.
    pub members: Vec<MemberStatus>,
}

/// One member as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The id of the member.
    pub id: CompactString,
    /// The version of its target.
    pub version: CompactString,
    /// Its data centre.
    pub centre: CompactString,
    /// Whether it answers membership probes.
    pub state: MemberState,
    /// Whether it is in a graceful stop.
    pub leaving: bool,
    /// Whether its target is in cold start, or nothing is known of it yet.
    pub cold: bool,
    /// Whether this node temporarily sends it no requests because earlier ones failed.
    pub ejected: bool,
    /// Requests that this node has sent to it and that have not ended.
    pub in_flight: usize,
}

/// Whether a member answers membership probes.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It has not answered and will be declared dead unless it does.
    Suspected,
}

impl StageTime {
    fn text(&self) -> String {
        let StageTime { stage, count, p50_us, p99_us, max_us } = self;
        format!("{stage} p50 {p50_us}, p99 {p99_us}, max {max_us} ({count})")
    }
}

impl MemberStatus {
    /// Lists the conditions of the member in words, such as `alive, cold`.
    pub fn conditions(&self) -> String {
        let mut words = vec![match self.state {
            MemberState::Alive => "alive",
            MemberState::Suspected => "suspected",
        }];
        let flags = [(self.leaving, "leaving"), (self.cold, "cold"), (self.ejected, "ejected")];
        words.extend(flags.into_iter().filter_map(|(set, word)| set.then_some(word)));
        words.join(", ")
    }
}

impl Status {
    /// Lists the facts about the node itself as pairs of a label and a value.
    pub fn facts(&self) -> Vec<(&'static str, String)> {
        let (a, m, at) = (&self.admission, &self.measuring, &self.addresses);
        let seconds = |ms: u64| format!("{}.{} s", ms / 1_000, ms % 1_000 / 100);
        let age = self.revision_age_ms.map_or(String::new(), |ms| format!(", for {}", seconds(ms)));
        let revision = match self.revision {
            0 => "none".into(),
            revision => format!("{revision}{age}"),
        };
        let cold = if a.cold { ", cold start" } else { "" };
        let target = match (self.target_up, self.stopping) {
            (_, true) => "the node is stopping",
            (true, false) => "reachable",
            (false, false) => "unreachable",
        };
        vec![
            ("node", self.node.to_string()),
            ("service", format!("{}, version {}", self.service, self.version)),
            ("data centre", format!("{}, region {}", self.centre, self.region)),
            ("target", target.into()),
            ("revision", revision),
            ("seat", self.seat.map_or("none".into(), |seat| seat.to_string())),
            (
                "admission",
                format!(
                    "limit {} of {} slots, {} running, {} queued, {} us mean{cold}",
                    a.limit, a.slots, a.running, a.queued, a.latency_us
                ),
            ),
            (
                "measuring",
                format!(
                    "{} B of {} B/s, {} reports ({} denied), {} probes ({} denied)",
                    m.bytes, m.budget, m.reports, m.reports_denied, m.probes, m.probes_denied
                ),
            ),
            ("in progress", format!("{} calls, {} works", self.calls, self.works)),
            ("times, us", self.times.iter().map(StageTime::text).collect::<Vec<_>>().join("; ")),
            (
                "addresses",
                format!(
                    "callers={} peers={} control={} gossip={} operator={}",
                    at.callers, at.peers, at.control, at.gossip, at.operator
                ),
            ),
        ]
    }

    /// Prints the status as aligned tables.
    ///
    /// # Errors
    ///
    /// Fails if the output does.
    pub fn print(&self, out: &mut impl Write) -> io::Result<()> {
        let facts = self.facts().into_iter().map(|(label, value)| vec![label.into(), value]);
        table(&facts.collect::<Vec<_>>(), out)?;
        writeln!(out)?;
        let head = ["SERVICE", "MEMBER", "VERSION", "CENTRE", "IN FLIGHT", "STATE"];
        let mut rows = vec![head.map(String::from).to_vec()];
        for group in &self.services {
            rows.extend(group.members.iter().map(|m| {
                vec![
                    group.service.to_string(),
                    m.id.to_string(),
                    m.version.to_string(),
                    m.centre.to_string(),
                    m.in_flight.to_string(),
                    m.conditions(),
                ]
            }));
        }
        table(&rows, out)
    }
}

/// Prints rows with aligned columns; control characters, which a faulty peer could send, are escaped.
fn table(rows: &[Vec<String>], out: &mut impl Write) -> io::Result<()> {
    let clean = |cell: &String| -> String {
        cell.chars()
            .flat_map(|c| if c.is_control() { c.escape_default().collect() } else { vec![c] })
            .collect()
    };
    let rows: Vec<Vec<String>> = rows.iter().map(|row| row.iter().map(clean).collect()).collect();
    let columns = rows.first().map_or(0, Vec::len);
    let width = |i: usize| rows.iter().map(|row| row[i].chars().count()).max().unwrap_or_default();
    let widths: Vec<usize> = (0..columns).map(width).collect();
    for row in &rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line.push_str(&format!("{cell:<width$}  "));
        }
        writeln!(out, "{}", line.trim_end())?;
    }
    Ok(())
}
