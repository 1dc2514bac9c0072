//! The open-loop load.

mod attempt;
mod audit;
mod caller;
mod mix;
mod options;
mod plan;
mod print;
mod program;
mod record;
mod report;
mod run;

pub use audit::{Audit, fetch};
pub use mix::{Mix, MixError};
pub use options::LoadOptions;
pub use program::main;
pub use report::{BUCKET, Bucket, Histogram, Report, Series, Tally};
pub use run::run;
