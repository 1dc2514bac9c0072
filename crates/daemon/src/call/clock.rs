//! Clock readings for the tables.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use stoatstep_calls::{Time, WallTime};

/// The process's clocks. The calendar clock is read once: a step of it while
/// the process runs would make keys look older or younger than their records.
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
