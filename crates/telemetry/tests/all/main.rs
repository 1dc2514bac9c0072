//! Tests of logs' limits, metrics and histograms.

mod histograms;
mod metrics;
mod rate_limit;
