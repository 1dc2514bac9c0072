//! The order of an operator to roll out a version.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Version of a target's software. It may be any text: only the order says which of two versions is
/// the newer one.
pub type Software = SmolStr;

/// Number of an order, assigned by the store when it is written; a later order has a higher one.
pub type OrderId = u64;

/// An order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Distinguishes the order from earlier ones for the service.
    pub id: OrderId,
    /// The service.
    pub service: SmolStr,
    /// The new version of the software, to which all of the service's calls are moved. It is
    /// not a target in the sense of a process that runs calls.
    pub target: Software,
    /// The time from the order to its deadline.
    pub lasts: Duration,
}
