//! Tests of logs' limits, metrics and histograms.

mod histograms;
mod log;
mod metrics;
mod rate_limit;
