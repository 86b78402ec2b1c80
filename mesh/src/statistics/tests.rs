use super::{Share, Strata, chance};

/// Guards against a test that is off for small counts: the values are exact sums of binomial coefficients.
#[test]
fn the_probability_is_exact() {
    let p = chance(Share { hits: 3, of: 3 }, Share { hits: 0, of: 3 });
    assert!((p - 1.0 / 20.0).abs() < 1e-9, "{p}");
    let p = chance(Share { hits: 0, of: 5 }, Share { hits: 4, of: 5 });
    assert!((p - 1.0).abs() < 1e-9, "{p}");
    assert!(chance(Share { hits: 20, of: 60 }, Share { hits: 30, of: 600 }) < 1e-6);
}

/// Guards against trouble of one period that is counted against the part that has most trials in it.
#[test]
fn strata_do_not_mix_periods() {
    let share = |hits, of| Share { hits, of };
    let mut strata = Strata::default();
    strata.add(share(1, 20), share(10, 200));
    strata.add(share(100, 200), share(10, 20));
    assert!(strata.score().abs() < 0.1, "{}", strata.score());
    assert!(
        chance(share(101, 220), share(20, 220)) < 1e-6,
        "without strata the parts seem different"
    );
    for _ in 0..5 {
        strata.add(share(6, 20), share(4, 80));
    }
    assert!(strata.score() > 4.0, "{}", strata.score());
}
