use super::*;
use crate::{
    crash_guard::{self, SuspectReport},
    effect::WorkStep,
    event::{Failure, WorkEvent, WorkHead},
};

fn work_head(path: u8) -> WorkHead {
    let uri = format!("/{path}").parse().expect("the path is valid");
    let headers = http::HeaderMap::new();
    WorkHead {
        service: "catalogue".into(),
        path: "/".into(),
        from: MemberId(2),
        timeout: Duration::from_secs(1),
        tag: None,
        crash_fingerprint: crash_guard::fingerprint("catalogue", &Method::GET, &uri, &headers),
    }
}

/// A target's node under test. Requests are distinguished by their path.
struct TestTarget {
    node: TestNode,
    keys: SlotMap<WorkKey, ()>,
}

impl TestTarget {
    fn new(id: u64) -> TestTarget {
        let mut node = TestNode::new(id, document(600_000));
        node.join(&[member(2, "v1"), member(3, "v1")]);
        TestTarget { node, keys: SlotMap::with_key() }
    }

    /// Sends a request. Also returns its refusal if it is refused immediately.
    fn send(&mut self, path: u8) -> (WorkKey, Option<Refusal>) {
        let key = self.keys.insert(());
        let first = self.node.out.len();
        self.node.apply(Event::Work(key, WorkEvent::Arrived(work_head(path))));
        let refusal = self.node.out[first..].iter().find_map(|effect| match effect {
            Effect::Work(_, WorkStep::Refuse(refusal)) => Some(*refusal),
            _ => None,
        });
        (key, refusal)
    }

    fn complete(&mut self, key: WorkKey) {
        self.node.apply(Event::Work(key, WorkEvent::Answered { status: 200 }));
        self.node.apply(Event::Work(key, WorkEvent::Ended(crate::body::BodyEnd::Complete)));
    }

    /// Crashes the target and returns the reports that are sent to the other nodes immediately.
    fn crash(&mut self, running: &[WorkKey]) -> Vec<SuspectReport> {
        for &key in running {
            self.node.apply(Event::Work(key, WorkEvent::Failed(Failure::Lost)));
        }
        let first = self.node.out.len();
        self.node.apply(Event::Reachability(Reachability::Down));
        self.node.now += Duration::from_secs(2);
        self.node.apply(Event::Reachability(Reachability::Up));
        let reports = self.node.out[first..].iter().filter_map(|effect| match effect {
            Effect::ReportSuspects { to, reports } => Some((to.len(), reports.clone())),
            _ => None,
        });
        let mut reports: Vec<_> = reports.collect();
        assert_eq!((reports.len(), reports[0].0), (1, 2), "one report to two nodes");
        reports.remove(0).1
    }
}

/// Guards against a third crash by the same request, both at the node that observed a crash and at one that received a
/// report, and against the refusal of another request that was only in progress at the same time.
#[test]
fn request_is_refused_after_two_crashes() {
    let (mut one, mut two) = (TestTarget::new(7), TestTarget::new(8));
    let running = [one.send(1).0, one.send(2).0];
    let reports = one.crash(&running);
    two.node.apply(Event::SuspectReports(reports));

    // One suspected request runs at a time.
    let (harmless, early_refusal) = two.send(2);
    assert_eq!(early_refusal, None);
    assert_eq!(two.send(1).1, Some(Refusal::not_run(Reason::Overloaded)));
    two.complete(harmless);
    let (crashing, early_refusal) = two.send(1);
    assert_eq!(early_refusal, None);
    let reports = two.crash(&[crashing]);
    one.node.apply(Event::SuspectReports(reports));
    for test_target in [&mut one, &mut two] {
        assert_eq!(test_target.send(1).1, Some(Refusal::not_run(Reason::CrashSuspect)));
        assert_eq!(test_target.send(2).1, None);
    }
}

/// Guards against running a queued request that is found to crash targets while it is queued.
#[test]
fn queued_suspect_is_refused() {
    let (mut one, mut two) = (TestTarget::new(7), TestTarget::new(8));
    // A target in cold start runs two requests at a time.
    two.send(2);
    two.send(3);
    let (waiting, early_refusal) = two.send(1);
    assert_eq!(early_refusal, None);
    for _ in 0..2 {
        let (key, _) = one.send(1);
        let reports = one.crash(&[key]);
        two.node.apply(Event::SuspectReports(reports));
    }
    let refusal = Refusal::not_run(Reason::CrashSuspect);
    let refused = Effect::Work(waiting, WorkStep::Refuse(refusal));
    assert!(two.node.out.contains(&refused), "{:?}", two.node.out);
}

/// Guards against a call that crashes more than two targets before any report of the first crash arrives.
#[test]
fn call_exposes_at_most_two_targets() {
    let mut node = TestNode::new(1, document(600_000));
    node.join(&[2, 3, 4, 5].map(|id| member(id, "v1")));
    // Earlier calls fill the retry budget, which would otherwise not allow the retries.
    for _ in 0..100 {
        node.serve(|_| 200);
    }
    let (key, _) = node.call();
    for attempt in 1..=2 {
        assert_eq!(node.last_attempt(key).map(|attempt| attempt.number), Some(attempt));
        let failure = Failure::Lost;
        node.apply(Event::Call(key, CallEvent::Failed { attempt, failure, can_replay: true }));
    }
    let refusal = Refusal::unknown(Reason::AnswerLost);
    assert!(node.out.contains(&Effect::Call(key, CallStep::Refuse(refusal))));
}

/// Guards against sending a request to another target after one node has refused it as a crash suspect.
#[test]
fn crash_suspect_is_not_retried() {
    let mut node = TestNode::new(1, document(600_000));
    node.join(&[2, 3].map(|id| member(id, "v1")));
    let (key, _) = node.call();
    let refusal = Refusal::not_run(Reason::CrashSuspect);
    node.apply(Event::Call(key, CallEvent::Refused { attempt: 1, refusal, report: None }));
    assert!(node.out.contains(&Effect::Call(key, CallStep::Refuse(refusal))));
}
