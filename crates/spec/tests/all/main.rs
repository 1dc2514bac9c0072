//! Tests of the results of the searches.

mod calls;
mod configuration;
mod exhaustive;
mod keys;
mod late_copies;
mod support;
