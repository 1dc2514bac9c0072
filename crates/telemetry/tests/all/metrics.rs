//! Tests of how metrics are aggregated in memory and rendered as text.

use std::time::Duration;

use cadence::CountedExt;
use cadence::prelude::*;
use proptest::prelude::*;
use stoatstep_telemetry::Metrics;

#[test]
fn counters_add_gauges_replace_and_timers_sum() {
    let metrics = Metrics::new();
    metrics.count("calls.refused", 2);
    metrics.count("calls.refused", 3);
    metrics.gauge("members", 8);
    metrics.gauge("members", 7);
    metrics.time("apply", Duration::from_millis(4));
    metrics.time("apply", Duration::from_millis(6));
    let expected = "\
stoatstep_apply_count 2
stoatstep_apply_sum_ms 10
stoatstep_apply_max_ms 6
stoatstep_calls_refused 5
stoatstep_members 7
";
    assert_eq!(metrics.render(), expected);
}

#[test]
fn tags_become_escaped_labels() {
    let metrics = Metrics::new();
    metrics
        .client()
        .incr_with_tags("calls")
        .with_tag("outcome", "not\"run")
        .send();
    let expected = "stoatstep_calls{outcome=\"not\\\"run\"} 1\n";
    assert_eq!(metrics.render(), expected);
}

#[test]
fn clones_share_one_table() {
    let metrics = Metrics::new();
    metrics.clone().client().incr("calls").expect("a counter");
    assert_eq!(metrics.render(), "stoatstep_calls 1\n");
}

/// Guards against unbounded growth when a caller sends a new value, and so a new metric, with every
/// call. The table stops growing, and a metric counts what was dropped.
#[test]
fn table_is_bounded() {
    let metrics = Metrics::new();
    for n in 0..2_000 {
        metrics.count(&format!("name-{n}"), 1);
    }
    let text = metrics.render();
    assert_eq!(text.lines().count(), 1_025);
    assert!(text.contains("stoatstep_metrics_dropped 976\n"));
}

proptest! {
    #[test]
    fn any_name_and_tag_render_without_breaking_a_line(name in ".{0,12}", tag in ".{0,12}") {
        let metrics = Metrics::new();
        metrics.client().count_with_tags(&name, 1).with_tag("k", &tag).send();
        prop_assert!(metrics.render().lines().count() <= 1);
    }
}
