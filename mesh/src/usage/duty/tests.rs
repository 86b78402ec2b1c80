mod store;
mod world;

use std::time::Duration;

use test_case::{test_case, test_matrix};

use super::Note;
use crate::usage::SendOutcome;

use self::world::{Fault, STEP, World, settings};

const LONG: Duration = Duration::from_secs(6);
const SHORT: Duration = Duration::from_millis(1_200);

/// Asserts that all windows whose reports are due are accepted, from the window `first` on.
fn assert_reported(world: &World, first: u64) {
    let last = world.window() - 3;
    assert!(first <= last, "the run is too short");
    let missing: Vec<u64> =
        (first..=last).filter(|window| !world.platform.accepted.contains_key(window)).collect();
    assert!(missing.is_empty(), "{missing:?} of {first} to {last}: {:?}", world.notes);
}

/// Guards against windows without a report where nothing fails.
#[test]
fn all_windows_are_reported_without_faults() {
    for seed in 0..20 {
        let mut world = World::new(3, seed);
        let first = world.window() + 2;
        world.run(Duration::from_secs(120));
        assert_reported(&world, first);
        assert_eq!(world.platform.holders.len(), 1, "the holder changed: {:?}", world.notes);
    }
}

/// Guards against calls of a holder that has lost its lease, or whose call or answer was lost, at each step of the duty; the
/// world checks each call. Afterwards all windows must be reported again.
#[test_matrix(
    ["look", "read", "grant", "take", "renew", "gather", "record", "send"],
    [Fault::Suspend(LONG), Fault::Suspend(SHORT), Fault::Restart, Fault::LoseAnswer, Fault::LoseCall, Fault::Delay(SHORT),
        Fault::Delay(LONG)],
    [1, 2]
)]
fn a_fault_at_a_step_does_no_harm(kind: &'static str, fault: Fault, count: u32) {
    for seed in 0..10 {
        let mut world = World::new(2, seed);
        world.planned = Some((kind, count, fault));
        world.run(Duration::from_secs(30));
        // Its successor makes the calls that a holder makes once.
        if let Some(holder) = world.holder() {
            world.restart(holder);
        }
        world.run(Duration::from_secs(30));
        assert_eq!(world.planned, None, "the step was not reached");
        let first = world.window();
        world.run(Duration::from_secs(40));
        assert_reported(&world, first);
    }
}

/// Guards against a report that is counted a second time, a fence number that is used twice, and holders in alternation, while
/// the store and the platform lose and delay answers, machines are suspended and restarted, and times of day jump.
#[test_case(2, 0.02; "two machines with few faults")]
#[test_case(2, 0.2; "two machines with many faults")]
#[test_case(3, 0.1; "three machines")]
fn random_faults_do_no_harm(machines: usize, fault_rate: f64) {
    for seed in 0..150 {
        let mut world = World::new(machines, seed);
        world.fault_rate = fault_rate;
        for _ in 0..10 {
            world.set_clocks(false);
            world.run(Duration::from_secs(15));
        }
        world.fault_rate = 0.0;
        world.set_clocks(true);
        world.run(Duration::from_secs(25));
        let first = world.window();
        world.run(Duration::from_secs(30));
        assert_reported(&world, first);
    }
}

/// Guards against fence numbers and recorded reports that are lost when the store returns from an earlier copy, and are then
/// given out or counted again.
#[test_case(0.0; "nothing else fails")]
#[test_case(0.05; "with other faults")]
fn a_restored_store_does_no_harm(fault_rate: f64) {
    for seed in 0..100 {
        let mut world = World::new(3, seed);
        world.fault_rate = fault_rate;
        for seconds in [3, 12, 40] {
            world.run(Duration::from_secs(30) + STEP * (seed as u32 % 40));
            world.restore(seconds);
        }
        world.fault_rate = 0.0;
        world.run(Duration::from_secs(40));
        let first = world.window();
        world.run(Duration::from_secs(30));
        assert_reported(&world, first);
    }
}

/// Guards against a holder that sends while a call of its predecessor, whose lease the store has lost, is on its way.
#[test]
fn a_late_call_of_the_predecessor_comes_first() {
    for seed in 0..300 {
        let mut world = World::new(2, seed);
        world.run(Duration::from_secs(30));
        world.planned = Some(("send", 1, Fault::Delay(LONG)));
        while world.planned.is_some() {
            world.run(STEP);
        }
        world.restore(1);
        world.run(Duration::from_secs(20));
        assert_eq!(world.platform.holders.len(), 2, "{:?}", world.notes);
    }
}

/// Guards against a window that is lost when a holder is killed, and against a successor that counts a recorded report anew.
#[test]
fn a_successor_goes_on_with_a_higher_fence() {
    for seed in 0..40 {
        let mut world = World::new(2, seed);
        let first = world.window() + 2;
        world.run(Duration::from_secs(30) + STEP * (seed as u32 * 3));
        let holder = world.holder().expect("a holder");
        world.restart(holder);
        world.run(Duration::from_secs(60));
        assert_reported(&world, first);
        let fences: Vec<u64> = world.platform.holders.keys().copied().collect();
        assert_eq!(fences.len(), 2, "{:?}", world.notes);
    }
}

/// Guards against a graceful stop in the middle of a report, and against a duty that stays taken until the lease has ended.
#[test]
fn a_stopping_holder_gives_the_duty_up() {
    for seed in 0..40 {
        let mut world = World::new(2, seed);
        let first = world.window() + 2;
        world.run(Duration::from_secs(30) + STEP * (seed as u32 * 3));
        let holder = world.holder().expect("a holder");
        world.stop(holder);
        world.run(Duration::from_secs(4));
        let is_released = |note: &Note| matches!(note, Note::Released { .. });
        assert!(world.notes.iter().any(is_released), "{:?}", world.notes);
        world.run(Duration::from_secs(40));
        assert_ne!(world.holder(), Some(holder));
        assert_reported(&world, first);
    }
}

/// Guards against a report that is given up too early or repeated for ever while the platform refuses calls.
#[test_case(SendOutcome::Busy(429), 8, true; "a short overload")]
#[test_case(SendOutcome::Busy(503), 40, false; "a long outage")]
#[test_case(SendOutcome::Rejected(400), 20, false; "refused for good")]
fn a_platform_that_refuses_reports(status: SendOutcome, seconds: u64, is_complete: bool) {
    let mut world = World::new(2, 7);
    let first = world.window() + 2;
    world.run(Duration::from_secs(30));
    world.status = status;
    world.run(Duration::from_secs(seconds));
    world.status = SendOutcome::Accepted;
    let later = world.window() + 1;
    world.run(Duration::from_secs(40));
    let missed = world.notes.iter().filter(|note| matches!(note, Note::Missed { .. })).count();
    assert_eq!(missed == 0, is_complete, "{:?}", world.notes);
    assert_reported(&world, if is_complete { first } else { later });
    assert_eq!(world.platform.holders.len(), 1, "a refusal is no reason to change the holder");
    assert_eq!(settings().window * 2, settings().late);
}
