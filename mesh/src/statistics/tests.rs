use super::{Share, chance};

/// Guards against a test that is off for small counts: the values are exact sums of binomial coefficients.
#[test]
fn the_probability_is_exact() {
    let p = chance(Share { hits: 3, of: 3 }, Share { hits: 0, of: 3 });
    assert!((p - 1.0 / 20.0).abs() < 1e-9, "{p}");
    let p = chance(Share { hits: 0, of: 5 }, Share { hits: 4, of: 5 });
    assert!((p - 1.0).abs() < 1e-9, "{p}");
    assert!(chance(Share { hits: 20, of: 60 }, Share { hits: 30, of: 600 }) < 1e-6);
}
