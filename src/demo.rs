//! A demo of the whole system in one process on loopback: a platform, targets and their nodes.

use std::{
    io::{self, Write},
    net::SocketAddr,
    time::Duration,
};

use compact_str::{CompactString, format_compact};
use snafu::{ResultExt, Snafu};
use tokio::time;

use crate::{
    document::validate::parse,
    logging,
    node::{Node, NodeError},
    platform::Memory,
    settings::{Listen, LogLevel, Settings, TargetSettings, default_networks},
    standin::target::{Config, Target, TargetError},
    store::{self, CommitError},
};

/// The document of the demo.
const DOCUMENT: &str = include_str!("demo/document.json");

/// The services of the demo with the number of their targets, distributed round-robin over the data centres.
const SERVICES: [(&str, usize); 3] = [("catalogue", 4), ("payments", 3), ("orders", 3)];

/// The data centres of the demo.
const CENTRES: [&str; 3] = ["oax-1", "oax-2", "oax-3"];

/// The default address on which the first node listens for callers; it is fixed, so that the printed example requests
/// can be used again after a restart.
pub const DEFAULT_CALLERS_ADDR: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7480);

/// The time within which the nodes must discover each other.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The demo cannot start.
#[derive(Debug, Snafu)]
pub enum DemoError {
    /// A target cannot start.
    #[snafu(display("{source}"))]
    Target {
        /// The cause.
        source: TargetError,
    },
    /// A node cannot start.
    #[snafu(display("{source}"))]
    Node {
        /// The cause.
        source: NodeError,
    },
    /// The document cannot be stored.
    #[snafu(display("{source}"))]
    Document {
        /// The cause.
        source: CommitError,
    },
    /// The nodes did not discover each other in time.
    #[snafu(display("the nodes did not discover each other within {} s", START_TIMEOUT.as_secs()))]
    Start,
    /// The output cannot be written.
    #[snafu(display("output: {source}"))]
    Output {
        /// The cause.
        source: io::Error,
    },
}

/// A running demo.
pub struct Demo {
    targets: Vec<Target>,
    nodes: Vec<Node>,
    platform: Memory,
}

impl Demo {
    /// Starts the demo; the first node listens for callers on `callers`.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use, or if the nodes do not discover each other in time.
    pub async fn start(callers: SocketAddr, log: LogLevel) -> Result<Demo, DemoError> {
        let platform = Memory::new();
        let document = parse(DOCUMENT).expect("the document of the demo is valid");
        store::commit(&platform, 0, &document, "demo").await.context(DocumentSnafu)?;
        let log = logging::logger(log);
        let mut demo = Demo { targets: Vec::new(), nodes: Vec::new(), platform };
        for (service, count) in SERVICES {
            for index in 0..count {
                let name = format_compact!("{service}-{}", index + 1);
                let target = Target::start(Config { name, ..Config::default() }).await;
                let target = target.context(TargetSnafu)?;
                let mut settings = settings(service, CENTRES[index % CENTRES.len()], target.addr());
                if demo.nodes.is_empty() {
                    settings.listen.callers = callers;
                }
                let node = Node::start_with(settings, demo.platform.clone(), log.clone()).await;
                demo.nodes.push(node.context(NodeSnafu)?);
                demo.targets.push(target);
            }
        }
        time::timeout(START_TIMEOUT, demo.wait_until_ready())
            .await
            .map_err(|_| DemoError::Start)?;
        Ok(demo)
    }

    /// Returns the nodes.
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// Returns the platform that the nodes share.
    pub fn platform(&self) -> &Memory {
        &self.platform
    }

    /// Writes how many nodes and targets are running, and example requests.
    ///
    /// # Errors
    ///
    /// Fails if `out` cannot be written.
    pub fn describe(&self, out: &mut impl Write) -> Result<(), DemoError> {
        let text = self.write_description(out);
        text.context(OutputSnafu)
    }

    /// Stops all nodes gracefully, then the targets.
    pub async fn stop(self) {
        for node in &self.nodes {
            node.stop();
        }
        for node in self.nodes {
            node.stopped().await;
        }
        for target in self.targets {
            target.stop().await;
        }
    }

    async fn wait_until_ready(&self) {
        let is_ready = |node: &Node| {
            let knows_all =
                SERVICES.iter().all(|(service, count)| node.member_count(service) == *count);
            knows_all && node.revision() > 0
        };
        while !self.nodes.iter().all(is_ready) {
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn write_description(&self, out: &mut impl Write) -> io::Result<()> {
        let callers = self.nodes[0].addresses().callers;
        writeln!(
            out,
            "{} nodes beside {} targets are running.",
            self.nodes.len(),
            self.targets.len()
        )?;
        writeln!(out, "A node serves callers on {callers}. Try, in another terminal:\n")?;
        writeln!(out, "  curl -i -H 'Host: catalogue' http://{callers}/stock")?;
        writeln!(
            out,
            "\nA request that must not be repeated runs once, however often it is sent:\n"
        )?;
        writeln!(
            out,
            "  curl -i -H 'Host: payments' -H 'Idempotency-Key: payout-17' -d 'amount=250' \\\n    http://{callers}/payouts"
        )?;
        writeln!(out, "\nCtrl-C stops everything gracefully.")
    }
}

fn settings(service: &str, centre: &str, target: SocketAddr) -> Settings {
    Settings {
        service: service.into(),
        version: CompactString::const_new("1"),
        centre: centre.into(),
        region: CompactString::const_new("oaxaca"),
        listen: Listen::default(),
        target: TargetSettings { address: target, slots: 12, connections: 200, health: None },
        // Unused: the nodes of the demo share an in-memory platform.
        platform: SocketAddr::from(([127, 0, 0, 1], 9)),
        contacts: Vec::new(),
        networks: default_networks(),
        key: "a key for the demo on loopback".to_owned(),
        token: None,
        drain_ms: 2_000,
        metrics: None,
        seed: None,
        log: LogLevel::default(),
    }
}
