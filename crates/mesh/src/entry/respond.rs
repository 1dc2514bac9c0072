//! Answers to callers.

use std::time::Duration;

use ntex::http::{Response, ResponseBuilder, StatusCode};
use stoatstep_calls::{Answer, Outcome, Reason, Refusal};

use crate::wire::End;

/// Shortest pause that callers are asked for: two of them at once would come
/// back together.
const LEAST_PAUSE: Duration = Duration::from_millis(5);

/// What a call ended with. `is_last` closes the caller's connection after it.
pub(super) fn ended(end: &End, is_last: bool) -> Response {
    match end {
        End::Answered(answer) => answered(answer, is_last),
        End::Refused(refusal) => refused(refusal, is_last),
    }
}

fn answered(answer: &Answer, is_last: bool) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut res = build(status, is_last);
    for header in &answer.headers {
        res.header(header.name.as_str(), header.value.as_slice());
    }
    res.body(answer.body.clone())
}

/// An ending without the target's answer.
pub(super) fn refused(refusal: &Refusal, is_last: bool) -> Response {
    let mut res = build(status(refusal), is_last);
    if refusal.outcome() == Outcome::NotRun
        && let Some(pause) = refusal.retry_after
    {
        let seconds = pause.max(LEAST_PAUSE).as_secs_f64();
        res.header("retry-after", format!("{seconds:.3}"));
    }
    if refusal.reason == Reason::Unauthenticated {
        res.header("www-authenticate", "Bearer");
    }
    res.finish()
}

fn build(status: StatusCode, is_last: bool) -> ResponseBuilder {
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
