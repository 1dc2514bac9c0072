//! What all parts of one daemon share.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::Response;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::time::{MissedTickBehavior, interval};

use crate::clock::Clock;
use crate::config::MeshConfig;
use crate::entry::{self, Entry};
use crate::executor::{self, Executor};
use crate::fleet::{self, Fleet};
use crate::host::Host;
use crate::journal::Journal;
use crate::link::{self, Links, SharedUplink};
use crate::mechanism::Mechanism;
use crate::quarantine::Requests;
use crate::quota::{self, Quotas};
use crate::rollout::{self, Rollouts};
use crate::{drain, fleet::gossip};
use stoatstep_calls::Departure;
use stoatstep_http::{Server, Unwritten};
use stoatstep_membership::{Heartbeat, HeartbeatOutcome, StartMillis};
use stoatstep_telemetry::fields;

/// Interval of the periodic work. Membership counts its time in it.
const TICK: Duration = Duration::from_millis(250);

/// One daemon. Everything runs on one thread, so its cells are never contended;
/// their borrows never last over an `await`.
pub(crate) struct Node {
    pub(crate) cfg: MeshConfig,
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) journal: Journal,
    /// What this instance's link carries.
    pub(crate) uplink: Rc<SharedUplink>,
    pub(crate) links: Links,
    pub(crate) entry: Entry,
    pub(crate) executor: Executor,
    pub(crate) fleet: Fleet,
    pub(crate) rollouts: Rollouts,
    pub(crate) requests: Requests,
    pub(crate) quotas: Quotas,
    pub(crate) in_flight: Cell<u32>,
    /// Answers to callers that have not been written to their ends.
    pub(crate) unwritten: Unwritten,
    pub(crate) departure: Cell<Departure>,
}

impl Node {
    /// Whether this daemon was told to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.departure.get().has_begun()
    }
}

/// A running daemon, as the adapter of its host sees it.
#[derive(Clone)]
pub struct Mesh(Rc<Node>);

impl Mesh {
    /// Starts the daemon on the present thread.
    ///
    /// # Errors
    ///
    /// Where one of its addresses cannot be bound.
    pub async fn start<H: Host>(cfg: MeshConfig, host: H, log: Logger) -> io::Result<Self> {
        let peers = TcpListener::bind(cfg.addresses.peers).await?;
        let callers = Server::bind(cfg.addresses.callers).await?;
        let metrics = match cfg.metrics {
            Some(addr) => Some(Server::bind(addr).await?),
            None => None,
        };
        let clock = Clock::start();
        let uplink = Rc::new(SharedUplink::new(
            cfg.link_bytes_per_s
                .filter(|_| cfg.has(Mechanism::LinkPace)),
            clock,
        ));
        let node = Rc::new(Node {
            links: Links::new(Rc::clone(&uplink), clock, log.clone()),
            uplink,
            journal: Journal::new(log.clone()),
            entry: Entry::new(&cfg),
            executor: Executor::new(&cfg, clock, log.clone()),
            fleet: Fleet::new(&cfg),
            rollouts: Rollouts::default(),
            requests: Requests::default(),
            quotas: Quotas::default(),
            in_flight: Cell::new(0),
            unwritten: callers.unwritten(),
            departure: Cell::new(Departure::new(cfg.grace)),
            cfg,
            log,
            clock,
        });
        ntex::rt::spawn(link::serve(Rc::clone(&node), peers));
        ntex::rt::spawn(serve_callers(Rc::clone(&node), callers));
        let host = Rc::new(host);
        ntex::rt::spawn(fleet::configuration::run(
            Rc::clone(&node),
            Rc::clone(&host),
        ));
        ntex::rt::spawn(rollout::run(Rc::clone(&node), Rc::clone(&host)));
        ntex::rt::spawn(fleet::roster::run(Rc::clone(&node), host));
        ntex::rt::spawn(fleet::confirmation::run(Rc::clone(&node)));
        ntex::rt::spawn(tick(Rc::clone(&node)));
        if let Some(metrics) = metrics {
            ntex::rt::spawn(serve_metrics(Rc::clone(&node), metrics));
        }
        Ok(Self(node))
    }

    /// Takes in a heartbeat of the target beside the daemon. Once this returns,
    /// no further call goes to a target that drains.
    #[must_use = "a stale heartbeat is acked like any other, but may be worth a log line"]
    pub fn hear(&self, beat: Heartbeat) -> HeartbeatOutcome {
        let heard = executor::hear(&self.0, beat);
        gossip::target_changed(&self.0);
        heard
    }

    /// The target with this id said good-bye, for the life that began at `born` where
    /// it tells. Once this returns, no further call goes to that life.
    pub fn target_left(&self, id: &str, born: Option<StartMillis>) {
        executor::target_left(&self.0, id, born);
        gossip::target_changed(&self.0);
    }

    /// Whether callers should come here: a configuration is in force and, where there are
    /// customers, known to be recent enough, and the daemon is not about to stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_configured = self.0.fleet.in_force().is_some();
        is_configured && !self.0.is_leaving() && fleet::confirmation::is_recent(&self.0)
    }

    /// Stops gracefully; the process may end when this does.
    pub async fn drain(&self) {
        drain::begin(&self.0);
        drain::finished(&self.0).await;
    }
}

async fn serve_callers(node: Rc<Node>, server: Server) {
    let log = node.log.clone();
    let ended = server
        .serve(move |req| {
            let node = Rc::clone(&node);
            async move { entry::handle(&node, req).await }
        })
        .await;
    if let Err(err) = ended {
        slog::crit!(log, "callers not served"; fields::ERROR => %err);
    }
}

async fn serve_metrics(node: Rc<Node>, server: Server) {
    let log = node.log.clone();
    let ended = server
        .serve(move |_| {
            fleet::gauges(&node);
            let text = node.journal.metrics_text();
            async move { Response::Ok().content_type("text/plain").body(text) }
        })
        .await;
    if let Err(err) = ended {
        slog::error!(log, "metrics not served"; fields::ERROR => %err);
    }
}

async fn tick(node: Rc<Node>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        gossip::tick(&node);
        gossip::target_changed(&node);
        executor::tick(&node);
        node.requests.tick(node.clock.now());
        quota::tick(&node);
    }
}
