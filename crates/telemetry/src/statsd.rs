//! Parses and aggregates the statsd lines that `cadence` emits.

use std::collections::BTreeMap;

/// Largest number of metrics; each combination of a name and tags counts as one.
const MAX_METRICS: usize = 1024;

/// Kind of a metric, as stated in its line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Counter,
    Gauge,
    Timer,
}

/// One parsed line of the form `name:value|kind|#tag:value,...`.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Line<'a> {
    name: &'a str,
    kind: Kind,
    value: f64,
    tags: &'a str,
}

/// Name of a metric with its tags in the form in which they were emitted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Id {
    pub(crate) name: String,
    pub(crate) tags: String,
}

/// Aggregated values of a metric.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Metric {
    Counter(f64),
    Gauge(f64),
    Timer {
        count: u64,
        sum_ms: f64,
        max_ms: f64,
    },
}

/// All metrics of a program.
#[derive(Debug, Default)]
pub(crate) struct Table {
    pub(crate) metrics: BTreeMap<Id, Metric>,
    /// Number of lines dropped because the table was full.
    pub(crate) dropped: u64,
}

impl<'a> Line<'a> {
    /// Parses a line. Returns `None` if it is malformed or of a kind that this program doesn't use.
    pub(crate) fn parse(text: &'a str) -> Option<Self> {
        let (name, rest) = text.split_once(':')?;
        let mut parts = rest.split('|');
        let value = parts.next()?.parse().ok()?;
        let kind = match parts.next()? {
            "c" => Kind::Counter,
            "g" => Kind::Gauge,
            "ms" => Kind::Timer,
            _ => return None,
        };
        let tags = parts.find_map(|part| part.strip_prefix('#')).unwrap_or("");
        Some(Self {
            name,
            kind,
            value,
            tags,
        })
    }
}

impl Table {
    /// Adds the value of a line to its metric. Once the table is full, lines of new metrics are
    /// dropped and counted, since tags with values from callers could otherwise exhaust the memory.
    pub(crate) fn add(&mut self, line: &Line<'_>) {
        let id = Id {
            name: line.name.to_owned(),
            tags: line.tags.to_owned(),
        };
        if self.metrics.len() >= MAX_METRICS && !self.metrics.contains_key(&id) {
            self.dropped += 1;
            return;
        }
        let metric = self.metrics.entry(id).or_insert(Metric::zero(line.kind));
        metric.add(line.value);
    }
}

impl Metric {
    fn zero(kind: Kind) -> Self {
        match kind {
            Kind::Counter => Self::Counter(0.0),
            Kind::Gauge => Self::Gauge(0.0),
            Kind::Timer => Self::Timer {
                count: 0,
                sum_ms: 0.0,
                max_ms: 0.0,
            },
        }
    }

    fn add(&mut self, value: f64) {
        match self {
            Self::Counter(sum) => *sum += value,
            Self::Gauge(last) => *last = value,
            Self::Timer {
                count,
                sum_ms,
                max_ms,
            } => {
                *count += 1;
                *sum_ms += value;
                *max_ms = max_ms.max(value);
            }
        }
    }
}
