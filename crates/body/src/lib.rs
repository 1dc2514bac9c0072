//! Bodies of requests and answers. A [`Body`] holds its bytes in segments, so that it is received,
//! passed on and sent without ever being copied as a whole: a body of 64 MiB takes 64 MiB on each
//! daemon that it passes. A [`BodyBuilder`] collects one.
//!
//! What all bodies of a process take is bounded: each has a [`Lease`] of a [`Memory`], which it
//! returns when its last clone is dropped. Memories form a tree, so that each use has a share of its
//! own and all of them together stay within what the process may take.

mod body;
mod builder;
mod memory;

pub use body::Body;
pub use builder::BodyBuilder;
pub use memory::{Lease, Memory};
