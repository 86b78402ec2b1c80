use std::time::Duration;

use test_case::test_case;

use super::{Config, Route, RouteTable, Share};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        is_idempotent: true,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        priority: 0,
        attempts: 2,
        shares: vec![Share { service: "stock".into(), weight: 1 }],
        is_public: false,
    }
}

fn table() -> RouteTable {
    let routes = vec![
        route("short", "shop.example", "/a/"),
        route("long", "shop.example", "/a/b/"),
        route("other", "pay.example", "/a/"),
        route("address", "[::1]", "/a/"),
    ];
    RouteTable::new(Config { version: 1, routes, ..Config::default() })
}

/// A request must match the route of its own host with the longest prefix.
#[test_case("shop.example", "/a/x", Some("short"); "prefix")]
#[test_case("shop.example", "/a/b/x", Some("long"); "longest prefix")]
#[test_case("shop.example", "/a/b", Some("short"); "prefix ends with a slash")]
#[test_case("SHOP.example:8080", "/a/x", Some("short"); "port and capitals")]
#[test_case("shop.example.", "/a/x", Some("short"); "trailing dot")]
#[test_case("Shop.example.:8080", "/a/x", Some("short"); "port after a trailing dot")]
#[test_case("shop.example:", "/a/x", Some("short"); "empty port")]
#[test_case("[::1]", "/a/x", Some("address"); "address")]
#[test_case("[::1]:8080", "/a/x", Some("address"); "address and port")]
#[test_case("pay.example", "/a/b/x", Some("other"); "other host")]
#[test_case("shop.example", "/ab/", None; "no prefix of a segment")]
#[test_case("unknown.example", "/a/x", None; "unknown host")]
fn finds_the_route(host: &str, path: &str, expected: Option<&str>) {
    let table = table();
    assert_eq!(table.find(host, path).map(|route| route.name.as_str()), expected);
}
