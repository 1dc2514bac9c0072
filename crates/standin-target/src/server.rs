//! The HTTP server around a target.
//!
//! Runs are timed by `futures-timer`: ntex's own timers are rounded up to 16 ms,
//! which would make a 5 ms run three times as long.

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
use ntex::http::body::SizedStream;
use ntex::http::{HttpServiceConfig, KeepAlive, StatusCode};
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::util::{Bytes, Stream};
use ntex::web::types::{Json, JsonConfig, State};
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use smol_str::SmolStr;

use crate::answer::Answer;
use crate::behaviour::{Behaviour, BehaviourChange};
use crate::ledger::{Intent, Ledger};
use crate::target::{Delivery, Run, Target};

/// Largest padding that a request may ask for.
const BYTES_LIMIT: usize = 4 << 20;

/// Largest body of an admin request.
const ADMIN_BODY_LIMIT: usize = 16 << 10;

/// Idle connections stay open this long. Well above any daemon's own bound, so
/// that a connection ends by the daemon's decision.
const KEEP_ALIVE: Seconds = Seconds(75);

/// How often a run that is held looks whether it may end.
const HOLD_STEP: Duration = Duration::from_millis(5);

/// What a target needs to start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where to listen.
    pub addr: SocketAddr,
    /// Name in answers; the address is a good one.
    pub name: SmolStr,
    /// Behaviour at the start.
    pub behaviour: Behaviour,
    /// File that keeps the ledger over restarts; in memory alone where absent.
    pub ledger: Option<PathBuf>,
}

/// Starts listening; the returned server runs until it is stopped, and ends
/// gracefully on SIGTERM.
///
/// # Errors
///
/// The address cannot be bound, or the ledger's file cannot be read.
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
    let silent = Silence::watch(&req, &target);
    silent.hold().await;
    let deadline = deadline(&req);
    if deadline == Some(Duration::ZERO) {
        target.shed();
        return shed();
    }
    let marker = marker(&req, &body);
    let intent = Intent {
        key: header(&req, "idempotency-key"),
        attempt: header(&req, "stoatstep-attempt"),
        marker: marker.clone(),
        method: req.method().as_str().into(),
    };
    let Some(run) = target.begin(intent) else {
        return shed();
    };
    let answer = Answer::new(marker, target.name(), run.number, bytes_asked(&req));
    let delivery = match deadline {
        Some(limit) if limit < run.time => return cut_at_deadline(run, limit).await,
        _ => {
            spend(run.time).await;
            while target.holds_runs() {
                Delay::new(HOLD_STEP).await;
            }
            run.finish()
        }
    };
    silent.hold().await;
    deliver(&req, &answer, delivery).await
}

/// Even a timer of no time takes a detour over its own thread, which would show
/// where only the way to the target is measured.
async fn spend(time: Duration) {
    if !time.is_zero() {
        Delay::new(time).await;
    }
}

/// Nobody waits for an answer after the deadline, so the run ends there.
async fn cut_at_deadline(run: Run, limit: Duration) -> HttpResponse {
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

/// Announces the whole length, sends half and fails, which closes the
/// connection.
fn truncated(mut body: Vec<u8>) -> HttpResponse {
    let length = body.len() as u64;
    body.truncate(body.len() / 2);
    let stream = SizedStream::new(length, CutShort(Some(body.into())));
    HttpResponse::Ok()
        .content_type("application/json")
        .body(stream)
}

/// A body that yields one part and then fails.
struct CutShort(Option<Bytes>);

impl Stream for CutShort {
    type Item = Result<Bytes, Rc<dyn Error>>;

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let failure = || Rc::new(io::Error::other("cut short on purpose")) as Rc<dyn Error>;
        Poll::Ready(Some(self.0.take().ok_or_else(failure)))
    }
}

async fn health(req: HttpRequest, target: State<Target>) -> HttpResponse {
    Silence::watch(&req, &target).hold().await;
    let report = target.health();
    let status = if report.ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    HttpResponse::build(status).json(&report)
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

/// Where a request came in, to hold it for good once its connection is silent.
struct Silence<'a> {
    target: &'a Target,
    peer: Option<SocketAddr>,
}

impl<'a> Silence<'a> {
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

    /// Never returns on a silent connection: what arrives on it is lost before
    /// it runs, and the answer of what runs already is lost too.
    async fn hold(&self) {
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

/// The marker header, else the body where it is a short text, else the path.
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

fn bytes_asked(req: &HttpRequest) -> usize {
    let mut pairs = req.query_string().split('&');
    let asked = pairs.find_map(|pair| pair.strip_prefix("bytes="));
    let bytes = asked.and_then(|it| it.parse().ok()).unwrap_or(0);
    bytes.min(BYTES_LIMIT)
}
