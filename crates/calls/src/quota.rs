//! Fleet-wide quotas of customers, without a coordinator.
//!
//! Each availability zone has an equal [`QuotaShare`] of a customer's quota. In each zone one
//! daemon, the customer's *home*, grants this share from a [`TokenBucket`]. Entries request
//! tokens from the home of their own zone and keep unused ones in a [`TokenCache`]. A zone that
//! is partitioned from the others therefore keeps working, and no two homes grant the same
//! tokens. A home that runs short [borrows](TokenBucket::lend) from the homes of the other zones
//! before it refuses a call.
//!
//! The bound on granted tokens, and the guarantees under each kind of partition, are derived
//! in `docs/design/demands.md`.

mod token_bucket;
mod token_cache;

pub use token_bucket::{QuotaShare, TokenBucket, TokenGrant, shortage_time};
pub use token_cache::{TokenCache, TokenDecision};
