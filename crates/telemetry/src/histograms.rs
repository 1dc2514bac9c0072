//! Histograms of latency for each tenant, class and stage.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Tenant under which all tenants beyond the bound are counted.
pub const OTHER: &str = "other";

/// Significant digits: quantiles are within 1%, at a few KB a histogram.
const DIGITS: u8 = 2;

/// Longest latency that is told apart. Without it, one clock error would make
/// a histogram grow to its full range.
const LONGEST: Duration = Duration::from_mins(10);

/// Where the time of a call went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// From the first byte in to the last byte out.
    Total,
    /// In daemons, on top of queue and target.
    Daemon,
    /// Waiting for a slot of the target.
    Queue,
    /// In the target.
    Target,
}

impl Stage {
    /// The stage's name in metrics and tables.
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

/// What a histogram says, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Values recorded.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 90 in 100 were at or below.
    pub p90_us: u64,
    /// 99 in 100 were at or below.
    pub p99_us: u64,
    /// The largest.
    pub max_us: u64,
}

/// One histogram's key and summary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// Tenant, or [`OTHER`].
    pub tenant: SmolStr,
    /// Class of the calls.
    pub class: SmolStr,
    /// Where the time went.
    pub stage: Stage,
    /// What was recorded.
    #[serde(flatten)]
    pub summary: Summary,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    tenant: SmolStr,
    class: &'static str,
    stage: Stage,
}

/// Table of histograms.
///
/// Callers write the tenant's name themselves, so anyone could invent a new
/// one with every call. Tenants beyond the bound share [`OTHER`]; classes and
/// stages are closed sets, which bounds the whole table.
#[derive(Debug)]
pub struct Histograms {
    max_tenants: usize,
    tenants: BTreeSet<SmolStr>,
    table: BTreeMap<Key, Histogram<u32>>,
}

impl Histograms {
    /// An empty table that tells at most `max_tenants` tenants apart.
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
    /// Never: the number of digits is a constant that the library accepts.
    pub fn record(&mut self, tenant: &str, class: &'static str, stage: Stage, latency: Duration) {
        let key = Key {
            tenant: self.known(tenant),
            class,
            stage,
        };
        let histogram = self
            .table
            .entry(key)
            .or_insert_with(|| Histogram::new(DIGITS).expect("a valid number of digits"));
        // Unlike `saturating_record`, this lets the histogram grow; it cannot
        // fail, since the value is bounded above.
        let _ = histogram.record(micros(latency.min(LONGEST)));
    }

    /// The summary of one histogram; empty where nothing was recorded.
    #[must_use]
    pub fn summary(&self, tenant: &str, class: &'static str, stage: Stage) -> Summary {
        let key = Key {
            tenant: tenant.into(),
            class,
            stage,
        };
        self.table.get(&key).map(summarize).unwrap_or_default()
    }

    /// Every histogram's summary, ordered by tenant, class and stage.
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

    /// Every histogram as text lines that Prometheus reads, in microseconds, with
    /// `label` in place of the word tenant.
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
            // Writing into a string cannot fail.
            for (quantile, us) in quantiles {
                let _ = writeln!(text, "{name}{{{labels},quantile=\"{quantile}\"}} {us}");
            }
            let _ = writeln!(text, "{name}_count{{{labels}}} {}", summary.count);
        }
        text
    }

    fn known(&mut self, tenant: &str) -> SmolStr {
        if let Some(known) = self.tenants.get(tenant) {
            return known.clone();
        }
        if self.tenants.len() >= self.max_tenants {
            return OTHER.into();
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
