mod crashes;
mod rollouts;

use std::sync::Arc;

use http::Method;
use rand::Rng as _;
use slotmap::SlotMap;
use test_case::test_case;

use super::*;
use crate::{
    crash_guard::RequestHash,
    document::{Centre, CentreState, Route, Service, Version},
    effect::{Attempt, CallStep},
    event::{CallEvent, CallHead, RequestIdentity},
    identity::Fingerprint,
    keys::MemberId,
    membership::{Body, Message, Source, Update},
    refusal::{Reason, Refusal},
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
