use std::net::Ipv4Addr;

use test_case::test_case;

use super::{
    serve::{MAX_SUBSCRIPTIONS, SUBSCRIPTION_TTL},
    *,
};
use crate::membership::MAX_NAME_BYTES;

const NOW: Time = Time::from_micros(1_000_000);
const CONTACT: MemberId = MemberId(100);

fn address(n: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + n), 7_000))
}

fn member(n: u32) -> Member {
    Member {
        id: MemberId(n.into()),
        incarnation: 0,
        revised: 0,
        service: "orders".into(),
        version: "1".into(),
        centre: "south-1".into(),
        region: "south".into(),
        peer: address(n),
        control: address(n),
        gossip: address(n),
        is_leaving: false,
        is_cold: false,
    }
}

fn contact(n: u32, centre: &str) -> Contact {
    let (id, region) = (MemberId(n.into()), "south".into());
    Contact { id, centre: centre.into(), region, gossip: address(n), peer: address(n) }
}

fn source(n: u32) -> Source {
    Source { id: MemberId(n.into()), address: address(n) }
}

fn members(members: &[u32]) -> CrossRegion {
    CrossRegion::members_message(&"orders".into(), members.iter().map(|n| member(*n))).1
}

/// Returns a node in the north with one contact in the south, which has subscribed to a service there.
fn subscribed() -> Remote {
    let mut remote = Remote::new(MemberId(1), "north".into());
    remote.add_contacts(&[contact(100, "south-1")]);
    let mut out = vec![];
    remote.subscribe(NOW, &"orders".into(), &mut out);
    assert_eq!(asked(&out), [address(100)]);
    remote
}

fn asked(out: &[Action]) -> Vec<SocketAddr> {
    let asked = |action: &Action| match action {
        Action::Send { to, message: CrossRegion::Subscribe { .. } } => Some(*to),
        _ => None,
    };
    out.iter().filter_map(asked).collect()
}

fn seen(out: &[Action]) -> Vec<u64> {
    let seen = |action: &Action| match action {
        Action::Seen(member) => Some(member.id.0),
        _ => None,
    };
    out.iter().filter_map(seen).collect()
}

fn gone(out: &[Action]) -> usize {
    out.iter().filter(|action| matches!(action, Action::Gone(_))).count()
}

/// Guards against accepting members from a sender that was not asked, or members of another region or service.
#[test_case(source(100), members(&[7, 8]), &[7, 8]; "answer")]
#[test_case(source(101), members(&[7]), &[]; "answer of a member that was not asked")]
#[test_case(source(100), CrossRegion::Members { service: "orders".into(), digest: 1,
    members: vec![Member { region: "north".into(), ..member(7) }] }, &[]; "other region")]
#[test_case(source(100), CrossRegion::Members { service: "orders".into(), digest: 1,
    members: vec![Member { service: "stock".into(), ..member(7) }] }, &[]; "other service")]
#[test_case(source(100), CrossRegion::Members { service: "orders".into(), digest: 1,
    members: vec![Member { peer: "0.0.0.0:0".parse().unwrap(), ..member(7) }] }, &[]; "no address")]
fn answers_are_checked(from: Source, message: CrossRegion, known: &[u64]) {
    let mut out = vec![];
    subscribed().receive(NOW, from, message, &mut out);
    assert_eq!(seen(&out), known);
}

/// Guards against renewals that all go to the few contacts, that stop early or that never stop.
#[test]
fn subscription_is_renewed_at_members_while_calls_continue() {
    let mut remote = subscribed();
    remote.receive(NOW, source(100), members(&[7]), &mut vec![]);
    let mut out = vec![];
    remote.tick(NOW + (RENEWAL_INTERVAL - Duration::from_millis(1)), &mut out);
    assert_eq!(asked(&out), []);
    remote.tick(NOW + RENEWAL_INTERVAL, &mut out);
    assert_eq!(asked(&out), [address(7)]);
    assert_eq!(gone(&out), 0);
    remote.tick(NOW + UNUSED_TIMEOUT, &mut out);
    assert_eq!(gone(&out), 1);
    out.clear();
    remote.tick(NOW + UNUSED_TIMEOUT + RENEWAL_INTERVAL, &mut out);
    assert_eq!(out, []);
}

/// Guards against missing changes after the subscription's source leaves: it pushes nothing more, and the next
/// renewal may be seconds away.
#[test]
fn leaving_source_is_replaced_at_once() {
    let mut remote = subscribed();
    remote.receive(NOW, source(100), members(&[7, 8]), &mut vec![]);
    let mut out = vec![];
    remote.tick(NOW + RENEWAL_INTERVAL, &mut out);
    let old = asked(&out)[0];
    let (old, other) = if old == address(7) { (7, 8) } else { (8, 7) };
    remote.receive(NOW + RENEWAL_INTERVAL, source(old), members(&[other]), &mut vec![]);
    out.clear();
    remote.tick(NOW + RENEWAL_INTERVAL, &mut out);
    assert_eq!(asked(&out), [address(other)]);
}

/// Guards against removing the members of an unreachable region too early or too late, against not marking them as
/// unconfirmed, and against too many retries meanwhile.
#[test]
fn silent_region_is_unconfirmed_then_forgotten() {
    let mut remote = subscribed();
    remote.receive(NOW, source(100), members(&[7, 8]), &mut vec![]);
    let (mut marked, mut forgotten, mut requests) = (None, None, 0);
    let end = NOW + REMOVAL_TIMEOUT + Duration::from_secs(10);
    let mut now = NOW;
    while now < end {
        now += Duration::from_millis(100);
        let mut out = vec![];
        remote.subscribe(now, &"orders".into(), &mut out);
        remote.tick(now, &mut out);
        requests += asked(&out).len();
        if out.iter().any(|a| matches!(a, Action::Confirmed { is_confirmed: false, .. })) {
            assert_eq!(marked.replace(now.since(NOW)), None);
        }
        if gone(&out) > 0 {
            assert_eq!((gone(&out), forgotten.replace(now.since(NOW))), (2, None));
        }
    }
    assert_eq!((marked, forgotten), (Some(CONFIRMATION_TIMEOUT), Some(REMOVAL_TIMEOUT)));
    assert!(requests <= 5 + 610 / 8, "{requests} requests");
    let mut out = vec![];
    remote.receive(now, Source { id: CONTACT, ..source(100) }, members(&[7, 8]), &mut out);
    if seen(&out).is_empty() {
        remote.tick(now + MAX_RETRY_DELAY, &mut out);
        remote.receive(now + MAX_RETRY_DELAY, source(100), members(&[7, 8]), &mut out);
    }
    assert_eq!(seen(&out), [7, 8]);
    assert!(out.iter().any(|a| matches!(a, Action::Confirmed { is_confirmed: true, .. })));
}

/// Guards against calls that wait although all regions have answered or the timeout has passed.
#[test]
fn calls_wait_only_for_the_first_answer() {
    let mut remote = subscribed();
    assert!(remote.is_pending(NOW, "orders"));
    assert!(!remote.is_pending(NOW + FIRST_ANSWER_TIMEOUT, "orders"));
    assert!(!remote.is_pending(NOW, "stock"));
    remote.receive(NOW, source(100), members(&[]), &mut vec![]);
    assert!(!remote.is_pending(NOW, "orders"));
}

/// Guards against unbounded growth of contacts, subscriptions and subscribers.
#[test]
fn tables_are_bounded() {
    let mut remote = Remote::new(MemberId(1), "north".into());
    for n in 0..1_000 {
        remote.add_contacts(&[contact(n, &format!("south-{}", n % 40))]);
        remote.subscribe(NOW, &format!("service-{n}").into(), &mut vec![]);
    }
    assert_eq!(
        (remote.contacts.len(), remote.subscriptions.len()),
        (20 * WATCHERS_PER_CENTRE, MAX_REMOTE_SERVICES)
    );
    let mut out = vec![];
    remote.tick(NOW, &mut out);
    let calls = 1_000 - MAX_REMOTE_SERVICES as u64;
    assert!(out.contains(&Action::Full { calls }));

    let mut serving = SubscriptionServer::default();
    for n in 0..1_000 {
        serving.handle_subscribe(NOW, source(n), "orders".into(), 0, vec![member(7)]);
    }
    assert_eq!(pushed(&mut serving, NOW, &[7, 8]), MAX_SUBSCRIPTIONS);
}

/// Guards against changes that are not pushed, are pushed twice, or are pushed after the subscription's end.
#[test]
fn changes_are_pushed_once_until_the_end() {
    let mut serving = SubscriptionServer::default();
    let (digest, answer) = CrossRegion::members_message(&"orders".into(), [member(7)]);
    let subscribe = |serving: &mut SubscriptionServer, held| {
        serving.handle_subscribe(NOW, source(1), "orders".into(), held, vec![member(7)])
    };
    assert_eq!(subscribe(&mut serving, 0), answer);
    let unchanged = CrossRegion::Unchanged { service: "orders".into(), digest };
    assert_eq!(subscribe(&mut serving, digest), unchanged);
    assert_eq!(pushed(&mut serving, NOW, &[7]), 0);
    assert_eq!(pushed(&mut serving, NOW, &[7, 8]), 1);
    assert_eq!(pushed(&mut serving, NOW, &[7, 8]), 0);
    assert_eq!(pushed(&mut serving, NOW + SUBSCRIPTION_TTL, &[7]), 0);
}

/// Guards against a change that is lost because the byte budget was used up when it happened.
#[test]
fn throttled_change_is_pushed_later() {
    let mut serving = SubscriptionServer::default();
    serving.handle_subscribe(NOW, source(1), "orders".into(), 0, vec![member(7)]);
    serving.mark_changed(&"orders".into());
    serving.push(NOW, |_| vec![member(8)], |_, _| false);
    let mut sent = 0;
    serving.push(
        NOW,
        |_| vec![member(8)],
        |_, _| {
            sent += 1;
            true
        },
    );
    assert_eq!(sent, 1);
}

fn pushed(serving: &mut SubscriptionServer, now: Time, members: &[u32]) -> usize {
    serving.mark_changed(&"orders".into());
    let mut sent = 0;
    let list = |_: &str| members.iter().map(|n| member(*n)).collect();
    serving.push(now, list, |_, _| {
        sent += 1;
        true
    });
    sent
}

/// Guards against answers or contact lists that exceed the size of a datagram.
#[test]
fn answers_fit_a_datagram() {
    let long: CompactString = "x".repeat(MAX_NAME_BYTES).into();
    let wide = |n| Member {
        service: long.clone(),
        version: long.clone(),
        centre: long.clone(),
        region: long.clone(),
        ..member(n)
    };
    let mut remote = Remote::new(MemberId(1), "north".into());
    for n in 0..60 {
        let centre = format!("{n:0>64}");
        remote.add_contacts(&[Contact { region: long.clone(), ..contact(n, &centre) }]);
    }
    let (_, answer) = CrossRegion::members_message(&long, (0..100).map(wide));
    for message in [answer, remote.contacts_message()] {
        let body = crate::membership::Body::CrossRegion(message);
        let message = crate::membership::Message {
            revision: u64::MAX,
            payload: vec![],
            updates: vec![],
            body,
        };
        let bytes = crate::membership::encoded_bytes(&message);
        assert!(bytes <= crate::membership::MAX_MESSAGE_BYTES, "{bytes} bytes");
        assert!(bytes > 600, "{bytes} bytes use little of the datagram");
    }
}
