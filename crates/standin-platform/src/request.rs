//! The way of every request: admission, waiting, work, answer.

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

/// Zone of a caller that names none.
const NO_ZONE: &str = "none";

/// Where a request goes and what it costs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) service: Service,
    pub(crate) access: Access,
    pub(crate) cost: usize,
    pub(crate) bytes: usize,
}

/// How the work ended.
#[derive(Debug)]
pub(crate) enum Done {
    Body(Vec<u8>),
    Empty,
    NotFound,
}

/// Carries out `run` under the faults that are set.
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
            come_back(HttpResponse::ServiceUnavailable(), retry_after)
        }
        Decision::Throttle { retry_after } => {
            come_back(HttpResponse::TooManyRequests(), retry_after)
        }
        Decision::Run { delay, lose_answer } => {
            let done = run_after(standin, delay, run).await;
            if let Some(withheld) = lose_answer {
                sleep(withheld).await;
                return end_connection(&req).await;
            }
            answer(standin, &zone, done)
        }
    }
}

/// Runs the work after a delay.
///
/// The server drops a request's future when its caller hangs up. A real
/// service that is slow or frozen still carries out what reached it, long
/// after the caller gave up; that late write is what the delay is for, so the
/// work goes on in a task of its own.
async fn run_after<F>(standin: &Standin, delay: Duration, run: F) -> Done
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
        // Nobody may be waiting any more.
        let _ = tx.send(done);
    });
    match rx.await {
        Ok(done) => done,
        // The task was dropped because the program ends.
        Err(_) => pending().await,
    }
}

/// Ends the connection with no answer to this request.
async fn end_connection(req: &HttpRequest) -> HttpResponse {
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

/// Both refusals promise that the request was not carried out and never will
/// be.
fn come_back(mut res: ntex::web::HttpResponseBuilder, after: Duration) -> HttpResponse {
    let millis = after.as_millis() + 1;
    let seconds = millis.div_ceil(1_000);
    res.header(RETRY_AFTER, seconds.to_string())
        .header(header::RETRY_AFTER_MS, millis.to_string())
        .finish()
}

/// Refuses a request that makes no sense.
pub(crate) fn bad_request(reason: impl Into<String>) -> HttpResponse {
    HttpResponse::BadRequest().body(reason.into())
}

fn zone(req: &HttpRequest) -> SmolStr {
    let value = req.headers().get(header::ZONE);
    let zone = value.and_then(|value| value.to_str().ok());
    zone.unwrap_or(NO_ZONE).into()
}
