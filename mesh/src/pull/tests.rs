use super::{PullAnswer, PullQuery};
use crate::{
    config::Config,
    keys::MemberId,
    replica::{Delta, Position, Replica, Topic},
    store::Item,
    teams::{Access, KeyDigest, Team},
};

fn replica(era: u64) -> Replica {
    let mut replica = Replica::default();
    let item = Item { key: "a".into(), value: "x".into(), revision: 7 };
    replica.apply_list(vec![item], Position { era, revision: 8 });
    replica
}

/// Guards against a query whose eras or version are lost on the way.
#[test]
fn a_query_survives_formatting() {
    let known = [1, 2, 3].map(|n| Position { era: n, revision: 10 * n });
    let query = PullQuery::new(MemberId(5), &known, 17);
    assert_eq!(query.format(), "10,20,30,1,2,3,17,5");
    assert_eq!(PullQuery::parse(&query.format()), query);
    assert_eq!(query.position(Topic::Status, &replica(9)), known[2]);
}

/// Guards against nodes of two builds that cannot pull from each other.
#[test]
fn messages_of_an_earlier_build_are_read() {
    let query = PullQuery::parse("10,20,30");
    assert_eq!(query.config_version, None);
    assert_eq!(query.position(Topic::Orders, &replica(4)), Position { era: 4, revision: 20 });
    let mut delta = replica(4).delta_since(Topic::Orders, Position::default());
    let bytes = postcard::to_stdvec(&vec![&delta]).expect("a message");
    delta.era = None;
    let answer = PullAnswer::decode(&bytes).expect("an answer");
    assert_eq!(answer, PullAnswer { deltas: vec![delta], config: None, access: None });
}

/// Guards against an answer that a node of an earlier build cannot read, or that loses the eras or the configuration.
#[test]
fn an_answer_survives_encoding() {
    let mut delta = replica(4).delta_since(Topic::Orders, Position::default());
    let config = Config { version: 17, ..Config::default() };
    let team = Team { name: "a".into(), keys: vec![KeyDigest::of(b"k")], priority: Some(1) };
    let access = Access::of(&Config { teams: Some(vec![team]), ..Config::default() });
    let deltas = vec![delta.clone()];
    let answer = PullAnswer { deltas, config: Some(config), access: Some(access) };
    let bytes = answer.clone().encode();
    // An earlier build writes nothing behind the extension.
    let without = PullAnswer { access: None, ..answer.clone() };
    let length = without.clone().encode().len() - 1;
    assert_eq!(PullAnswer::decode(&bytes[..length]), Some(without));
    let earlier: Vec<Delta> = postcard::from_bytes(&bytes).expect("deltas");
    delta.era = None;
    assert_eq!(earlier, [delta]);
    assert_eq!(PullAnswer::decode(&bytes), Some(answer));
}
