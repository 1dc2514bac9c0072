//! State that all parts of one daemon share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use ntex::client::Client;
use slog::Logger;
use stoatstep_platform::HttpPlatform;
use stoatstep_telemetry::Metrics;

use crate::call::Calls;
use crate::config::Config;
use crate::control::Control;

/// One daemon: its settings, tables and clients. Everything runs on one thread, so the cells need
/// no locks.
pub(crate) struct Node {
    pub(crate) cfg: Config,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) platform: HttpPlatform,
    /// HTTP client of the control side for other daemons.
    pub(crate) peers: Client,
    pub(crate) control: Control,
    pub(crate) calls: Calls,
    /// Set once the daemon is told to stop; new calls are refused from then on.
    pub(crate) draining: Cell<bool>,
    /// Set once the server has closed its ports, shortly before it closes the open connections.
    pub(crate) ports_closed: Cell<bool>,
    pub(crate) started: Instant,
}

thread_local! {
    static NODE: RefCell<Option<Rc<Node>>> = const { RefCell::new(None) };
}

impl Node {
    /// Returns the node of this thread. The first listener that starts creates it.
    pub(crate) async fn for_this_thread(cfg: Config) -> Rc<Self> {
        if let Some(node) = NODE.with_borrow(Clone::clone) {
            return node;
        }
        let node = Rc::new(Self::new(cfg).await);
        NODE.set(Some(Rc::clone(&node)));
        crate::control::start(&node);
        crate::call::start(&node);
        node
    }

    /// Renders all metrics of this daemon as lines of text.
    pub(crate) fn metrics_text(&self) -> String {
        let usage = self.platform.usage();
        self.control.set_gauges(&self.metrics);
        let gauge = |name, value| self.metrics.gauge(name, value);
        gauge("platform.sent_bytes", usage.bytes_sent);
        gauge("platform.received_bytes", usage.bytes_received);
        gauge("platform.reads", usage.reads + usage.object_reads);
        gauge("platform.writes", usage.commits + usage.object_writes);
        self.metrics.render()
    }

    async fn new(cfg: Config) -> Self {
        let log = stoatstep_telemetry::logger("stoatstepd", cfg.log_level);
        let platform = HttpPlatform::builder(cfg.platform, cfg.zone.clone())
            .build()
            .await
            .expect("a client without TLS always builds");
        let peers = Client::builder()
            .no_default_headers()
            .disable_redirects()
            .build(ntex::SharedCfg::new("peers"))
            .await
            .expect("a client without TLS always builds");
        let calls = Calls::new(&cfg).await;
        let control = Control::new(&cfg);
        Self {
            cfg,
            log,
            metrics: Metrics::new(),
            platform,
            peers,
            control,
            calls,
            draining: Cell::new(false),
            ports_closed: Cell::new(false),
            started: Instant::now(),
        }
    }
}
