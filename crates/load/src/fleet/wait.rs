//! Waiting for something to come about.

use std::time::{Duration, Instant};

use futures_timer::Delay;

use crate::fleet::error::FleetError;

/// How often the state of the fleet is asked for while waiting.
const POLL: Duration = Duration::from_millis(50);

/// Asks again and again until `done`, for up to `limit`.
///
/// # Errors
///
/// It was not in time.
pub(super) async fn wait_for(
    what: &str,
    limit: Duration,
    done: impl AsyncFn() -> bool,
) -> Result<(), FleetError> {
    let begin = Instant::now();
    while !done().await {
        if begin.elapsed() > limit {
            return Err(FleetError::Timeout(what.to_owned()));
        }
        Delay::new(POLL).await;
    }
    Ok(())
}
