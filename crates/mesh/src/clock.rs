//! Clock readings for the state machines.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use stoatstep_calls::Time;

/// The clock of this process.
///
/// It keeps running while the instance is suspended, unlike the usual monotonic clock. With that
/// one, a process that was suspended for seconds would consider its deadlines, queues and state
/// fresh, and run calls whose callers had been told long ago that they did not run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Duration,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            started: since_boot(),
        }
    }

    /// Time since the process started.
    pub(crate) fn now(&self) -> Time {
        since_boot().saturating_sub(self.started)
    }
}

fn since_boot() -> Duration {
    let reading = clock_gettime(ClockId::CLOCK_BOOTTIME);
    reading.map_or(Duration::ZERO, Duration::from)
}

/// The time of day, from which the incarnations of this instance are numbered.
pub(crate) fn unix_time() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default()
}
