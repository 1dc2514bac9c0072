//! Measurements of whole fleets, each with its baseline in the same run.

mod changes;
mod control;
mod convergence;
mod drain;
mod faults;
mod fit;
mod herd;
mod holding;
mod hop;
mod overload;
mod plot;
mod probe;
mod program;
mod reading;
mod sampler;
mod slopes;
mod sockets;
mod watchers;

use crate::load::Report;

pub use fit::Fit;
pub use program::main;
pub use sockets::control_bytes;

#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn as_f64(count: u64) -> f64 {
    count as f64
}

/// Says on standard error why attempts were not answered, for whoever looks
/// for the cause of a figure.
fn explain(experiment: &str, report: &Report) {
    let tally = &report.total.tally;
    let lag = report.schedule_lag.as_millis();
    eprintln!("{experiment}: {tally:?}, sent at most {lag} ms late");
    for (reason, count) in &report.reasons {
        eprintln!("{experiment}: {count} attempts not answered: {reason}");
    }
}
