//! At-most-once execution across all retries of a caller, by idempotency key.
//!
//! Each key has one home: the executor that rendezvous hashing selects among the
//! configured upstreams of the service ([`home_of`]). Only the home runs a request
//! with this key, after looking the key up in its table ([`IdempotencyTable`]). For keys
//! that state their creation time, the table decides only if they were made after its
//! process started or if it was restored from the previous process. After a change of
//! the set of upstreams, the previous home has to confirm first ([`HomeHistory`]). See
//! `docs/design/at-most-once.md`.

mod config;
mod home;
mod key;
mod snapshot;
mod table;

pub use config::IdempotencyConfig;
pub use home::{HomeCheck, HomeHistory, HomeQuery, KnownMembers, home_of, upstream_set_id};
pub use key::{IdempotencyKey, KeyError, KeyText};
pub use snapshot::{IdempotencySnapshot, RememberedKey, RememberedRun};
pub use table::{HomeAnswer, IdempotencyTable, KeyDecision};
