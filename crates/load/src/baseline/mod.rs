//! The plainest ways to do the same, to measure against.

mod program;
mod router;

pub use program::main;
