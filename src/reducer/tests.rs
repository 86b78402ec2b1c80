use std::sync::Arc;

use http::Method;
use rand::Rng as _;
use slotmap::SlotMap;
use test_case::test_case;

use super::*;
use crate::{
    document::{Centre, CentreState, Route, Service, Version},
    effect::CallStep,
    event::{CallEvent, CallHead, Failure},
    keys::MemberId,
    membership::{Body, Message, Source, Update},
    rollout::Stage,
};

const START: u64 = 1_790_000_000_000;

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
        leaving: false,
        cold: false,
    }
}

/// One node under test, with the keys that the driver would give out.
struct Bench {
    reducer: Reducer,
    keys: SlotMap<CallKey, ()>,
    rng: SmallRng,
    now: Time,
    out: Vec<Effect>,
}

impl Bench {
    fn new(id: u64, document: Arc<Document>) -> Bench {
        let me = Me {
            info: member(id, "v1"),
            slots: 12,
            contacts: vec![],
            drain: Duration::from_secs(1),
        };
        let mut bench = Bench {
            reducer: Reducer::new(me, id),
            keys: SlotMap::with_key(),
            rng: SmallRng::seed_from_u64(id),
            now: Time::ZERO,
            out: vec![],
        };
        bench.apply(Event::Clock(Wall::from_millis(START)));
        bench.apply(Event::Document { revision: 1, document });
        bench
    }

    fn apply(&mut self, event: Event) {
        self.reducer.apply(self.now, event, &mut self.out);
    }

    fn join(&mut self, members: &[Member]) {
        for member in members {
            let source = Source { id: member.id, address: member.gossip };
            let update = Update::Record { member: member.clone(), suspect: false };
            let body = Body::Gossip;
            let message = Message { revision: 1, payload: vec![], updates: vec![update], body };
            self.apply(Event::Gossip(source, Box::new(message)));
        }
    }

    /// Lets the time pass in ticks.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            let first = self.out.len();
            self.apply(Event::Timer(Timer::Tick));
            let pings = self.out[first..].iter().filter_map(|effect| match effect {
                Effect::Send { to, message } => match message.body {
                    Body::Ping { probe, target } => Some((*to, probe, target)),
                    _ => None,
                },
                _ => None,
            });
            // The other members live as long as they respond to probes.
            for (address, probe, subject) in pings.collect::<Vec<_>>() {
                let body = Body::Ack { probe, subject };
                let message = Message { revision: 1, payload: vec![], updates: vec![], body };
                self.apply(Event::Gossip(Source { id: subject, address }, Box::new(message)));
            }
        }
    }

    /// Opens a call and returns its attempt, or `None` if it is refused.
    fn call(&mut self) -> (CallKey, Option<crate::effect::Attempt>) {
        let key = self.keys.insert(());
        let head = CallHead {
            service: "catalogue".into(),
            method: Method::GET,
            path: "/stock".into(),
            timeout: None,
            depth: 0,
        };
        self.apply(Event::Call(key, CallEvent::Arrived(head)));
        (key, self.last_attempt(key))
    }

    fn last_attempt(&self, key: CallKey) -> Option<crate::effect::Attempt> {
        self.out.iter().rev().find_map(|effect| match effect {
            Effect::Call(k, CallStep::Attempt(attempt)) if *k == key => Some(attempt.clone()),
            _ => None,
        })
    }

    fn answer(&mut self, key: CallKey, attempt: u32, status: u16) {
        self.now += Duration::from_micros(self.rng.random_range(1_000..4_000));
        let report = None;
        self.apply(Event::Call(key, CallEvent::Answered { attempt, status, report }));
        self.apply(Event::Call(key, CallEvent::Ended(crate::body::End::Complete)));
    }

    /// Serves one call, answered by version with the given status, and returns the member that served it.
    fn serve(&mut self, status: impl Fn(MemberId) -> u16) -> MemberId {
        let (key, attempt) = self.call();
        let attempt = attempt.expect("an attempt");
        self.answer(key, attempt.number, status(attempt.member));
        attempt.member
    }

    fn stage(&self) -> &'static str {
        let all = self.reducer.rollouts(self.now);
        all.iter().map(|status| status.stage.as_str()).next().expect("a rollout")
    }
}

/// Returns a document with a rollout from v1 to v2 that has the given length and is half way at [`START`].
fn document(length: u64) -> Arc<Document> {
    let version = |name: &str, start_ms, end_ms| Version { name: name.into(), start_ms, end_ms };
    let versions = vec![version("v1", 0, 0), version("v2", START - length / 2, START + length / 2)];
    let routes = vec![Route { prefix: "/b".into(), method: None, idempotent: true }];
    let service = Service { versions, routes, ..Service::default() };
    let centre = Centre { region: "oaxaca".into(), state: CentreState::In };
    Arc::new(Document {
        centres: [("oax-1".into(), centre)].into(),
        services: [("catalogue".into(), service)].into(),
        ..Document::default()
    })
}

fn fleet() -> [Member; 3] {
    [member(2, "v1"), member(3, "v2"), member(4, "v3")]
}

/// Guards against traffic that does not follow the shares, and against any for a version that the document
/// does not name.
#[test]
fn calls_follow_the_schedule() {
    let mut bench = Bench::new(1, document(600_000));
    bench.join(&fleet());
    let mut served = [0; 5];
    for _ in 0..1_000 {
        served[bench.serve(|_| 200).0 as usize] += 1;
    }
    assert_eq!(served[4], 0);
    // Half way the share is 505 in 1,000; five standard deviations are 79.
    assert!((426..=584).contains(&served[3]), "{served:?}");
}

/// Guards against a service without answers because one version has no target.
#[test_case(3, 1; "no target of the new version")]
#[test_case(2, 2; "one target of the old version left beside this node")]
fn share_falls_back(lost: u64, remaining: u64) {
    let mut bench = Bench::new(1, document(600_000));
    bench.join(&fleet().into_iter().filter(|m| m.id.0 != lost).collect::<Vec<_>>());
    let served: Vec<u64> = (0..200).map(|_| bench.serve(|_| 200).0).collect();
    assert_eq!(served.contains(&3), remaining == 2);
    assert!(served.contains(&1));
}

/// Guards against a new version with few targets that receives more requests than they have slots.
#[test]
fn full_version_leaves_requests_to_the_old_one() {
    let mut bench = Bench::new(1, document(600_000));
    bench.join(&fleet());
    // Nothing is answered, so that all stay in flight; 36 calls would send about 18 to the new version.
    let sent: Vec<u64> =
        (0..36).filter_map(|_| bench.call().1).map(|attempt| attempt.member.0).collect();
    assert_eq!(sent.len(), 36);
    assert!(sent.iter().filter(|&&id| id == 3).count() <= 12, "{sent:?}");
}

/// Guards against a retry that meets the same faulty version while another is available.
#[test]
fn retry_goes_to_the_old_version() {
    let mut bench = Bench::new(1, document(600_000));
    bench.join(&[member(2, "v1"), member(3, "v2"), member(5, "v2")]);
    for _ in 0..100 {
        let (key, attempt) = bench.call();
        let first = attempt.expect("an attempt");
        let failed = CallEvent::Failed { attempt: 1, failure: Failure::Lost, can_replay: true };
        if first.member.0 < 3 {
            bench.answer(key, 1, 200);
            continue;
        }
        bench.apply(Event::Call(key, failed));
        if let Some(second) = bench.last_attempt(key).filter(|attempt| attempt.number == 2) {
            assert!(second.member.0 < 3, "{second:?}");
            return;
        }
    }
    panic!("no retry in 100 calls");
}

/// Runs calls for 20 s; the target of version v2 answers with the given status.
fn roll_out(status: u16) -> Bench {
    let mut bench = Bench::new(1, document(600_000));
    bench.join(&fleet());
    for _ in 0..40 {
        for _ in 0..20 {
            bench.serve(|id| if id == MemberId(3) { status } else { 200 });
        }
        bench.pass(Duration::from_millis(500));
    }
    bench
}

/// Guards against a faulty version that stays, or a verdict that is not recorded, logged or enforced.
#[test_case(500, "rolled-back"; "faulty")]
#[test_case(200, "moving"; "good")]
fn faulty_version_is_rolled_back(status: u16, expected: &str) {
    let mut bench = roll_out(status);
    assert_eq!(bench.stage(), expected);
    let is_faulty = expected == "rolled-back";
    let recorded = bench.out.iter().filter(|e| matches!(e, Effect::RecordVerdict(_))).count();
    assert_eq!(recorded, usize::from(is_faulty));
    let logged = bench.out.iter().filter(|effect| {
        matches!(effect, Effect::Log(Record::Rollout { stage: "rolled-back", share: 0, .. }))
    });
    assert_eq!(logged.count(), usize::from(is_faulty));
    let served: Vec<MemberId> = (0..100).map(|_| bench.serve(|_| 200)).collect();
    assert_eq!(served.contains(&MemberId(3)), !is_faulty);
}

/// Guards against a node that missed the verdict: it arrives with any membership message, and a node with a
/// seat has it recorded. One that has no document yet enforces it once the document arrives.
#[test_case(true; "with the document")]
#[test_case(false; "before the document")]
fn verdict_spreads_with_membership(has_document: bool) {
    let mut from = roll_out(500);
    from.out.clear();
    from.pass(Duration::from_secs(2));
    let mut messages = from.out.drain(..).filter_map(|effect| match effect {
        Effect::Send { message, .. } => Some(message),
        _ => None,
    });
    let mut to = Bench::new(9, document(600_000));
    if !has_document {
        to.reducer.document = None;
        to.reducer.revision = 0;
        to.reducer.rollouts = Rollouts::new(MemberId(9));
    }
    to.join(&[member(1, "v1")]);
    to.pass(Duration::from_secs(1));
    to.out.clear();
    let message = messages.next().expect("a message");
    let source = Source { id: MemberId(1), address: member(1, "v1").gossip };
    to.apply(Event::Gossip(source, message));
    to.apply(Event::Document { revision: 1, document: document(600_000) });
    to.pass(Duration::from_secs(2));
    assert_eq!(to.stage(), "rolled-back");
    let recorded = to.out.iter().any(|effect| matches!(effect, Effect::RecordVerdict(_)));
    assert_eq!(recorded, has_document);
}

/// Guards against a verdict in the platform that is not obeyed, or that stays after its schedule has ended.
#[test]
fn verdicts_of_the_platform_are_obeyed() {
    let from = roll_out(500);
    let record = from.out.iter().find_map(|effect| match effect {
        Effect::RecordVerdict(record) => Some(record.clone()),
        _ => None,
    });
    let record = record.expect("a verdict");
    let mut bench = Bench::new(1, document(600_000));
    bench.apply(Event::Verdicts(vec![record.clone()]));
    bench.pass(Duration::from_secs(1));
    let all = bench.reducer.rollouts(bench.now);
    assert_eq!((all[0].stage, all[0].share), (Stage::RolledBack(record.finding), 0.0));

    bench.apply(Event::Document { revision: 2, document: document(500_000) });
    bench.apply(Event::Verdicts(vec![record.clone()]));
    bench.pass(Duration::from_secs(1));
    assert_eq!(bench.stage(), "moving");
    assert!(bench.out.contains(&Effect::DropVerdict(record)));
}
