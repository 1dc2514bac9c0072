//! Keeps one fault from filling the log.

use std::collections::BTreeMap;
use std::time::Duration;

/// What to do with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Log it, and say how many like it were left out since the last one.
    Log {
        /// Messages left out.
        suppressed: u64,
    },
    /// Leave it out.
    Suppress,
}

/// Allows so many messages of each key in each window.
///
/// A silent peer or a platform outage repeats the same message with every
/// tick. Unlimited, the log would take the processor time that calls need and
/// bury the line that explains the fault. Keys are texts of the program, not
/// of its input, so that nobody outside can make the table grow.
#[derive(Clone, Debug)]
pub struct RateLimit {
    allowed: u32,
    window: Duration,
    keys: BTreeMap<&'static str, Window>,
}

#[derive(Clone, Debug, Default)]
struct Window {
    start: Duration,
    logged: u32,
    suppressed: u64,
}

impl RateLimit {
    /// Allows `allowed` messages of a key in each `window`.
    #[must_use]
    pub fn new(allowed: u32, window: Duration) -> Self {
        Self {
            allowed,
            window,
            keys: BTreeMap::new(),
        }
    }

    /// Decides over one message at `now`, a time since any fixed start.
    pub fn admit(&mut self, key: &'static str, now: Duration) -> Admission {
        let window = self.keys.entry(key).or_insert_with(|| Window {
            start: now,
            ..Window::default()
        });
        if now.saturating_sub(window.start) >= self.window {
            window.start = now;
            window.logged = 0;
        }
        if window.logged >= self.allowed {
            window.suppressed += 1;
            return Admission::Suppress;
        }
        window.logged += 1;
        Admission::Log {
            suppressed: std::mem::take(&mut window.suppressed),
        }
    }
}
