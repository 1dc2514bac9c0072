//! The HTTP server of the stand-in.

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

/// Time after which an idle connection is closed. It is well above the client's own timeout, so
/// that the client closes the connection first and no request is lost to a connection that is
/// closing.
const KEEP_ALIVE: Seconds = Seconds(75);

/// Longest time to receive the request line and headers of a request.
const HEAD_TIMEOUT: Seconds = Seconds(10);

/// Largest size of the request line and headers of a request, in bytes.
const HEAD_LIMIT: usize = 16 << 10;

/// Largest number of headers of a request.
const MAX_HEADERS: usize = 32;

/// Largest body of an admin request, in bytes.
const ADMIN_BODY_LIMIT: usize = 16 << 10;

/// Largest number of connections, enough for 610 daemons with 8 connections each.
const MAX_CONNECTIONS: usize = 8_192;

/// Longest time to wait for running requests after the program was told to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time to wait after that for requests that have not arrived completely.
const CLOSE_TIMEOUT: Seconds = Seconds(3);

/// Interval at which a stopping server checks whether all requests have ended, and the time that it
/// then leaves for the last answer to be sent.
const STOP_POLL: Millis = Millis(20);

/// Options of the stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Number of rows, and of objects, that may be read per second; each has a limit of its own.
    pub reads_per_second: u32,
    /// Number of rows, and of objects, that may be written per second; each has a limit of its own.
    pub writes_per_second: u32,
}

/// A running server.
#[derive(Debug)]
pub struct Running {
    server: Server,
    standin: Standin,
}

impl Running {
    /// Waits for SIGTERM or SIGINT, and then until the running requests are answered or a few
    /// seconds have passed.
    ///
    /// By default, `ntex` aborts running requests about 0.4 s after the signal, and the outcome of
    /// their writes would be unknown to the callers. The signal is therefore handled here, and the
    /// server is stopped once no request is running.
    ///
    /// # Errors
    ///
    /// If the server fails.
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
    // The server accepts no new connections from here on.
    server.pause().await;
    let stopping = Instant::now();
    while !standin.is_idle() && stopping.elapsed() < STOP_TIMEOUT {
        sleep(STOP_POLL).await;
    }
    sleep(STOP_POLL).await;
    server.stop(true).await;
}

/// Starts the server.
///
/// # Errors
///
/// If the address can't be bound.
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
        .shutdown_timeout(CLOSE_TIMEOUT)
        .maxconn(MAX_CONNECTIONS)
        .config(SharedCfg::new("platform").add(http))
        .bind(options.addr)?
        .run();
    Ok(Running { server, standin })
}
