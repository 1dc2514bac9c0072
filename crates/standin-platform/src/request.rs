//! Processing of requests: admission, delay, execution and answer.

use std::future::pending;
use std::time::Duration;

use ntex::channel::oneshot;
use ntex::http::header::RETRY_AFTER;
use ntex::rt::spawn;
use ntex::time::sleep;
use ntex::web::{HttpRequest, HttpResponse};
use smol_str::SmolStr;
use stoatstep_platform::{Service, header};

use crate::counts::Access;
use crate::standin::{Arrival, Decision, Inner, Standin};

/// Zone under which callers that name none are counted.
const NO_ZONE: &str = "none";

/// Service that a request goes to, and its cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) service: Service,
    pub(crate) access: Access,
    pub(crate) cost: usize,
    pub(crate) bytes: usize,
}

/// Result of executing a request.
#[derive(Debug)]
pub(crate) enum Done {
    Body(Vec<u8>),
    Empty,
    NotFound,
}

/// Executes a request with `run`, subject to the limits and the active faults.
pub(crate) async fn serve<F>(
    req: HttpRequest,
    standin: &Standin,
    work: Work,
    run: F,
) -> HttpResponse
where
    F: FnOnce(&mut Inner) -> Done + 'static,
{
    let _in_flight = standin.begin();
    let zone = zone(&req);
    let arrival = Arrival {
        service: work.service,
        zone: &zone,
        access: work.access,
        cost: work.cost,
        bytes: work.bytes,
    };
    match standin.admit(arrival) {
        Decision::Refuse { retry_after } => {
            refuse_with_retry_after(HttpResponse::ServiceUnavailable(), retry_after)
        }
        Decision::Throttle { retry_after } => {
            refuse_with_retry_after(HttpResponse::TooManyRequests(), retry_after)
        }
        Decision::Run { delay, lose_answer } => {
            let done = execute_after(standin, delay, run).await;
            if let Some(withheld) = lose_answer {
                sleep(withheld).await;
                return close_connection(&req).await;
            }
            answer(standin, &zone, done)
        }
    }
}

/// Executes a request after a delay.
///
/// The server drops the future of a request when its caller closes the connection. A real service
/// that is slow or suspended still executes requests that reached it, long after their callers have
/// timed out. The delay simulates such late writes, so the execution runs in a task of its own.
async fn execute_after<F>(standin: &Standin, delay: Duration, run: F) -> Done
where
    F: FnOnce(&mut Inner) -> Done + 'static,
{
    if delay.is_zero() {
        return run(&mut standin.lock());
    }
    let (tx, rx) = oneshot::channel();
    let standin = standin.clone();
    spawn(async move {
        sleep(delay).await;
        let done = run(&mut standin.lock());
        // The receiver is gone if the caller has closed its connection.
        let _ = tx.send(done);
    });
    match rx.await {
        Ok(done) => done,
        // The task was dropped, because the program ends.
        Err(_) => pending().await,
    }
}

/// Closes the connection without an answer to this request.
async fn close_connection(req: &HttpRequest) -> HttpResponse {
    if let Some(io) = req.io() {
        io.terminate();
    }
    pending().await
}

fn answer(standin: &Standin, zone: &str, done: Done) -> HttpResponse {
    match done {
        Done::Body(body) => {
            standin.answered(zone, body.len());
            HttpResponse::Ok()
                .content_type("application/msgpack")
                .body(body)
        }
        Done::Empty => HttpResponse::NoContent().finish(),
        Done::NotFound => HttpResponse::NotFound().finish(),
    }
}

/// Completes a refusal with the time after which to retry. Both statuses that it is used with state
/// that the request was not executed and never will be.
fn refuse_with_retry_after(
    mut res: ntex::web::HttpResponseBuilder,
    after: Duration,
) -> HttpResponse {
    let millis = after.as_millis() + 1;
    let seconds = millis.div_ceil(1_000);
    res.header(RETRY_AFTER, seconds.to_string())
        .header(header::RETRY_AFTER_MS, millis.to_string())
        .finish()
}

/// Refuses an invalid request.
pub(crate) fn bad_request(reason: impl Into<String>) -> HttpResponse {
    HttpResponse::BadRequest().body(reason.into())
}

fn zone(req: &HttpRequest) -> SmolStr {
    let value = req.headers().get(header::ZONE);
    let zone = value.and_then(|value| value.to_str().ok());
    zone.unwrap_or(NO_ZONE).into()
}
