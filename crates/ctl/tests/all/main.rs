//! Tests of `stoatctl` against small fakes of the operator API.

mod fake;
mod program;

mod changes;
mod reading;
mod usage;
mod waiting;
mod watching;
