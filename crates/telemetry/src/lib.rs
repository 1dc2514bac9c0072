//! What a program says about itself: logs, metrics and histograms.
//!
//! [`logger`] writes JSON lines to standard error, and [`batched_logger`] many of
//! them at a time, with [`RateLimit`] in front of messages that faults can repeat;
//! what the lines carry is named in [`fields`]. [`Metrics`] counts through `cadence`
//! and keeps the sums in memory for `/metrics`. [`Histograms`] holds a
//! histogram of latency for each tenant, class and [`Stage`]. All three are
//! bounded in memory, whatever callers send: a daemon shares its instance with
//! a target and has no room to grow. See `docs/operators/running.md`.

mod batch;
mod exposition;
pub mod fields;
mod histograms;
mod log;
mod metrics;
mod rate_limit;
mod statsd;

pub use batch::batched_logger;
pub use histograms::{Histograms, OTHER, Series, Stage, Summary};
pub use log::{Level, LevelError, logger};
pub use metrics::Metrics;
pub use rate_limit::{Admission, RateLimit};
