//! At most once over all of a caller's retries, by idempotency key.
//!
//! A key has one home: the executor that rendezvous hashing gives it among the
//! service's configured upstreams ([`home_of`]). Only the home runs it, from
//! its memory of keys ([`IntentTable`]), and only while that memory can be
//! trusted: since its own start for keys that state their time, and after the
//! previous home has confirmed a change of homes ([`HomeSets`]). See
//! `docs/design/at-most-once.md`.

mod config;
mod home;
mod key;
mod memory;
mod table;

pub use config::IntentConfig;
pub use home::{Handover, Home, HomeSets, KnownMembers, home_of, set_id};
pub use key::{IntentKey, KeyError, KeyText};
pub use memory::{IntentMemory, Remembered, RememberedRun};
pub use table::{Begin, HomeAnswer, IntentTable};
