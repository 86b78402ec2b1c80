use test_case::test_case;

use super::*;

const VALID: &str = r#"{
    "service": "catalogue", "centre": "oax-1", "region": "oaxaca",
    "target": { "address": "127.0.0.1:9000" },
    "platform": "127.0.0.1:9100", "key": "0123456789abcdef"
}"#;

fn with(field: &str, value: serde_json::Value) -> String {
    let mut json: serde_json::Value = serde_json::from_str(VALID).expect("valid JSON");
    let (parent, name) = field.rsplit_once('.').unwrap_or(("", field));
    let object = if parent.is_empty() { &mut json } else { &mut json[parent] };
    object[name] = value;
    json.to_string()
}

#[test]
fn fills_in_defaults() {
    let settings = Settings::parse(VALID).expect("valid settings");
    assert_eq!(settings.target.slots, 12);
    assert_eq!(settings.version, "1");
}

#[test_case("service", serde_json::json!(""), "service"; "empty name")]
#[test_case("centre", serde_json::json!("a b"), "centre"; "space in a name")]
#[test_case("target.slots", serde_json::json!(0), "target.slots"; "no slots")]
#[test_case("target.connections", serde_json::json!(3), "target.connections"; "fewer connections than slots")]
#[test_case("target.health", serde_json::json!("health"), "target.health"; "health path without a slash")]
#[test_case("key", serde_json::json!("short"), "key"; "short key")]
#[test_case("networks", serde_json::json!([]), "networks"; "no network")]
#[test_case("drain_ms", serde_json::json!(700_000), "drain_ms"; "stop takes too long")]
#[test_case("listen", serde_json::json!({"gossip": "0.0.0.0:7000"}), "listen.gossip"; "unspecified address")]
#[test_case("listen", serde_json::json!({"operator": "10.0.0.1:80"}), "listen.operator"; "open operator address")]
#[test_case("token", serde_json::json!("short"), "token"; "short token")]
#[test_case("token", serde_json::json!("0123456789 abcdef"), "token"; "space in the token")]
#[test_case("slots", serde_json::json!(3), "slots"; "unknown field")]
#[test_case("platform", serde_json::json!("nowhere"), "platform"; "malformed address")]
fn names_the_faulty_field(field: &str, value: serde_json::Value, expected: &str) {
    let problems = Settings::parse(&with(field, value)).expect_err("faulty settings");
    assert_eq!(problems[0].field, expected);
}

#[test]
fn reports_all_faults_at_once() {
    let text = with("service", serde_json::json!("")).replace("0123456789abcdef", "short");
    let problems = Settings::parse(&text).expect_err("faulty settings");
    assert_eq!(problems.len(), 2);
}
