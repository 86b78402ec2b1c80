use std::time::Duration;

use http::Method;
use slotmap::SlotMap;
use test_case::test_case;

use super::super::{LocalNode, Reducer};
use super::*;
use crate::{
    crash_guard::RequestHash,
    effect::{CallStep, Hop},
    event::{CallEvent, CallHead, Event, RequestIdentity, Timer},
    identity::Fingerprint,
    keys::MemberId,
    membership::{Body, Contact, Message},
    remote::FIRST_ANSWER_TIMEOUT,
    time::WallTime,
};

const NOW: Time = Time::from_micros(1_000_000);

fn member(n: u16, region: &str, service: &str) -> Member {
    let address = SocketAddr::from(([10, 0, 0, 1], n));
    Member {
        id: MemberId(n.into()),
        incarnation: 0,
        revised: 0,
        service: service.into(),
        version: "1".into(),
        centre: region.into(),
        region: region.into(),
        peer: address,
        control: address,
        gossip: address,
        is_leaving: false,
        is_cold: false,
    }
}

/// Returns a node in the region `north` that knows a contact in the region `south`, and a call to a service there that
/// waits for its members.
fn node_with_waiting_call() -> (Reducer, CallKey) {
    let info = member(1, "north", "catalogue");
    let started = WallTime::from_millis(1);
    let drain_timeout = Duration::from_secs(1);
    let local = LocalNode { info, started, slots: 12, contacts: vec![], drain_timeout };
    let mut reducer = Reducer::new(local, 1);
    let document = serde_json::json!({
        "centres": { "north": { "region": "north" }, "south": { "region": "south" } },
        "services": { "catalogue": {}, "orders": {} },
    });
    let document =
        serde_json::from_value::<Document>(document).expect("the document is valid").into();
    let remote_member = member(2, "south", "stock");
    let (gossip, peer) = (remote_member.gossip, remote_member.peer);
    let contact = Contact {
        id: remote_member.id,
        centre: remote_member.centre,
        region: remote_member.region,
        gossip,
        peer,
    };
    let mut keys: SlotMap<CallKey, ()> = SlotMap::with_key();
    let key = keys.insert(());
    let head = CallHead {
        service: "orders".into(),
        method: Method::GET,
        path: "/".into(),
        timeout: None,
        depth: 0,
        fingerprint: Fingerprint::new("orders", "GET", "/", None),
        identity: RequestIdentity::default(),
        crash_fingerprint: RequestHash::default(),
    };
    let events = [
        Event::Document { revision: 1, document },
        Event::Contacts(vec![contact]),
        Event::Call(key, CallEvent::Arrived(head)),
    ];
    let mut out = vec![];
    for event in events {
        reducer.apply(NOW, event, &mut out);
    }
    let is_request = |effect: &Effect| match effect {
        Effect::Send { to, message } => {
            *to == gossip && matches!(message.body, Body::CrossRegion(_))
        }
        _ => false,
    };
    assert!(out.iter().any(is_request), "{out:?}");
    assert!(steps(&out).is_empty(), "{out:?}");
    (reducer, key)
}

fn steps(out: &[Effect]) -> Vec<&CallStep> {
    let calls = out.iter().filter_map(|effect| match effect {
        Effect::Call(_, step) => Some(step),
        _ => None,
    });
    calls.collect()
}

/// Guards against a first call to a service of another region that is refused before the region has answered, or that
/// keeps waiting although the answer lists no member.
#[test_case(Some(3); "a member")]
#[test_case(None; "no member")]
fn call_waits_for_the_answer(known: Option<u16>) {
    let (mut reducer, _) = node_with_waiting_call();
    let (remote_member, target) =
        (member(2, "south", "stock"), known.map(|n| member(n, "south", "orders")));
    let from = Source { id: remote_member.id, address: remote_member.gossip };
    let (_, answer) = CrossRegion::members_message(&"orders".into(), target.clone());
    let body = Body::CrossRegion(answer);
    let message = Message { revision: 0, payload: vec![], updates: vec![], body };
    let mut out = vec![];
    reducer.apply(NOW, Event::Gossip(from, Box::new(message)), &mut out);
    match (&steps(&out)[..], target) {
        ([CallStep::Attempt(attempt)], Some(target)) => {
            assert_eq!((attempt.member, attempt.hop), (target.id, Hop::Peer(target.peer)));
        }
        ([CallStep::Refuse(_)], None) => {}
        (steps, target) => panic!("{steps:?} with {target:?}"),
    }
}

/// Guards against a call that waits longer than [`FIRST_ANSWER`] for a region that does not answer.
#[test]
fn call_does_not_wait_for_a_silent_region() {
    let (mut reducer, _) = node_with_waiting_call();
    let mut out = vec![];
    let before = NOW + (FIRST_ANSWER_TIMEOUT - Duration::from_millis(1));
    reducer.apply(before, Event::Timer(Timer::Tick), &mut out);
    assert!(steps(&out).is_empty(), "{out:?}");
    reducer.apply(NOW + FIRST_ANSWER_TIMEOUT, Event::Timer(Timer::Tick), &mut out);
    assert!(matches!(steps(&out)[..], [CallStep::Refuse(_)]), "{out:?}");
}
