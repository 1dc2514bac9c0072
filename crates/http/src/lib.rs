//! HTTP utilities on top of `ntex`: functions that read request and response bodies, and a
//! [`Server`] that runs on the caller's thread.

mod body;
mod server;

pub use body::{BodyError, drop_body, read_body};
pub use server::{LAST_WRITE_TIMEOUT, PendingWrites, Server};
