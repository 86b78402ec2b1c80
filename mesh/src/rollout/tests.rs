use std::time::Duration;

use test_case::test_case;

use super::{MemberSample, Rollout, RolloutOrder, RolloutRecord, RolloutState, Verdict};
use crate::{keys::MemberId, tally::Tally, time::Time};

const MAX_EXPOSURE: f64 = 0.1;

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1_000)
}

fn rollout() -> Rollout {
    let order = RolloutOrder {
        service: "stock".into(),
        version: "v2".into(),
        duration: Duration::from_secs(14),
    };
    Rollout::new(at(0), order)
}

/// A version with a simulated request rate, failure rate and service time.
#[derive(Clone, Copy)]
struct Version {
    rate: f64,
    failure_rate: f64,
    service_ms: u32,
}

const HEALTHY: Version = Version { rate: 80.0, failure_rate: 0.05, service_ms: 100 };

/// Simulates both versions for some seconds and returns the requests sent to the new one. The share
/// of the new version determines its load.
fn simulate(
    rollout: &mut Rollout,
    seconds: u64,
    old: Version,
    new: impl Fn(f64) -> Version,
) -> u32 {
    let mut tallies = [Tally::default(); 2];
    let mut pending = [[0.0; 2]; 2];
    for step in 0..seconds * 10 {
        let now = at(step * 100);
        let share = rollout.share(now, MAX_EXPOSURE);
        for (side, (version, share)) in [(old, 1.0 - share), (new(share), share)].iter().enumerate()
        {
            let sent = version.rate * share / 10.0;
            pending[side][0] += sent * (1.0 - version.failure_rate);
            pending[side][1] += sent * version.failure_rate;
            let tally = &mut tallies[side];
            tally.good = pending[side][0] as u32;
            tally.bad = pending[side][1] as u32;
            tally.sent = tally.good + tally.bad;
            tally.timed = tally.good;
            tally.service_ms = tally.good * version.service_ms;
        }
        let running = |share: f64| u32::from(share > 0.0);
        let sample = |side: usize, share: f64| MemberSample {
            member: MemberId(side as u64),
            is_new: side == 1,
            tally: tallies[side],
            running: running(share),
            is_open: true,
        };
        rollout.judge(now, &[sample(0, 1.0 - share), sample(1, share)]);
    }
    tallies[1].sent
}

fn outcome(rollout: &Rollout) -> Option<RolloutState> {
    rollout.decision.map(|(_, state)| state)
}

/// A good version must be completed in time, even if both versions have failures.
#[test_case(0.0)]
#[test_case(0.1)]
fn a_good_version_is_completed(failure_rate: f64) {
    let mut rollout = rollout();
    let version = Version { failure_rate, ..HEALTHY };
    simulate(&mut rollout, 13, version, |_| version);
    assert_eq!(outcome(&rollout), Some(RolloutState::Completed));
}

/// A bad version must not receive more than the exposure bound: a tenth of the requests plus 50.
#[test_case(Version { failure_rate: 0.5, ..HEALTHY }; "failing")]
#[test_case(Version { service_ms: 800, ..HEALTHY }; "slow")]
fn a_bad_version_is_rolled_back(bad: Version) {
    let mut rollout = rollout();
    let sent = simulate(&mut rollout, 13, HEALTHY, |_| bad);
    assert_eq!(outcome(&rollout), Some(RolloutState::RolledBack));
    assert!(sent <= 112 + 50, "{sent} requests");
    assert!(rollout.share(at(13_000), MAX_EXPOSURE) <= 0.0);
}

/// A version that fails only under load does not show it at a small share; the shift must find it.
#[test]
fn a_version_that_fails_under_load_is_rolled_back_during_the_shift() {
    let mut rollout = rollout();
    let sent = simulate(&mut rollout, 13, HEALTHY, |share| Version {
        failure_rate: if share > 0.3 { 0.46 } else { 0.05 },
        ..HEALTHY
    });
    assert_eq!(outcome(&rollout), Some(RolloutState::RolledBack));
    assert!(sent <= 112 + 50, "{sent} requests");
}

/// Evidence must not be lost when the node of a target restarts and its counters start from
/// zero.
#[test]
fn evidence_outlives_a_restart() {
    let mut rollout = rollout();
    let tally = |good, bad| Tally { good, bad, sent: good + bad, ..Tally::default() };
    let sample = |member, is_new, tally| MemberSample {
        member: MemberId(member),
        is_new,
        tally,
        running: 0,
        is_open: true,
    };
    rollout.judge(at(50), &[sample(1, false, tally(0, 0)), sample(2, true, tally(0, 0))]);
    rollout.judge(at(100), &[sample(1, false, tally(200, 2)), sample(2, true, tally(3, 3))]);
    assert_eq!(outcome(&rollout), None);
    let verdict =
        rollout.judge(at(200), &[sample(1, false, tally(200, 2)), sample(3, true, tally(3, 3))]);
    assert_eq!(verdict, Verdict::Failing);
}

/// A node that starts during a rollout must not start the rollout anew, nor use a version that
/// others have stopped.
#[test]
fn a_node_that_starts_later_adopts_the_phase_of_the_others() {
    let mut first = rollout();
    simulate(&mut first, 8, HEALTHY, |_| HEALTHY);
    assert!(first.share(at(8_000), MAX_EXPOSURE) > 0.1);
    let mut second = rollout();
    second.merge_progress(at(0), &first.progress(at(8_000)));
    assert!(
        (second.share(at(0), MAX_EXPOSURE) - first.share(at(8_000), MAX_EXPOSURE)).abs() < 0.05
    );
    let mut progress = first.progress(at(8_000));
    progress.is_stopped = true;
    second.merge_progress(at(0), &progress);
    assert!(second.share(at(0), MAX_EXPOSURE) <= 0.0);
}

/// A node must apply the recorded outcome, and ignore a record of another version.
#[test]
fn a_recorded_outcome_is_final() {
    let record = |version: &str, state| RolloutRecord {
        service: "stock".into(),
        version: version.into(),
        state,
    };
    let mut rollout = rollout();
    rollout.apply_record(&record("v1", RolloutState::RolledBack));
    assert!(rollout.share(at(0), MAX_EXPOSURE) > 0.0);
    rollout.apply_record(&record("v2", RolloutState::Completed));
    assert!((rollout.share(at(0), MAX_EXPOSURE) - 1.0).abs() < 1e-9);
    assert!(rollout.pending_record().is_none());
}

/// A service must not be left without a target: a node may find the version faulty just before
/// another node records it as completed, which stops the old targets.
#[test]
fn a_completed_version_is_used_whatever_was_found_before() {
    let mut rollout = rollout();
    simulate(&mut rollout, 7, HEALTHY, |_| Version { failure_rate: 0.9, ..HEALTHY });
    assert!(rollout.is_stopped);
    let state = RolloutState::Completed;
    let record = RolloutRecord { service: "stock".into(), version: "v2".into(), state };
    rollout.apply_record(&record);
    assert!(!rollout.is_stopped);
    assert!((rollout.share(at(7_000), MAX_EXPOSURE) - 1.0).abs() < 1e-9);
}

/// A good version must not be rolled back for a disturbance of all targets that begins when the old
/// targets no longer receive requests.
#[test]
fn a_disturbance_of_all_targets_does_not_roll_back_a_proven_version() {
    let mut rollout = rollout();
    let sent = simulate(&mut rollout, 10, HEALTHY, |_| HEALTHY);
    assert!(sent > 0 && rollout.is_proven);
    let tally = |good, bad| Tally { good, bad, sent: good + bad, ..Tally::default() };
    let sample = |member, is_new, tally| MemberSample {
        member: MemberId(member),
        is_new,
        tally,
        running: 1,
        is_open: true,
    };
    let old = sample(0, false, tally(700, 35));
    for step in 0..20 {
        let new = sample(1, true, tally(300 + step * 4, 15 + step * 2));
        rollout.judge(at(11_000 + u64::from(step) * 100), &[old, new]);
    }
    assert!(!rollout.is_stopped);
}

/// A node that starts during a rollout must not compare responses of the versions from different
/// periods.
#[test]
fn counts_from_before_a_node_started_are_not_compared() {
    let tally = |good, bad| Tally { good, bad, sent: good + bad, ..Tally::default() };
    let sample = |member, is_new, tally| MemberSample {
        member: MemberId(member),
        is_new,
        tally,
        running: 1,
        is_open: true,
    };
    let mut rollout = rollout();
    let verdict = rollout
        .judge(at(1_000), &[sample(0, false, tally(900, 20)), sample(1, true, tally(200, 40))]);
    assert_eq!(verdict, Verdict::NoFault);
    let verdict = rollout
        .judge(at(2_100), &[sample(0, false, tally(980, 24)), sample(1, true, tally(220, 41))]);
    assert_eq!(verdict, Verdict::NoFault);
}

/// A version at one moment: its requests per second, the fraction of them that begin at a busy
/// target, and the failure rates there and elsewhere.
#[derive(Clone, Copy)]
struct LoadedVersion {
    rate: f64,
    busy: f64,
    busy_failure_rate: f64,
    failure_rate: f64,
}

/// Simulates a rollout of 14 s in which both versions have some failures; returns the number of
/// requests that the new version received.
fn simulate_load(rollout: &mut Rollout, busy_failure_rate: f64) -> u32 {
    const RATE: f64 = 46.0;
    const FAILURE_RATE: f64 = 0.09;
    let mut pending = [[0.0; 4]; 2];
    let mut sent = 0;
    for step in 0..135 {
        let now = at(step * 100);
        let share = rollout.share(now, MAX_EXPOSURE);
        // One target can serve about 50 requests per second and receives all of the new version's.
        let busy = if share > 0.9 { 0.7 } else { share * 0.4 };
        let new = LoadedVersion {
            rate: RATE * share,
            busy,
            busy_failure_rate,
            failure_rate: FAILURE_RATE,
        };
        let old = LoadedVersion {
            rate: RATE - new.rate,
            busy: 0.3,
            busy_failure_rate: FAILURE_RATE,
            failure_rate: FAILURE_RATE,
        };
        let samples = [old, new].into_iter().enumerate().map(|(side, version)| {
            let LoadedVersion { rate, busy, busy_failure_rate, failure_rate } = version;
            let runs = [rate * (1.0 - busy) / 10.0, rate * busy / 10.0];
            let pending = &mut pending[side];
            for (class, failure_rate) in [failure_rate, busy_failure_rate].into_iter().enumerate() {
                pending[2 * class] += runs[class] * (1.0 - failure_rate);
                pending[2 * class + 1] += runs[class] * failure_rate;
            }
            let [good, bad, loaded_good, loaded_bad] = pending.map(|pending| pending as u32);
            let (good, bad) = (good + loaded_good, bad + loaded_bad);
            let sent = good + bad;
            let tally = Tally { good, bad, sent, loaded_good, loaded_bad, ..Tally::default() };
            let running = u32::from(rate > 0.0);
            MemberSample {
                member: MemberId(side as u64),
                is_new: side == 1,
                tally,
                running,
                is_open: true,
            }
        });
        let samples: Vec<MemberSample> = samples.collect();
        sent = samples[1].tally.sent;
        rollout.judge(now, &samples);
    }
    sent
}

/// A version that fails at busy targets must be rolled back within its exposure bound, although
/// those failures are few among all responses and other failures hide them. A version whose
/// failures do not depend on load must be completed.
#[test_case(0.45 => Some(RolloutState::RolledBack); "fails at busy targets")]
#[test_case(0.09 => Some(RolloutState::Completed); "fails everywhere alike")]
fn busy_targets_are_judged_separately(busy_failure_rate: f64) -> Option<RolloutState> {
    let mut rollout = rollout();
    let sent = simulate_load(&mut rollout, busy_failure_rate);
    let is_bad = busy_failure_rate > 0.1;
    assert!(!is_bad || sent <= 64 + 50, "{sent} requests");
    outcome(&rollout)
}
