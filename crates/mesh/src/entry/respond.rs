//! Builds the responses to callers.

use std::rc::Rc;
use std::time::Duration;

use ntex::http::body::Body;
use ntex::http::{Request, Response, ResponseBuilder, StatusCode};
use ntex::util;
use stoatstep_calls::{Answer, Outcome, Reason, Refusal};
use stoatstep_http::{AnswerStream, Connection};

use crate::drain::InFlight;
use crate::memory::MAX_WHOLE_ANSWER;
use crate::node::Node;
use crate::wire::End;

/// Shortest retry delay given to callers. Without it, callers refused at the same time would
/// retry at the same time.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(5);

/// The response to a call that has ended.
pub(super) fn completed(node: &Rc<Node>, req: &Request, end: &End) -> Response {
    match end {
        End::Answered(answer) => answered(node, req, answer),
        End::Refused(refusal) => refused(refusal, node.is_leaving()),
    }
}

fn answered(node: &Rc<Node>, req: &Request, answer: &Answer) -> Response {
    let is_last = node.is_leaving();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut res = builder(status, is_last);
    for header in &answer.headers {
        res.header(header.name.as_str(), header.value.as_slice());
    }
    let body = answer.body.clone();
    if body.len() > MAX_WHOLE_ANSWER
        && let Some(connection) = Connection::of(req)
        && let Some(io) = connection.io()
    {
        let transfer = node.memory.answers.transfers().begin_writing(io);
        let guard = (InFlight::enter(node), connection.answer());
        return res.message_body(Body::from_message(AnswerStream::new(body, transfer, guard)));
    }
    res.body(util::Bytes::copy_from_slice(&body.to_bytes()))
}

/// The response to a call without an answer of its target. `is_last` closes the caller's connection
/// after it.
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
