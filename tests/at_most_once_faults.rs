//! Requests that must not be repeated, under failures of processes and of the platform while the caller sends
//! again. Only processes that a test started are signalled, by id.

use std::{future::Future, net::SocketAddr};

use futures::future;
use serde_json::json;
use test_case::test_case;
use tokio::task::JoinHandle;

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

use client::Answer;
use nodes::{Fleet, order};
use processes::{alive, wait};

/// The `x-request-id` of the order.
const ID: &str = "order-1";

/// The entry node of the first send, which owns its identity. Its target is of another service.
const OWNER: usize = 0;

/// The nodes through which the caller sends again.
const OTHERS: [usize; 2] = [1, 2];

/// The sends of one caller after which it gives up; each is answered within the deadline of the service.
const MAX_SENDS: usize = 60;

#[derive(Copy, Clone, Debug)]
enum Key {
    Issued,
    Own,
}

#[derive(Copy, Clone, Debug, PartialEq, Eq)]
enum Fault {
    /// The target's node is killed while the request runs.
    TargetNodeKilled,
    /// The target's node is killed while the request runs, and another process starts at its addresses.
    TargetNodeReplaced,
    /// The target crashes while it runs the request.
    TargetCrashed,
    /// The owner is killed while the request runs.
    OwnerKilled,
}

/// One caller's order and what it was told.
struct Order {
    key: String,
    answers: Vec<Answer>,
}

impl Order {
    async fn new(fleet: &Fleet, key: Key) -> Order {
        let key = match key {
            Key::Own => "order-of-monday".to_owned(),
            Key::Issued => issue(fleet.entry(OWNER)).await,
        };
        Order { key, answers: Vec::new() }
    }

    /// Sends the order without waiting for the answer.
    fn begin(&self, entry: SocketAddr) -> JoinHandle<Option<Answer>> {
        let key = self.key.clone();
        tokio::spawn(async move { order(entry, ID, Some(&key)).await })
    }

    /// Sends again through each of the other nodes until the answer through each is final.
    async fn send_again(&mut self, fleet: &Fleet) {
        for number in OTHERS {
            let mut has_ended = false;
            for _ in 0..MAX_SENDS {
                let has_run = fleet.runs(ID) > 0;
                let answer = order(fleet.entry(number), ID, Some(&self.key)).await;
                let answer = answer.expect("the node is alive");
                // Only a claim may be refused as not run when an earlier send ran, because it speaks of that send.
                let is_true = !is_not_run(&answer)
                    || !has_run
                    || answer.header("poplarbarrow-reason") == "identity-budget";
                assert!(is_true, "the order ran already: {answer:?}");
                has_ended = is_final(&answer);
                self.answers.push(answer);
                if has_ended {
                    break;
                }
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
            assert!(has_ended, "no final answer through node {number}: {:?}", self.answers.last());
        }
    }

    fn is_answered(&self) -> bool {
        self.answers.iter().any(|answer| answer.status == 200)
    }
}

fn is_not_run(answer: &Answer) -> bool {
    answer.header("poplarbarrow-outcome") == "not-run"
}

/// Returns whether the caller learns no more by another send.
fn is_final(answer: &Answer) -> bool {
    !is_not_run(answer)
        && !["in-progress", "deadline"].contains(&answer.header("poplarbarrow-reason"))
}

async fn start(name: &str) -> Fleet {
    let document = json!({
        "centres": { "oax-1": { "region": "oaxaca" } },
        "services": { "orders": { "deadline_ms": 4_000 }, "office": {} },
    });
    let fleet = Fleet::start(name, &["office", "office", "orders", "orders"], &document).await;
    // The first send of a node also opens the lease that its claims share.
    let warm = order(fleet.entry(OWNER), "order-0", Some("order-of-sunday")).await;
    assert_eq!(warm.expect("an answer").status, 200);
    fleet
}

/// Asks a node for an identity.
async fn issue(entry: SocketAddr) -> String {
    let req = http::Request::post("/identity").body(axum::body::Body::empty()).expect("a request");
    let answer = client::send(entry, "poplarbarrow", req).await.expect("an answer");
    String::from_utf8(answer.body.expect("a body")).expect("text")
}

/// Waits until a target runs the order, and returns its number.
async fn running(fleet: &Fleet) -> usize {
    let at = || fleet.targets.iter().position(|target| target.runs(ID).started > 0);
    wait("a target runs the order", async || at().is_some()).await;
    at().expect("a target")
}

/// Waits until nothing that could still start a run is in progress at the nodes that are alive.
async fn settle(fleet: &Fleet, numbers: impl IntoIterator<Item = usize>) {
    for number in numbers {
        wait("the node has ended its work", async || {
            let status = fleet.status(number).await;
            status.calls == 0 && status.works == 0
        })
        .await;
    }
}

/// Guards against a second run, and a false "not run", when a process fails while the order runs.
#[test_case(Key::Issued, Fault::TargetNodeKilled; "issued identity and the node of the target killed")]
#[test_case(Key::Own, Fault::TargetNodeKilled; "own key and the node of the target killed")]
#[test_case(Key::Issued, Fault::TargetNodeReplaced; "issued identity and the node of the target replaced")]
#[test_case(Key::Own, Fault::TargetNodeReplaced; "own key and the node of the target replaced")]
#[test_case(Key::Issued, Fault::TargetCrashed; "issued identity and the target crashed")]
#[test_case(Key::Own, Fault::TargetCrashed; "own key and the target crashed")]
#[test_case(Key::Issued, Fault::OwnerKilled; "issued identity and the owner killed")]
#[test_case(Key::Own, Fault::OwnerKilled; "own key and the owner killed")]
#[tokio::test]
async fn order_runs_once_when_a_process_fails(key: Key, fault: Fault) {
    let mut fleet = start(&format!("once-{key:?}-{fault:?}")).await;
    fleet.change(|behaviour| behaviour.service_us = 500_000);
    let mut order = Order::new(&fleet, key).await;
    let first = order.begin(fleet.entry(OWNER));
    let at = running(&fleet).await;
    match fault {
        Fault::TargetNodeKilled => fleet.nodes[at].kill(),
        Fault::TargetNodeReplaced => {
            fleet.nodes[at].kill();
            fleet.revive(at);
        }
        Fault::TargetCrashed => fleet.targets[at].crash(),
        Fault::OwnerKilled => fleet.nodes[OWNER].kill(),
    }
    let first = first.await.expect("a task");
    assert_eq!(first.is_none(), fault == Fault::OwnerKilled, "{first:?}");
    if let Some(first) = first {
        assert_eq!(first.header("poplarbarrow-outcome"), "unknown", "{first:?}");
    }
    // The caller sends again while the failure is new, and when the others know of it.
    let is_gone = |number| match fault {
        Fault::TargetNodeKilled => number == at,
        Fault::OwnerKilled => number == OWNER,
        Fault::TargetNodeReplaced | Fault::TargetCrashed => false,
    };
    let left: Vec<usize> = (0..fleet.nodes.len()).filter(|number| !is_gone(*number)).collect();
    for round in 0..2 {
        // A process that has just started has no document yet, and then refuses every send as not run.
        let is_new = |number| fault == Fault::TargetNodeReplaced && number == at && round == 0;
        let others = if is_gone(OTHERS[1]) || is_new(OTHERS[1]) { [1, 3] } else { OTHERS };
        for number in others {
            let answer = nodes::order(fleet.entry(number), ID, Some(&order.key)).await;
            let answer = answer.expect("the node is alive");
            assert_eq!(answer.header("poplarbarrow-outcome"), "unknown", "{round}: {answer:?}");
            order.answers.push(answer);
        }
        for number in &left {
            wait("the failure is known", async || {
                let status = fleet.status(*number).await;
                status.revision == 1 && alive(&status) == left.len()
            })
            .await;
        }
    }
    settle(&fleet, left).await;
    assert_eq!(fleet.runs(ID), 1);
}

/// Guards against a node that was replaced at its addresses and whose entry nodes refuse requests because of it,
/// or say "not run" of one that runs.
#[tokio::test]
async fn node_replaced_at_its_addresses_is_used_again() {
    let mut fleet = start("replaced").await;
    let entry = fleet.entry(OWNER);
    // Side by side, so that both targets are needed.
    let stock = || future::join_all((0..8).map(|_| processes::get(entry)));
    for answer in stock().await {
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    fleet.nodes[3].kill();
    fleet.revive(3);
    for round in 0..10 {
        let ids = (0..8).map(|n| format!("order-{round}-{n}")).collect::<Vec<_>>();
        let orders = future::join_all(ids.iter().map(|id| order(entry, id, None)));
        let (orders, stock) = future::join(orders, stock()).await;
        for (id, answer) in ids.iter().zip(orders) {
            let (answer, runs) = (answer.expect("an answer"), fleet.runs(id));
            assert!(runs <= 1 && (runs == 0 || !is_not_run(&answer)), "{id}: {runs}, {answer:?}");
            let is_refused =
                answer.status != 200 && answer.header("poplarbarrow-outcome").is_empty();
            assert!(!is_refused, "{id}: {answer:?}");
        }
        for answer in stock {
            assert_eq!(answer.status, 200, "an idempotent request in round {round}: {answer:?}");
        }
    }
    fleet.wait_until_known(3).await;
    let before = fleet.targets[3].totals().started;
    wait("the new process is used", async || {
        // Side by side, because one target is enough for one request after the other.
        for answer in stock().await {
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        fleet.targets[3].totals().started > before
    })
    .await;
}

/// Guards against a second run when the owner is frozen before it sends the attempt and resumes after the caller
/// has sent again.
#[test_case(Key::Issued; "issued identity")]
#[test_case(Key::Own; "own key")]
#[tokio::test]
async fn order_runs_once_when_its_owner_is_frozen(key: Key) {
    let fleet = start(&format!("frozen-{key:?}")).await;
    fleet.change(|behaviour| behaviour.service_us = 300_000);
    let mut order = Order::new(&fleet, key).await;
    if matches!(key, Key::Own) {
        // The claim takes effect after half of the time, and its answer then finds a frozen owner.
        fleet.set_faults(json!({ "slow_ms": 600 })).await;
    }
    let puts = async || fleet.platform_stats().await["put"].as_u64().expect("a count");
    let before = puts().await;
    let first = match key {
        Key::Issued => {
            fleet.nodes[OWNER].signal("-STOP");
            order.begin(fleet.entry(OWNER))
        }
        Key::Own => {
            let first = order.begin(fleet.entry(OWNER));
            wait("the claim is on its way", async || puts().await > before).await;
            fleet.nodes[OWNER].signal("-STOP");
            fleet.set_faults(json!({})).await;
            first
        }
    };
    for number in OTHERS {
        let answer = nodes::order(fleet.entry(number), ID, Some(&order.key)).await;
        let answer = answer.expect("the node is alive");
        order.answers.push(answer);
    }
    fleet.nodes[OWNER].signal("-CONT");
    let first = first.await.expect("a task").expect("an answer");
    assert!(!is_not_run(&first) || fleet.runs(ID) == 0 || order.is_answered(), "{first:?}");
    order.send_again(&fleet).await;
    settle(&fleet, 0..fleet.nodes.len()).await;
    assert!(fleet.runs(ID) <= 1, "{} runs", fleet.runs(ID));
    assert!(!order.is_answered() || fleet.runs(ID) == 1);
}

/// Guards against a second run, or none at all, when the claim of the first send meets a fault of the platform.
#[test_case(json!({ "outage": true }), json!({}); "outage")]
#[test_case(json!({ "lose": 1 }), json!({}); "lost answer of the write")]
#[test_case(json!({ "lose": 1, "slow_ms": 3_000 }), json!({}); "late and lost answer of the write")]
#[test_case(json!({ "slow_ms": 3_000 }), json!({ "slow_ms": 200 }); "late answer of the write")]
#[tokio::test]
async fn order_runs_once_when_its_claim_fails(fault: serde_json::Value, then: serde_json::Value) {
    let fleet = start("claim").await;
    fleet.change(|behaviour| behaviour.service_us = 300_000);
    let mut order = Order::new(&fleet, Key::Own).await;
    fleet.set_faults(fault).await;
    let stats = fleet.platform_stats().await;
    let first = order.begin(fleet.entry(OWNER));
    wait("the claim is on its way", async || {
        fleet.platform_stats().await["put"].as_u64() > stats["put"].as_u64()
    })
    .await;
    // The caller doesn't wait for the answer to its first send.
    let second = order.begin(fleet.entry(OTHERS[0]));
    let (first, second) = both(first, second).await;
    fleet.set_faults(then).await;
    let were_refused = is_not_run(&first) && is_not_run(&second);
    assert!(!were_refused || fleet.runs(ID) == 0, "{first:?} {second:?}");
    order.answers.extend([first, second]);
    order.send_again(&fleet).await;
    settle(&fleet, 0..fleet.nodes.len()).await;
    assert!(fleet.runs(ID) <= 1, "{} runs", fleet.runs(ID));
    assert!(order.is_answered(), "no process failed: {:?}", order.answers);
}

async fn both(
    first: impl Future<Output = Result<Option<Answer>, tokio::task::JoinError>>,
    second: impl Future<Output = Result<Option<Answer>, tokio::task::JoinError>>,
) -> (Answer, Answer) {
    let (first, second) = tokio::join!(first, second);
    let answer = |sent: Result<Option<Answer>, _>| sent.expect("a task").expect("an answer");
    (answer(first), answer(second))
}
