//! State shared by all parts of one daemon.

use std::cell::{Cell, RefCell};
use std::fmt::Display;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::Response;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::time::{MissedTickBehavior, interval};

use crate::clock::Clock;
use crate::config::MeshConfig;
use crate::drain::{self, ExitSignal};
use crate::entry::{self, Entry};
use crate::executor::{self, Executor};
use crate::fleet::gossip;
use crate::fleet::{self, Fleet};
use crate::fleet_store::FleetStore;
use crate::journal::Journal;
use crate::link::{self, LinkContext, LinkTraffic, Links, SharedUplink};
use crate::mechanism::Mechanism;
use crate::memory::{MemoryShares, SocketShares};
use crate::quarantine::QuarantineState;
use crate::quota::{self, Quotas};
use crate::rollout::{self, Rollouts};
use crate::zones::{self, Zones};
use stoatstep_calls::Shutdown;
use stoatstep_http::{ConnectionLimits, PendingWrites, Server};
use stoatstep_membership::{Heartbeat, HeartbeatOutcome, StartMillis};
use stoatstep_resource::ServiceName;
use stoatstep_telemetry::fields;

/// Interval of the periodic work, including the membership protocol.
const TICK: Duration = Duration::from_millis(250);

/// State of one daemon. Everything runs on one thread, so its cells are never contended; borrows of
/// them never last over an `await`.
pub(crate) struct Node {
    pub(crate) cfg: MeshConfig,
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) journal: Rc<Journal>,
    /// Pacing of what is sent over this instance's link.
    pub(crate) uplink: Rc<SharedUplink>,
    /// What was sent over links, and why.
    pub(crate) traffic: Rc<LinkTraffic>,
    pub(crate) links: Links,
    pub(crate) entry: Entry,
    pub(crate) executor: Executor,
    pub(crate) fleet: Fleet,
    pub(crate) rollouts: Rollouts,
    pub(crate) quarantine: QuarantineState,
    pub(crate) quotas: Quotas,
    pub(crate) zones: Zones,
    /// Service of the instance by the newest settings.
    service: RefCell<ServiceName>,
    /// Memory for what callers, the target and other daemons send.
    pub(crate) memory: MemoryShares,
    pub(crate) in_flight: Cell<u32>,
    /// Answers to callers that are not yet fully written.
    pub(crate) unwritten: PendingWrites,
    pub(crate) departure: Cell<Shutdown>,
    pub(crate) exit: ExitSignal,
}

impl Node {
    /// Service of the instance by the newest settings. That of a target that has confirmed itself
    /// goes before it.
    pub(crate) fn service(&self) -> ServiceName {
        self.service.borrow().clone()
    }

    /// Whether this daemon was asked to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.departure.get().has_begun()
    }
}

/// Handle of a running daemon, for the adapter between it and its environment.
#[derive(Clone)]
pub struct Mesh(Rc<Node>);

impl Mesh {
    /// Starts the daemon on the current thread.
    ///
    /// # Errors
    ///
    /// If one of its addresses cannot be bound.
    pub async fn start<S: FleetStore>(cfg: MeshConfig, store: S, log: Logger) -> io::Result<Self> {
        let peers = TcpListener::bind(cfg.addresses.peers).await?;
        let memory = MemoryShares::of(cfg.memory);
        let sockets = SocketShares::of(cfg.sockets);
        let callers = Server::bind(cfg.addresses.callers).await?;
        let callers = callers.limits(memory.caller_connections(sockets));
        let metrics = match cfg.metrics {
            Some(addr) => Some(Server::bind(addr).await?),
            None => None,
        };
        let metrics = metrics.map(|it| it.limits(ConnectionLimits::new(sockets.metrics)));
        let max_links = memory.links(sockets);
        let clock = Clock::start();
        let journal = Rc::new(Journal::new(log.clone()));
        let uplink = Rc::new(SharedUplink::new(
            cfg.link_bytes_per_s
                .filter(|_| cfg.is_enabled(Mechanism::LinkPace)),
            clock,
            Rc::clone(&journal),
        ));
        let traffic = Rc::new(LinkTraffic::default());
        let node = Rc::new(Node {
            links: Links::new(LinkContext {
                uplink: Rc::clone(&uplink),
                traffic: Rc::clone(&traffic),
                memory: memory.clone(),
                clock,
                log: log.clone(),
            }),
            traffic,
            uplink,
            journal,
            entry: Entry::new(&cfg),
            executor: Executor::new(&cfg, memory.answers.clone(), clock, log.clone()),
            fleet: Fleet::new(&cfg),
            rollouts: Rollouts::default(),
            quarantine: QuarantineState::default(),
            quotas: Quotas::default(),
            zones: Zones::default(),
            service: RefCell::new(cfg.service.clone()),
            memory,
            in_flight: Cell::new(0),
            unwritten: callers.pending_writes(),
            departure: Cell::new(Shutdown::new(cfg.grace)),
            exit: ExitSignal::default(),
            cfg,
            log,
            clock,
        });
        ntex::rt::spawn(link::serve(Rc::clone(&node), peers, max_links));
        ntex::rt::spawn(serve_callers(Rc::clone(&node), callers));
        let store = Rc::new(store);
        ntex::rt::spawn(fleet::configuration::run(
            Rc::clone(&node),
            Rc::clone(&store),
        ));
        ntex::rt::spawn(rollout::run(Rc::clone(&node), Rc::clone(&store)));
        ntex::rt::spawn(fleet::roster::run(Rc::clone(&node), store));
        ntex::rt::spawn(fleet::confirmation::run(Rc::clone(&node)));
        ntex::rt::spawn(tick(Rc::clone(&node)));
        if let Some(metrics) = metrics {
            ntex::rt::spawn(serve_metrics(Rc::clone(&node), metrics));
        }
        Ok(Self(node))
    }

    /// Applies newer settings, as far as they hold for a process that runs: the service of the
    /// instance, whose address may have been given to another one. All others hold from the next start.
    pub fn apply(&self, cfg: &MeshConfig) {
        let former = self.0.service.replace(cfg.service.clone());
        if former != cfg.service {
            self.0.executor.address_given_to(&cfg.service);
            slog::info!(self.0.log, "service of the instance changed";
                fields::SERVICE => %cfg.service, fields::KNOWN => %former);
        }
    }

    /// Handles a heartbeat of the target beside the daemon. Once this returns, no further call goes
    /// to a target that drains.
    #[must_use = "a heartbeat of an unknown service must not be acked"]
    pub fn handle_heartbeat(&self, beat: Heartbeat) -> HeartbeatOutcome {
        let outcome = executor::handle_heartbeat(&self.0, beat);
        gossip::target_changed(&self.0);
        outcome
    }

    /// Handles the departure of the target with this id, for the generation that started at `born`
    /// if it reports one. Once this returns, no further call goes to that generation.
    pub fn target_left(&self, id: &str, born: Option<StartMillis>) {
        executor::deregister_target(&self.0, id, born);
        gossip::target_changed(&self.0);
    }

    /// Reports a message under the id of a target that the adapter could not decode.
    pub fn report_undecodable(&self, id: &str, err: &dyn Display) {
        executor::report_undecodable(&self.0, id, err);
    }

    /// Whether callers should use this daemon: a configuration is in force and, if there are
    /// customers, known to be recent enough, and the daemon is not about to stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_configured = self.0.fleet.in_force().is_some();
        is_configured && !self.0.is_leaving() && fleet::confirmation::is_recent(&self.0)
    }

    /// Returns once another process runs under this daemon's id. This one has begun to stop by
    /// then, and is to end.
    pub async fn superseded(&self) {
        self.0.fleet.superseded.notified().await;
    }

    /// Stops gracefully. The process may end once this returns.
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
            fleet::update_gauges(&node);
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
        node.quarantine.tick(node.clock.now());
        quota::tick(&node);
        zones::tick(&node);
    }
}
