//! Builds the responses to callers.

use std::time::Duration;

use ntex::http::{Response, ResponseBuilder, StatusCode};
use ntex::util;
use stoatstep_calls::{Answer, Outcome, Reason, Refusal};

use crate::wire::End;

/// Shortest retry delay given to callers. Without it, callers refused at the same time would
/// retry at the same time.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(5);

/// The response to a call that has ended. `is_last` closes the caller's connection after it.
pub(super) fn completed(end: &End, is_last: bool) -> Response {
    match end {
        End::Answered(answer) => answered(answer, is_last),
        End::Refused(refusal) => refused(refusal, is_last),
    }
}

fn answered(answer: &Answer, is_last: bool) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut res = builder(status, is_last);
    for header in &answer.headers {
        res.header(header.name.as_str(), header.value.as_slice());
    }
    res.body(util::Bytes::copy_from_slice(&answer.body.to_bytes()))
}

/// The response to a call without an answer of its target.
pub(super) fn refused(refusal: &Refusal, is_last: bool) -> Response {
    let mut res = builder(status(refusal), is_last);
    if refusal.outcome() == Outcome::NotRun
        && let Some(delay) = refusal.retry_after
    {
        let seconds = delay.max(MIN_RETRY_DELAY).as_secs_f64();
        res.header("retry-after", format!("{seconds:.3}"));
    }
    if refusal.reason == Reason::Unauthenticated {
        res.header("www-authenticate", "Bearer");
    }
    res.finish()
}

fn builder(status: StatusCode, is_last: bool) -> ResponseBuilder {
    let mut res = Response::build(status);
    if is_last {
        res.force_close();
    }
    res
}

fn status(refusal: &Refusal) -> StatusCode {
    match refusal.reason {
        Reason::NoRoute => StatusCode::NOT_FOUND,
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::Unauthenticated => StatusCode::UNAUTHORIZED,
        Reason::OverQuota => StatusCode::TOO_MANY_REQUESTS,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        _ => match refusal.outcome() {
            Outcome::Unknown => StatusCode::BAD_GATEWAY,
            Outcome::NotRun | Outcome::Answered => StatusCode::SERVICE_UNAVAILABLE,
        },
    }
}
