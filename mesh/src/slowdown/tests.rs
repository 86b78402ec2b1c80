use std::time::Duration;

use super::{ServiceTimes, Slowdown};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against admitting a long request to a target that is slow only for a moment: the request keeps the slowdown
/// of its start and is late.
#[test]
fn a_request_keeps_the_slowdown_of_its_start() {
    let mut slowdown = Slowdown::new();
    // Slow phases of 300 ms alternate with normal phases of 600 ms.
    for _ in 0..40 {
        for percent in [400, 100] {
            slowdown.update(percent);
        }
    }
    assert_eq!(slowdown.service_time(ms(330)), ms(330));
    slowdown.update(400);
    assert_eq!(slowdown.service_time(ms(330)), ms(1_320));
    assert_eq!(slowdown.service_time(ms(20)), ms(80));
}

/// Guards against counting a slowdown by other processes as the cost of a request.
#[test]
fn service_time_is_divided_by_the_slowdown() {
    let mut times = ServiceTimes::default();
    times.record(&"stock".into(), ms(400), 4.0);
    assert_eq!(times.get("stock"), Some(ms(100)));
    assert_eq!(times.get("other"), None);
    assert_eq!(times.mean(), ms(100));
}
