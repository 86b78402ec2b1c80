use std::time::Duration;

use test_case::test_case;

use super::{Directory, MemberRecord};
use crate::{fanout, keys::MemberId, report::LoadReport, time::Time};

const LOCAL: MemberId = MemberId(1);

fn record(id: u64, port: u16) -> MemberRecord {
    MemberRecord {
        id: MemberId(id),
        address: ([127, 0, 0, 1], port).into(),
        centre: "a".into(),
        service: "stock".into(),
    }
}

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1_000)
}

fn report_load(directory: &mut Directory, now: Time, id: u64) {
    let key = directory.key(MemberId(id)).expect("a member");
    let load = LoadReport { is_open: true, ..LoadReport::default() };
    directory.get_mut(key).expect("a member").update_load(now, load);
}

/// Guards against sending requests to an ended process whose address another process has taken over.
#[test]
fn new_process_replaces_the_one_at_its_address() {
    let mut directory = Directory::new("a".into());
    directory.upsert(at(0), record(2, 80));
    directory.upsert(at(0), record(3, 80));
    assert!(directory.key(MemberId(2)).is_none());
    assert_eq!(directory.members_of("stock").count(), 1);
}

/// Guards against losing a live member to the record of the process before it, which a restored store holds again.
#[test]
fn a_restored_record_does_not_replace_a_live_member() {
    let mut directory = Directory::new("a".into());
    directory.upsert(at(0), record(2, 80));
    directory.upsert(at(0), record(3, 80));
    report_load(&mut directory, at(0), 3);
    directory.replace(at(100), vec![record(2, 80)]);
    let open = |directory: &Directory| -> Vec<MemberId> {
        let members = directory.members_of("stock").filter(|(_, member)| member.is_open());
        members.map(|(_, member)| member.record.id).collect()
    };
    assert_eq!(open(&directory), [MemberId(3)]);
    directory.upsert(at(0), record(3, 80));
    report_load(&mut directory, at(1_000), 3);
    directory.mark_removed(at(1_000), MemberId(2));
    let expired = directory.expire(at(1_100), LOCAL);
    assert_eq!(expired.len(), 1);
    assert_eq!(open(&directory), [MemberId(3)]);
}

/// Guards against keeping an ended member whose successor at its address registered after the store's return.
#[test]
fn a_restored_record_replaces_a_silent_member() {
    let mut directory = Directory::new("a".into());
    directory.upsert(at(0), record(2, 80));
    report_load(&mut directory, at(0), 2);
    directory.replace(at(10_000), vec![record(3, 80)]);
    assert!(directory.key(MemberId(2)).is_none());
    assert!(directory.key(MemberId(3)).is_some());
}

/// Guards against sending requests to ended processes whose records are still in the store when all nodes restart.
#[test]
fn member_without_load_report_gets_no_requests() {
    let mut directory = Directory::new("a".into());
    directory.upsert(at(0), record(2, 80));
    let (_, member) = directory.members_of("stock").next().expect("a member");
    assert!(directory.is_silent(at(0), member) && !member.is_open());
    report_load(&mut directory, at(5), 2);
    let (_, member) = directory.members_of("stock").next().expect("a member");
    assert!(!directory.is_silent(at(5), member) && member.is_open());
}

/// Guards against losing all members because their leases expire while the store is unreachable.
#[test]
fn reporting_member_outlives_its_record() {
    let mut directory = Directory::new("a".into());
    directory.upsert(at(0), record(2, 80));
    directory.upsert(at(0), record(3, 81));
    for now in [0, 1_000, 2_000, 3_000] {
        report_load(&mut directory, at(now), 2);
    }
    directory.replace(at(100), Vec::new());
    let expired = directory.expire(at(4_000), LOCAL);
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].record.id, MemberId(3));
    assert!(directory.key(MemberId(2)).is_some());
    let later = at(4_000) + Duration::from_secs(3);
    assert_eq!(directory.expire(later, LOCAL).len(), 1);
}

/// Guards against treating members of another data centre as silent between two of their status datagrams.
#[test_case(40; "all in each round")]
#[test_case(100; "in rotation")]
fn silence_limit_exceeds_the_status_interval(members: usize) {
    let mut directory = Directory::new("b".into());
    for id in 0..members as u64 {
        directory.upsert(at(0), record(id + 2, id as u16 + 80));
    }
    report_load(&mut directory, at(0), 2);
    let key = directory.key(MemberId(2)).expect("a member");
    let rounds = fanout::full_rounds(super::OTHER_CENTRE_FANOUT, members);
    let interval = super::other_centre_interval(members) * rounds * 2;
    let member = directory.get(key).expect("a member");
    assert!(!directory.is_silent(Time::ZERO + interval, member));
    assert!(directory.is_silent(Time::ZERO + interval * 2, member));
}
