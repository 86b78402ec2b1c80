use std::time::Duration;

use test_case::test_case;

use super::{Counter, MAX_TEAM_BYTES, MAX_TEAMS, MAX_WINDOWS, window_at, window_end};

const WINDOW: Duration = Duration::from_secs(5);

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Guards against a window that is off by one at its borders.
#[test_case(0.0, 0)]
#[test_case(4.999, 0)]
#[test_case(5.0, 1)]
#[test_case(1_767_225_600.0, 353_445_120)]
fn windows_begin_at_multiples_of_their_length(seconds: f64, index: u64) {
    assert_eq!(window_at(at(seconds), WINDOW), index);
    assert!(window_end(index, WINDOW) > at(seconds));
    assert_eq!(window_at(window_end(index, WINDOW), WINDOW), index + 1);
}

/// Guards against a request that is counted twice or for another team, and against one that was rejected and stays counted.
#[test]
fn requests_are_counted_by_team_and_window() {
    let mut counter = Counter::new(WINDOW);
    assert_eq!(counter.begin(at(1.0), "a"), Some(0));
    assert_eq!(counter.begin(at(4.0), "a"), Some(0));
    assert_eq!(counter.begin(at(4.0), "b"), Some(0));
    assert_eq!(counter.begin(at(6.0), "a"), Some(1));
    // The time of day jumps back.
    assert_eq!(counter.begin(at(2.0), "a"), Some(0));
    counter.undo(0, "b");
    assert_eq!(counter.counts(0), [("a".into(), 3)].into());
    assert_eq!(counter.counts(1), [("a".into(), 1)].into());
    assert!(counter.counts(2).is_empty());
    counter.undo(7, "a");
    counter.undo(1, "unknown");
    assert_eq!(counter.counts(1), [("a".into(), 1)].into());
}

/// Guards against memory that grows with the windows, the teams or the lengths of their names, and against a jump of the time
/// of day that displaces the windows after it.
#[test]
fn counts_are_bounded() {
    let mut counter = Counter::new(WINDOW);
    counter.begin(at(1e9), "a");
    for index in 0..MAX_WINDOWS as u64 {
        counter.begin(WINDOW * index as u32, "a");
    }
    assert!(counter.counts(window_at(at(1e9), WINDOW)).is_empty(), "the oldest is displaced");
    assert_eq!(counter.counts(0).len(), 1);
    for team in 0..MAX_TEAMS + 10 {
        counter.begin(WINDOW, &format!("team-{team}"));
    }
    assert_eq!(counter.counts(1).len(), MAX_TEAMS);
    assert_eq!(counter.begin(WINDOW, "a"), Some(1), "a known team is still counted");
    assert_eq!(counter.begin(Duration::ZERO, &"x".repeat(MAX_TEAM_BYTES + 1)), None);
    assert_eq!(counter.take_uncounted(), 12);
    assert_eq!(counter.take_uncounted(), 0);
}
