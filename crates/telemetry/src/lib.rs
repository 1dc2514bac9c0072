//! Logs, metrics and latency histograms of a program.
//!
//! [`logger`] writes JSON lines to standard error, and [`batched_logger`] writes them in batches to
//! any output. [`LogRateLimit`] bounds the messages that a lasting fault repeats, and [`fields`]
//! defines the keys of the lines' values. [`Metrics`] counts through `cadence` and keeps the sums
//! in memory for `/metrics`. [`Histograms`] holds a latency histogram for each tenant, class and
//! [`Stage`]. The memory of all of them is bounded whatever callers send, since a daemon shares its
//! instance with a target. See `docs/operators/running.md`.

mod batch;
mod exposition;
pub mod fields;
mod histograms;
mod log;
mod metrics;
mod rate_limit;
mod statsd;

pub use batch::batched_logger;
pub use histograms::{Histograms, OTHER_TENANTS, Series, Stage, Summary};
pub use log::{Level, LevelError, logger};
pub use metrics::Metrics;
pub use rate_limit::{LogDecision, LogRateLimit};
