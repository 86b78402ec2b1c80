use super::*;

/// Guards against latencies lost to the range of the histogram, and failures that count as fast answers.
#[test]
fn tally_measures_answers_only() {
    let mut tally = Tally::new();
    for ms in 1..=1000 {
        tally.add(Ok(()), Duration::from_millis(ms), Duration::from_micros(ms));
    }
    tally.add(Err(Failure::Refused("overloaded".into())), Duration::ZERO, Duration::ZERO);
    tally.add(Err(other("lost")), Duration::ZERO, Duration::ZERO);
    tally.add(Ok(()), 100 * REQUEST_TIMEOUT, Duration::ZERO);
    let outcome = tally.finish("direct".into());
    assert_eq!((outcome.sent, outcome.ok), (1003, 1001));
    assert_eq!((outcome.refused["overloaded"], outcome.failed["lost"]), (1, 1));
    // The histogram keeps three significant digits.
    for (us, expected) in
        [(outcome.p50, 501e3), (outcome.p99, 991e3), (outcome.p999, 1e6), (outcome.max, 20e6)]
    {
        assert!((us / expected - 1.0).abs() < 1e-3, "{us} instead of {expected}");
    }
    assert!((outcome.late_p99 / 990.0 - 1.0).abs() < 2e-3, "{}", outcome.late_p99);
}
