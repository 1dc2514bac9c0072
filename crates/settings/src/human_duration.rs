//! Durations as text in settings.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A duration written as a whole number and a unit, such as `250ms`, `2s`, `5m` or `1h`.
///
/// The unit is required: if `--timeout 5` were read as seconds but meant as milliseconds, or the
/// reverse, that would only be noticed under load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HumanDuration(pub Duration);

/// Why a text could not be parsed as a [`HumanDuration`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HumanDurationError {
    /// The text does not start with a whole number.
    NotANumber,
    /// The unit is missing or unknown.
    NotAUnit,
    /// The duration is too long to be represented.
    TooLong,
}

impl fmt::Display for HumanDurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotANumber => "a whole number and a unit is expected, such as 250ms",
            Self::NotAUnit => "the unit must be ms, s, m or h",
            Self::TooLong => "the time is too long",
        })
    }
}

impl std::error::Error for HumanDurationError {}

impl FromStr for HumanDuration {
    type Err = HumanDurationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let end = text
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(text.len());
        let (digits, unit) = text.split_at(end);
        if digits.is_empty() {
            return Err(HumanDurationError::NotANumber);
        }
        let millis_per_unit: u64 = match unit {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(HumanDurationError::NotAUnit),
        };
        // All characters are digits, so parsing can fail only on overflow.
        let count: u64 = digits.parse().map_err(|_| HumanDurationError::TooLong)?;
        count
            .checked_mul(millis_per_unit)
            .map(|millis| Self(Duration::from_millis(millis)))
            .ok_or(HumanDurationError::TooLong)
    }
}

impl From<HumanDuration> for Duration {
    fn from(duration: HumanDuration) -> Self {
        duration.0
    }
}
