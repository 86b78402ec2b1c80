use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

use tokio::time::{Instant, sleep};

use super::{Answer, Collected, Counts, MAX_QUERIES, QUERY_TIMEOUT, QueryOutcome, collect};
use crate::keys::MemberId;

fn counts(count: u64) -> Counts {
    [("a".into(), count)].into()
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn members(ports: &[u16]) -> Vec<(MemberId, SocketAddr)> {
    ports.iter().map(|&port| (MemberId(port.into()), address(port))).collect()
}

/// Guards against a member that does not answer and delays the report beyond the deadline, is given up after one attempt, or
/// keeps the counts of the others out; and against a process that is counted twice because it is known under two ids.
#[tokio::test(start_paused = true)]
async fn each_process_is_included_once() {
    let attempts = RefCell::new(HashMap::<u16, u32>::new());
    let ask = |address: SocketAddr| {
        let port = address.port();
        let attempt = *attempts.borrow_mut().entry(port).and_modify(|n| *n += 1).or_insert(1);
        async move {
            match port {
                // The first answer of this one is lost.
                1 if attempt == 1 => QueryOutcome::Failed,
                1 => QueryOutcome::Counts(Answer { source: 11, counts: counts(10) }),
                2 | 3 => QueryOutcome::Counts(Answer { source: 22, counts: counts(100) }),
                4 => QueryOutcome::NotCounting,
                _ => {
                    sleep(QUERY_TIMEOUT).await;
                    QueryOutcome::Failed
                }
            }
        }
    };
    let local = Answer { source: 1, counts: counts(1) };
    let deadline = Instant::now() + Duration::from_secs(5);
    // The first has answered before it stopped and handed its counts over; the other one stopped before.
    let received = || [11, 33].map(|source| Answer { source, counts: counts(1_000) }).into();
    let collected = collect(local, deadline, || members(&[1, 2, 3, 4, 5]), ask, received).await;
    assert_eq!(collected, Collected { counts: counts(1_111), missing: 1 });
    assert!(Instant::now() <= deadline, "the report would be late");
    let attempts = attempts.into_inner();
    assert_eq!((attempts[&1], attempts[&2], attempts[&4]), (2, 1, 1));
    assert!(attempts[&5] > 3, "a member that does not answer is asked again");
}

/// Guards against queries to all members at once, and against a report that waits for the deadline if all have answered.
#[tokio::test(start_paused = true)]
async fn queries_are_bounded() {
    let (open, most) = (RefCell::new(0), RefCell::new(0));
    let ask = |address: SocketAddr| {
        let (open, most) = (&open, &most);
        async move {
            *open.borrow_mut() += 1;
            let now = *open.borrow();
            most.replace_with(|most| now.max(*most));
            sleep(Duration::from_millis(1)).await;
            *open.borrow_mut() -= 1;
            QueryOutcome::Counts(Answer { source: address.port().into(), counts: counts(1) })
        }
    };
    let ports: Vec<u16> = (1..=1_000).collect();
    let local = Answer { source: 0, counts: counts(1) };
    let deadline = Instant::now() + Duration::from_secs(60);
    let collected = collect(local, deadline, || members(&ports), ask, Vec::new).await;
    assert_eq!(collected, Collected { counts: counts(1_001), missing: 0 });
    assert!(Instant::now() + Duration::from_secs(50) < deadline);
    assert!(*most.borrow() <= MAX_QUERIES);
}
