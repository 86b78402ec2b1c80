//! The whole path as separate processes, driven as an operator and a caller would.

use std::{fs, net::SocketAddr, path::PathBuf, process::Command, time::Duration};

use axum::body::Body;
use http::Request;

#[allow(dead_code)] // Each test program uses a part of it.
#[path = "utils/client.rs"]
mod client;
#[path = "utils/process.rs"]
mod process;

use process::Process;

const DOCUMENT: &str = r#"{
    "centres": { "oax-1": { "region": "oaxaca" } },
    "services": { "catalogue": {}, "orders": {} }
}"#;

fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn settings(service: &str, target: &str, platform: &str) -> String {
    format!(
        r#"{{ "service": "{service}", "centre": "oax-1", "region": "oaxaca",
            "target": {{ "address": "{target}" }}, "platform": "{platform}",
            "key": "a-key-for-tests-only" }}"#
    )
}

/// Guards against a path that works in one process only.
#[tokio::test]
async fn request_passes_through_separate_processes() {
    let folder = folder("processes");
    let log = |name: &str| folder.join(format!("{name}.log"));
    let platform =
        Process::start(env!("CARGO_BIN_EXE_poplarbarrow-platform"), &[], &log("platform"));
    let platform_addr = platform.value("listening");
    let document = folder.join("document.json");
    fs::write(&document, DOCUMENT).expect("a file");
    let applied = Command::new(env!("CARGO_BIN_EXE_poplarbarrow"))
        .args(["apply", document.to_str().expect("a path"), "--platform", &platform_addr])
        .args(["--expect", "0"])
        .output()
        .expect("the program runs");
    assert!(applied.status.success(), "{applied:?}");

    let mut targets = Vec::new();
    let mut nodes = Vec::new();
    for service in ["catalogue", "orders"] {
        let target = Process::start(env!("CARGO_BIN_EXE_poplarbarrow-target"), &[], &log(service));
        let path = folder.join(format!("{service}.json"));
        fs::write(&path, settings(service, &target.value("listening"), &platform_addr))
            .expect("a file");
        let path = path.to_str().expect("a path");
        let node = format!("node-{service}");
        nodes.push(Process::start(env!("CARGO_BIN_EXE_poplarbarrow-node"), &[path], &log(&node)));
        targets.push(target);
    }

    let entry: SocketAddr = nodes[0].value("callers").parse().expect("an address");
    for service in ["catalogue", "orders"] {
        let answer = first_answer(entry, service).await;
        assert_eq!(answer.body.as_deref(), Some(b"hello".as_slice()));
    }
    let status = Command::new(env!("CARGO_BIN_EXE_poplarbarrow"))
        .args(["status", "--node", &nodes[0].value("operator")])
        .output()
        .expect("the program runs");
    let table = String::from_utf8(status.stdout).expect("text");
    assert!(status.status.success() && table.contains(&nodes[0].value("node")), "{table}");
    let lines = fs::read_to_string(log("node-catalogue")).expect("a log");
    for event in ["document", "member", "route", "admit"] {
        let start = format!(" event={event} ");
        let line = lines.lines().find(|line| line.contains(&start));
        let pairs = line.unwrap_or_else(|| panic!("no line with{start}in {lines}")).split(' ');
        assert!(pairs.filter(|pair| !pair.is_empty()).all(|pair| pair.contains('=')), "{line:?}");
    }
    for process in nodes.into_iter().chain(targets).chain([platform]) {
        assert_eq!(process.stop(), Some(0));
    }
}

/// Sends a request until the nodes know each other and have the document.
async fn first_answer(entry: SocketAddr, service: &str) -> client::Answer {
    for _ in 0..600 {
        let req = Request::put("/echo").body(Body::from("hello")).expect("a request");
        let answer = client::send(entry, service, req).await.expect("an answer");
        if answer.status == 200 {
            return answer;
        }
        assert_eq!(answer.header("poplarbarrow-outcome"), "not-run", "{answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("no answer of {service} in 60 s");
}
