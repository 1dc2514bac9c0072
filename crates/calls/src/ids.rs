//! Ids and clock readings that several modules of this crate use.

use std::time::Duration;

/// Identifies an attempt among all daemons. The entry chooses it at random, so that
/// no two entries use the same id.
pub type AttemptId = u128;

/// Identifies one run of a daemon process. It changes when the daemon restarts.
pub type Incarnation = u64;

/// Identifies a set of upstreams, see [`crate::upstream_set_id`].
pub type UpstreamSetId = u64;

/// Reading of this process's steady clock: the time since the process started.
/// Readings of two machines are not comparable.
pub type Time = Duration;

/// Reading of the calendar clock: the time since the Unix epoch. Readings of two
/// machines differ by up to the maximum clock skew, see `docs/design/at-most-once.md`.
pub type WallTime = Duration;
