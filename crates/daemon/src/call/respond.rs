//! Builds the HTTP responses to callers.

use std::time::Duration;

use ntex::http::{Response, ResponseBuilder, StatusCode};
use ntex::util::Bytes;
use smol_str::SmolStr;
use stoatstep_calls::{Answer, Outcome, Reason, Refusal};
use stoatstep_resource::Version;

use super::headers;

/// Builds the response with the target's whole answer.
pub(super) fn answered(answer: &Answer, version: Version) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut res = Response::build(status);
    for header in &answer.headers {
        res.header(header.name.as_str(), header.value.as_slice());
    }
    res.header(headers::OUTCOME, Outcome::Answered.as_str());
    add_version_header(&mut res, version);
    res.body(Bytes::copy_from_slice(&answer.body.to_bytes()))
}

/// Builds the response to a call that ended without the target's answer.
pub(super) fn refused(refusal: &Refusal, findings: &[SmolStr], version: Version) -> Response {
    let mut res = Response::build(status(refusal));
    res.header(headers::OUTCOME, refusal.outcome().as_str());
    res.header(headers::REASON, refusal.reason.as_str());
    if let Some(delay) = refusal.retry_after {
        let ms = whole_millis(delay);
        res.header(headers::RETRY_AFTER_MS, ms.to_string());
        res.header(headers::RETRY_AFTER, ms.div_ceil(1000).to_string());
    }
    add_version_header(&mut res, version);
    if findings.is_empty() {
        return res.finish();
    }
    let mut text = findings.join("\n");
    text.push('\n');
    res.content_type("text/plain").body(text)
}

fn add_version_header(res: &mut ResponseBuilder, version: Version) {
    res.header(headers::VERSION, version.to_string());
}

fn whole_millis(delay: Duration) -> u64 {
    let ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
    ms.max(1)
}

fn status(refusal: &Refusal) -> StatusCode {
    match refusal.reason {
        Reason::NoRoute => StatusCode::NOT_FOUND,
        Reason::Unauthenticated => StatusCode::UNAUTHORIZED,
        Reason::BadRequest | Reason::KeyFromFuture => StatusCode::BAD_REQUEST,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        _ => match refusal.outcome() {
            Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
            Outcome::NotRun | Outcome::Answered => StatusCode::SERVICE_UNAVAILABLE,
        },
    }
}
