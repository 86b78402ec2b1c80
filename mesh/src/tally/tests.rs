use super::Tally;

/// Guards against a wrong difference of two tallies after the target restarted and its counters were reset.
#[test]
fn reset_tally_counts_in_full() {
    let before =
        Tally { good: 100, bad: 5, service_ms: 9_000, timed: 90, sent: 106, ..Tally::default() };
    let after = Tally { good: 3, bad: 1, service_ms: 300, timed: 3, sent: 4, ..Tally::default() };
    assert_eq!(after.since(&before), after);
    let grown = Tally { good: 101, sent: 107, ..before };
    assert_eq!(grown.since(&before), Tally { good: 1, sent: 1, ..Tally::default() });
}
