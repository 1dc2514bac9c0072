//! Sorts what can go wrong by whether the request may have been carried out.

use std::time::Duration;

use ntex::client::ClientResponse;
use ntex::client::error::{ClientError, ConnectError};
use ntex::http::StatusCode;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use crate::error::PlatformError;
use crate::wire::{WireError, header};

/// When to come back after a 429 that doesn't say.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

pub(super) fn unavailable(reason: SmolStr) -> PlatformError {
    PlatformError::Unavailable {
        reason,
        retry_after: None,
    }
}

pub(super) fn unknown(reason: impl Into<SmolStr>) -> PlatformError {
    PlatformError::Unknown {
        reason: reason.into(),
    }
}

pub(super) fn bad_answer(e: &WireError) -> PlatformError {
    PlatformError::BadAnswer {
        reason: e.to_smolstr(),
    }
}

/// Sorts the client's errors into "never sent" and "maybe sent".
///
/// The client reports a connection that ended while it waited for the answer
/// as `Connect(Disconnected(None))`, as if it had never connected. Taking it
/// for a failed connect would turn a write that took effect into "not done",
/// and the retry into a duplicate; a failed connect has a cause.
pub(super) fn from_client_error(e: ClientError) -> PlatformError {
    match e {
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            unknown("connection ended before the answer")
        }
        ClientError::Connect(e) => unavailable(e.to_smolstr()),
        ClientError::Url(_) | ClientError::Http(_) => PlatformError::Refused {
            reason: e.to_smolstr(),
        },
        e => unknown(e.to_smolstr()),
    }
}

/// Sorts the statuses: only those by which the service itself says that it
/// did nothing count as not done; a 500 or a gateway's 502 tells nothing.
pub(super) fn from_status(res: &ClientResponse, body: &[u8]) -> Result<(), PlatformError> {
    let status = res.status();
    if status.is_success() {
        return Ok(());
    }
    let reason = || format_smolstr!("{}: {}", status, String::from_utf8_lossy(body));
    Err(match status {
        StatusCode::NOT_FOUND => PlatformError::NotFound,
        StatusCode::TOO_MANY_REQUESTS => PlatformError::Throttled {
            retry_after: retry_after(res).unwrap_or(DEFAULT_RETRY_AFTER),
        },
        StatusCode::SERVICE_UNAVAILABLE => PlatformError::Unavailable {
            reason: reason(),
            retry_after: retry_after(res),
        },
        status if status.is_client_error() => PlatformError::Refused { reason: reason() },
        _ => unknown(reason()),
    })
}

fn retry_after(res: &ClientResponse) -> Option<Duration> {
    let value = res.header(header::RETRY_AFTER_MS)?.to_str().ok()?;
    value.parse().ok().map(Duration::from_millis)
}
