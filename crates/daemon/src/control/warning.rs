//! Rate-limited warnings, for faults that recur as long as their cause lasts.

use std::fmt::Display;
use std::time::Duration;

use stoatstep_telemetry::{LogDecision, LogRateLimit};

use crate::node::Node;

/// Warnings with the same message that are logged per window. During an outage of the
/// platform every retry on every daemon fails with the same warning.
const ALLOWED: u32 = 1;
const WINDOW: Duration = Duration::from_secs(10);

/// Returns the rate limit that all warnings of the control plane share.
pub(super) fn rate_limit() -> LogRateLimit {
    LogRateLimit::new(ALLOWED, WINDOW)
}

/// Logs a warning, or suppresses it and counts it in the next one with the same
/// message.
pub(crate) fn warn(node: &Node, message: &'static str, err: &dyn Display) {
    let now = node.control.now();
    let admission = node.control.warnings.borrow_mut().admit(message, now);
    let LogDecision::Log { suppressed } = admission else {
        return;
    };
    slog::warn!(node.log, "{}", message;
        "error" => %err, "suppressed" => suppressed);
}
