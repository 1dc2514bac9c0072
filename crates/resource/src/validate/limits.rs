//! Limits of what operators may write. They are far above any intended use, and low enough to catch
//! a mistake, such as a timeout in the wrong unit, before it is in force everywhere.

use std::time::Duration;

/// Maximum number of resources in one state, all of which a daemon holds in memory.
pub const MAX_RESOURCES: usize = 16_384;

/// Maximum length of a name in bytes, that of a DNS label.
pub const MAX_NAME_LEN: usize = 63;

/// Maximum length of a route's prefix in bytes.
pub const MAX_PREFIX_LEN: usize = 256;

/// Maximum number of keys of one customer.
pub const MAX_KEYS: usize = 64;

/// Maximum number of calls that one target may run concurrently.
pub const MAX_SLOTS: u32 = 4_096;

/// Maximum number of connections that one target may accept concurrently.
pub const MAX_CONNECTIONS: u32 = 65_535;

/// Shortest timeout of a policy.
pub const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// Longest timeout of a policy.
pub const MAX_TIMEOUT: Duration = Duration::from_mins(10);

/// Maximum number of attempts of one call, including the first.
pub const MAX_ATTEMPTS: u32 = 10;

/// Maximum number of retries for every hundred first attempts. With more, retries could more than
/// double the load while targets fail.
pub const MAX_BUDGET_PERCENT: u32 = 100;

/// Largest priority value of a policy's or a customer's calls, which is the least urgent.
pub const MAX_PRIORITY: u32 = 7;

/// Maximum weight of one tenant or of one share of a split route.
pub const MAX_WEIGHT: u32 = 1_000;

/// Maximum number of tenant limits in one policy.
pub const MAX_TENANT_LIMITS: usize = 1_024;
