//! Measurements of whole fleets, each with its baseline in the same run.

mod drain;
mod faults;
mod hop;
mod overload;
mod probe;
mod program;

pub use program::main;

#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn as_f64(count: u64) -> f64 {
    count as f64
}
