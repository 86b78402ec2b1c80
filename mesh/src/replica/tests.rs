use bytes::Bytes;

use super::{MAX_REMOVED_KEYS, Position, Replica, Topic};
use crate::store::{Change, Item, Update};

fn item(key: &str, revision: u64) -> Item {
    Item { key: key.into(), value: Bytes::from(revision.to_string()), revision }
}

fn removed(key: &str, revision: u64) -> Change {
    Change::Removed { key: key.into(), revision }
}

fn at(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

fn listed(items: &[Item], revision: u64) -> Replica {
    let mut replica = Replica::default();
    replica.apply_list(items.to_vec(), at(1, revision));
    replica.set_first_era(1);
    replica
}

/// A pull must make both replicas equal.
#[test]
fn a_pull_brings_a_replica_up_to_date() {
    let mut watcher = listed(&[item("a", 1), item("b", 2)], 2);
    let mut other = watcher.clone();
    watcher.apply_changes(vec![Change::Put(item("c", 3)), removed("a", 4)], at(1, 4));
    let update = other.merge(watcher.delta_since(Topic::Orders, other.position()));
    let expected = vec![removed("a", 4), Change::Put(item("c", 3))];
    assert_eq!(update, Some(Update::Changed(expected)));
    assert_eq!(other.position(), at(1, 4));
    assert_eq!(other.merge(watcher.delta_since(Topic::Orders, at(1, 0))), None);
}

/// A stale read must not revert a configuration.
#[test]
fn an_older_list_has_no_effect() {
    let mut replica = listed(&[item("a", 5)], 5);
    assert_eq!(replica.apply_list(vec![item("a", 3)], at(1, 3)), None);
    assert_eq!(replica.position(), at(1, 5));
    assert_eq!(replica.apply_changes(vec![Change::Put(item("a", 4))], at(1, 5)), None);
}

/// Keys that were removed while the history was compacted must disappear with the next list.
#[test]
fn a_new_list_removes_what_is_missing() {
    let mut replica = listed(&[item("a", 1), item("b", 2)], 2);
    let update = replica.apply_list(vec![item("b", 2)], at(1, 9));
    assert_eq!(update, Some(Update::Listed(vec![item("b", 2)])));
    let mut other = listed(&[item("a", 1), item("b", 2)], 2);
    let update = other.merge(replica.delta_since(Topic::Members, at(1, 2)));
    assert_eq!(update, Some(Update::Changed(vec![removed("a", 9)])));
}

/// Memory must not grow with every process that has ever started, and a node that is so far behind
/// that removals were pruned must receive the whole topic.
#[test]
fn pruned_removals_lead_to_a_full_list() {
    let mut watcher = listed(&[item("a", 1)], 1);
    let mut behind = watcher.clone();
    for revision in 2..MAX_REMOVED_KEYS as u64 + 100 {
        watcher.apply_changes(vec![removed(&format!("k{revision}"), revision)], at(1, revision));
    }
    watcher.apply_changes(vec![removed("a", 5_000)], at(1, 5_000));
    assert!(watcher.entries.len() <= MAX_REMOVED_KEYS + 1);
    assert_eq!(
        behind.merge(watcher.delta_since(Topic::Members, at(1, 1))),
        Some(Update::Listed(Vec::new()))
    );
}

/// Guards against a confirmed change that is ignored because its revision is below one that the store lost.
#[test]
fn a_list_of_a_newer_era_replaces_everything() {
    let mut replica = listed(&[item("a", 5), item("b", 9)], 9);
    assert_eq!(
        replica.apply_list(vec![item("a", 3)], at(2, 4)),
        Some(Update::Listed(vec![item("a", 3)]))
    );
    assert_eq!(replica.position(), at(2, 4));
    let update = replica.apply_changes(vec![Change::Put(item("b", 5))], at(2, 5));
    assert_eq!(update, Some(Update::Changed(vec![Change::Put(item("b", 5))])));
}

/// Guards against a delayed answer of before the store's return that reverts what it holds since.
#[test]
fn answers_of_an_older_era_have_no_effect() {
    let earlier = listed(&[item("a", 9)], 9);
    let mut replica = Replica::default();
    replica.apply_list(vec![item("a", 3)], at(2, 4));
    assert_eq!(replica.apply_list(vec![item("a", 9)], at(1, 9)), None);
    assert_eq!(replica.apply_changes(vec![Change::Put(item("a", 9))], at(1, 9)), None);
    assert_eq!(replica.merge(earlier.delta_since(Topic::Orders, at(0, 0))), None);
    assert_eq!((replica.position(), replica.items()), (at(2, 4), vec![item("a", 3)]));
}

/// Guards against changes that are missed because the watch began at a revision of the earlier era.
#[test]
fn changes_of_a_newer_era_do_not_extend_an_older_replica() {
    let mut replica = listed(&[item("a", 5)], 5);
    assert_eq!(replica.apply_changes(vec![Change::Put(item("c", 8))], at(2, 8)), None);
    assert_eq!(replica.position(), at(1, 5));
}

/// Guards against a node that keeps keys of the earlier era after it pulled from one that is further.
#[test]
fn a_pull_across_eras_brings_the_whole_topic() {
    let mut watcher = listed(&[item("a", 5), item("b", 9)], 9);
    let mut other = watcher.clone();
    watcher.apply_list(vec![item("a", 3)], at(2, 4));
    watcher.apply_changes(vec![Change::Put(item("c", 12))], at(2, 12));
    let update = other.merge(watcher.delta_since(Topic::Orders, other.position()));
    assert_eq!(update, Some(Update::Listed(vec![item("a", 3), item("c", 12)])));
    assert_eq!(other.position(), at(2, 12));
}

/// Guards against a node of a build that does not know eras, which spreads what the store lost.
#[test]
fn a_delta_without_an_era_is_of_the_first_one() {
    let mut earlier = listed(&[item("a", 9)], 9);
    let mut replica = listed(&[item("a", 5)], 5);
    let mut delta = earlier.delta_since(Topic::Orders, replica.position());
    delta.era = None;
    let put = Update::Changed(vec![Change::Put(item("a", 9))]);
    assert_eq!(replica.merge(delta), Some(put));
    replica.apply_list(vec![item("a", 3)], at(2, 4));
    earlier.apply_changes(vec![Change::Put(item("a", 10))], at(1, 10));
    let mut delta = earlier.delta_since(Topic::Orders, at(0, 0));
    delta.era = None;
    assert_eq!(replica.merge(delta), None);
}

/// Guards against a stale list that hides what was written before it was read.
#[test]
fn a_preliminary_list_has_no_position() {
    let mut replica = Replica::default();
    let update = replica.apply_preliminary(vec![item("a", 9), item("b", 8)]);
    assert_eq!(update, Some(Update::Listed(vec![item("a", 9), item("b", 8)])));
    assert_eq!(replica.position(), Position::default());
    let other = listed(&[item("a", 3)], 4);
    let update = replica.merge(other.delta_since(Topic::Members, replica.position()));
    assert_eq!(update, Some(Update::Listed(vec![item("a", 3)])));
    assert_eq!(replica.position(), at(1, 4));
    assert_eq!(replica.apply_preliminary(vec![item("b", 8)]), None);
}

/// Guards against members from an earlier build that count as older than those of this one, because a node has not
/// read them itself yet.
#[test]
fn a_first_delta_without_an_era_is_of_the_first_one() {
    let mut replica = Replica::default();
    replica.apply_preliminary(vec![item("a", 9)]);
    replica.set_first_era(1);
    let mut delta = listed(&[item("a", 9)], 9).delta_since(Topic::Members, replica.position());
    delta.era = None;
    assert!(replica.merge(delta).is_some());
    assert_eq!(replica.position(), at(1, 9));
}

/// Guards against an order that stays in force for ever at a node that pulls from one that started after its removal.
#[test]
fn a_removal_before_a_list_reaches_a_node_behind() {
    let at = |revision| Position { era: 1, revision };
    let mut behind = Replica::default();
    behind.apply_list(vec![item("a", 1), item("b", 2)], at(2));
    let mut started = Replica::default();
    started.apply_list(vec![item("a", 1), item("c", 4)], at(5));
    let mut last = behind.clone();
    let update = behind.merge(started.delta_since(Topic::Orders, behind.position()));
    let expected = vec![Change::Put(item("c", 4)), removed("b", 5)];
    assert_eq!(update, Some(Update::Changed(expected)));
    last.merge(behind.delta_since(Topic::Orders, last.position()));
    assert_eq!(last.items(), started.items());
}
