//! Bounds the number of log messages that a lasting fault repeats.

use std::collections::BTreeMap;
use std::time::Duration;

/// Whether to log a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogDecision {
    /// Log it together with the number of suppressed messages.
    Log {
        /// Messages of the same key that were suppressed since the last logged one.
        suppressed: u64,
    },
    /// Do not log it.
    Suppress,
}

/// Allows a fixed number of messages of each key per time window.
///
/// While a peer is silent or the platform is down, every tick logs the same message. Without a
/// limit, logging would take the processor time that calls need and hide the line that explains the
/// fault. Keys are constants of the program, so that no input can make the table grow.
#[derive(Clone, Debug)]
pub struct LogRateLimit {
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

impl LogRateLimit {
    /// Creates a limit of `allowed` messages of each key per `window`.
    #[must_use]
    pub fn new(allowed: u32, window: Duration) -> Self {
        Self {
            allowed,
            window,
            keys: BTreeMap::new(),
        }
    }

    /// Decides whether to log a message at `now`, a time since an arbitrary fixed start.
    pub fn admit(&mut self, key: &'static str, now: Duration) -> LogDecision {
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
            return LogDecision::Suppress;
        }
        window.logged += 1;
        LogDecision::Log {
            suppressed: std::mem::take(&mut window.suppressed),
        }
    }
}
