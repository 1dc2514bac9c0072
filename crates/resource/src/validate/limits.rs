//! Bounds of what operators may write. They are far above any use that is
//! meant and low enough that a slip of the hand, such as a timeout in the wrong
//! unit, is caught before it is in force everywhere.

use std::time::Duration;

/// Resources in one state; a daemon's memory has to hold them all.
pub const MAX_RESOURCES: usize = 16_384;

/// Characters in a name, as in a DNS label.
pub const MAX_NAME_LEN: usize = 63;

/// Characters in a route's prefix.
pub const MAX_PREFIX_LEN: usize = 256;

/// Keys of one customer.
pub const MAX_KEYS: usize = 64;

/// Calls that one target may run at a time.
pub const MAX_SLOTS: u32 = 4_096;

/// Connections that one target may accept.
pub const MAX_CONNECTIONS: u32 = 65_535;

/// Shortest timeout of a policy.
pub const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// Longest timeout of a policy.
pub const MAX_TIMEOUT: Duration = Duration::from_mins(10);

/// Attempts for one call, the first one included.
pub const MAX_ATTEMPTS: u32 = 10;

/// Retries for each hundred first attempts. Above this, retries would more
/// than double the load just when targets fail.
pub const MAX_BUDGET_PERCENT: u32 = 100;

/// Lowest rank of a policy's calls.
pub const MAX_PRIORITY: u32 = 7;

/// Weight of one tenant.
pub const MAX_WEIGHT: u32 = 1_000;

/// Tenants named in one policy.
pub const MAX_TENANT_LIMITS: usize = 1_024;
