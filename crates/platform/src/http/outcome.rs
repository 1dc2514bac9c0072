//! Maps failures to errors by whether the request may have been executed.

use std::time::Duration;

use ntex::client::ClientResponse;
use ntex::client::error::{ClientError, ConnectError};
use ntex::http::StatusCode;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use crate::error::PlatformError;
use crate::wire::{WireError, header};

/// Time after which to retry after a 429 that states none.
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

/// Maps errors of the HTTP client by whether the request may have been sent.
///
/// The client reports a connection that ended while it waited for the answer as
/// `Connect(Disconnected(None))`, as if it had never connected; a failed connect has a cause
/// instead of `None`. If the former were taken for a failed connect, a write that took effect would
/// be reported as not done, and a retry would do it twice.
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

/// Maps the status of an unsuccessful answer to an error. Only statuses by which the service itself
/// states that it did nothing count as not done; after a 500 or a gateway's 502, the request may
/// have been executed.
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
