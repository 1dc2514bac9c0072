//! Warnings that a lasting fault repeats.

use std::fmt::Display;
use std::time::Duration;

use stoatstep_telemetry::{LogDecision, LogRateLimit};

use crate::node::Node;

/// One line of a kind in each window. An outage of the platform repeats each
/// with every try, on every daemon, for as long as it lasts.
const ALLOWED: u32 = 1;
const WINDOW: Duration = Duration::from_secs(10);

/// The limit that all warnings of a daemon's control side share.
pub(super) fn limit() -> LogRateLimit {
    LogRateLimit::new(ALLOWED, WINDOW)
}

/// Logs a warning, or counts it towards the next one of its kind.
pub(crate) fn warn(node: &Node, message: &'static str, err: &dyn Display) {
    let now = node.control.now();
    let admission = node.control.warnings.borrow_mut().admit(message, now);
    let LogDecision::Log { suppressed } = admission else {
        return;
    };
    slog::warn!(node.log, "{}", message;
        "error" => %err, "suppressed" => suppressed);
}
