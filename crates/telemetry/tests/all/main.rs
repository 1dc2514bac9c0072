//! Tests of loggers, the limit on log messages, metrics and histograms.

mod histograms;
mod log;
mod metrics;
mod rate_limit;
