//! Tests of the limit on repeated log messages and of parsing levels.

use std::time::Duration;

use stoatstep_telemetry::{Level, LogDecision, LogRateLimit};

const SECOND: Duration = Duration::from_secs(1);

fn log(suppressed: u64) -> LogDecision {
    LogDecision::Log { suppressed }
}

/// While a peer is silent, each tick logs the same message. The log gets the first ones of each
/// window, and the first of a new window has the number of suppressed messages.
#[test]
fn repeats_are_suppressed_and_counted() {
    let mut limit = LogRateLimit::new(2, SECOND);
    assert_eq!(limit.admit("peer silent", Duration::ZERO), log(0));
    assert_eq!(limit.admit("peer silent", Duration::ZERO), log(0));
    for _ in 0..5 {
        let admission = limit.admit("peer silent", SECOND / 2);
        assert_eq!(admission, LogDecision::Suppress);
    }
    assert_eq!(limit.admit("platform down", SECOND / 2), log(0));
    assert_eq!(limit.admit("peer silent", SECOND), log(5));
    assert_eq!(limit.admit("peer silent", SECOND), log(0));
    assert_eq!(limit.admit("peer silent", SECOND), LogDecision::Suppress);
}

#[test]
fn clock_that_steps_back_opens_no_window() {
    let mut limit = LogRateLimit::new(1, SECOND);
    assert_eq!(limit.admit("again", SECOND * 5), log(0));
    assert_eq!(limit.admit("again", SECOND), LogDecision::Suppress);
}

#[test]
fn levels_are_read_by_name() {
    assert_eq!("info".parse(), Ok(Level::Info));
    assert_eq!("warn".parse(), Ok(Level::Warning));
    assert!("loud".parse::<Level>().is_err());
}
