//! Rolling restarts of node processes under load. Only processes that a test started are signalled, by id.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use axum::body::Body;
use http::Request;
use serde_json::json;
use tokio::task::JoinSet;

#[allow(dead_code)] // Each test program uses a part of it.
#[path = "utils/client.rs"]
mod client;
#[path = "utils/nodes.rs"]
mod nodes;
#[path = "utils/process.rs"]
mod process;
#[allow(dead_code)] // Each test program uses a part of it.
#[path = "utils/processes.rs"]
mod processes;

use nodes::{Fleet, order};
use processes::{alive, wait};

/// The callers of each kind that send one request after the other.
const CALLERS: usize = 6;

/// The node through which the load enters; its own target is of another service.
const ENTRY: usize = 3;

/// What became of the requests of one caller: the id and the status with the outcome of each.
type Log = Vec<(String, String)>;

async fn start(name: &str) -> Fleet {
    let document = json!({
        "centres": { "oax-1": { "region": "oaxaca" } },
        "services": { "orders": { "deadline_ms": 20_000 }, "office": {} },
    });
    Fleet::start(name, &["orders", "orders", "orders", "office"], &document).await
}

/// Sends one request after the other until `done`.
async fn load(entry: SocketAddr, caller: usize, is_order: bool, done: Arc<AtomicBool>) -> Log {
    let mut log = Vec::new();
    while !done.load(Ordering::Relaxed) {
        let kind = if is_order { "order" } else { "stock" };
        let id = format!("{kind}-{caller}-{}", log.len());
        let answer = if is_order {
            order(entry, &id, None).await
        } else {
            let req = Request::get("/stock").header("x-request-id", &id).body(Body::empty());
            client::send(entry, "orders", req.expect("a request")).await
        };
        let result = match answer {
            Some(answer) if answer.status == 200 && answer.body.is_none() => "cut".to_owned(),
            Some(answer) => format!(
                "{} {} {}",
                answer.status,
                answer.header("poplarbarrow-outcome"),
                answer.header("poplarbarrow-reason")
            ),
            None => "connection broke".to_owned(),
        };
        log.push((id, result.trim_end().to_owned()));
    }
    log
}

/// Guards against requests that a planned restart cuts off, refuses, repeats or leaves unresolved.
#[tokio::test]
async fn rolling_restart_costs_no_request() {
    let mut fleet = start("rolling").await;
    // Longer than a node takes to announce its stop, so that one that doesn't wait for its work cuts it off.
    fleet.change(|behaviour| behaviour.service_us = 300_000);
    let done = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for caller in 0..2 * CALLERS {
        callers.spawn(load(fleet.entry(ENTRY), caller, caller < CALLERS, done.clone()));
    }
    for number in 0..ENTRY {
        let started = |fleet: &Fleet| fleet.targets[number].totals().started;
        let before = started(&fleet);
        wait("the node serves requests", async || started(&fleet) > before + 10).await;
        fleet.restart(number).await;
        fleet.wait_until_known(number).await;
        let before = started(&fleet);
        wait("the new process serves requests", async || started(&fleet) > before + 10).await;
    }
    done.store(true, Ordering::Relaxed);
    let mut failed: HashMap<String, Vec<String>> = HashMap::new();
    let mut orders = 0;
    for log in callers.join_all().await {
        for (id, result) in log {
            if id.starts_with("order") {
                orders += 1;
                let runs = fleet.runs(&id);
                let is_true = runs <= 1 && (runs == 1 || result != "200");
                assert!(is_true, "{id} ran {runs} times: {result}");
            }
            if result != "200" {
                failed.entry(result).or_default().push(id);
            }
        }
    }
    assert!(orders > 50, "{orders} orders are a load");
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against work that waits at a leaving node and is neither run nor sent elsewhere.
#[tokio::test]
async fn queued_work_runs_or_is_sent_elsewhere() {
    let fleet = start("queued").await;
    fleet.change(|behaviour| behaviour.stall = true);
    let mut calls = JoinSet::new();
    let mut sent = 0;
    // One request after the other, so that all targets fill up before work waits.
    wait("each node has work that waits", async || {
        for _ in 0..4 {
            if sent < 100 {
                let (entry, id) = (fleet.entry(ENTRY), format!("order-{sent}"));
                calls.spawn(async move { (order(entry, &id, None).await, id) });
                sent += 1;
            }
        }
        let mut waiting = 0;
        for number in 0..ENTRY {
            waiting += usize::from(fleet.status(number).await.admission.queued > 0);
        }
        waiting == ENTRY
    })
    .await;
    fleet.nodes[0].signal("-TERM");
    // The work waits until all know of the stop; a node that doesn't wait for it would end now.
    wait("the entry node knows of the stop", async || alive(&fleet.status(ENTRY).await) == ENTRY)
        .await;
    fleet.change(|behaviour| behaviour.stall = false);
    let mut answered = 0;
    for (answer, id) in calls.join_all().await {
        let answer = answer.expect("an answer");
        let runs = fleet.runs(&id);
        // A queue that is full everywhere may refuse, truthfully.
        let is_true = match answer.status {
            200 => runs == 1 && answer.body.is_some(),
            _ => answer.header("poplarbarrow-outcome") == "not-run" && runs == 0,
        };
        assert!(is_true, "{id} ran {runs} times: {answer:?}");
        assert_ne!(answer.header("poplarbarrow-reason"), "draining", "{id} is sent elsewhere");
        answered += usize::from(answer.status == 200);
    }
    assert!(answered >= ENTRY, "{answered} orders were answered");
}
