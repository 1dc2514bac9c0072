//! Reads the lines that `cadence` emits and sums them.

use std::collections::BTreeMap;

/// Most metrics, each name with each set of tags counted apart.
const MAX_METRICS: usize = 1024;

/// Kind of a metric, as its line names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Counter,
    Gauge,
    Timer,
}

/// One emitted line: `name:value|kind|#tag:value,...`.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Line<'a> {
    name: &'a str,
    kind: Kind,
    value: f64,
    tags: &'a str,
}

/// A metric's name and its tags as emitted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Id {
    pub(crate) name: String,
    pub(crate) tags: String,
}

/// A metric's sums.
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
    /// Lines left out since the table is full.
    pub(crate) dropped: u64,
}

impl<'a> Line<'a> {
    /// The line's parts; `None` where it is malformed or of a kind that isn't
    /// used here.
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
    /// Adds one line. A tag whose values come from outside could fill the
    /// memory, so beyond the bound new metrics are only counted.
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
