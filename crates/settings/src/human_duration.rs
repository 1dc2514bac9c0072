//! Durations as text in settings.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A duration written as a whole number and a unit, such as `250ms`, `2s`, `5m` or `1h`.
///
/// The unit is required: if `--timeout 5` were read as seconds but meant as milliseconds, or the
/// reverse, that would only be noticed under load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

/// Why a text could not be parsed as a [`Span`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpanError {
    /// The text does not start with a whole number.
    NotANumber,
    /// The unit is missing or unknown.
    NotAUnit,
    /// The duration is too long to be represented.
    TooLong,
}

impl fmt::Display for SpanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotANumber => "a whole number and a unit is expected, such as 250ms",
            Self::NotAUnit => "the unit must be ms, s, m or h",
            Self::TooLong => "the time is too long",
        })
    }
}

impl std::error::Error for SpanError {}

impl FromStr for Span {
    type Err = SpanError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let end = text
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(text.len());
        let (digits, unit) = text.split_at(end);
        if digits.is_empty() {
            return Err(SpanError::NotANumber);
        }
        let millis_per_unit: u64 = match unit {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(SpanError::NotAUnit),
        };
        // All characters are digits, so parsing can fail only on overflow.
        let count: u64 = digits.parse().map_err(|_| SpanError::TooLong)?;
        count
            .checked_mul(millis_per_unit)
            .map(|millis| Self(Duration::from_millis(millis)))
            .ok_or(SpanError::TooLong)
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Self {
        span.0
    }
}
