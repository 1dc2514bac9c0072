//! Tests of reading settings.

mod arbitrary;
mod human_duration;
mod reading;
mod secrets;
