//! Tests of the language and of the runner's own rules.

mod language;
mod random;
