//! Counts of one route's calls.

use std::collections::BTreeMap;

use serde::Serialize;
use stoatstep_telemetry::fields;

use crate::commands::log_line::Line;

/// Columns, those that name the row first.
pub(super) const HEADER: [&str; 12] = [
    "FROM",
    "ROUTE",
    "CALLS",
    "IN TIME",
    "LATE",
    "FAILED",
    "NOT RUN",
    "UNKNOWN",
    "ATTEMPTS",
    "OTHER ZONE",
    "KB",
    "WASTED S",
];

/// Lowest status of a target's failure.
const FAILURE: u64 = 500;

/// What became of some calls.
#[derive(Default, Serialize)]
pub(super) struct Tally {
    calls: u64,
    /// Answered within the latency objective.
    in_time: u64,
    /// Answered after it.
    late: u64,
    /// The target answered with a failure.
    failed: u64,
    /// Callers that left before the end.
    left: u64,
    /// Refused as not run, by reason.
    not_run: BTreeMap<String, u64>,
    /// With an outcome that nobody knows, by reason.
    unknown: BTreeMap<String, u64>,
    attempts: u64,
    /// Answered by a target of another zone, and the bytes of those answers.
    other_zone: u64,
    other_zone_bytes: u64,
    bytes: u64,
    /// Time of targets on calls that brought no answer of use.
    wasted_us: u64,
}

/// Whether a line says how a call ended.
pub(super) fn is_about_a_call(line: &Line) -> bool {
    matches!(line.msg.as_str(), "call ended" | "caller left")
}

impl Tally {
    pub(super) fn add(&mut self, line: &Line) {
        self.calls += 1;
        if line.msg == "caller left" {
            self.left += 1;
            return;
        }
        self.attempts += line.number(fields::ATTEMPTS);
        let reason = line.text(fields::REASON);
        let is_answered = match line.text(fields::OUTCOME).as_str() {
            "not-run" => {
                *self.not_run.entry(reason).or_default() += 1;
                false
            }
            "unknown" => {
                *self.unknown.entry(reason).or_default() += 1;
                false
            }
            _ => self.answered(line),
        };
        if !is_answered {
            self.wasted_us += line.number(fields::TARGET_US);
        }
    }

    /// Counts an answer; says whether it is of use to the caller.
    fn answered(&mut self, line: &Line) -> bool {
        let bytes = line.number(fields::BYTES);
        self.bytes += bytes;
        if line.flag(fields::OTHER_ZONE) {
            self.other_zone += 1;
            self.other_zone_bytes += bytes;
        }
        if line.number(fields::STATUS) >= FAILURE {
            self.failed += 1;
            return false;
        }
        if line.flag(fields::LATE) {
            self.late += 1;
        } else {
            self.in_time += 1;
        }
        true
    }

    /// The cells of its row, in the order of [`HEADER`].
    pub(super) fn cells(&self) -> impl Iterator<Item = String> {
        let cells = [
            self.calls.to_string(),
            self.in_time.to_string(),
            self.late.to_string(),
            self.failed.to_string(),
            by_reason(&self.not_run),
            by_reason(&self.unknown),
            hundredths(self.attempts * 100, self.calls),
            format!("{}%", share(self.other_zone, self.calls)),
            (self.bytes / 1000).to_string(),
            hundredths(self.wasted_us / 10_000, 1),
        ];
        cells.into_iter()
    }
}

/// A number given in hundredths, divided.
fn hundredths(value: u64, by: u64) -> String {
    let value = value / by.max(1);
    format!("{}.{:02}", value / 100, value % 100)
}

fn share(part: u64, of: u64) -> u64 {
    part * 100 / of.max(1)
}

fn by_reason(counts: &BTreeMap<String, u64>) -> String {
    let total: u64 = counts.values().sum();
    if total == 0 {
        return "0".to_owned();
    }
    let mut reasons: Vec<_> = counts.iter().collect();
    reasons.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    let reasons = reasons
        .into_iter()
        .map(|(reason, count)| format!("{reason} {count}"));
    let reasons: Vec<_> = reasons.collect();
    format!("{total} ({})", reasons.join(", "))
}
