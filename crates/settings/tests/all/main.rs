//! Tests of reading settings.

mod arbitrary;
mod reading;
mod secrets;
mod spans;
