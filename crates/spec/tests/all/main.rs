//! What the searches find.

mod calls;
mod configuration;
mod exhaustive;
mod keys;
mod support;
