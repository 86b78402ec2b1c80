//! Requests through nodes in one process.

use std::{net::SocketAddr, sync::Arc};

use poplarbarrow::{
    logging,
    node::Node,
    standin::target::{Config, Target},
};

#[path = "utils/client.rs"]
mod client;
#[path = "utils/fleet.rs"]
mod fleet;

const NO_PLATFORM: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

#[tokio::test]
async fn request_reaches_the_target_of_another_node() {
    let target = Target::start(Config::default()).await.expect("a target");
    let other = Target::start(Config::default()).await.expect("a target");
    let log = logging::silent();
    let a = Node::start(fleet::settings("catalogue", target.addr(), NO_PLATFORM), log.clone());
    let b = Node::start(fleet::settings("orders", other.addr(), NO_PLATFORM), log);
    let (a, b) = (a.await.expect("a node"), b.await.expect("a node"));
    let document = Arc::new(fleet::document(&["catalogue", "orders"]));
    for node in [&a, &b] {
        node.set_document(1, document.clone());
    }
    a.introduce(&b);
    b.introduce(&a);
    for service in ["catalogue", "orders"] {
        let answer = client::get(a.addresses().callers, service, "/stock").await;
        assert_eq!(answer.status, 200, "{service}: {answer:?}");
    }
}
