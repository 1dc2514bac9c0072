//! Tests of the decisions about roll-outs, without a network or a clock.

mod judge;
mod plan;
mod progress_table;
mod routing;
mod service;
mod tally;
