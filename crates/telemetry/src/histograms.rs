//! Latency histograms by tenant, class and stage.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Tenant name under which all tenants beyond the bound are counted.
pub const OTHER_TENANTS: &str = "other";

/// Significant decimal digits of recorded values: quantiles are accurate to 1%, and a histogram
/// takes a few KB.
const DIGITS: u8 = 2;

/// Longest latency that is recorded as it is; longer ones are recorded as this. Without the bound,
/// one clock error would make a histogram grow to its full range.
const MAX_LATENCY: Duration = Duration::from_mins(10);

/// Part of a call's latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// Time from the first byte of the request to the last byte of the answer.
    Total,
    /// Time in daemons, without the time in the queue and in the target.
    Daemon,
    /// Time spent waiting for a slot of the target.
    Queue,
    /// Time in the target.
    Target,
}

impl Stage {
    /// Returns the stage's name in metrics and tables.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Total => "total",
            Self::Daemon => "daemon",
            Self::Queue => "queue",
            Self::Target => "target",
        }
    }
}

/// Count and quantiles of a histogram, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of recorded values.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Largest value.
    pub max_us: u64,
}

/// Key and summary of one histogram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// Tenant of the calls, or [`OTHER_TENANTS`].
    pub tenant: SmolStr,
    /// Class of the calls.
    pub class: SmolStr,
    /// Part of the calls' latency.
    pub stage: Stage,
    /// Summary of the recorded latencies.
    #[serde(flatten)]
    pub summary: Summary,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    tenant: SmolStr,
    class: &'static str,
    stage: Stage,
}

/// Table of latency histograms, bounded in size.
///
/// The tenant's name comes from the caller, who could send a new one with every call. Tenants
/// beyond the bound are therefore counted together as [`OTHER_TENANTS`]. Classes and stages are
/// closed sets, so the whole table is bounded.
#[derive(Debug)]
pub struct Histograms {
    max_tenants: usize,
    tenants: BTreeSet<SmolStr>,
    table: BTreeMap<Key, Histogram<u32>>,
}

impl Histograms {
    /// Creates an empty table that keeps separate histograms for at most `max_tenants` tenants.
    #[must_use]
    pub fn new(max_tenants: usize) -> Self {
        Self {
            max_tenants,
            tenants: BTreeSet::new(),
            table: BTreeMap::new(),
        }
    }

    /// Records one latency.
    ///
    /// # Panics
    ///
    /// Never, since the number of digits is a constant that the library accepts.
    pub fn record(&mut self, tenant: &str, class: &'static str, stage: Stage, latency: Duration) {
        let key = Key {
            tenant: self.recorded_tenant(tenant),
            class,
            stage,
        };
        let histogram = self
            .table
            .entry(key)
            .or_insert_with(|| Histogram::new(DIGITS).expect("a valid number of digits"));
        // Unlike `saturating_record`, `record` lets the histogram grow. It can't fail, since the
        // value is bounded.
        let _ = histogram.record(micros(latency.min(MAX_LATENCY)));
    }

    /// Returns the summary of one histogram, which is empty if nothing was recorded.
    #[must_use]
    pub fn summary(&self, tenant: &str, class: &'static str, stage: Stage) -> Summary {
        let key = Key {
            tenant: tenant.into(),
            class,
            stage,
        };
        self.table.get(&key).map(summarize).unwrap_or_default()
    }

    /// Returns the summaries of all histograms, ordered by tenant, class and stage.
    #[must_use]
    pub fn series(&self) -> Vec<Series> {
        let series = self.table.iter().map(|(key, histogram)| Series {
            tenant: key.tenant.clone(),
            class: key.class.into(),
            stage: key.stage,
            summary: summarize(histogram),
        });
        series.collect()
    }

    /// Renders all histograms in the text format of Prometheus, in microseconds, with `label` as
    /// the name of the tenant label.
    #[must_use]
    pub fn render(&self, name: &str, label: &str) -> String {
        use std::fmt::Write;

        let mut text = String::new();
        for series in self.series() {
            let (tenant, class) = (&series.tenant, &series.class);
            let stage = series.stage.as_str();
            let labels = format!("{label}=\"{tenant}\",class=\"{class}\",stage=\"{stage}\"");
            let summary = &series.summary;
            let quantiles = [
                ("0.5", summary.p50_us),
                ("0.9", summary.p90_us),
                ("0.99", summary.p99_us),
                ("1", summary.max_us),
            ];
            // Writing into a string can't fail.
            for (quantile, us) in quantiles {
                let _ = writeln!(text, "{name}{{{labels},quantile=\"{quantile}\"}} {us}");
            }
            let _ = writeln!(text, "{name}_count{{{labels}}} {}", summary.count);
        }
        text
    }

    /// Returns the tenant under which latencies of `tenant` are recorded.
    fn recorded_tenant(&mut self, tenant: &str) -> SmolStr {
        if let Some(known) = self.tenants.get(tenant) {
            return known.clone();
        }
        if self.tenants.len() >= self.max_tenants {
            return OTHER_TENANTS.into();
        }
        let tenant = SmolStr::new(tenant);
        self.tenants.insert(tenant.clone());
        tenant
    }
}

fn micros(latency: Duration) -> u64 {
    u64::try_from(latency.as_micros()).unwrap_or(u64::MAX)
}

fn summarize(histogram: &Histogram<u32>) -> Summary {
    Summary {
        count: histogram.len(),
        p50_us: histogram.value_at_quantile(0.50),
        p90_us: histogram.value_at_quantile(0.90),
        p99_us: histogram.value_at_quantile(0.99),
        max_us: histogram.max(),
    }
}
