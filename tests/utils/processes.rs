//! A platform, targets and nodes as processes for tests.

use std::{fs, net::SocketAddr, path::PathBuf, process::Command, time::Duration};

use axum::body::Body;
use http::Request;
use poplarbarrow::{standin::target::Totals, status::Status};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::{
    client::{self, Answer},
    process::Process,
};

pub(crate) const KEY: &str = "a-key-for-tests-only";

/// The longest wait in steps of 50 ms; it only ends a test that would otherwise never end.
const STEPS: usize = 1_200;

/// A node with its target.
pub(crate) struct Pair {
    pub(crate) target: Process,
    pub(crate) node: Process,
}

impl Pair {
    pub(crate) fn entry(&self) -> SocketAddr {
        address(&self.node, "callers")
    }

    pub(crate) async fn status(&self) -> Status {
        read(address(&self.node, "operator"), "/status").await
    }

    pub(crate) async fn totals(&self) -> Totals {
        read(address(&self.target, "listening"), "/-/ran").await
    }

    /// Changes the behaviour of the target.
    pub(crate) async fn change(&self, behaviour: Value) {
        post(address(&self.target, "listening"), "/-/control", behaviour).await;
    }
}

/// The processes of one test.
pub(crate) struct Cluster {
    folder: PathBuf,
    pub(crate) platform: Process,
    pub(crate) pairs: Vec<Pair>,
}

impl Cluster {
    /// Starts a platform with a document of revision 1, and a pair of service `orders` in each data centre.
    pub(crate) async fn start(name: &str, centres: &[&str]) -> Cluster {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&folder).expect("a folder");
        let log = folder.join("platform.log");
        let platform = Process::start(env!("CARGO_BIN_EXE_poplarbarrow-platform"), &[], &log);
        let mut cluster = Cluster { folder, platform, pairs: Vec::new() };
        cluster.apply(0, &document(&[]));
        for centre in centres {
            cluster.add(centre, &[]);
        }
        cluster.settle().await;
        cluster
    }

    /// Starts a target named `t<number>` and its node.
    pub(crate) fn add(&mut self, centre: &str, contacts: &[String]) {
        let number = self.pairs.len();
        let log = |kind: &str| self.folder.join(format!("{kind}-{number}.log"));
        let target = Process::start(
            env!("CARGO_BIN_EXE_poplarbarrow-target"),
            &["--name", &format!("t{number}")],
            &log("target"),
        );
        let settings = json!({
            "service": "orders", "centre": centre, "region": "oaxaca",
            "target": { "address": target.value("listening") },
            "platform": self.platform.value("listening"),
            "contacts": contacts, "key": KEY, "seed": number,
        });
        let path = self.folder.join(format!("settings-{number}.json"));
        fs::write(&path, settings.to_string()).expect("a file");
        let path = path.to_str().expect("a path");
        let node = Process::start(env!("CARGO_BIN_EXE_poplarbarrow-node"), &[path], &log("node"));
        self.pairs.push(Pair { target, node });
    }

    /// Puts a document in force as an operator would.
    pub(crate) fn apply(&self, expect: u64, document: &Value) {
        let path = self.folder.join("document.json");
        fs::write(&path, document.to_string()).expect("a file");
        let applied = Command::new(env!("CARGO_BIN_EXE_poplarbarrow"))
            .args(["apply", path.to_str().expect("a path")])
            .args(["--platform", &self.platform.value("listening")])
            .args(["--expect", &expect.to_string()])
            .output()
            .expect("the program runs");
        assert!(applied.status.success(), "{applied:?}");
    }

    /// Switches the faults of the platform.
    pub(crate) async fn set_faults(&self, faults: Value) {
        post(address(&self.platform, "listening"), "/control", faults).await;
    }

    /// Replaces the platform by an empty one at the same address.
    pub(crate) fn replace_platform(&mut self) {
        let addr = self.platform.value("listening");
        self.platform.kill();
        let program = env!("CARGO_BIN_EXE_poplarbarrow-platform");
        let log = self.folder.join("platform-2.log");
        self.platform = Process::start(program, &["--listen", &addr], &log);
    }

    pub(crate) async fn platform_stats(&self) -> Value {
        read(address(&self.platform, "listening"), "/stats").await
    }

    /// Waits until each node has the first document and knows all others.
    async fn settle(&self) {
        for pair in &self.pairs {
            wait("nodes know each other", async || {
                let status = pair.status().await;
                status.revision == 1 && alive(&status) == self.pairs.len()
            })
            .await;
        }
    }

    /// Waits until each node has a revision in force.
    pub(crate) async fn wait_for_revision(&self, revision: u64) {
        for pair in &self.pairs {
            wait("the revision", async || pair.status().await.revision == revision).await;
        }
    }
}

/// A document whose data centres `out` receive no new work.
pub(crate) fn document(out: &[&str]) -> Value {
    let centre = |name: &str| {
        let state = if out.contains(&name) { "out" } else { "in" };
        json!({ "region": "oaxaca", "state": state })
    };
    let centres = json!({ "oax-1": centre("oax-1"), "oax-2": centre("oax-2") });
    json!({ "centres": centres, "services": { "orders": {} } })
}

/// The members of `orders` that a node holds alive.
pub(crate) fn alive(status: &Status) -> usize {
    let status = serde_json::to_value(status).expect("JSON");
    let services = status["services"].as_array().expect("services");
    let members = services.iter().flat_map(|service| service["members"].as_array()).flatten();
    members.filter(|member| member["state"] == "alive").count()
}

/// Sends a request that may be repeated.
pub(crate) async fn get(entry: SocketAddr) -> Answer {
    client::get(entry, "orders", "/stock").await
}

pub(crate) fn address(process: &Process, key: &str) -> SocketAddr {
    process.value(key).parse().expect("an address")
}

/// Waits until a condition holds.
pub(crate) async fn wait(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    for _ in 0..STEPS {
        if holds().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("not in {STEPS} steps: {what}");
}

async fn read<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> T {
    let answer = client::get(addr, "", path).await;
    assert_eq!(answer.status, 200, "{path}: {answer:?}");
    serde_json::from_slice(&answer.body.expect("a body")).expect("JSON")
}

async fn post(addr: SocketAddr, path: &str, body: Value) {
    let req = Request::post(path)
        .header("content-type", "application/json")
        .body(Body::from(body.to_string()))
        .expect("a request");
    let answer = client::send(addr, "", req).await.expect("an answer");
    assert_eq!(answer.status, 200, "{path}: {answer:?}");
}
