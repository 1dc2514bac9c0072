//! Clock of the call tables.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use stoatstep_calls::{Time, WallTime};

/// The process's clocks. The calendar clock is only read at the start: if it were set while the
/// process runs, keys would look older or younger than their records.
pub(super) struct Clock {
    started: Instant,
    started_wall: WallTime,
}

impl Clock {
    pub(super) fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            started: Instant::now(),
            started_wall: since_epoch.unwrap_or_default(),
        }
    }

    pub(super) fn now(&self) -> Time {
        self.started.elapsed()
    }

    pub(super) fn wall(&self) -> WallTime {
        self.started_wall + self.now()
    }

    pub(super) fn started_wall(&self) -> WallTime {
        self.started_wall
    }
}
