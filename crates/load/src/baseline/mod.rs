//! The plainest ways to do the same, to measure against.

mod polling;
mod program;
mod push;
mod router;

pub(crate) use polling::Pollers;
pub use program::main;
pub(crate) use push::PushServer;
