//! Durations as text, in resource files and in JSON.

use std::time::Duration;

/// Units of a duration and their lengths in nanoseconds, in ascending order.
const UNITS: [(&str, u128); 5] = [
    ("ns", 1),
    ("us", 1_000),
    ("ms", 1_000_000),
    ("s", 1_000_000_000),
    ("m", 60_000_000_000),
];

/// Parses a duration that is written as a whole number and a unit: `ns`, `us`, `ms`, `s` or `m`.
///
/// # Errors
///
/// A message that says what is wrong.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let digits = text.chars().take_while(char::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let nanos_per_unit = UNITS.iter().find(|(name, _)| *name == unit);
    let nanos_per_unit = nanos_per_unit.map(|(_, nanos)| *nanos);
    let (Ok(number), Some(nanos_per_unit)) = (number.parse::<u64>(), nanos_per_unit) else {
        return Err(format!(
            "{text:?} is no duration; write a whole number and a unit, such as \"250ms\", \"2s\" or \"1m\""
        ));
    };
    let nanos = u128::from(number) * nanos_per_unit;
    u64::try_from(nanos)
        .map(Duration::from_nanos)
        .map_err(|_| format!("{text:?} is too long a duration"))
}

/// Formats a duration in the largest unit that represents it exactly, as [`parse_duration`] reads
/// it.
#[must_use]
pub fn duration_text(duration: Duration) -> String {
    let nanos = duration.as_nanos();
    let exact = UNITS
        .iter()
        .rev()
        .find(|(_, unit)| nanos.is_multiple_of(*unit));
    match exact {
        Some((name, unit)) if nanos > 0 => format!("{}{name}", nanos / unit),
        _ => "0ms".to_owned(),
    }
}
