use std::time::Duration;

use test_case::test_case;

use super::{Discipline, Reading};

const START: Duration = Duration::from_secs(1_000_000);

/// Applies readings every 500 ms; the time of day is ahead by `jump` seconds from 10 s until `back` s. Returns by how many
/// seconds the windows are off at each reading.
fn offsets(jump: f64, back: u64, seconds: u64) -> Vec<f64> {
    let reading = |half: u64| {
        let time = Duration::from_millis(500 * half);
        let is_off = (20..back * 2).contains(&half);
        let wall = (START + time).as_secs_f64() + if is_off { jump } else { 0.0 };
        Reading { steady: time, uptime: Some(time), wall: Duration::from_secs_f64(wall) }
    };
    let mut discipline = Discipline::new(reading(0));
    let windows = (1..seconds * 2).map(|half| {
        let skew = discipline.observe(reading(half));
        reading(half).wall.as_secs_f64()
            - skew as f64 / 1e6
            - (START + reading(half).steady).as_secs_f64()
    });
    windows.collect()
}

/// Guards against windows that move with a short jump of the time of day, and against a correction that is never followed.
#[test_case(3.0, 25, 0.0; "a short jump ahead")]
#[test_case(-4.0, 25, 0.0; "a short jump back")]
#[test_case(0.1, 100, 0.1; "a small correction")]
#[test_case(-2.0, 100, -2.0; "a lasting correction")]
fn a_short_jump_moves_no_window(jump: f64, back: u64, expected: f64) {
    let offsets = offsets(jump, back, 60);
    let is_near = |left: f64, right: f64| (left - right).abs() < 0.01;
    assert!(is_near(*offsets.last().expect("readings"), expected), "{offsets:?}");
    let first = offsets[..30].iter().copied().fold(0.0, |most: f64, offset| most.max(offset.abs()));
    assert!(first <= 0.11, "{offsets:?}");
}

/// Guards against a lease that seems valid after a suspension, whichever clock shows it.
#[test_case(0, 8, 8; "the uptime and the time of day")]
#[test_case(8, 8, 8; "a process that is stopped while its clocks go on")]
#[test_case(0, 0, 8; "the time of day alone")]
fn a_suspension_counts_as_elapsed(steady: u64, uptime: u64, wall: u64) {
    let reading = |[steady, uptime, wall]: [u64; 3]| Reading {
        steady: Duration::from_secs(steady),
        uptime: Some(Duration::from_secs(uptime)),
        wall: START + Duration::from_secs(wall),
    };
    let mut discipline = Discipline::new(reading([0, 0, 0]));
    discipline.observe(reading([1, 1, 1]));
    discipline.observe(reading([steady + 1, uptime + 1, wall + 1]));
    assert_eq!(discipline.elapsed(), Duration::from_secs(9));
}

/// Guards against a lease that seems valid for longer where the uptime cannot be read or the time of day jumps back.
#[test]
fn time_never_runs_back() {
    let reading = |steady: u64, wall: u64| Reading {
        steady: Duration::from_secs(steady),
        uptime: None,
        wall: Duration::from_secs(wall),
    };
    let mut discipline = Discipline::new(reading(0, 1_000));
    discipline.observe(reading(2, 900));
    assert_eq!(discipline.elapsed(), Duration::from_secs(2));
}

/// Guards against windows that end too early because the uptime runs faster than the other clocks, as it did on days that were
/// played slower than real time: counts were reported before their window had begun.
#[test]
fn a_fast_uptime_moves_no_window() {
    let reading = |n: u64| Reading {
        steady: Duration::from_millis(500 * n),
        uptime: Some(Duration::from_millis(1_500 * n)),
        wall: START + Duration::from_millis(500 * n),
    };
    let mut discipline = Discipline::new(reading(0));
    assert!((1..120).all(|n| discipline.observe(reading(n)) == 0));
    assert_eq!(
        discipline.elapsed(),
        Duration::from_millis(1_500 * 119),
        "a lease counts by the fastest clock"
    );
}
