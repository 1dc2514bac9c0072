//! Counters, gauges and timers through `cadence`, summed in memory.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cadence::{Counted, Gauged, MetricSink, StatsdClient, Timed};

use crate::exposition;
use crate::statsd::{Line, Table};

/// What the name of every metric begins with.
const PREFIX: &str = "stoatstep";

/// A program's metrics. Clones share one table.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    table: Arc<Mutex<Table>>,
}

/// Takes what `cadence` emits into the table. The site runs no metrics server
/// of ours; whoever collects asks `/metrics` over HTTP.
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
    /// An empty table.
    #[must_use]
    pub fn new() -> Self {
        let table = Arc::new(Mutex::new(Table::default()));
        let sink = TableSink(Arc::clone(&table));
        let client = Arc::new(StatsdClient::from_sink(PREFIX, sink));
        Self { client, table }
    }

    /// The `cadence` client, for metrics with tags.
    #[must_use]
    pub fn client(&self) -> &StatsdClient {
        &self.client
    }

    /// Adds to a counter.
    pub fn count(&self, name: &str, by: i64) {
        // The sink refuses only malformed names, which `render` would lack;
        // a metric is never worth failing a call for.
        let _ = self.client.count(name, by);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records how long something took, to the millisecond; [`Histograms`]
    /// are finer.
    ///
    /// [`Histograms`]: crate::Histograms
    pub fn time(&self, name: &str, duration: Duration) {
        let _ = self.client.time(name, duration);
    }

    /// Every metric as a text line, ordered by name.
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

/// A panic elsewhere while the table was locked leaves it at worst one metric
/// short, so a poisoned lock is used on.
fn lock(table: &Mutex<Table>) -> MutexGuard<'_, Table> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
