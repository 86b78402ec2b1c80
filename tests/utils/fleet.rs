//! Settings and documents for tests.

use std::net::SocketAddr;

use poplarbarrow::{document::Document, settings::Settings};
use serde_json::json;

/// Returns the settings of a node in data centre `oax-1`.
pub fn settings(service: &str, target: SocketAddr, platform: SocketAddr) -> Settings {
    let json = json!({
        "service": service, "centre": "oax-1", "region": "oaxaca",
        "target": { "address": target }, "platform": platform,
        "key": "a-key-for-tests-only", "seed": 1,
    });
    Settings::parse(&json.to_string()).expect("valid settings")
}

/// Returns a document with the given services and one data centre.
pub fn document(services: &[&str]) -> Document {
    let services: serde_json::Map<_, _> =
        services.iter().map(|s| ((*s).to_owned(), json!({}))).collect();
    let json = json!({ "centres": { "oax-1": { "region": "oaxaca" } }, "services": services });
    serde_json::from_value(json).expect("a valid document")
}
