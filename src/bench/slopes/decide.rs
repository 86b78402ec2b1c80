//! Costs of the decisions about calls, and of what a node knows about targets.

use std::{collections::VecDeque, time::Duration};

use compact_str::CompactString;
use http::Method;
use rand::{SeedableRng as _, rngs::SmallRng};
use slotmap::SlotMap;

use super::{Slope, time_us};
use crate::{
    admission::{AdmissionController, Decision, WorkOutcome},
    body::BodyEnd,
    crash_guard::RequestHash,
    directory::Directory,
    document::{Centre, CentreState, Document, Service},
    effect::{AttemptKind, CallStep, Effect},
    event::{CallEvent, CallHead, Event, RequestIdentity, WorkEvent, WorkHead},
    identity::Fingerprint,
    keys::{CallKey, MemberId, MemberKey, WorkKey},
    load::{LoadReport, ObservedOutcome, TargetView},
    membership::{self, Body, Message, Source, Update},
    reducer::{LocalNode, Reducer},
    routing::{Candidate, Policy, Router, TargetState},
    time::{Time, WallTime},
};

/// The slots of a target (design section 2.5).
const SLOTS: u16 = 12;

/// The targets of an average service.
const TARGETS: u32 = 5;

/// Requests in progress at the measured target's node.
const IN_PROGRESS: usize = 8;

const REPORT: LoadReport =
    LoadReport { running: 5, queued: 0, limit: 11, latency_us: 5_000, is_cold: false };

pub(super) fn directory() -> Vec<Slope> {
    let points = [500, 1_000, 2_667, 5_000, 8_192].map(|members: u32| {
        let mut directory = Directory::default();
        for n in 0..members {
            directory.upsert(membership::sample_member(MemberId(n.into()), n));
        }
        (f64::from(members), directory.state_bytes() as f64)
    });
    let view = size_of::<TargetView>() as f64;
    let views = [0.0, 12.0, 64.0].map(|waiting: f64| {
        let mut target = TargetView::new();
        for n in 0..waiting as u64 {
            target.sent(Time::from_micros(n));
        }
        (waiting, view + target.heap_bytes() as f64)
    });
    vec![
        Slope::new("directory.state", "B", "members known", points.to_vec()),
        Slope::new("view.state", "B", "own requests in flight", views.to_vec()),
    ]
}

pub(super) fn decisions(seed: u64) -> Vec<Slope> {
    let routing = [2, 3, 5, 10, 16, 32, 100].map(|count| (f64::from(count), routing(count, seed)));
    let admission = [12, 24, 50, 100].map(|slots: u16| (f64::from(slots), admission(slots)));
    let entry = [2, 3, 5, 10, 16].map(|targets| {
        let mut node = Entry::new(500, targets, seed);
        (
            f64::from(targets),
            time_us(5_000, |count| (0..count).for_each(|_| node.call(&Method::GET))),
        )
    });
    let once = [2, 3, 5, 10, 16].map(|targets| {
        let mut node = Entry::new(500, targets, seed);
        (
            f64::from(targets),
            time_us(5_000, |count| (0..count).for_each(|_| node.call(&Method::POST))),
        )
    });
    let region = [500, 1_000, 2_667, 5_000, 8_190].map(|members| {
        let mut node = Entry::new(members, TARGETS, seed);
        (
            f64::from(members),
            time_us(5_000, |count| (0..count).for_each(|_| node.call(&Method::GET))),
        )
    });
    let target = [500, 1_000, 2_667, 5_000, 8_190].map(|members| {
        let mut node = Target::new(members, seed);
        (f64::from(members), time_us(5_000, |count| (0..count).for_each(|_| node.call())))
    });
    vec![
        Slope::new("routing.time", "us/decision", "candidates", routing.to_vec()),
        Slope::new("admission.time", "us/call", "slots", admission.to_vec()),
        Slope::new("entry.time", "us/call", "candidates", entry.to_vec()),
        Slope::new("entry.once", "us/call", "candidates", once.to_vec()),
        Slope::new("entry.region", "us/call", "members known", region.to_vec()),
        Slope::new("target.region", "us/call", "members known", target.to_vec()),
    ]
}

fn routing(count: u32, seed: u64) -> f64 {
    let mut keys: SlotMap<MemberKey, ()> = SlotMap::with_key();
    let mut rng = SmallRng::seed_from_u64(seed);
    let now = Time::from_micros(1_000_000);
    let views: Vec<TargetView> = (0..count).map(|n| view(now, n)).collect();
    let candidates: Vec<Candidate<'_>> = views
        .iter()
        .zip(0..)
        .map(|(view, n)| {
            let state = TargetState::InService;
            Candidate { key: keys.insert(()), view, is_local: n % 2 == 0, state }
        })
        .collect();
    let mut router = Router::new(Policy::LeastLoaded);
    time_us(20_000, |count| {
        for _ in 0..count {
            std::hint::black_box(router.choose(now, &candidates, &[], &mut rng).is_ok());
        }
    })
}

/// What a node knows of a target that answers and reports.
fn view(now: Time, n: u32) -> TargetView {
    let mut view = TargetView::new();
    view.sent(now);
    view.finished(now + Duration::from_millis(5), now, ObservedOutcome::Answer);
    view.update_load(now, LoadReport { running: (n % 7) as u16, ..REPORT });
    view.sent(now);
    view
}

/// Measures the arrival and the end of a request at a warm target that is as busy as its limit allows.
fn admission(slots: u16) -> f64 {
    let mut gate = AdmissionController::new(slots, Time::ZERO);
    let mut keys: SlotMap<WorkKey, ()> = SlotMap::with_key();
    let mut running = VecDeque::new();
    let mut now = Time::ZERO;
    let mut call = |_: u32| {
        now += Duration::from_micros(500);
        if running.len() + 1 >= usize::from(gate.report().limit)
            && let Some(work) = running.pop_front()
        {
            std::hint::black_box(gate.finish(now, work, WorkOutcome::Answer));
        }
        let work = keys.insert(());
        keys.remove(work);
        if gate.admit(now, work, now + Duration::from_secs(2)) == Decision::Run {
            running.push_back(work);
        }
    };
    // The limit rises from that of a cold target.
    (0..10_000).for_each(&mut call);
    time_us(20_000, |count| (0..count).for_each(&mut call))
}

/// A reducer that knows a region and the service `called` with a number of targets.
pub(super) fn reducer(members: u32, targets: u32, seed: u64) -> Reducer {
    let info = membership::sample_member(MemberId(u64::MAX), members + targets);
    let local = LocalNode {
        info: membership::Member { service: CALLED, ..info },
        started: WallTime::from_millis(1_700_000_000_000),
        slots: SLOTS,
        contacts: Vec::new(),
        drain_timeout: Duration::from_secs(10),
    };
    let mut reducer = Reducer::new(local, seed);
    let mut out = Vec::new();
    for n in 0..members {
        let mut member = membership::sample_member(MemberId(u64::from(n) + 1), n);
        if n < targets {
            member.service = CompactString::const_new("other");
        }
        let source = Source { id: member.id, address: member.gossip };
        let updates = vec![Update::Record { member, is_suspect: false }];
        let message = Message { revision: 0, payload: vec![], updates, body: Body::Gossip };
        reducer.apply(Time::ZERO, Event::Gossip(source, Box::new(message)), &mut out);
        out.clear();
    }
    let event = Event::Document { revision: 1, document: std::sync::Arc::new(document()) };
    reducer.apply(Time::ZERO, event, &mut out);
    reducer
}

/// The service that is called.
const CALLED: CompactString = CompactString::const_new("called");

fn document() -> Document {
    let mut document = Document::default();
    for n in 0..3 {
        let centre = Centre { region: "north".into(), state: CentreState::In };
        document.centres.insert(format!("north-{n}").into(), centre);
    }
    document.services.insert(CALLED, Service::default());
    document.services.insert("other".into(), Service::default());
    document
}

/// A node as entry node of a service that has `targets` targets beside other nodes.
struct Entry {
    reducer: Reducer,
    keys: SlotMap<CallKey, ()>,
    now: Time,
    out: Vec<Effect>,
}

impl Entry {
    fn new(members: u32, targets: u32, seed: u64) -> Entry {
        let reducer = reducer(members.max(targets), targets, seed);
        let now = Time::from_micros(1_000_000);
        Entry { reducer, keys: SlotMap::with_key(), now, out: Vec::new() }
    }

    /// One call from its arrival to its end.
    fn call(&mut self, method: &Method) {
        let key = self.keys.insert(());
        self.keys.remove(key);
        let head = CallHead {
            service: CompactString::const_new("other"),
            method: method.clone(),
            path: CompactString::const_new("/search/items/1234"),
            timeout: None,
            depth: 0,
            fingerprint: Fingerprint::new("other", method.as_str(), "/search/items/1234", None),
            identity: RequestIdentity::default(),
            crash_fingerprint: RequestHash::default(),
        };
        self.step(key, CallEvent::Arrived(head));
        let is_attempt = |effect: &Effect| match effect {
            Effect::Call(_, CallStep::Attempt(attempt)) => {
                matches!(attempt.kind, AttemptKind::RunOnce(_)) == (*method == Method::POST)
            }
            _ => false,
        };
        assert!(self.out.iter().any(is_attempt), "the call is sent to a target");
        self.now += Duration::from_micros(5_000);
        let answered = CallEvent::Answered { attempt: 1, status: 200, report: Some(REPORT) };
        self.step(key, answered);
        self.step(key, CallEvent::Ended(BodyEnd::Complete));
    }

    fn step(&mut self, key: CallKey, event: CallEvent) {
        self.out.clear();
        self.reducer.apply(self.now, Event::Call(key, event), &mut self.out);
    }
}

/// A node beside a target with some requests in progress.
struct Target {
    reducer: Reducer,
    keys: SlotMap<WorkKey, ()>,
    running: VecDeque<WorkKey>,
    now: Time,
    out: Vec<Effect>,
}

impl Target {
    fn new(members: u32, seed: u64) -> Target {
        let reducer = reducer(members, 0, seed);
        let (running, now) = (VecDeque::new(), Time::from_micros(1_000_000));
        let mut target =
            Target { reducer, keys: SlotMap::with_key(), running, now, out: Vec::new() };
        // The limit rises from that of a cold target.
        (0..10_000).for_each(|_| target.call());
        target
    }

    /// One request from its arrival to its end; others are in progress meanwhile.
    fn call(&mut self) {
        self.now += Duration::from_micros(500);
        let key = self.keys.insert(());
        self.keys.remove(key);
        let head = WorkHead {
            service: CALLED,
            path: CompactString::const_new("/search/items/1234"),
            from: MemberId(1),
            tag: None,
            timeout: Duration::from_secs(2),
            crash_fingerprint: RequestHash::default(),
        };
        self.step(key, WorkEvent::Arrived(head));
        self.running.push_back(key);
        if self.running.len() > IN_PROGRESS
            && let Some(key) = self.running.pop_front()
        {
            self.step(key, WorkEvent::Answered { status: 200 });
            std::hint::black_box(self.reducer.budgeted_load_report(self.now));
            self.step(key, WorkEvent::Ended(BodyEnd::Complete));
        }
    }

    fn step(&mut self, key: WorkKey, event: WorkEvent) {
        self.out.clear();
        self.reducer.apply(self.now, Event::Work(key, event), &mut self.out);
    }
}
