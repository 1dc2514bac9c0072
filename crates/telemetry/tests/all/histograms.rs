//! Tests of the accuracy of quantiles and of the bound on tenants.

use std::time::Duration;

use proptest::prelude::*;
use stoatstep_telemetry::{Histograms, OTHER_TENANTS, Stage, Summary};

#[test]
fn quantiles_are_within_one_percent() {
    let mut histograms = Histograms::new(4);
    for millis in 1..=1000 {
        let latency = Duration::from_millis(millis);
        histograms.record("mill-school", "standard", Stage::Total, latency);
    }
    let summary = histograms.summary("mill-school", "standard", Stage::Total);
    assert_eq!(summary.count, 1000);
    assert!(summary.p50_us.abs_diff(500_000) <= 5_000, "{summary:?}");
    assert!(summary.p99_us.abs_diff(990_000) <= 9_900, "{summary:?}");
    assert!(summary.max_us >= 1_000_000);
}

#[test]
fn absent_histogram_is_an_empty_summary() {
    let summary = Histograms::new(4).summary("nobody", "batch", Stage::Queue);
    assert_eq!(summary, Summary::default());
}

/// Guards against a caller that sends a new tenant name with every call. If each got a histogram,
/// the daemon's memory would grow until the target on its instance is killed for lack of memory.
#[test]
fn invented_tenants_share_one_histogram() {
    let mut histograms = Histograms::new(3);
    for n in 0..10_000 {
        let tenant = format!("tenant-{n}");
        histograms.record(&tenant, "urgent", Stage::Target, Duration::from_micros(n));
    }
    assert_eq!(histograms.series().len(), 4);
    let other = histograms.summary(OTHER_TENANTS, "urgent", Stage::Target);
    assert_eq!(other.count, 9_997);
    histograms.record("tenant-1", "urgent", Stage::Target, Duration::ZERO);
    let known = histograms.summary("tenant-1", "urgent", Stage::Target);
    assert_eq!(known.count, 2);
}

proptest! {
    #[test]
    fn any_latency_is_counted(micros in any::<u64>()) {
        let mut histograms = Histograms::new(1);
        let latency = Duration::from_micros(micros);
        histograms.record("t", "batch", Stage::Daemon, latency);
        prop_assert_eq!(histograms.summary("t", "batch", Stage::Daemon).count, 1);
    }
}
