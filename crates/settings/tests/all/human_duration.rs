//! Parsing of durations.

use std::time::Duration;

use proptest::prelude::*;
use stoatstep_settings::{HumanDuration, HumanDurationError};

#[test]
fn units_are_read() {
    for (text, millis) in [
        ("0ms", 0),
        ("250ms", 250),
        ("2s", 2_000),
        ("5m", 300_000),
        ("1h", 3_600_000),
    ] {
        assert_eq!(
            text.parse(),
            Ok(HumanDuration(Duration::from_millis(millis)))
        );
    }
}

#[test]
fn wrong_texts_say_why() {
    for (text, error) in [
        ("", HumanDurationError::NotANumber),
        ("ms", HumanDurationError::NotANumber),
        ("-1s", HumanDurationError::NotANumber),
        ("5", HumanDurationError::NotAUnit),
        ("5 s", HumanDurationError::NotAUnit),
        ("1.5s", HumanDurationError::NotAUnit),
        ("99999999999999999999s", HumanDurationError::TooLong),
        ("18446744073709551615h", HumanDurationError::TooLong),
    ] {
        assert_eq!(text.parse::<HumanDuration>(), Err(error), "{text:?}");
    }
}

proptest! {
    #[test]
    fn any_text_gives_a_duration_or_an_error(text in ".{0,24}") {
        let _ = text.parse::<HumanDuration>();
    }

    #[test]
    fn whole_seconds_are_kept(seconds in 0_u64..1_000_000_000) {
        let duration: HumanDuration = format!("{seconds}s").parse().expect("a duration");
        prop_assert_eq!(Duration::from(duration), Duration::from_secs(seconds));
    }
}
