//! What a target states about itself in the headers of its answers.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Value of the header by which a target states that it leaves.
const LEAVING: &[u8] = b"1";

/// Rate of requests that a target accepts from all daemons together.
///
/// It is kept as the time between two requests, so that it can be compared and hashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RateLimit {
    interval: Duration,
}

impl RateLimit {
    /// Time between two requests at this rate; [`Duration::MAX`] if no request is accepted.
    #[must_use]
    pub fn interval(self) -> Duration {
        self.interval
    }

    /// Requests per second; zero if no request is accepted.
    #[must_use]
    pub fn per_second(self) -> f64 {
        if self.interval == Duration::MAX {
            return 0.0;
        }
        self.interval.as_secs_f64().recip()
    }

    /// The lower one of two rates.
    fn min(self, other: Self) -> Self {
        Self {
            interval: self.interval.max(other.interval),
        }
    }
}

/// A text that is not a rate: no decimal number, a negative one or none that is finite.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRateLimit;

impl fmt::Display for InvalidRateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a number of requests per second")
    }
}

impl std::error::Error for InvalidRateLimit {}

impl FromStr for RateLimit {
    type Err = InvalidRateLimit;

    /// Parses a number of requests per second. Rates over a thousand million are rounded down
    /// to it, since the interval is kept in whole nanoseconds.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_second: f64 = text.trim().parse().map_err(|_| InvalidRateLimit)?;
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(InvalidRateLimit);
        }
        let interval = Duration::try_from_secs_f64(per_second.recip());
        let interval = interval.unwrap_or(Duration::MAX);
        Ok(Self {
            interval: interval.max(Duration::from_nanos(1)),
        })
    }
}

/// What one answer states about the target's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitStatement {
    /// The answer names no limit.
    #[default]
    Absent,
    /// The answer names a limit that is not a rate.
    Invalid,
    /// The answer names this limit.
    Limit(RateLimit),
}

impl LimitStatement {
    /// Decodes the values of the header. The lowest rate holds if there are several.
    pub fn decode<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut stated = Self::Absent;
        for value in values {
            let text = std::str::from_utf8(value).unwrap_or_default();
            stated = match (stated, text.parse::<RateLimit>()) {
                (Self::Limit(limit), Ok(other)) => Self::Limit(limit.min(other)),
                (_, Ok(limit)) | (Self::Limit(limit), Err(InvalidRateLimit)) => Self::Limit(limit),
                (_, Err(InvalidRateLimit)) => Self::Invalid,
            };
        }
        stated
    }
}

/// What one answer states about its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetStatement {
    /// Requests per second that the target accepts.
    pub limit: LimitStatement,
    /// Whether the target leaves and must get no new calls.
    pub is_leaving: bool,
}

impl TargetStatement {
    /// Decodes the values of the two headers.
    pub fn decode<'a>(
        limits: impl IntoIterator<Item = &'a [u8]>,
        leaving: impl IntoIterator<Item = &'a [u8]>,
    ) -> Self {
        let mut leaving = leaving.into_iter();
        Self {
            limit: LimitStatement::decode(limits),
            is_leaving: leaving.any(|it| it.trim_ascii() == LEAVING),
        }
    }

    /// Whether nothing is stated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
