use super::*;
use crate::teams::{KeyDigest, Team};

fn config_with_teams(version: u64, keys: &[&str]) -> Config {
    let team = |(index, key): (usize, &&str)| Team {
        name: format!("team-{index}").into(),
        keys: vec![KeyDigest::of(key.as_bytes())],
        priority: (index == 0).then_some(7),
    };
    let mut config = config(version);
    config.teams = Some(keys.iter().enumerate().map(team).collect());
    // The route `own` is public.
    config.routes[3].is_public = true;
    config
}

fn set_config(node: &mut TestNode, config: Config) {
    node.apply(Event::Config(Arc::new(RouteTable::new(config))));
}

fn call_with_key(node: &mut TestNode, path: &str, key: Option<&str>) -> Vec<Effect> {
    let head = CallHead {
        id: "id".into(),
        host: "shop".into(),
        path: path.into(),
        timeout: None,
        can_resend: true,
        key: key.map(|key| KeyDigest::of(key.as_bytes())),
        fingerprint: RequestHash::of([path.as_bytes()]),
    };
    let call = node.calls.insert(());
    node.apply(Event::Call(call, CallEvent::Arrived(head)))
}

fn status(effects: &[Effect]) -> Option<u16> {
    refusal(effects).map(|refusal| refusal.status().as_u16())
}

fn team(effects: &[Effect]) -> Option<String> {
    let identity = attempt(effects)?.identity;
    identity.team.map(|team| team.name.to_string())
}

/// Guards against a request that runs without a key, and against a caller that gives up on a key which a newer
/// configuration may hold.
#[test]
fn an_unknown_key_is_refused_for_good_only_by_the_configuration_in_force() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    set_config(&mut node, config_with_teams(2, &["k0", "k1"]));
    assert_eq!(team(&call_with_key(&mut node, "/read/1", Some("k1"))).as_deref(), Some("team-1"));
    for key in [None, Some("k9")] {
        assert_eq!(status(&call_with_key(&mut node, "/read/1", key)), Some(401));
        // A missing route says nothing about keys.
        assert_eq!(status(&call_with_key(&mut node, "/unknown/1", key)), Some(404));
    }
    node.apply(Event::ConfigUnreadable);
    for key in [None, Some("k9")] {
        let refusal = refusal(&call_with_key(&mut node, "/read/1", key)).expect("a refusal");
        assert_eq!((refusal.reason, refusal.status().as_u16()), (Reason::StaleConfig, 503));
        assert!(refusal.retry_after.is_some() && !refusal.may_have_run);
    }
    assert!(attempt(&call_with_key(&mut node, "/read/1", Some("k1"))).is_some());
    node.reducer = Reducer::new(local_node(), 7);
    assert_eq!(status(&call_with_key(&mut node, "/read/1", Some("k1"))), Some(503));
}

/// Guards against keys that take effect later than their configuration.
#[test]
fn keys_change_with_the_configuration() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    assert!(attempt(&call_with_key(&mut node, "/read/1", None)).is_some());
    set_config(&mut node, config_with_teams(2, &["k0"]));
    assert!(attempt(&call_with_key(&mut node, "/read/1", Some("k0"))).is_some());
    assert_eq!(status(&call_with_key(&mut node, "/read/1", Some("k1"))), Some(401));
    set_config(&mut node, config_with_teams(3, &["k1"]));
    assert!(attempt(&call_with_key(&mut node, "/read/1", Some("k1"))).is_some());
    assert_eq!(status(&call_with_key(&mut node, "/read/1", Some("k0"))), Some(401));
    // An older configuration does not bring a removed key back.
    set_config(&mut node, config_with_teams(2, &["k0"]));
    assert_eq!(status(&call_with_key(&mut node, "/read/1", Some("k0"))), Some(401));
}

/// Guards against a team whose requests have the priority of their route.
#[test]
fn the_priority_of_a_team_replaces_that_of_the_route() {
    let mut node = TestNode::new(&THREE_MEMBERS).with_target();
    set_config(&mut node, config_with_teams(2, &["k0", "k1"]));
    let mut priority = |path, key| {
        let effects = call_with_key(&mut node, path, key);
        attempt(&effects).expect("an attempt").spec.priority
    };
    assert_eq!(priority("/read/1", Some("k0")), 7);
    assert_eq!(priority("/read/1", Some("k1")), 0);
    assert_eq!(priority("/own/1", Some("k0")), 7);
    assert_eq!(priority("/own/1", None), 0);
}

/// Guards against a node of an earlier build from which a node learns a configuration without its teams: all requests
/// would run, or good keys would be refused for good.
#[test]
fn a_configuration_of_an_earlier_build_leaves_the_teams() {
    let mut node = TestNode::new(&THREE_MEMBERS);
    set_config(&mut node, config_with_teams(2, &["k0"]));
    node.apply(Event::ConfigWithoutAccess(config(3)));
    assert_eq!(node.reducer.config_version(), 3);
    assert!(node.reducer.config_newer_than(0).is_some_and(|(_, access)| access.is_none()));
    assert!(attempt(&call_with_key(&mut node, "/read/1", Some("k0"))).is_some());
    assert_eq!(status(&call_with_key(&mut node, "/read/1", Some("k1"))), Some(503));
    assert_eq!(status(&call_with_key(&mut node, "/read/1", None)), Some(503));
    // The same version with its teams takes the place of the one without them.
    set_config(&mut node, config_with_teams(3, &["k1"]));
    assert!(attempt(&call_with_key(&mut node, "/read/1", Some("k1"))).is_some());
    assert_eq!(status(&call_with_key(&mut node, "/read/1", Some("k0"))), Some(401));
    node.apply(Event::ConfigWithoutAccess(config(3)));
    assert!(node.reducer.config_newer_than(0).is_some_and(|(_, access)| access.is_some()));
}
