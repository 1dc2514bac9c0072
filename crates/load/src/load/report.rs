//! Sums and histograms over all calls.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;

use crate::load::plan::Verb;
use crate::load::record::{Outcome, Record};

/// Length of one [`Bucket`] of the timeline.
pub const BUCKET: Duration = Duration::from_millis(100);

/// Shortest and longest latency that the histograms tell apart, in nanoseconds.
const LOWEST_NS: u64 = 100;
const HIGHEST_NS: u64 = 120_000_000_000;

/// How calls ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// Calls that were due.
    pub calls: u64,
    /// Calls that got their own whole answer.
    pub answered: u64,
    /// Calls that did not run, as the caller was told of every attempt.
    pub not_run: u64,
    /// Calls that may have run.
    pub unknown: u64,
    /// Calls that got another call's answer or one that is not whole.
    pub wrong: u64,
    /// Idempotent calls without an answer in the end, other than by a refusal.
    pub lost: u64,
    /// Attempts over all calls.
    pub attempts: u64,
}

impl Tally {
    fn add(&mut self, record: &Record) {
        self.calls += 1;
        self.attempts += u64::from(record.attempts);
        match record.outcome {
            Outcome::Answered => self.answered += 1,
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::Wrong => self.wrong += 1,
        }
        if record.verb == Verb::Get && record.outcome == Outcome::Unknown {
            self.lost += 1;
        }
    }
}

/// Latencies, kept in nanoseconds with three digits.
#[derive(Clone, Debug)]
pub struct Histogram(hdrhistogram::Histogram<u64>);

impl Default for Histogram {
    fn default() -> Self {
        let made = hdrhistogram::Histogram::new_with_bounds(LOWEST_NS, HIGHEST_NS, 3);
        Self(made.expect("the bounds are valid constants"))
    }
}

impl Histogram {
    /// Adds one latency.
    pub fn record(&mut self, latency: Duration) {
        let nanos = u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX);
        self.0.saturating_record(nanos);
    }

    /// The latency that `percent` of all stay within, in milliseconds.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "bounded by two minutes")]
    pub fn percentile_ms(&self, percent: f64) -> f64 {
        self.0.value_at_percentile(percent) as f64 / 1e6
    }

    /// The highest latency, in milliseconds.
    #[must_use]
    pub fn max_ms(&self) -> f64 {
        self.percentile_ms(100.0)
    }

    /// Latencies recorded.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}

/// One tenant's calls of one class.
#[derive(Clone, Debug, Default)]
pub struct Series {
    /// How they ended.
    pub tally: Tally,
    /// Latency of the answered ones, from the moment at which each was due.
    pub latency: Histogram,
}

/// What ended within one [`BUCKET`] of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bucket {
    /// Calls answered.
    pub answered: u64,
    /// Calls that ended otherwise.
    pub failed: u64,
}

/// What came of a load.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Over all calls.
    pub total: Series,
    /// By tenant and class.
    pub series: BTreeMap<(SmolStr, SmolStr), Series>,
    /// From sending to the refusal, over all refused attempts.
    pub refusals: Histogram,
    /// Attempts that were not answered, by the word for why.
    pub reasons: BTreeMap<SmolStr, u64>,
    /// What ended when, from the start of the load.
    pub timeline: Vec<Bucket>,
    /// How late calls were sent at worst: the load's own shortfall.
    pub schedule_lag: Duration,
    pub(crate) records: Vec<Record>,
}

impl Report {
    /// Calls that had to run at most once.
    #[must_use]
    pub fn keyed_calls(&self) -> u64 {
        let keyed = self.records.iter().filter(|it| it.key.is_some());
        keyed.count() as u64
    }

    /// Idempotent calls that ended without an answer, refusals included.
    #[must_use]
    pub fn idempotent_unanswered(&self) -> u64 {
        let unanswered = |it: &&Record| it.verb == Verb::Get && it.outcome != Outcome::Answered;
        self.records.iter().filter(unanswered).count() as u64
    }

    pub(crate) fn add(&mut self, record: Record, since_start: Duration) {
        let place = (record.tenant.clone(), record.class.clone());
        let answered = record.outcome == Outcome::Answered;
        for series in [&mut self.total, self.series.entry(place).or_default()] {
            series.tally.add(&record);
            if answered {
                series.latency.record(record.latency);
            }
        }
        for took in &record.refusals {
            self.refusals.record(*took);
        }
        for reason in &record.reasons {
            *self.reasons.entry(reason.clone()).or_default() += 1;
        }
        let bucket = self.bucket(since_start);
        if answered {
            bucket.answered += 1;
        } else {
            bucket.failed += 1;
        }
        self.records.push(record);
    }

    fn bucket(&mut self, since_start: Duration) -> &mut Bucket {
        let index = since_start.as_millis() / BUCKET.as_millis();
        let index = usize::try_from(index).unwrap_or(usize::MAX - 1);
        if self.timeline.len() <= index {
            self.timeline.resize(index + 1, Bucket::default());
        }
        &mut self.timeline[index]
    }
}
