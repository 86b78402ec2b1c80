use std::collections::BTreeSet;

use super::*;
use crate::gauges::RemoteShare;

/// The operations manual.
const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

fn answer(route: &str, ms: u64) -> Record {
    Record::Answer {
        id: "id".into(),
        route: route.into(),
        status: 200,
        attempts: 1,
        took: Duration::from_millis(ms),
    }
}

/// Guards against undocumented metrics and documented ones that do not exist.
#[test]
fn operations_manual_lists_all_metrics() {
    let metrics = Metrics::new();
    // A family without series is not encoded.
    for family in metrics.counters.values() {
        family.get_or_create(&KindLabel { kind: "any" }).inc();
    }
    metrics.count(&answer("read", 1));
    metrics.count_store_call("get", "done");
    metrics.count_early_run("started");
    observe(&metrics.target_times, metrics.route_name(&"read".into()), Duration::ZERO);
    let remote_shares = vec![RemoteShare { service: "s".into(), reason: "shortage", share: 0.2 }];
    let text = metrics.encode_text(&GaugeValues { remote_shares, ..GaugeValues::default() }, 0);
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names: BTreeSet<&str> = types.filter_map(|line| line.split(' ').next()).collect();
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `poplarbarrow_"));
    let rows: Vec<&str> = rows.filter_map(|row| row.split('`').next()).collect();
    let listed = rows.iter().map(|name| format!("poplarbarrow_{name}"));
    let listed: BTreeSet<String> = listed.collect();
    let names: BTreeSet<String> = names.into_iter().map(str::to_owned).collect();
    assert_eq!(names, listed);
}

/// Guards against durations in the wrong unit or under the wrong route.
#[test]
fn answer_times_are_recorded_by_route() {
    let metrics = Metrics::new();
    metrics.count(&answer("read", 250));
    metrics.count(&answer("pay", 10));
    let text = metrics.encode_text(&GaugeValues::default(), 0);
    assert!(text.contains("poplarbarrow_answer_seconds_sum{route=\"read\"} 0.25"), "{text}");
    assert!(text.contains("poplarbarrow_requests_total{route=\"pay\",outcome=\"success\"} 1"));
}

/// Guards against an unbounded number of series when a configuration has many routes.
#[test]
fn routes_beyond_the_limit_share_one_series() {
    let metrics = Metrics::new();
    for n in 0..2 * MAX_ROUTES {
        metrics.count(&answer(&format!("r{n}"), 1));
    }
    let text = metrics.encode_text(&GaugeValues::default(), 0);
    let series = text.lines().filter(|line| line.starts_with("poplarbarrow_requests_total{"));
    assert_eq!(series.count(), MAX_ROUTES + 1);
    let other = format!("route=\"{OVERFLOW_ROUTE}\",outcome=\"success\"}} {MAX_ROUTES}");
    assert!(text.contains(&other), "{text}");
}

/// Guards against dropped log lines that no metric shows.
#[test]
fn gauges_and_dropped_lines_are_encoded() {
    let values = GaugeValues { members: 12, config_version: 7, ..GaugeValues::default() };
    let text = Metrics::new().encode_text(&values, 3);
    for line in [
        "poplarbarrow_members_known 12.0",
        "poplarbarrow_config_version 7.0",
        "poplarbarrow_log_lines_dropped_total 3",
    ] {
        assert!(text.contains(line), "{line}: {text}");
    }
}
