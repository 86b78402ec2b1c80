use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use test_case::test_case;

use super::{Account, Part, PeerKey, Phase, Usage};
use crate::{
    peer_memory::{Endpoint, ProcessLimits, bounds::Bounds},
    time::Time,
};

const MEMORY_BYTES: u64 = 48 << 20;

fn account(descriptors: usize) -> Account {
    let limits = ProcessLimits { memory_bytes: Some(MEMORY_BYTES), descriptors: Some(descriptors) };
    Account::new(Bounds::new(limits))
}

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn connect(account: &mut Account, ms: u64, endpoint: Endpoint) -> PeerKey {
    account.connect(at(ms), endpoint).0.expect("room")
}

/// What a connection did before its endpoint is full.
#[derive(Copy, Clone, Debug)]
enum Past {
    /// Sent nothing.
    Silent,
    /// Sent this many bytes of a body of which the rest is missing.
    Body(usize),
    /// Got an answer and sent nothing since.
    Answered,
    /// Waits for an answer.
    Running,
}

fn open(account: &mut Account, past: Past) -> PeerKey {
    let key = connect(account, 0, Endpoint::Callers);
    if !matches!(past, Past::Silent) {
        account.begin_request(at(0), key);
    }
    match past {
        Past::Silent | Past::Running => {}
        Past::Body(bytes) => {
            account.begin_body(at(0), key);
            account.receive(at(0), key, bytes);
            assert!(account.reserve(at(0), key, Part::Body, bytes).is_granted);
        }
        Past::Answered => account.end_request(at(0), key),
    }
    key
}

/// Guards against a request that is cut while it runs, and against an ordinary caller that gives way to a silent one.
#[test_case(Past::Silent, Past::Answered; "silent before answered")]
#[test_case(Past::Silent, Past::Body(10); "silent before a body")]
#[test_case(Past::Body(10), Past::Body(90_000); "little before much")]
#[test_case(Past::Body(90_000), Past::Answered; "unfinished before answered")]
#[test_case(Past::Answered, Past::Running; "answered before running")]
fn who_has_sent_least_gives_way(first: Past, second: Past) {
    let mut account = account(7);
    let second = open(&mut account, second);
    let first = open(&mut account, first);
    assert_eq!(account.connect(at(999), Endpoint::Callers), (None, Vec::new()));
    let (key, shed) = account.connect(at(1_000), Endpoint::Callers);
    assert!(key.is_some());
    assert_eq!(shed.iter().map(|shed| shed.key).collect::<Vec<_>>(), [first]);
    assert!(!account.is_shed(second));
}

/// Guards against running requests that give way, whatever else is there.
#[test]
fn running_requests_never_give_way() {
    let mut account = account(7);
    for _ in 0..2 {
        open(&mut account, Past::Running);
    }
    assert_eq!(account.connect(at(60_000), Endpoint::Callers), (None, Vec::new()));
}

/// Guards against a connection that is closed although a request began on it after it was chosen.
#[test]
fn a_request_that_begins_revokes_the_choice() {
    let mut account = account(7);
    let chosen = open(&mut account, Past::Silent);
    open(&mut account, Past::Running);
    connect(&mut account, 2_000, Endpoint::Callers);
    assert!(account.is_shed(chosen));
    account.begin_request(at(2_001), chosen);
    assert!(!account.is_shed(chosen));
    assert_eq!(account.endpoint(Endpoint::Callers).connections, 3);
}

/// Guards against a crowd of bodies that keeps out requests without one, or those at another endpoint.
#[test]
fn bodies_leave_room_for_heads_and_other_doors() {
    let mut account = account(4_096);
    let body = 128 << 10;
    loop {
        let key = connect(&mut account, 0, Endpoint::Callers);
        if !account.reserve(at(0), key, Part::Body, body).is_granted {
            assert!(account.reserve(at(0), key, Part::Head, 16 << 10).is_granted);
            break;
        }
    }
    for endpoint in [Endpoint::Peers, Endpoint::Ready, Endpoint::Control, Endpoint::Metrics] {
        let key = connect(&mut account, 0, endpoint);
        assert!(account.reserve(at(0), key, Part::Body, body).is_granted, "{endpoint:?}");
    }
    assert!(account.has_room());
}

/// Guards against defaults that ordinary callers reach: 80 requests a second, each on a connection of its own that stays open
/// for 15 s, with bodies and answers that are held for 2 s.
#[test]
fn ordinary_callers_do_not_reach_the_defaults() {
    let mut account = Account::new(Bounds::new(ProcessLimits::default()));
    for _ in 0..80 * 15 {
        connect(&mut account, 0, Endpoint::Callers);
    }
    for _ in 0..80 * 2 {
        account.hold(Some(Endpoint::Callers), 60_000);
        account.hold(None, 90_000);
    }
    let key = connect(&mut account, 0, Endpoint::Callers);
    assert!(account.reserve(at(0), key, Part::Body, 192 << 10).is_granted);
    assert!(account.has_room());
}

/// Guards against reservations that are lost or given back twice, and against a bound that is passed, over random steps.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn what_is_held_is_given_back(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut account = account(400);
    let mut open: Vec<PeerKey> = Vec::new();
    for step in 0..20_000 {
        let now = at(step * 5);
        let endpoint = Endpoint::ALL[rng.random_range(0..Endpoint::ALL.len())];
        let mut shed = Vec::new();
        if open.is_empty() || rng.random_ratio(1, 4) {
            let (key, chosen) = account.connect(now, endpoint);
            open.extend(key);
            open.retain(|key| !chosen.iter().any(|shed| shed.key == *key));
            chosen.iter().for_each(|shed| account.disconnect(shed.key));
            continue;
        }
        let index = rng.random_range(0..open.len());
        let (key, bytes) = (open[index], rng.random_range(1..70_000));
        let phase = account.peers[key].phase;
        match (rng.random_range(0..6), phase) {
            (0, _) => account.disconnect(open.swap_remove(index)),
            (1, Phase::Idle) => account.begin_request(now, key),
            (1, Phase::Running) => account.end_request(now, key),
            (2, Phase::Running) => account.begin_body(now, key),
            (2, Phase::Body) => account.end_body(now, key),
            (3, Phase::Body) => shed = account.reserve(now, key, Part::Body, bytes).shed,
            (4, Phase::Idle) => shed = account.receive(now, key, bytes),
            _ => {}
        }
        open.retain(|key| !shed.iter().any(|shed| shed.key == *key));
        shed.iter().for_each(|shed| account.disconnect(shed.key));
        for endpoint in Endpoint::ALL {
            let peers = account.peers.values().filter(|peer| peer.endpoint == endpoint);
            let held = peers.fold(Usage::default(), |mut held, peer| {
                held.add(peer.usage());
                held
            });
            assert_eq!(held, account.endpoint(endpoint), "step {step}");
            assert!(
                held.bytes <= account.bounds.endpoint_bytes(endpoint, Part::Head),
                "step {step}"
            );
        }
    }
    open.into_iter().for_each(|key| account.disconnect(key));
    assert_eq!(account.bytes(), 0);
}
