//! Fleet-wide quotas of customers, without a coordinator.
//!
//! Each availability zone has an equal [`Share`] of a customer's quota. In each zone one
//! daemon, the customer's *home*, grants this share from a token [`Bucket`]. Entries request
//! tokens from the home of their own zone and keep unused ones in a [`Purse`]. A zone that
//! is partitioned from the others therefore keeps working, and no two homes grant the same
//! tokens. A home that runs short [borrows](Bucket::lend) from the home of another zone.
//!
//! The bound on granted tokens, and the guarantees under each kind of partition, are derived
//! in `docs/design/demands.md`.

mod bucket;
mod purse;

pub use bucket::{Bucket, Grant, Share};
pub use purse::{Purse, Taken};
