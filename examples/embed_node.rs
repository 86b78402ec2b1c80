//! Runs a node in a process of its own, beside a target in the same process.

use std::{error::Error, time::Duration};

use poplarbarrow::{
    document::validate,
    logging,
    node::Node,
    platform::Memory,
    settings::{LogLevel, Settings},
    standin::target::{Config, Target},
    store,
};

const DOCUMENT: &str = r#"{
    "centres": { "oax-1": { "region": "oaxaca" } },
    "services": { "catalogue": { "deadline_ms": 500 } }
}"#;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let platform = Memory::new();
    let document = validate::parse(DOCUMENT).map_err(|problems| format!("{problems:?}"))?;
    store::commit(&platform, 0, &document, "example").await?;

    let target = Target::start(Config::default()).await?;
    let settings = format!(
        r#"{{ "service": "catalogue", "centre": "oax-1", "region": "oaxaca",
            "target": {{ "address": "{}" }}, "platform": "127.0.0.1:9",
            "key": "a key for the example" }}"#,
        target.addr()
    );
    let settings = Settings::parse(&settings).map_err(|problems| format!("{problems:?}"))?;
    let node = Node::start_with(settings, platform, logging::logger(LogLevel::Info)).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    report(&format!(
        "node {} serves callers on {} with revision {}",
        node.id(),
        node.addresses().callers,
        node.revision()
    ));

    node.stop();
    node.stopped().await;
    target.stop().await;
    Ok(())
}

#[allow(clippy::print_stdout)] // An example shows its result.
fn report(text: &str) {
    println!("{text}");
}
