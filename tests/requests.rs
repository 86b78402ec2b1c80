//! Requests through nodes in one process that find each other through a platform.

use poplarbarrow::{
    document::Document,
    logging,
    node::Node,
    platform::Memory,
    standin::target::{Config, Target},
    store,
};

#[path = "utils/client.rs"]
#[allow(dead_code)] // Each test program uses a part of it.
mod client;
#[path = "utils/fleet.rs"]
mod fleet;

use fleet::{eventually, settings};

#[tokio::test]
async fn request_reaches_the_target_of_another_node() {
    let platform = Memory::new();
    let document: Document = fleet::document(&["catalogue", "orders"]);
    store::commit(&platform, 0, &document, "first").await.expect("a commit");
    let mut fleet = Vec::new();
    for service in ["catalogue", "orders"] {
        let target = Target::start(Config::default()).await.expect("a target");
        let node =
            Node::start_with(settings(service, target.addr()), platform.clone(), logging::silent());
        fleet.push((target, node.await.expect("a node")));
    }
    let node = &fleet[0].1;
    eventually("the nodes know each other", || node.known("orders") == 1 && node.revision() == 1)
        .await;
    for service in ["catalogue", "orders"] {
        let answer = client::get(node.addresses().callers, service, "/stock").await;
        assert_eq!(answer.status, 200, "{service}: {answer:?}");
    }
}
