//! Counters, gauges and timers, recorded through `cadence` and aggregated in memory.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cadence::{Counted, Gauged, MetricSink, StatsdClient, Timed};

use crate::exposition;
use crate::statsd::{Line, Table};

/// Prefix of all metric names.
const PREFIX: &str = "stoatstep";

/// Metrics of a program. Clones share one table.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    table: Arc<Mutex<Table>>,
}

/// Sink that adds what `cadence` emits to the table, since there is no statsd server to send it to;
/// collectors read `/metrics` over HTTP.
struct TableSink(Arc<Mutex<Table>>);

impl MetricSink for TableSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let Some(line) = Line::parse(metric) else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        lock(&self.0).add(&line);
        Ok(metric.len())
    }
}

impl Metrics {
    /// Creates an empty table of metrics.
    #[must_use]
    pub fn new() -> Self {
        let table = Arc::new(Mutex::new(Table::default()));
        let sink = TableSink(Arc::clone(&table));
        let client = Arc::new(StatsdClient::from_sink(PREFIX, sink));
        Self { client, table }
    }

    /// Returns the `cadence` client, for metrics with tags.
    #[must_use]
    pub fn client(&self) -> &StatsdClient {
        &self.client
    }

    /// Adds to a counter.
    pub fn count(&self, name: &str, by: i64) {
        // The sink rejects only malformed names. `render` then lacks the metric, which is better
        // than to fail a call for it.
        let _ = self.client.count(name, by);
    }

    /// Adds to a counter with tags, which are pairs of a name and a value.
    pub fn count_with_tags(&self, name: &str, by: i64, tags: &[(&str, &str)]) {
        let metric = self.client.count_with_tags(name, by);
        let tagged = tags
            .iter()
            .fold(metric, |metric, (name, value)| metric.with_tag(name, value));
        tagged.send();
    }

    /// Sets the value of a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Sets the value of a gauge with tags, which are pairs of a name and a value.
    pub fn gauge_with_tags(&self, name: &str, value: u64, tags: &[(&str, &str)]) {
        let metric = self.client.gauge_with_tags(name, value);
        let tagged = tags
            .iter()
            .fold(metric, |metric, (name, value)| metric.with_tag(name, value));
        tagged.send();
    }

    /// Records a duration in whole milliseconds; [`Histograms`] have a finer resolution.
    ///
    /// [`Histograms`]: crate::Histograms
    pub fn time(&self, name: &str, duration: Duration) {
        let _ = self.client.time(name, duration);
    }

    /// Renders all metrics in the text format of Prometheus, ordered by name.
    #[must_use]
    pub fn render(&self) -> String {
        exposition::render(&lock(&self.table))
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Locks the table. A poisoned lock is ignored: after a panic in another thread the table lacks at
/// most one metric.
fn lock(table: &Mutex<Table>) -> MutexGuard<'_, Table> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
