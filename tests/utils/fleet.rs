//! Settings and documents for tests.

use std::{net::SocketAddr, time::Duration};

use poplarbarrow::{document::Document, settings::Settings};
use serde_json::json;

/// Returns the settings of a node in data centre `oax-1`, which meets no platform over HTTP.
pub(crate) fn settings(service: &str, target: SocketAddr) -> Settings {
    let json = json!({
        "service": service, "centre": "oax-1", "region": "oaxaca",
        "target": { "address": target }, "platform": "127.0.0.1:9",
        "key": "a-key-for-tests-only", "seed": 1,
    });
    Settings::parse(&json.to_string()).expect("valid settings")
}

/// Returns a document with the given services and one data centre.
pub(crate) fn document(services: &[&str]) -> Document {
    let services: serde_json::Map<_, _> =
        services.iter().map(|s| ((*s).to_owned(), json!({}))).collect();
    let json = json!({ "centres": { "oax-1": { "region": "oaxaca" } }, "services": services });
    serde_json::from_value(json).expect("a valid document")
}

/// Waits until a condition holds; the limit only ends a test that would otherwise never end.
pub(crate) async fn eventually(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..6_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("not in 60 s: {what}");
}
