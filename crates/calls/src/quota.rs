//! Quotas of customers over a whole fleet, without a coordinator.
//!
//! Each availability zone has an equal [`Share`] of a customer's quota, and in each zone
//! one daemon, the customer's *home*, grants it from a [`Bucket`]. Entries ask the home of
//! their own zone for tokens and keep what they have not used yet in a [`Purse`]. A zone
//! that is cut off from the others so needs nobody else, and no two homes ever grant the
//! same tokens; a home whose own zone has no room [borrows](Bucket::lend) from another.
//!
//! The bound, and what holds in which partition, is derived in `docs/design/demands.md`.

mod bucket;
mod purse;

pub use bucket::{Bucket, Grant, Share};
pub use purse::{Purse, Taken};
