//! Lengths of time as operators write them.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A length of time written as a whole number and a unit: `250ms`, `2s`, `5m`
/// or `1h`. A bare number is refused: whether `--timeout 5` meant seconds or
/// milliseconds would only show under load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

/// Why a text is no [`Span`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpanError {
    /// What comes before the unit is not a whole number.
    NotANumber,
    /// The unit is missing or unknown.
    NotAUnit,
    /// The length does not fit.
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
        // All digits by now, so that only the size can be wrong.
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
