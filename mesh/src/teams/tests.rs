use http::{HeaderMap, HeaderName, HeaderValue, header};
use test_case::test_case;

use super::{Access, Identity, KeyDigest, KnownTeam, Team, read_key, read_team, remove_keys};
use crate::config::{Config, Route, RouteTable};

const TEAM: HeaderName = HeaderName::from_static("x-team");

fn headers(authorizations: &[&str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in authorizations {
        let value = HeaderValue::from_bytes(value.as_bytes()).expect("a valid value");
        headers.append(header::AUTHORIZATION, value);
    }
    headers
}

fn route(name: &str, is_public: bool) -> Route {
    Route {
        name: name.into(),
        host: "shop".into(),
        prefix: "/".into(),
        is_idempotent: true,
        timeout: Default::default(),
        objective: Default::default(),
        priority: 3,
        attempts: 1,
        shares: Vec::new(),
        is_public,
    }
}

fn config(teams: Option<Vec<Team>>) -> Config {
    let routes = vec![route("closed", false), route("open", true)];
    Config { version: 1, routes, teams, ..Config::default() }
}

fn teams() -> Vec<Team> {
    let team = |name: &str, keys: &[&str], priority| Team {
        name: name.into(),
        keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
        priority,
    };
    vec![team("a", &["k1", "k2"], Some(0)), team("b", &["k3"], None)]
}

/// Guards against a request that runs without the key of a team, against one that is taken for that of another team, and
/// against a key at a target.
#[test_case(&["Token k1"], Some("a"), &[]; "a key")]
#[test_case(&["Token k2"], Some("a"), &[]; "another key of the team")]
#[test_case(&["Token k3"], Some("b"), &[]; "a key of another team")]
#[test_case(&["tOKEN k3"], Some("b"), &[]; "letter case of the scheme")]
#[test_case(&[" Token \t k3  "], Some("b"), &[]; "whitespace")]
#[test_case(&["Token\tk3"], Some("b"), &[]; "a tab")]
#[test_case(&["Token K3"], None, &[]; "letter case of the key")]
#[test_case(&["Token k3 k3"], None, &[]; "two words")]
#[test_case(&["Token k1, Token k1"], None, &[]; "a list")]
#[test_case(&["Token k"], None, &[]; "the start of a key")]
#[test_case(&["Token k11"], None, &[]; "a longer key")]
#[test_case(&["Token"], None, &[]; "no key")]
#[test_case(&["Token \u{e9}"], None, &[]; "a key that is not ASCII")]
#[test_case(&[], None, &[]; "no field")]
#[test_case(&["Bearer k1"], None, &["Bearer k1"]; "another scheme")]
#[test_case(&["Tokens k1"], None, &["Tokens k1"]; "a longer scheme")]
#[test_case(&["k1"], None, &["k1"]; "a key without a scheme")]
#[test_case(&["Basic x", "Token k1", "Basic y"], Some("a"), &["Basic x", "Basic y"]; "among other schemes")]
#[test_case(&["Token k1", "token k1"], Some("a"), &[]; "the same key twice")]
#[test_case(&["Token k1", "Token k2"], None, &[]; "two keys of a team")]
#[test_case(&["Token k1", "Token k3"], None, &[]; "keys of two teams")]
#[test_case(&["Token k1", "Token bad"], None, &[]; "a good and a bad key")]
fn a_key_decides(values: &[&str], team: Option<&str>, rest: &[&str]) {
    let table = RouteTable::new(config(Some(teams())));
    let [closed, open] = &table.config.routes[..] else { panic!("two routes") };
    let mut headers = headers(values);
    let key = read_key(&headers);
    let name = |identity: &Identity| identity.team.as_ref().map(|team| team.name.to_string());
    let identity = table.identify(closed, key);
    assert_eq!(identity.as_ref().and_then(name).as_deref(), team);
    assert_eq!(identity.is_some(), team.is_some());
    // Without a key, a public route is open and nobody's.
    let identity = table.identify(open, key).expect("a public route");
    assert_eq!(name(&identity).as_deref(), team);
    headers.insert(TEAM, HeaderValue::from_static("forged"));
    identity.apply(&mut headers, &TEAM);
    assert_eq!(read_team(&headers, &TEAM).as_deref(), team);
    let left: Vec<_> = headers.get_all(header::AUTHORIZATION).iter().cloned().collect();
    assert_eq!(left, rest);
}

/// Guards against a deployment without teams that asks for keys or takes `Authorization` from its targets, and against a
/// forged team there.
#[test]
fn without_teams_only_a_forged_team_is_removed() {
    let table = RouteTable::new(config(None));
    let mut headers = headers(&["Token k1"]);
    headers.append(TEAM, HeaderValue::from_static("forged"));
    headers.append(TEAM, HeaderValue::from_static("again"));
    let identity = table.identify(&table.config.routes[0], read_key(&headers));
    assert_eq!(identity, Some(Identity::default()));
    identity.expect("an identity").apply(&mut headers, &TEAM);
    assert_eq!((headers.len(), headers.contains_key(header::AUTHORIZATION)), (1, true));
    remove_keys(&mut headers);
    assert!(headers.is_empty());
}

/// Guards against a table that has lost all its teams and then admits everybody.
#[test]
fn an_empty_table_admits_nobody() {
    let table = RouteTable::new(config(Some(Vec::new())));
    assert_eq!(table.identify(&table.config.routes[0], Some(KeyDigest::of(b"k1"))), None);
}

/// Guards against a name that is cut or changed on its way to the target.
#[test]
fn a_name_that_is_not_ascii_reaches_the_target() {
    let team = Some(KnownTeam { name: "t\u{e9}am".into(), priority: None });
    let mut headers = HeaderMap::new();
    Identity { team, hides_key: true }.apply(&mut headers, &TEAM);
    assert_eq!(read_team(&headers, &TEAM).as_deref(), Some("t\u{e9}am"));
}

/// Guards against a key in a debug form.
#[test]
fn a_digest_shows_nothing() {
    assert_eq!(format!("{:?}", KeyDigest::of(b"k1")), "KeyDigest");
}

/// Guards against teams or public routes that are lost between nodes.
#[test]
fn access_is_restored() {
    let full = config(Some(teams()));
    let mut plain = full.clone();
    plain.teams = None;
    plain.routes[1].is_public = false;
    let mut inheriting = plain.clone();
    Access::of(&full).restore(&mut plain);
    assert_eq!(plain, full);
    inheriting.inherit_access(&full);
    assert_eq!(inheriting, full);
}
