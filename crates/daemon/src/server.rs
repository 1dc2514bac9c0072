//! Starts the three listeners and stops them gracefully.

use std::io;
use std::process::ExitCode;
use std::rc::Rc;

use ntex::http::{ConnectionType, HttpService, HttpServiceConfig, Request, Response};
use ntex::io::IoConfig;
use ntex::server::{Server, Signal};
use ntex::time::{Millis, Seconds, sleep, timeout};
use ntex::util::{Either, select};

use stoatstep_http::LAST_WRITE_TIMEOUT;

use crate::config::Config;
use crate::connections::TrackedConnections;
use crate::node::Node;
use crate::{call, control, operator};

/// Time to finish requests of peers and operators after every call was answered. The longest of
/// these requests is limited to two seconds.
const FINAL_ANSWER_TIMEOUT: Seconds = Seconds(2);
/// Time after which the process ends although the HTTP library has not reported that it stopped.
/// In 4 of 560 stops the library's threads ended without that report, and the service manager had
/// to kill the process. No request is left by then: this is a second more than
/// [`FINAL_ANSWER_TIMEOUT`].
const STOP_TIMEOUT: Seconds = Seconds(3);
/// Largest number of open connections over all listeners of the daemon.
const MAX_CONNECTIONS: usize = 4096;
/// Largest size of a request's headers.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Timeout for receiving the headers of a request.
const HEADER_TIMEOUT: Seconds = Seconds(5);
/// Time after which an idle connection is closed.
const KEEP_ALIVE: Seconds = Seconds(75);

/// Runs the daemon until SIGTERM or SIGINT.
pub(crate) fn run(cfg: Config) -> ExitCode {
    let system = ntex::rt::System::new("stoatstepd", ntex::rt::DefaultRuntime);
    match system.block_on(serve(cfg)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("stoatstepd: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(cfg: Config) -> io::Result<()> {
    let (callers, peers, operators) = (cfg.clone(), cfg.clone(), cfg.clone());
    let server = ntex::server::build()
        .workers(1)
        .disable_signals()
        .maxconn(MAX_CONNECTIONS)
        .shutdown_timeout(Millis::from(FINAL_ANSWER_TIMEOUT))
        .bind("callers", cfg.caller_addr, async move |_| {
            let node = Node::for_this_thread(callers.clone()).await;
            let owner = Rc::clone(&node);
            let http = HttpService::h1(move |req: Request| {
                let node = Rc::clone(&node);
                async move {
                    let res = call::entry::handle(&node, req).await;
                    Ok::<_, io::Error>(close_if_last(&node, res))
                }
            });
            TrackedConnections { http, node: owner }
        })?
        .config("callers", http_config("callers"))
        .bind("peers", cfg.peer_addr, async move |_| {
            let node = Node::for_this_thread(peers.clone()).await;
            let owner = Rc::clone(&node);
            let http = HttpService::h1(move |req: Request| {
                let node = Rc::clone(&node);
                async move {
                    let res = control::peer::handle(&node, req).await;
                    Ok::<_, io::Error>(close_if_last(&node, res))
                }
            });
            TrackedConnections { http, node: owner }
        })?
        .config("peers", http_config("peers"))
        .bind("operators", cfg.operator_addr, async move |_| {
            let node = Node::for_this_thread(operators.clone()).await;
            HttpService::h1(move |req: Request| {
                let node = Rc::clone(&node);
                async move { Ok::<_, io::Error>(operator::handle(&node, req).await) }
            })
        })?
        .config("operators", http_config("operators"))
        .run();
    ntex::rt::System::current().enable_signals();
    ntex::rt::spawn(drain_on_signal());
    match select(server.clone(), stopped_when_drained(server)).await {
        Either::Left(ended) => ended,
        Either::Right(()) => Ok(()),
    }
}

/// Makes the answer the last one on its connection once the ports are closed. The connection is
/// about to be closed as well, and a request that is sent on it then would get no answer.
fn close_if_last(node: &Node, mut res: Response) -> Response {
    if node.ports_closed.get() {
        res.head_mut().set_connection_type(ConnectionType::Close);
    }
    res
}

/// Requests the drain on SIGTERM or SIGINT. The HTTP library's own handler would close idle
/// connections at once, and with them attempts that are being transmitted.
async fn drain_on_signal() {
    while let Ok(signals) = ntex::server::signal().await {
        let stops = |it: &Signal| matches!(it, Signal::Term | Signal::Int);
        if signals.iter().any(stops) {
            call::drain::request_stop();
        }
    }
}

/// Waits until the drain has finished, then stops the server.
async fn stopped_when_drained(server: Server) {
    const POLL: Millis = Millis(200);
    while !call::drain::is_finished() {
        sleep(POLL).await;
    }
    if timeout(STOP_TIMEOUT, server.stop(true)).await.is_err() {
        eprintln!("stoatstepd: the HTTP server did not report that it stopped");
    }
}

fn http_config(name: &'static str) -> ntex::SharedCfg {
    ntex::SharedCfg::new(name)
        .add(
            HttpServiceConfig::new()
                .set_max_buf_size(MAX_HEADER_BYTES)
                .set_keepalive(KEEP_ALIVE)
                .set_headers_read_rate(HEADER_TIMEOUT, HEADER_TIMEOUT, 256),
        )
        .add(IoConfig::new().set_disconnect_timeout(LAST_WRITE_TIMEOUT))
        .into()
}
