//! The HTTP server around the stand-in.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ntex::SharedCfg;
use ntex::http::{HttpServiceConfig, KeepAlive};
use ntex::rt::{System, spawn};
use ntex::server::{Server, Signal, signal};
use ntex::time::{Millis, Seconds, sleep};
use ntex::web::types::{JsonConfig, PayloadConfig};
use ntex::web::{self, App, HttpServer};
use stoatstep_platform::MAX_OBJECT;

use crate::standin::Standin;
use crate::{admin, objects, table};

/// Idle connections stay open this long: well above the client's own bound, so
/// that a connection ends by the client's decision and not under a request.
const KEEP_ALIVE: Seconds = Seconds(75);

/// Longest time for a request's head to come in.
const HEAD_TIMEOUT: Seconds = Seconds(10);

/// Bytes of a request's head.
const HEAD_LIMIT: usize = 16 << 10;

/// Headers of a request.
const MAX_HEADERS: usize = 32;

/// Largest body of an admin request.
const ADMIN_BODY_LIMIT: usize = 16 << 10;

/// Connections at a time; a fleet of 610 daemons with 8 each fits.
const MAX_CONNECTIONS: usize = 8_192;

/// Requests under way have this long to end once the program is told to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// How often a stopping server looks whether all requests have ended, and how
/// long it leaves the last answer to get out.
const STOP_POLL: Millis = Millis(20);

/// What the stand-in needs to start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where to listen.
    pub addr: SocketAddr,
    /// Rows and objects that may be read in a second, each for itself.
    pub reads_per_second: u32,
    /// Rows and objects that may be written in a second, each for itself.
    pub writes_per_second: u32,
}

/// A server that listens.
#[derive(Debug)]
pub struct Running {
    server: Server,
    standin: Standin,
}

impl Running {
    /// Serves until SIGTERM or SIGINT, and then until the requests under way
    /// are answered or a few seconds have passed.
    ///
    /// Left to itself, the library cuts the requests under way some 0.4 s
    /// after the signal; a caller would see its write end as "unknown". So the
    /// signal is taken here, and the server is stopped once it has no work.
    ///
    /// # Errors
    ///
    /// The server failed.
    pub async fn ended(self) -> io::Result<()> {
        System::current().enable_signals();
        spawn(stop_on_signal(self.server.clone(), self.standin));
        self.server.await
    }
}

async fn stop_on_signal(server: Server, standin: Standin) {
    while let Ok(signals) = signal().await {
        let stops = |signal: &Signal| matches!(signal, Signal::Term | Signal::Int);
        if signals.iter().any(stops) {
            break;
        }
    }
    // No new connection is accepted from here on.
    server.pause().await;
    let stopping = Instant::now();
    while !standin.is_idle() && stopping.elapsed() < STOP_TIMEOUT {
        sleep(STOP_POLL).await;
    }
    sleep(STOP_POLL).await;
    server.stop(true).await;
}

/// Starts listening.
///
/// # Errors
///
/// The address cannot be bound.
pub fn serve(options: &Options) -> io::Result<Running> {
    let standin = Standin::new(options);
    let http = HttpServiceConfig::new()
        .set_keepalive(KeepAlive::Timeout(KEEP_ALIVE))
        .set_client_timeout(HEAD_TIMEOUT)
        .set_max_headers(MAX_HEADERS)
        .set_max_buf_size(HEAD_LIMIT);
    let shared = standin.clone();
    let app = async move || {
        App::new()
            .state(shared.clone())
            .state(JsonConfig::default().limit(ADMIN_BODY_LIMIT))
            .state(PayloadConfig::new(MAX_OBJECT))
            .service((
                web::resource("/table/read").route(web::post().to(table::read)),
                web::resource("/table/commit").route(web::post().to(table::commit)),
                web::resource("/objects").route(web::get().to(objects::list)),
                web::resource("/objects/{name}*")
                    .route(web::get().to(objects::get))
                    .route(web::put().to(objects::put))
                    .route(web::delete().to(objects::delete)),
            ))
            .service((
                web::resource("/admin/fault").route(web::post().to(admin::set_fault)),
                web::resource("/admin/faults")
                    .route(web::get().to(admin::faults))
                    .route(web::delete().to(admin::clear_faults)),
                web::resource("/admin/counts").route(web::get().to(admin::counts)),
                web::resource("/admin/rows").route(web::get().to(admin::rows)),
                web::resource("/admin/objects").route(web::get().to(admin::objects)),
            ))
    };
    let server = HttpServer::new(app)
        .workers(1)
        .disable_signals()
        .maxconn(MAX_CONNECTIONS)
        .config(SharedCfg::new("platform").add(http))
        .bind(options.addr)?
        .run();
    Ok(Running { server, standin })
}
