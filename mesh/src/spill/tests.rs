mod model;

use std::time::Duration;

use rand::{Rng as _, SeedableRng, rngs::SmallRng};
use test_case::test_case;

use self::model::{Model, Second, away, in_time};
use super::{CentreLoad, MeanDemand, Spill, Travel};
use crate::{placement::Demand, report::LoadReport, time::Time};

const DEMAND: Demand = Demand {
    nominal_service: Duration::from_millis(100),
    time_left: Duration::from_millis(500),
    size: 5_000,
};

const MEAN: MeanDemand =
    MeanDemand { service_s: 0.1, objective_s: 0.5, size: 5_000.0, cold_rate: 10.0 };

/// A change of the model before a second, by its number.
type Course = fn(&mut Model, usize);

fn play(
    targets: &[usize],
    has_spill: bool,
    seed: u64,
    seconds: usize,
    course: Course,
) -> Vec<Second> {
    let mut model = Model::new(targets, has_spill, seed);
    let second = |number| {
        course(&mut model, number);
        model.run(1)[0]
    };
    (0..seconds).map(second).collect()
}

fn step(model: &mut Model, second: usize) {
    model.rates = if second < 10 { vec![100.0, 60.0] } else { vec![230.0, 60.0] };
}

fn tight_step(model: &mut Model, second: usize) {
    model.objective_ms = 300;
    step(model, second);
}

fn swing(model: &mut Model, second: usize) {
    model.objective_ms = 300;
    let swing = 0.55 * (second as f64 / 10.0).sin();
    model.rates = vec![125.0 * (1.0 + swing), 125.0 * (1.0 - swing)];
}

fn uneven(model: &mut Model, _: usize) {
    model.objective_ms = 300;
    model.rates = vec![125.0; 4];
}

fn lost(model: &mut Model, second: usize) {
    model.rates = vec![230.0, 30.0, 60.0];
    model.is_lost[1] = (20..40).contains(&second);
    if model.is_lost[1] {
        model.rates = vec![200.0, 0.0, 60.0];
    }
}

fn evacuated(model: &mut Model, second: usize) {
    model.rates = vec![200.0, 30.0, 60.0];
    model.is_evacuated[1] = (20..40).contains(&second);
}

fn old_reports(model: &mut Model, second: usize) {
    model.slow_reports(2_000);
    step(model, second);
}

/// Guards against a decision that serves callers worse than the cost of each request alone, which stays in force where no
/// share leaves. The figures are printed, and stated in the design note.
#[expect(clippy::print_stdout, reason = "the figures are results")]
#[test]
fn callers_get_no_less_with_the_decision() {
    let courses: [(&str, &[usize], Course); 7] = [
        ("step", &[2, 2], step),
        ("tight step", &[2, 2], tight_step),
        ("swing", &[2, 2], swing),
        ("uneven", &[3, 2, 2, 1], uneven),
        ("lost", &[2, 2, 2], lost),
        ("evacuated", &[2, 2, 2], evacuated),
        ("old reports", &[2, 2], old_reports),
    ];
    for (name, targets, course) in courses {
        let run = |has_spill| {
            let seconds = (1..=3).flat_map(|seed| play(targets, has_spill, seed, 60, course));
            let seconds: Vec<Second> = seconds.collect();
            (in_time(&seconds), away(&seconds))
        };
        let ((without, away_without), (with, away_with)) = (run(false), run(true));
        println!(
            "{name}: {without:.4}, {with:.4} with; away {away_without:.3}, {away_with:.3} with"
        );
        assert!(with >= without - 0.001, "{name}: {without} {with}");
    }
}

fn mean(seconds: &[Second], value: impl Fn(&Second) -> f64) -> f64 {
    seconds.iter().map(value).sum::<f64>() / seconds.len() as f64
}

/// Guards against an oscillating share: at 230 requests per second for targets that bear about 150, a third has to leave.
///
/// Nodes with old reports send too many requests at once to the other data centre by cost, so that it sends a few back.
#[test_case(step, 1, 0.0; "reports of 100 to 500 ms")]
#[test_case(step, 2, 0.0; "another seed")]
#[test_case(old_reports, 1, 0.1; "old reports at every second node")]
fn share_settles_after_a_step(course: Course, seed: u64, most_back: f64) {
    let seconds = play(&[2, 2], true, seed, 60, course);
    assert!(seconds[..10].iter().all(|second| second.shares == [0.0; 4]));
    let settled = &seconds[25..];
    let centre = mean(settled, |second| second.shares[0]);
    assert!((0.25..0.45).contains(&centre), "{centre}");
    let largest =
        settled.iter().map(|second| (second.shares[0] - centre).abs()).fold(0.0, f64::max);
    assert!(largest < 0.12, "{centre} {largest}");
    let other = mean(settled, |second| second.shares[1]);
    assert!(other <= most_back, "the other one keeps its own: {other}");
}

/// Guards against traffic that leaves although the local targets suffice, and against a share that stays after a swing.
#[test]
fn share_follows_a_swing_out_of_phase() {
    let seconds = play(&[2, 2], true, 1, 126, swing);
    for (second, centre) in [(15, 0), (47, 1), (78, 0), (110, 1)] {
        assert!(seconds[second].shares[centre] > 0.1, "{second} {:?}", seconds[second]);
        assert_eq!(seconds[second].shares[1 - centre], 0.0, "{second}");
    }
}

/// Guards against a small data centre that keeps what it does not bear, and against shares of ones that suffice.
#[test]
fn only_the_smallest_data_centre_sends_traffic_away() {
    let seconds = play(&[3, 2, 2, 1], true, 1, 40, uneven);
    let share = |centre: usize| mean(&seconds[10..], |second| second.shares[centre]);
    assert!(share(3) > 0.3, "{}", share(3));
    assert!((0..3).all(|centre| share(centre) < 0.01));
}

/// Guards against requests to a data centre that is lost, and against a flood at one that returns.
#[test]
fn lost_data_centre_is_left_at_once_and_returns_step_by_step() {
    let seconds = play(&[2, 2, 2], true, 1, 60, lost);
    let received = |range: std::ops::Range<usize>| mean(&seconds[range], |s| s.received[1]);
    let before = received(12..20);
    // Requests that find out that it is lost.
    assert!(received(20..40) * 20.0 < 20.0, "{}", received(20..40));
    assert!(received(40..41) < 0.3 * before, "{} {before}", received(40..41));
    assert!(received(50..60) > 0.5 * before, "{} {before}", received(50..60));
}

/// Guards against requests to a data centre out of service.
#[test]
fn evacuated_data_centre_gets_nothing() {
    let seconds = play(&[2, 2, 2], true, 1, 60, evacuated);
    assert!(seconds[10..20].iter().any(|second| second.received[1] > 0.0));
    assert!(seconds[20..40].iter().all(|second| second.received[1] == 0.0));
}

/// Guards against shares that are negative, exceed the demand or go to a data centre that is absent, whatever the reports.
#[test]
fn shares_sum_to_at_most_one() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut spill = Spill::default();
    for step in 0..20_000_u64 {
        let present = ["a", "b", "c", "d"].into_iter().filter(|_| rng.random_range(0..50) > 0);
        let loads = present.map(|centre| centre.into()).map(CentreLoad::new).collect::<Vec<_>>();
        let mut fill = |load: CentreLoad| CentreLoad {
            load: rng.random_range(0.0..50.0),
            bearable: rng.random_range(0.0..30.0),
            ..load
        };
        let loads: Vec<CentreLoad> = loads.into_iter().map(&mut fill).collect();
        let now = Time::from_micros(step * 100_000);
        spill.update(now, "a", &loads, Duration::from_millis(100));
        spill.record_answer(["a", "b", "c"][step as usize % 3]);
        let is_valid = |share: f64| (0.0..1.0 + 1e-9).contains(&share);
        assert!(spill.shares().all(|(_, share)| is_valid(share)) && is_valid(spill.share()));
        let is_present = |centre: &str| loads.iter().any(|load| load.centre == centre);
        assert!(spill.shares().all(|(centre, _)| centre != "a" && is_present(centre)));
    }
}

/// Returns a decision by which a third of the demand leaves.
fn short_spill() -> Spill {
    let mut spill = Spill::default();
    let load =
        |centre: &str, load| CentreLoad { load, bearable: 10.0, ..CentreLoad::new(centre.into()) };
    for step in 0..20 {
        let now = Time::from_micros(step * 100_000);
        spill.update(
            now,
            "a",
            &[load("a", 15.0 * (1.0 - spill.share())), load("b", 1.0)],
            Duration::ZERO,
        );
    }
    spill
}

/// Guards against large requests that leave as early as small ones, and against ones that the way makes late.
#[test_case(1_000, 500, 0.45..0.75; "small")]
#[test_case(5_000, 500, 0.2..0.45; "mean")]
#[test_case(50_000, 500, 0.05..0.2; "large")]
#[test_case(5_000, 110, 0.0..0.001; "no time for the way")]
fn larger_requests_leave_later(size: u32, time_left_ms: u64, expected: std::ops::Range<f64>) {
    let (spill, mut rng) = (short_spill(), SmallRng::seed_from_u64(1));
    let demand = Demand { size, time_left: Duration::from_millis(time_left_ms), ..DEMAND };
    let drawn = (0..1_000).filter(|_| spill.draw(&demand, 5_000.0, &mut rng).is_some()).count();
    assert!(expected.contains(&(drawn as f64 / 1_000.0)), "{drawn}");
}

/// Guards against another choice than before where there is no shortage: no random number is taken either.
#[test]
fn nothing_is_drawn_without_a_share() {
    let (mut rng, mut same) = (SmallRng::seed_from_u64(1), SmallRng::seed_from_u64(1));
    assert_eq!(Spill::default().draw(&DEMAND, 5_000.0, &mut rng), None);
    assert_eq!(rng.random_range(0..u64::MAX), same.random_range(0..u64::MAX));
}

/// Guards against free room at targets that are cold, slow, failing or not heard of for long.
#[test_case(|_| 50, 7.0..8.0; "fresh")]
#[test_case(|load| { load.is_cold = true; 50 }, 0.9..1.1; "cold: ten requests per second")]
#[test_case(|load| { load.slowdown = 200; 50 }, 3.0..4.0; "slow")]
#[test_case(|load| { load.slowdown = 500; 50 }, 0.0..0.1; "too slow for the objective")]
#[test_case(|load| { load.failure_permille = 1_000; 50 }, 0.0..0.1; "failing")]
#[test_case(|load| { load.running = 2; 9_000 }, 2.0..2.3; "an old report")]
fn targets_bear(change: fn(&mut LoadReport) -> u64, expected: std::ops::Range<f64>) {
    let mut report = LoadReport { limit: 8, slowdown: 100, is_open: true, ..LoadReport::default() };
    let age = Duration::from_millis(change(&mut report));
    let mut load = CentreLoad::new("b".into());
    load.add(age, &report, &MEAN, Travel::Far);
    assert!(expected.contains(&load.bearable), "{}", load.bearable);
}
