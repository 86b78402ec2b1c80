use test_case::test_case;

use super::*;
use crate::{event::Failure, rollout::Stage};

/// Guards against traffic that deviates from the shares, and against requests to a version that the document does not
/// list.
#[test]
fn calls_follow_the_schedule() {
    let mut node = TestNode::new(1, document(600_000));
    node.join(&other_members());
    let mut served = [0; 5];
    for _ in 0..1_000 {
        served[node.serve(|_| 200).0 as usize] += 1;
    }
    assert_eq!(served[4], 0);
    // Half way through the rollout the share is 505 in 1,000; five standard deviations are 79.
    assert!((426..=584).contains(&served[3]), "{served:?}");
}

/// Guards against failed calls when a version has lost a target, even its only one.
#[test_case(3, 1; "no target of the new version")]
#[test_case(2, 2; "one target of the old version left beside this node")]
fn share_falls_back(lost: u64, remaining: u64) {
    let mut node = TestNode::new(1, document(600_000));
    node.join(&other_members().into_iter().filter(|m| m.id.0 != lost).collect::<Vec<_>>());
    let served: Vec<u64> = (0..200).map(|_| node.serve(|_| 200).0).collect();
    assert_eq!(served.contains(&3), remaining == 2);
    assert!(served.contains(&1));
}

/// Guards against overloading a new version with few targets beyond their slots.
#[test]
fn full_version_overflows_to_the_old_one() {
    let mut node = TestNode::new(1, document(600_000));
    node.join(&other_members());
    // No call is answered, so all stay in flight. By share, about 18 of 36 calls would go to the new version.
    let sent: Vec<u64> =
        (0..36).filter_map(|_| node.call().1).map(|attempt| attempt.member.0).collect();
    assert_eq!(sent.len(), 36);
    assert!(sent.iter().filter(|&&id| id == 3).count() <= 12, "{sent:?}");
}

/// Guards against a retry at the same faulty version while a target of another version is available.
#[test]
fn retry_goes_to_the_old_version() {
    let mut node = TestNode::new(1, document(600_000));
    node.join(&[member(2, "v1"), member(3, "v2"), member(5, "v2")]);
    for _ in 0..100 {
        let (key, attempt) = node.call();
        let first = attempt.expect("the call is not refused");
        let failed = CallEvent::Failed { attempt: 1, failure: Failure::Lost, can_replay: true };
        if first.member.0 < 3 {
            node.answer(key, 1, 200);
            continue;
        }
        node.apply(Event::Call(key, failed));
        if let Some(second) = node.last_attempt(key).filter(|attempt| attempt.number == 2) {
            assert!(second.member.0 < 3, "{second:?}");
            return;
        }
    }
    panic!("no retry in 100 calls");
}

/// Runs calls for 20 s. The target of version v2 answers with the given status code.
fn run_rollout(status: u16) -> TestNode {
    let mut node = TestNode::new(1, document(600_000));
    node.join(&other_members());
    for _ in 0..40 {
        for _ in 0..20 {
            node.serve(|id| if id == MemberId(3) { status } else { 200 });
        }
        node.advance(Duration::from_millis(500));
    }
    node
}

/// Guards against a faulty version that is not rolled back, and a verdict that is not recorded, logged or enforced.
#[test_case(500, "rolled-back"; "faulty")]
#[test_case(200, "moving"; "good")]
fn faulty_version_is_rolled_back(status: u16, expected: &str) {
    let mut node = run_rollout(status);
    assert_eq!(node.stage(), expected);
    let is_faulty = expected == "rolled-back";
    let recorded = node.out.iter().filter(|e| matches!(e, Effect::RecordVerdict(_))).count();
    assert_eq!(recorded, usize::from(is_faulty));
    let logged = node.out.iter().filter(|effect| {
        matches!(effect, Effect::Log(Record::Rollout { stage: "rolled-back", share: 0, .. }))
    });
    assert_eq!(logged.count(), usize::from(is_faulty));
    let served: Vec<MemberId> = (0..100).map(|_| node.serve(|_| 200)).collect();
    assert_eq!(served.contains(&MemberId(3)), !is_faulty);
}

/// Guards against a version that never answers and is never judged, because its targets remain in cold start.
#[test]
fn version_that_stalls_from_the_start_is_rolled_back() {
    let mut node = TestNode::new(1, document(6_000_000));
    node.join(&other_members());
    let mut stalled = Vec::new();
    for _ in 0..300 {
        for key in std::mem::take(&mut stalled) {
            node.apply(Event::Timer(Timer::CallDeadline(key)));
        }
        for _ in 0..4 {
            let (key, attempt) = node.call();
            match attempt.expect("the call is not refused") {
                attempt if attempt.member == MemberId(3) => stalled.push(key),
                attempt => node.answer(key, attempt.number, 200),
            }
        }
        node.advance(Duration::from_millis(500));
    }
    assert_eq!(node.stage(), "rolled-back");
}

/// Guards against a node that does not learn of a verdict. The verdict arrives with any membership message, and a
/// watcher records it in the platform. A node without a document enforces it once the document arrives.
#[test_case(true; "with the document")]
#[test_case(false; "before the document")]
fn verdict_spreads_with_membership(has_document: bool) {
    let mut from = run_rollout(500);
    from.out.clear();
    from.advance(Duration::from_secs(2));
    let mut messages = from.out.drain(..).filter_map(|effect| match effect {
        Effect::Send { message, .. } => Some(message),
        _ => None,
    });
    let mut to = TestNode::new(9, document(600_000));
    if !has_document {
        to.reducer.document = None;
        to.reducer.revision = 0;
        to.reducer.rollouts = Rollouts::new(MemberId(9));
    }
    to.join(&[member(1, "v1")]);
    to.advance(Duration::from_secs(1));
    to.out.clear();
    let message = messages.next().expect("a gossip message is sent");
    let source = Source { id: MemberId(1), address: member(1, "v1").gossip };
    to.apply(Event::Gossip(source, message));
    to.apply(Event::Document { revision: 1, document: document(600_000) });
    to.advance(Duration::from_secs(2));
    assert_eq!(to.stage(), "rolled-back");
    let recorded = to.out.iter().any(|effect| matches!(effect, Effect::RecordVerdict(_)));
    assert_eq!(recorded, has_document);
}

/// Guards against a verdict from the platform that is not enforced, or not deleted after its schedule has ended.
#[test]
fn platform_verdicts_are_applied() {
    let from = run_rollout(500);
    let record = from.out.iter().find_map(|effect| match effect {
        Effect::RecordVerdict(record) => Some(record.clone()),
        _ => None,
    });
    let record = record.expect("a verdict is recorded");
    let mut node = TestNode::new(1, document(600_000));
    node.apply(Event::Verdicts(vec![record.clone()]));
    node.advance(Duration::from_secs(1));
    let all = node.reducer.rollout_status(node.now);
    assert_eq!((all[0].stage, all[0].share), (Stage::RolledBack(record.finding), 0.0));

    node.apply(Event::Document { revision: 2, document: document(500_000) });
    node.apply(Event::Verdicts(vec![record.clone()]));
    node.advance(Duration::from_secs(1));
    assert_eq!(node.stage(), "moving");
    assert!(node.out.contains(&Effect::DeleteVerdict(record)));
}
