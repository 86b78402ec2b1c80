use super::*;
use crate::{directory::RecordBatch, event::Found};

fn record(id: u64, centre: &str) -> MemberRecord {
    MemberRecord {
        id: MemberId(id),
        address: address(id),
        centre: centre.into(),
        service: "stock".into(),
    }
}

fn status_with_record(record: &MemberRecord) -> Event {
    let status =
        NodeStatus { record: Some(record.clone()), ..status_from(record.id.0, idle_load()) };
    Event::Status { status, source: record.address }
}

/// Returns a node with this id that has started and knows no other one.
fn node_with_id(id: u64) -> TestNode {
    let local = LocalNode { id: MemberId(id), address: address(id), ..local_node() };
    let mut node = TestNode::new(&[]);
    node.reducer = Reducer::new(local, 7);
    node.reducer.start(&mut Vec::new());
    node.apply(Event::Store { is_reachable: true });
    node
}

/// Returns a node that has started and found the store empty, and then heard of these members.
fn node_that_heard(members: &[(u64, &str)]) -> TestNode {
    let mut node = TestNode::new(&[]);
    for &(id, centre) in members {
        node.apply(status_with_record(&record(id, centre)));
    }
    node
}

fn batch(effects: Vec<Effect>) -> Option<RecordBatch> {
    effects.into_iter().find_map(|effect| match effect {
        Effect::WriteRecords(batch) => Some(batch),
        _ => None,
    })
}

/// Completes the start of a node and returns the batch that it writes.
fn sync(node: &mut TestNode) -> Option<RecordBatch> {
    batch(node.apply(Event::Synced(Found::Members)))
}

/// Lets a tick pass and returns the batch that is written then.
fn batch_of_tick(node: &mut TestNode) -> Option<RecordBatch> {
    node.now += Duration::from_millis(100);
    batch(node.apply(Event::Timer(Timer::Tick)))
}

/// Lets some time pass in which members speak, and returns the batches that are written, without an answer of the store.
fn batches_after(node: &mut TestNode, time: Duration, speaking: &[u64]) -> Vec<RecordBatch> {
    let end = node.now + time;
    let mut batches = Vec::new();
    while node.now < end {
        for &id in speaking {
            node.receive_status(id, idle_load());
        }
        if let Some(batch) = batch_of_tick(node) {
            node.apply(Event::RecordsUnwritten);
            batches.push(batch);
        }
    }
    batches
}

fn ids(records: &[MemberRecord]) -> Vec<u64> {
    let mut ids: Vec<u64> = records.iter().map(|record| record.id.0).collect();
    ids.sort_unstable();
    ids
}

/// Guards against two or more calls to the store for each process that starts: the first node of a data centre writes
/// the records of all, and the others none.
#[test]
fn one_node_records_the_members_of_its_data_centre() {
    let mut node = node_that_heard(&[(2, "a"), (3, "a"), (4, "b")]);
    let batch = sync(&mut node).expect("a batch");
    assert_eq!((ids(&batch.puts), batch.removes.len()), (vec![1, 2, 3], 0));
    assert_eq!(batch_of_tick(&mut node), None, "one write at a time");
    node.apply(Event::RecordsWritten(batch));
    assert!(batches_after(&mut node, Duration::from_secs(4), &[2, 3, 4]).is_empty());
    let mut other = node_with_id(5);
    other.apply(status_with_record(&record(2, "a")));
    assert_eq!(sync(&mut other), None);
    assert!(batches_after(&mut other, Duration::from_secs(3), &[2]).is_empty());
}

/// Guards against a node that no later one finds, because its data centre has no recorder that writes its record.
#[test]
fn a_node_that_nobody_records_records_itself() {
    let mut node = node_with_id(5);
    node.apply(status_with_record(&record(2, "a")));
    assert_eq!(sync(&mut node), None);
    assert!(batches_after(&mut node, Duration::from_millis(7_500), &[2]).is_empty());
    let batches = batches_after(&mut node, Duration::from_secs(2), &[2]);
    assert_eq!(batches.first().map(|batch| ids(&batch.puts)), Some(vec![5]));
}

/// Guards against records of ended processes that stay in the store, because nothing but the lease of the recorder
/// removes them.
#[test]
fn records_of_ended_processes_are_removed() {
    let mut node = node_that_heard(&[]);
    let members = [record(2, "a"), record(3, "a"), record(4, "a"), record(6, "b")];
    node.apply(Event::Members([&members[..], &[local_node().record()]].concat()));
    for id in [2, 3, 4, 6] {
        node.receive_status(id, idle_load());
    }
    assert_eq!(sync(&mut node), None);
    let successor = MemberRecord { address: address(3), ..record(9, "a") };
    node.apply(status_with_record(&successor));
    let stopping = NodeStatus { is_stopping: true, ..status_from(2, idle_load()) };
    node.apply(Event::Status { status: stopping, source: address(2) });
    let batch = batch_of_tick(&mut node).expect("a batch");
    assert_eq!((ids(&batch.puts), ids(&batch.removes)), (vec![9], vec![2, 3]));
    node.apply(Event::RecordsWritten(batch));
    let batches = batches_after(&mut node, Duration::from_secs(18), &[9, 6]);
    assert!(batches.is_empty(), "a member that is silent for a short time: {batches:?}");
    let batches = batches_after(&mut node, Duration::from_secs(4), &[9]);
    assert_eq!(batches.first().map(|batch| ids(&batch.removes)), Some(vec![4]));
}

/// Guards against members that later nodes do not find after the lease of their recorder has ended, and against a wait for
/// the next list of the store.
#[test]
fn records_of_a_lost_lease_are_written_again_at_once() {
    let mut node = node_that_heard(&[(2, "a")]);
    let batch = sync(&mut node).expect("a batch");
    node.apply(Event::RecordsWritten(batch));
    node.apply(Event::RecordLeaseLost);
    let batch = batch_of_tick(&mut node).expect("a batch");
    assert_eq!(ids(&batch.puts), [1, 2]);
}

/// Guards against a write that is never tried again, and against a transaction that is larger than the store accepts.
#[test]
fn batches_are_bounded_and_retried() {
    let members: Vec<(u64, &str)> = (2..60).map(|id| (id, "a")).collect();
    let mut node = node_that_heard(&members);
    let mut recorded = Vec::new();
    let mut next = sync(&mut node);
    while let Some(batch) = next {
        assert!(batch.len() <= 32);
        node.apply(Event::RecordsUnwritten);
        assert_eq!(batch_of_tick(&mut node), None, "a pause after a failure");
        node.now += Duration::from_millis(500);
        let batch = batch_of_tick(&mut node).expect("another try");
        recorded.extend(ids(&batch.puts));
        node.apply(Event::RecordsWritten(batch));
        next = batch_of_tick(&mut node);
    }
    recorded.sort_unstable();
    assert_eq!(recorded, (1..60).collect::<Vec<u64>>());
}

/// Guards against a deployment whose nodes all record themselves at its start, because each knows only the first one: that
/// one records them all, whatever the order of the ids.
#[test]
fn the_first_node_of_a_deployment_records_all() {
    let mut node = node_with_id(5);
    let own = batch(node.apply(Event::Synced(Found::Nobody))).expect("a batch");
    assert_eq!(ids(&own.puts), [5]);
    node.apply(Event::RecordsWritten(own));
    node.apply(status_with_record(&record(2, "a")));
    node.apply(status_with_record(&record(3, "b")));
    let mut recorded = Vec::new();
    for _ in 0..20 {
        for id in [2, 3] {
            node.receive_status(id, idle_load());
        }
        if let Some(batch) = batch_of_tick(&mut node) {
            recorded.extend(ids(&batch.puts));
            node.apply(Event::RecordsWritten(batch));
        }
    }
    recorded.sort_unstable();
    assert_eq!(recorded, [2, 3]);
}
