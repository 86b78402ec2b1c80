use std::sync::Arc;

use http::Method;
use rand::Rng as _;
use slotmap::SlotMap;
use test_case::test_case;

use super::*;
use crate::{
    crash_guard::{self, RequestHash, SuspectReport},
    document::{Centre, CentreState, Route, Service, Version},
    effect::{Attempt, CallStep, WorkStep},
    event::{CallEvent, CallHead, Failure, RequestIdentity, WorkEvent, WorkHead},
    identity::Fingerprint,
    keys::MemberId,
    membership::{Body, Message, Source, Update},
    refusal::{Reason, Refusal},
    rollout::Stage,
};

const START_MS: u64 = 1_790_000_000_000;

fn member(id: u64, version: &str) -> Member {
    let port = 1_000 + id as u16;
    let addr = |net: u8| SocketAddr::from(([127, 0, net, 1], port));
    Member {
        id: MemberId(id),
        incarnation: 0,
        revised: 0,
        service: "catalogue".into(),
        version: version.into(),
        centre: "oax-1".into(),
        region: "oaxaca".into(),
        peer: addr(1),
        control: addr(2),
        gossip: addr(3),
        is_leaving: false,
        is_cold: false,
    }
}

/// A node under test, with the keys that the driver would assign.
struct TestNode {
    reducer: Reducer,
    keys: SlotMap<CallKey, ()>,
    rng: SmallRng,
    now: Time,
    out: Vec<Effect>,
}

impl TestNode {
    fn new(id: u64, document: Arc<Document>) -> TestNode {
        let local = LocalNode {
            info: member(id, "v1"),
            slots: 12,
            contacts: vec![],
            drain_timeout: Duration::from_secs(1),
            started: WallTime::from_millis(START_MS),
        };
        let mut node = TestNode {
            reducer: Reducer::new(local, id),
            keys: SlotMap::with_key(),
            rng: SmallRng::seed_from_u64(id),
            now: Time::ZERO,
            out: vec![],
        };
        node.apply(Event::Clock(WallTime::from_millis(START_MS)));
        node.apply(Event::Document { revision: 1, document });
        node
    }

    fn apply(&mut self, event: Event) {
        self.reducer.apply(self.now, event, &mut self.out);
    }

    fn join(&mut self, members: &[Member]) {
        for member in members {
            let source = Source { id: member.id, address: member.gossip };
            let update = Update::Record { member: member.clone(), is_suspect: false };
            let body = Body::Gossip;
            let message = Message { revision: 1, payload: vec![], updates: vec![update], body };
            self.apply(Event::Gossip(source, Box::new(message)));
        }
    }

    /// Advances the time in ticks.
    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK_INTERVAL;
            let first = self.out.len();
            self.apply(Event::Timer(Timer::Tick));
            let pings = self.out[first..].iter().filter_map(|effect| match effect {
                Effect::Send { to, message } => match message.body {
                    Body::Ping { probe, target } => Some((*to, probe, target)),
                    _ => None,
                },
                _ => None,
            });
            // The other members stay alive as long as they answer probes.
            for (address, probe, target) in pings.collect::<Vec<_>>() {
                let body = Body::Ack { probe, subject: target };
                let message = Message { revision: 1, payload: vec![], updates: vec![], body };
                self.apply(Event::Gossip(Source { id: target, address }, Box::new(message)));
            }
        }
    }

    /// Starts a call and returns its first attempt, or `None` if the call is refused.
    fn call(&mut self) -> (CallKey, Option<Attempt>) {
        let key = self.keys.insert(());
        let head = CallHead {
            service: "catalogue".into(),
            method: Method::GET,
            path: "/stock".into(),
            timeout: None,
            depth: 0,
            fingerprint: Fingerprint::new("catalogue", "GET", "/stock", None),
            identity: RequestIdentity { presented: None, relay_stamp: None },
            crash_fingerprint: RequestHash::default(),
        };
        self.apply(Event::Call(key, CallEvent::Arrived(head)));
        (key, self.last_attempt(key))
    }

    fn last_attempt(&self, key: CallKey) -> Option<Attempt> {
        self.out.iter().rev().find_map(|effect| match effect {
            Effect::Call(k, CallStep::Attempt(attempt)) if *k == key => Some(attempt.clone()),
            _ => None,
        })
    }

    fn answer(&mut self, key: CallKey, attempt: u32, status: u16) {
        self.now += Duration::from_micros(self.rng.random_range(1_000..4_000));
        let report = None;
        self.apply(Event::Call(key, CallEvent::Answered { attempt, status, report }));
        self.apply(Event::Call(key, CallEvent::Ended(crate::body::BodyEnd::Complete)));
    }

    /// Serves one call, answered with the status code for its member, and returns that member.
    fn serve(&mut self, status: impl Fn(MemberId) -> u16) -> MemberId {
        let (key, attempt) = self.call();
        let attempt = attempt.expect("the call is not refused");
        self.answer(key, attempt.number, status(attempt.member));
        attempt.member
    }

    fn stage(&self) -> &'static str {
        let all = self.reducer.rollout_status(self.now);
        all.iter().map(|status| status.stage.as_str()).next().expect("the document has a rollout")
    }
}

/// Returns a document with a rollout from v1 to v2 that takes `length` milliseconds and is half way at [`START_MS`].
fn document(length: u64) -> Arc<Document> {
    let version = |name: &str, start_ms, end_ms| Version { name: name.into(), start_ms, end_ms };
    let versions =
        vec![version("v1", 0, 0), version("v2", START_MS - length / 2, START_MS + length / 2)];
    let routes = vec![Route { prefix: "/b".into(), method: None, idempotent: true }];
    let service = Service { versions, routes, ..Service::default() };
    let centre = Centre { region: "oaxaca".into(), state: CentreState::In };
    Arc::new(Document {
        centres: [("oax-1".into(), centre)].into(),
        services: [("catalogue".into(), service)].into(),
        ..Document::default()
    })
}

fn other_members() -> [Member; 3] {
    [member(2, "v1"), member(3, "v2"), member(4, "v3")]
}

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

/// Guards against refused calls while it is not known yet that a target is absent. Each call must reach another target,
/// and the first refusal by the absent target's node must pause that member for the following calls.
#[test_case(Reason::Draining)]
#[test_case(Reason::NoTarget)]
fn absent_target_causes_no_refusal(reason: Reason) {
    let document = Document {
        centres: [("oax-1".into(), Centre { region: "oaxaca".into(), state: CentreState::In })]
            .into(),
        services: [("catalogue".into(), Service { retry_percent: 0, ..Service::default() })].into(),
        ..Document::default()
    };
    let mut node = TestNode::new(1, Arc::new(document));
    node.join(&[member(2, "v1"), member(3, "v1")]);
    let absent = MemberId(2);
    let (mut attempts, mut refused) = (0, 0);
    let end = node.now + Duration::from_secs(3);
    while node.now < end {
        let (key, mut attempt) = node.call();
        while let Some(Attempt { number, member, .. }) = attempt {
            if member != absent {
                node.answer(key, number, 200);
                break;
            }
            attempts += 1;
            let refusal = Refusal::not_run(reason);
            node.apply(Event::Call(
                key,
                CallEvent::Refused { attempt: number, refusal, report: None },
            ));
            attempt = node.last_attempt(key).filter(|next| next.number > number);
        }
        refused += usize::from(attempt.is_none());
    }
    assert_eq!(refused, 0);
    // Each attempt is followed by a pause of 500 ms.
    assert!((1..=6).contains(&attempts), "{attempts} attempts at the absent target");
}
