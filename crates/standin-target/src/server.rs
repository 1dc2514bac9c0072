//! The HTTP server of the target.
//!
//! Runs are timed with `futures-timer`, since the timers of `ntex` are rounded up to 16 ms, which
//! would make a run of 5 ms take three times as long.

use std::error::Error;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_timer::Delay;
use ntex::SharedCfg;
use ntex::http::body::{Body, ResponseBody, SizedStream};
use ntex::http::header::{HeaderName, HeaderValue};
use ntex::http::{HttpServiceConfig, KeepAlive, StatusCode};
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::util::{Bytes, Stream};
use ntex::web::types::{Json, JsonConfig, State};
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use smol_str::SmolStr;

use crate::answer::Answer;
use crate::behaviour::{Behaviour, BehaviourChange};
use crate::ledger::{EntryKey, Ledger};
use crate::target::{Delivery, Run, Target};

/// Largest padding that a request may ask for, in bytes.
const BYTES_LIMIT: usize = 4 << 20;

/// Largest body of an admin request, in bytes.
const ADMIN_BODY_LIMIT: usize = 16 << 10;

/// Time after which an idle connection is closed. It is well above the timeout of any daemon, so
/// that the daemon closes the connection first.
const KEEP_ALIVE: Seconds = Seconds(75);

/// Interval at which a held run checks whether it may end.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Header that names the attempt that a request belongs to; answers state the same one.
const ATTEMPT: &str = "stoatstep-attempt";

/// Options of the target.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Name of the target in its answers, such as its address.
    pub name: SmolStr,
    /// Behaviour at the start.
    pub behaviour: Behaviour,
    /// File that keeps the ledger over restarts; if absent, the ledger is only in memory.
    pub ledger: Option<PathBuf>,
}

/// Starts the server, which runs until it is stopped, and stops gracefully on SIGTERM.
///
/// # Errors
///
/// If the address can't be bound or the ledger's file can't be read.
pub fn serve(options: Options) -> io::Result<Server> {
    let ledger = match &options.ledger {
        Some(path) => Ledger::open(path)?,
        None => Ledger::default(),
    };
    let target = Target::new(options.name, options.behaviour, ledger);
    let http = HttpServiceConfig::new()
        .set_keepalive(KeepAlive::Timeout(KEEP_ALIVE))
        .set_client_timeout(KEEP_ALIVE);
    let app = async move || {
        App::new()
            .state(target.clone())
            .state(JsonConfig::default().limit(ADMIN_BODY_LIMIT))
            .service((
                web::resource("/healthz").route(web::get().to(health)),
                web::resource("/admin/ledger").route(web::get().to(entries)),
                web::resource("/admin/counts").route(web::get().to(counts)),
                web::resource("/admin/behaviour").route(web::post().to(behaviour)),
            ))
            .default_service(web::route().to(call))
    };
    let server = HttpServer::new(app)
        .workers(1)
        .config(SharedCfg::new("target").add(http))
        .bind(options.addr)?
        .run();
    Ok(server)
}

async fn call(req: HttpRequest, body: Bytes, target: State<Target>) -> HttpResponse {
    let mut res = answer_call(&req, &body, &target).await;
    if let Some(attempt) = req.headers().get(ATTEMPT) {
        let name = HeaderName::from_static(ATTEMPT);
        res.headers_mut().insert(name, attempt.clone());
    }
    let res = with_statements(res, &target);
    send_late_copy(&req, &res, &target);
    res
}

/// Sends a copy of the answer before this one on the connection, if it is due.
fn send_late_copy(req: &HttpRequest, res: &HttpResponse, target: &Target) {
    let Some((peer, io)) = req.peer_addr().zip(req.io()) else {
        return;
    };
    if let Some(copy) = target.record_answer(peer, encoded(res)) {
        // If the connection is closed, no answer follows either.
        let _ = io.encode_slice(&copy);
    }
}

/// The bytes of an answer as they are sent, but for its date; `None` if its body is not whole.
fn encoded(res: &HttpResponse) -> Option<Vec<u8>> {
    let body: &[u8] = match res.body() {
        ResponseBody::Body(Body::Bytes(body)) | ResponseBody::Other(Body::Bytes(body)) => body,
        ResponseBody::Body(Body::Empty | Body::None)
        | ResponseBody::Other(Body::Empty | Body::None) => &[],
        _ => return None,
    };
    let mut bytes = format!("HTTP/1.1 {}\r\n", res.status()).into_bytes();
    for (name, value) in res.headers() {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    let end = format!("content-length: {}\r\n\r\n", body.len());
    bytes.extend_from_slice(end.as_bytes());
    bytes.extend_from_slice(body);
    Some(bytes)
}

/// Adds what the target states about itself.
fn with_statements(mut res: HttpResponse, target: &Target) -> HttpResponse {
    let (limit, leaves) = target.statements();
    let headers = res.headers_mut();
    if let Some(limit) = limit.and_then(|it| HeaderValue::from_str(&it).ok()) {
        headers.insert(HeaderName::from_static("stoatstep-limit"), limit);
    }
    if leaves {
        let name = HeaderName::from_static("stoatstep-leaving");
        headers.insert(name, HeaderValue::from_static("1"));
    }
    res
}

async fn answer_call(req: &HttpRequest, body: &Bytes, target: &Target) -> HttpResponse {
    let connection = ConnectionWatch::watch(req, target);
    connection.block_if_silent().await;
    let deadline = deadline(req);
    if deadline == Some(Duration::ZERO) {
        target.shed();
        return shed();
    }
    let marker = marker(req, body);
    let entry_key = EntryKey {
        key: header(req, "idempotency-key"),
        attempt: header(req, ATTEMPT),
        marker: marker.clone(),
        method: req.method().as_str().into(),
    };
    let Some(run) = target.begin(entry_key) else {
        return shed();
    };
    let answer = Answer::new(marker, target.name(), run.number, requested_padding(req));
    let delivery = match deadline {
        Some(limit) if limit < run.time => return cancel_at_deadline(run, limit).await,
        _ => {
            wait_for(run.time).await;
            while target.holds_runs() {
                Delay::new(HOLD_POLL_INTERVAL).await;
            }
            run.finish()
        }
    };
    connection.block_if_silent().await;
    deliver(req, &answer, delivery).await
}

/// Waits for the time of a run. No timer is started for a time of zero, since its detour over the
/// timer's thread would distort measurements of the latency without a run.
async fn wait_for(time: Duration) {
    if !time.is_zero() {
        Delay::new(time).await;
    }
}

/// Cancels a run at its deadline, after which nobody waits for its answer.
async fn cancel_at_deadline(run: Run, limit: Duration) -> HttpResponse {
    Delay::new(limit).await;
    drop(run);
    HttpResponse::GatewayTimeout().finish()
}

fn shed() -> HttpResponse {
    HttpResponse::ServiceUnavailable()
        .header("stoatstep-shed", "1")
        .header("retry-after", "1")
        .finish()
}

async fn deliver(req: &HttpRequest, answer: &Answer, delivery: Delivery) -> HttpResponse {
    let body = serde_json::to_vec(answer).unwrap_or_default();
    match delivery {
        Delivery::Whole => HttpResponse::Ok()
            .content_type("application/json")
            .body(body),
        Delivery::Truncated => truncated(body),
        Delivery::Dropped => {
            if let Some(io) = req.io() {
                io.terminate();
            }
            pending().await
        }
    }
}

/// Builds an answer that states the full length of its body, but fails after half of it, which
/// closes the connection.
fn truncated(mut body: Vec<u8>) -> HttpResponse {
    let length = body.len() as u64;
    body.truncate(body.len() / 2);
    let stream = SizedStream::new(length, TruncatedBody(Some(body.into())));
    HttpResponse::Ok()
        .content_type("application/json")
        .body(stream)
}

/// A body that yields one chunk and then fails.
struct TruncatedBody(Option<Bytes>);

impl Stream for TruncatedBody {
    type Item = Result<Bytes, Rc<dyn Error>>;

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let failure = || Rc::new(io::Error::other("cut short on purpose")) as Rc<dyn Error>;
        Poll::Ready(Some(self.0.take().ok_or_else(failure)))
    }
}

async fn health(req: HttpRequest, target: State<Target>) -> HttpResponse {
    ConnectionWatch::watch(&req, &target)
        .block_if_silent()
        .await;
    let report = target.health();
    let status = if report.ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    with_statements(HttpResponse::build(status).json(&report), &target)
}

async fn entries(target: State<Target>) -> HttpResponse {
    HttpResponse::Ok().json(&target.entries())
}

async fn counts(target: State<Target>) -> HttpResponse {
    HttpResponse::Ok().json(&target.counts())
}

async fn behaviour(change: Json<BehaviourChange>, target: State<Target>) -> HttpResponse {
    target.change(&change);
    HttpResponse::NoContent().finish()
}

/// Connection of a request, which blocks the request forever once the connection is silenced.
struct ConnectionWatch<'a> {
    target: &'a Target,
    peer: Option<SocketAddr>,
}

impl<'a> ConnectionWatch<'a> {
    fn watch(req: &HttpRequest, target: &'a Target) -> Self {
        let peer = req.peer_addr();
        if let Some((peer, io)) = peer.zip(req.io())
            && target.connect(peer)
        {
            let closed = io.on_disconnect();
            let target = target.clone();
            ntex::rt::spawn(async move {
                closed.await;
                target.disconnect(peer);
            });
        }
        Self { target, peer }
    }

    /// Returns at once, or never if the connection is silenced. Requests that arrive on a silenced
    /// connection are lost before they run, and so are the answers to those that already run.
    async fn block_if_silent(&self) {
        if self.peer.is_some_and(|peer| self.target.is_silent(peer)) {
            pending::<()>().await;
        }
    }
}

fn header(req: &HttpRequest, name: &str) -> SmolStr {
    let value = req.headers().get(name).and_then(|it| it.to_str().ok());
    value.unwrap_or_default().into()
}

fn deadline(req: &HttpRequest) -> Option<Duration> {
    let value = req.headers().get("stoatstep-deadline-ms")?;
    let millis = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Returns the marker of a request: the marker header, or else the body if it is a short text, or
/// else the path.
fn marker(req: &HttpRequest, body: &[u8]) -> SmolStr {
    const BODY_LIMIT: usize = 64;
    let named = header(req, "stoat-marker");
    if !named.is_empty() {
        return named;
    }
    match std::str::from_utf8(body) {
        Ok(text) if !text.is_empty() && text.len() <= BODY_LIMIT => text.into(),
        _ => req.path().into(),
    }
}

fn requested_padding(req: &HttpRequest) -> usize {
    let mut pairs = req.query_string().split('&');
    let asked = pairs.find_map(|pair| pair.strip_prefix("bytes="));
    let bytes = asked.and_then(|it| it.parse().ok()).unwrap_or(0);
    bytes.min(BYTES_LIMIT)
}
