//! HTTP plumbing over the library: reading whole bodies, and a [`Server`] that
//! runs on the caller's own thread.

mod body;
mod server;

pub use body::{BodyError, drop_body, read_body};
pub use server::{Server, Unwritten};
