//! The operators' address of a node: access, status, and every form from page to document.

use std::process::Command;

use axum::body::Body;
use http::{Request, header};
use poplarbarrow::{
    document::Document,
    logging,
    node::Node,
    platform::{Memory, Platform, memory::Faults},
    standin::target::{Config, Target},
    status::{self, MemberState, StatusError},
    store,
};
use serde_json::{Value, json};
use test_case::test_case;

#[path = "utils/browser.rs"]
mod browser;
#[path = "utils/client.rs"]
#[allow(dead_code)] // Each test program uses a part of it.
mod client;
#[path = "utils/fleet.rs"]
#[allow(dead_code)] // Each test program uses a part of it.
mod fleet;
#[path = "utils/mute.rs"]
mod mute;

use browser::{Browser, Fields, encode, error, fields, unescape};
use mute::Mute;

const TOKEN: &str = "a-token-for-tests-only";

struct Setup<P = Memory> {
    node: Node,
    platform: P,
    browser: Browser,
    _target: Target,
}

fn document() -> Document {
    let json = json!({
        "centres": { "oax-1": { "region": "oaxaca" }, "oax-2": { "region": "oaxaca" } },
        "services": {
            "catalogue": {},
            "orders": {
                "hedge": false,
                "routes": [{ "prefix": "/list", "method": "GET", "idempotent": true }],
                "versions": [{ "name": "v1" }, { "name": "v2", "start_ms": 1_700_000_000_000u64,
                    "end_ms": 1_700_003_600_000u64 }],
            },
        },
    });
    serde_json::from_value(json).expect("a document")
}

async fn start(token: Option<&str>) -> Setup {
    start_on(Memory::new(), token).await
}

async fn start_on<P: Platform + Clone>(platform: P, token: Option<&str>) -> Setup<P> {
    store::commit(&platform, 0, &document(), "first").await.expect("a commit");
    let target = Target::start(Config::default()).await.expect("a target");
    let mut settings = fleet::settings("catalogue", target.addr());
    settings.token = token.map(String::from);
    let node = Node::start_with(settings, platform.clone(), logging::silent()).await;
    let node = node.expect("a node");
    fleet::eventually("the document is in force", || node.revision() == 1).await;
    let browser = Browser::new(node.addresses().operator);
    Setup { node, platform, browser, _target: target }
}

async fn in_force(platform: &Memory) -> (u64, Document) {
    let (index, document) = store::load(platform).await.expect("a document").expect("a document");
    (index.revision, document)
}

/// Changes the deadline of a service as another operator would.
async fn change_beside(platform: &Memory, service: &str, deadline: u32) {
    let (revision, mut document) = in_force(platform).await;
    document.services.get_mut(service).expect("the service").deadline_ms = deadline;
    let submission = format!("beside-{revision}");
    store::commit(platform, revision, &document, &submission).await.expect("a commit");
}

/// Returns the text of a page without tags, with single spaces.
fn text(page: &str) -> String {
    let pieces = page.split('<').map(|piece| piece.split_once('>').map_or(piece, |(_, text)| text));
    unescape(&pieces.collect::<Vec<_>>().join(" ").split_whitespace().collect::<Vec<_>>().join(" "))
}

/// Guards against a form whose change does not reach the document, or that changes more than was entered.
#[test_case("/services/orders", &[("deadline_ms", "700")], "/services/orders/deadline_ms", json!(700); "deadline")]
#[test_case("/services/orders", &[("retry_percent", "0")], "/services/orders/retry_percent", json!(0); "retries")]
#[test_case("/services/orders", &[("eject_percent", "50")], "/services/orders/eject_percent", json!(50); "ejection")]
#[test_case("/services/orders", &[("hedge", "on")], "/services/orders/hedge", json!(true); "hedge")]
#[test_case("/services/orders", &[("routes[2].prefix", "/new")], "/services/orders/routes/1", json!({"prefix": "/new", "method": null, "idempotent": false}); "route added")]
#[test_case("/services/orders", &[("routes[0].remove", "on")], "/services/orders/routes", json!([]); "route removed")]
#[test_case("/services/orders", &[("versions[1].end_ms", "2023-11-14T23:13:20.5")], "/services/orders/versions/1/end_ms", json!(1_700_003_600_500u64); "end of a version")]
#[test_case("/services/orders", &[("remove", "yes")], "/services", json!({"catalogue": {"routes": [], "versions": [], "deadline_ms": 2000, "retry_percent": 10, "eject_percent": 34, "hedge": true}}); "service removed")]
#[test_case("/versions/orders", &[("versions[1].start_ms", "2023-11-14T22:00")], "/services/orders/versions/1/start_ms", json!(1_699_999_200_000u64); "start of a version")]
#[test_case("/new-service", &[("name", "stock")], "/services/stock/deadline_ms", json!(2000); "new service")]
#[test_case("/centres", &[("centres[1].state", "out")], "/centres/oax-2/state", json!("out"); "data centre out")]
#[test_case("/centres", &[("centres[3].name", "oax-3"), ("centres[3].region", "oaxaca")], "/centres/oax-3/region", json!("oaxaca"); "data centre added")]
#[test_case("/budgets", &[("claim_rate", "7")], "/budgets/claim_rate", json!(7); "budget")]
#[tokio::test]
async fn a_confirmed_form_takes_effect(
    path: &str,
    entered: &[(&str, &str)],
    at: &str,
    want: Value,
) {
    let Setup { node, platform, mut browser, .. } = start(None).await;
    let (status, review) = browser.fill(path, entered).await;
    assert!(status == 200 && review.contains("Put the change in force"), "{review}");
    assert_eq!(in_force(&platform).await, (1, document()));
    let (status, result) = browser.post("/commit", &fields(&review, "/commit")).await;
    assert_eq!(status, 200, "{result}");
    let (revision, after) = in_force(&platform).await;
    let mut expected = serde_json::to_value(document()).expect("JSON");
    match (at.rsplit_once('/').expect("a path"), expected.pointer_mut(at)) {
        (_, Some(value)) => *value = want.clone(),
        ((list, _), None) => match expected.pointer_mut(list) {
            Some(Value::Array(items)) => items.push(want.clone()),
            // A new entry, of which the test states one field.
            _ => expected = serde_json::to_value(&after).expect("JSON"),
        },
    }
    let after = serde_json::to_value(&after).expect("JSON");
    assert_eq!((revision, after.pointer(at), &after), (2, Some(&want), &expected));
    fleet::eventually("the node follows", || node.revision() == 2).await;
}

/// Guards against an error that is not shown beside its field, or that loses what else was entered.
#[test_case("/services/orders", "deadline_ms", "0", "from 1 to 600000"; "deadline too short")]
#[test_case("/services/orders", "deadline_ms", "soon", "whole number"; "deadline is no number")]
#[test_case("/services/orders", "deadline_ms", "", "whole number"; "deadline is empty")]
#[test_case("/services/orders", "retry_percent", "101", "up to 100"; "too many retries")]
#[test_case("/services/orders", "eject_percent", "91", "up to 90"; "too many ejections")]
#[test_case("/services/orders", "routes[0].prefix", "list", "start with /"; "prefix of a known route")]
#[test_case("/services/orders", "routes[2].prefix", "list", "start with /"; "prefix of a route after an empty one")]
#[test_case("/services/orders", "routes[0].method", "get", "in capitals"; "method")]
#[test_case("/services/orders", "routes[1].method", "GET", "start with /"; "route without a prefix")]
#[test_case("/services/orders", "versions[1].name", "v1", "its own name"; "version twice")]
#[test_case("/services/orders", "versions[1].name", "v 2", "dot, _ and -"; "version name")]
#[test_case("/versions/orders", "versions[1].start_ms", "tomorrow", "write it in UTC"; "start is no time")]
#[test_case("/versions/orders", "versions[1].end_ms", "2023-11-14T22:00", "after its start"; "end before the start")]
#[test_case("/versions/orders", "versions[3].start_ms", "2030-01-01T00:00", "1 to 63"; "version without a name")]
#[test_case("/new-service", "name", "Orders", "a-z, 0-9 and -"; "service name")]
#[test_case("/new-service", "name", "", "a-z, 0-9 and -"; "no service name")]
#[test_case("/new-service", "name", "orders", "existing service"; "service twice")]
#[test_case("/new-service", "name", "poplarbarrow", "is reserved"; "reserved name")]
#[test_case("/centres", "centres[0].region", "", "a-z, 0-9 and -"; "no region")]
#[test_case("/centres", "centres[0].state", "half", "\"in\" or \"out\""; "state")]
#[test_case("/centres", "centres[2].name", "oax-1", "another data centre"; "data centre twice")]
#[test_case("/centres", "centres[3].name", "A", "a-z, 0-9 and -"; "data centre name")]
#[test_case("/budgets", "measure_bytes", "17001", "up to 17000"; "measuring budget")]
#[test_case("/budgets", "probe_permille", "1001", "up to 1000"; "probes")]
#[test_case("/budgets", "claim_rate", "-1", "up to 500"; "claims")]
#[tokio::test]
async fn an_error_stands_beside_its_field(path: &str, field: &str, value: &str, message: &str) {
    let Setup { node: _node, platform, mut browser, .. } = start(None).await;
    let (status, page) = browser.fill(path, &[(field, value)]).await;
    assert_eq!(status, 422, "{page}");
    let shown = match (field, error(&page, field)) {
        // The message belongs to the empty prefix of the same route, or the empty name of the same version.
        ("routes[1].method", None) => error(&page, "routes[1].prefix"),
        ("versions[3].start_ms", None) => error(&page, "versions[3].name"),
        (_, shown) => shown,
    };
    assert!(shown.as_deref().is_some_and(|text| text.contains(message)), "{shown:?} {page}");
    if !field.ends_with("state") {
        assert_eq!(fields(&page, path).get(field).map(String::as_str), Some(value));
    }
    assert_eq!(in_force(&platform).await, (1, document()));
}

/// Guards against an operator who overwrites a change made meanwhile, or loses the change that was entered.
#[test_case("catalogue", 900, false; "different fields")]
#[test_case("orders", 900, true; "same field")]
#[tokio::test]
async fn a_stale_revision_shows_both_changes(service: &str, deadline: u32, clashes: bool) {
    let Setup { node: _node, platform, mut browser, .. } = start(None).await;
    let (_, review) = browser.fill("/services/orders", &[("deadline_ms", "700")]).await;
    change_beside(&platform, service, deadline).await;
    let (status, page) = browser.post("/commit", &fields(&review, "/commit")).await;
    let shown = text(&page);
    assert_eq!(status, 409, "{shown}");
    let (mine, rest) = shown.split_once("What happened meanwhile").expect("both changes");
    assert!(mine.contains("changed services.orders.deadline_ms 2000 700"), "{shown}");
    let beside = format!("changed services.{service}.deadline_ms 2000 900");
    assert!(rest.contains(&beside), "{shown}");
    assert_eq!(rest.contains("services.orders.deadline_ms: you 700, meanwhile 900"), clashes);

    let (status, form) = browser.post("/edit", &fields(&page, "/edit")).await;
    assert_eq!((status, fields(&form, "/services/orders")["deadline_ms"].as_str()), (200, "700"));
    let (status, result) = browser.post("/commit", &fields(&page, "/commit")).await;
    assert_eq!(status, 200, "{result}");
    let (revision, after) = in_force(&platform).await;
    let catalogue = if clashes { 2_000 } else { deadline };
    let deadlines = ["orders", "catalogue"].map(|name| after.services[name].deadline_ms);
    assert_eq!((revision, deadlines), (3, [700, catalogue]));
}

/// Guards against a form that was opened before another change and reverts it when it is sent.
#[tokio::test]
async fn a_form_opened_earlier_shows_both_changes() {
    let Setup { node, platform, mut browser, .. } = start(None).await;
    let (_, form) = browser.get("/services/orders").await;
    change_beside(&platform, "catalogue", 900).await;
    fleet::eventually("the node follows", || node.revision() == 2).await;
    let mut entered = fields(&form, "/services/orders");
    entered.insert("deadline_ms".into(), "700".into());
    let (status, page) = browser.post("/services/orders", &entered).await;
    assert_eq!(status, 409);
    let shown = text(&page);
    assert!(shown.contains("services.orders.deadline_ms 2000 700"), "{shown}");
    assert!(shown.contains("services.catalogue.deadline_ms 2000 900"), "{shown}");
}

/// Guards against a failed commit that cannot be repeated, or that is made twice.
#[tokio::test]
async fn a_failed_commit_is_repeated_with_the_same_submission() {
    let Setup { node: _node, platform, mut browser, .. } = start(None).await;
    let (_, review) = browser.fill("/budgets", &[("claim_rate", "7")]).await;
    let confirmation = fields(&review, "/commit");
    platform.set_faults(Faults { outage: true, ..Faults::default() });
    let (status, failed) = browser.post("/commit", &confirmation).await;
    assert!(status == 503 && text(&failed).contains("This attempt changed nothing"), "{failed}");
    platform.set_faults(Faults::default());
    let repeat = fields(&failed, "/commit");
    assert_eq!(repeat, confirmation);
    for _ in 0..2 {
        let (status, result) = browser.post("/commit", &repeat).await;
        assert!(status == 200 && text(&result).contains("Revision 2 is in force"), "{result}");
    }
    assert_eq!(in_force(&platform).await.0, 2);
}

/// Guards against an unknown outcome that is called a success or a failure, or that is repeated as a second change.
#[test_case(true; "took effect")]
#[test_case(false; "took no effect")]
#[tokio::test]
async fn a_lost_answer_is_shown_as_unknown_and_can_be_repeated(takes_effect: bool) {
    let platform = Mute::new(Memory::new(), takes_effect);
    let Setup { node: _node, platform, mut browser, .. } = start_on(platform, None).await;
    let (_, review) = browser.fill("/budgets", &[("claim_rate", "7")]).await;
    let confirmation = fields(&review, "/commit");
    platform.set(true);
    let (status, page) = browser.post("/commit", &confirmation).await;
    platform.set(false);
    assert!(status == 503 && text(&page).contains("The outcome is unknown"), "{page}");
    let repeat = fields(&page, "/commit");
    assert_eq!(repeat, confirmation);
    assert_eq!(in_force(&platform.inner).await.0, if takes_effect { 2 } else { 1 });
    for _ in 0..2 {
        let (status, result) = browser.post("/commit", &repeat).await;
        assert!(status == 200 && text(&result).contains("Revision 2 is in force"), "{result}");
    }
    let (revision, after) = in_force(&platform.inner).await;
    assert_eq!((revision, after.budgets.claim_rate), (2, 7));
}

/// Guards against another site that makes an operator's browser change the document.
#[test_case("sec-fetch-site", "cross-site"; "other site")]
#[test_case("sec-fetch-site", "same-site"; "other port or host of the site")]
#[test_case("origin", "http://127.0.0.1:1"; "other port")]
#[test_case("origin", "null"; "hidden origin")]
#[test_case("form", ""; "no form token")]
#[test_case("form", "0000000000000000000000000000000000000000000000000000000000000000"; "wrong form token")]
#[test_case("cookie", ""; "no session")]
#[tokio::test]
async fn a_cross_site_post_is_refused(part: &str, value: &str) {
    let Setup { node: _node, platform, mut browser, .. } = start(None).await;
    let (_, review) = browser.fill("/budgets", &[("claim_rate", "7")]).await;
    let original = fields(&review, "/commit");
    let mut sent = original.clone();
    let mut req = Request::post("/commit");
    let cookie = browser.cookie.clone();
    match part {
        "form" => {
            sent.insert("form".into(), value.into());
        }
        "cookie" => browser.cookie = value.into(),
        header => req = req.header(header, value),
    }
    let (status, _) = browser.send(req, Body::from(encode(&sent))).await;
    assert_eq!((status, in_force(&platform).await.0), (403, 1));
    // The same post is accepted without the one fault.
    browser.cookie = cookie;
    assert_eq!(browser.post("/commit", &original).await.0, 200);
}

/// Guards against a name under an attacker's control that resolves to the loopback address.
#[test_case("evil.example", 403)]
#[test_case("localhost:80", 200)]
#[test_case("[::1]:80", 200)]
#[tokio::test]
async fn a_foreign_host_name_is_refused_without_a_token(host: &str, want: u16) {
    let setup = start(None).await;
    let answer = client::get(setup.node.addresses().operator, host, "/services").await;
    assert_eq!(answer.status, want);
}

/// Guards against pages or status that are open although a token is configured.
#[tokio::test]
async fn a_configured_token_is_required() {
    let Setup { node, mut browser, .. } = start(Some(TOKEN)).await;
    let addr = node.addresses().operator;
    for token in [None, Some("wrong"), Some("")] {
        let denied = status::fetch(addr, token).await;
        assert!(matches!(denied, Err(StatusError::Denied { .. })), "{denied:?}");
    }
    assert_eq!(status::fetch(addr, Some(TOKEN)).await.expect("a status").revision, 1);
    for path in ["/", "/services", "/services/orders", "/centres", "/budgets", "/versions"] {
        let (status, page) = browser.get(path).await;
        assert!(status == 303 && !page.contains("orders"), "{path}");
    }
    for path in ["/commit", "/budgets", "/edit", "/logout"] {
        assert_eq!(browser.post(path, &Fields::new()).await.0, 401, "{path}");
    }
    // The cookie that a visitor has been given is no login.
    let (status, page) = browser.get("/login").await;
    assert_eq!(status, 200);
    let mut login = fields(&page, "/login");
    login.insert("token".into(), "wrong".into());
    let (status, page) = browser.post("/login", &login).await;
    assert!(status == 401 && error(&page, "token").is_some(), "{page}");
    assert_eq!(browser.get("/services").await.0, 303);

    let visitor = browser.cookie.clone();
    browser.cookie = visitor.replacen("=0.", "=1.", 1);
    assert_ne!(browser.cookie, visitor);
    assert_eq!(browser.get("/services").await.0, 303);
    browser.cookie = visitor;

    login.insert("token".into(), TOKEN.into());
    assert_eq!(browser.post("/login", &login).await.0, 303);
    let (status, page) = browser.get("/services").await;
    assert!(status == 200 && page.contains("orders"), "{page}");
    let logout = fields(&page, "/logout");
    browser.post("/logout", &logout).await;
    assert_eq!(browser.get("/services").await.0, 303);
}

/// Guards against a cookie that scripts or other sites can use.
#[tokio::test]
async fn the_cookie_is_kept_from_scripts_and_other_sites() {
    let setup = start(None).await;
    let answer = client::get(setup.node.addresses().operator, "", "/").await;
    let cookie = answer.header(header::SET_COOKIE.as_str());
    assert!(cookie.contains("; HttpOnly") && cookie.contains("; SameSite=Strict"), "{cookie}");
    assert!(answer.header("content-security-policy").starts_with("default-src 'none'"));
    assert_eq!(answer.header("cache-control"), "no-store");
}

/// Guards against markup in names or values that becomes part of a page.
#[test_case("/services?q=%3Cscript%3E%22"; "search")]
#[test_case("/versions?q=%3Cscript%3E%22"; "search for versions")]
#[tokio::test]
async fn markup_in_a_query_is_escaped(path: &str) {
    let mut setup = start(None).await;
    let (status, page) = setup.browser.get(path).await;
    assert!(status == 200 && !page.contains("<script>") && page.contains("&#60;script&#62;&#34;"));
}

/// Guards against markup in a refused value that becomes part of the page when it is shown again.
#[test_case("/new-service", "name"; "service name")]
#[test_case("/services/orders", "routes[0].prefix"; "prefix")]
#[test_case("/services/orders", "routes[0].method"; "method")]
#[test_case("/versions/orders", "versions[0].name"; "version name")]
#[test_case("/versions/orders", "versions[1].start_ms"; "time")]
#[test_case("/centres", "centres[2].name"; "data centre")]
#[test_case("/budgets", "claim_rate"; "number")]
#[tokio::test]
async fn markup_in_a_field_is_escaped(path: &str, field: &str) {
    let mut setup = start(None).await;
    let value = "\"><script>alert('x')</script>";
    let (status, page) = setup.browser.fill(path, &[(field, value)]).await;
    assert_eq!(status, 422);
    assert!(!page.contains("<script") && !page.contains("'x'"), "{page}");
    assert_eq!(fields(&page, path)[field], value);
}

/// Guards against a prefix that may contain markup and is shown in tables of changes.
#[tokio::test]
async fn markup_in_a_valid_value_is_escaped() {
    let mut setup = start(None).await;
    let entered = [("routes[0].prefix", "/<b>&\"")];
    let (status, page) = setup.browser.fill("/services/orders", &entered).await;
    assert!(status == 200 && !page.contains("<b>") && page.contains("/&#60;b&#62;&#38;"), "{page}");
}

/// Guards against a field without a label, or with the id of another.
#[test_case("/services/orders")]
#[test_case("/new-service")]
#[test_case("/versions/orders")]
#[test_case("/centres")]
#[test_case("/budgets")]
#[tokio::test]
async fn every_field_has_its_own_label(path: &str) {
    let mut setup = start(None).await;
    let (_, page) = setup.browser.get(path).await;
    let shown = page.split('<').filter(|tag| {
        tag.starts_with("select ") || (tag.starts_with("input ") && !tag.contains("\"hidden\""))
    });
    for tag in shown {
        let (_, rest) = tag.split_once(" id=\"").unwrap_or_else(|| panic!("{tag}"));
        let (id, _) = rest.split_once('"').expect("an id");
        assert_eq!(page.matches(&format!("id=\"{id}\"")).count(), 1, "{id}");
        assert_eq!(page.matches(&format!("<label for=\"{id}\">")).count(), 1, "{id}");
    }
}

/// Guards against a status that is wrong, or that the program prints in another way than the node says.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_status_names_what_the_node_knows() {
    let setup = start(Some(TOKEN)).await;
    let addr = setup.node.addresses().operator;
    let status = status::fetch(addr, Some(TOKEN)).await.expect("a status");
    assert_eq!(status.node, setup.node.id().to_string());
    assert_eq!(status.addresses, setup.node.addresses());
    assert_eq!((status.service.as_str(), status.centre.as_str()), ("catalogue", "oax-1"));
    assert_eq!((status.revision, status.calls, status.works), (1, 0, 0));
    assert!(status.revision_age_ms.is_some() && status.seat == Some(0));
    assert_eq!((status.admission.slots, status.measuring.budget), (12, 4_096));
    let [group] = status.services.as_slice() else { panic!("{status:?}") };
    let member = &group.members[0];
    assert_eq!((&member.id, member.state), (&status.node, MemberState::Alive));
    assert!(member.cold && !member.leaving && !member.ejected);

    let run = |args: &'static [&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_poplarbarrow"));
        command.args(["status", "--node", &addr.to_string(), "--token", TOKEN]).args(args);
        tokio::task::spawn_blocking(move || command.output().expect("the program runs").stdout)
    };
    let json = run(&["--json"]).await.expect("an output");
    let printed: status::Status = serde_json::from_slice(&json).expect("a status");
    assert_eq!((printed.node, printed.services), (status.node.clone(), status.services.clone()));
    let table = String::from_utf8(run(&[]).await.expect("an output")).expect("text");
    assert!(table.lines().any(|line| line == format!("node         {}", status.node)), "{table}");
    let row = ["catalogue", &status.node, "1", "oax-1", "0", "alive,", "cold"];
    assert!(table.lines().any(|line| line.split_whitespace().eq(row)), "{table}");
}
