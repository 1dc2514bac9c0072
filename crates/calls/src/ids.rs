//! Ids and clock readings that the call tables share.

use std::time::Duration;

/// Names one attempt over all daemons. Drawn at random by the entry, so that
/// two entries never use the same one.
pub type AttemptId = u128;

/// Names one life of a daemon process. A restarted daemon has another one.
pub type Incarnation = u64;

/// Names the set of upstreams of a service, see [`crate::set_id`].
pub type SetId = u64;

/// Reading of this process's steady clock: time since the process started.
/// Never comparable between machines.
pub type Time = Duration;

/// Reading of the calendar clock: time since the Unix epoch. Comparable between
/// machines only up to the skew bound, see `docs/design/at-most-once.md`.
pub type Wall = Duration;
