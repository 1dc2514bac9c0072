//! The call side of the daemon: entry (from a caller to an executor) and
//! executor (from an entry to this instance's target).

pub(crate) mod drain;
pub(crate) mod entry;
pub(crate) mod executor;
pub(crate) mod headers;
pub(crate) mod outcome;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use ntex::client::{Client, Connector};

use stoatstep_telemetry::Histograms;

use crate::config::Config;
use crate::node::Node;

/// Tenants with histograms of their own; the others share one.
const MAX_TENANTS: usize = 64;

/// Tables and clients of the call side.
pub(crate) struct Calls {
    /// Connections to this instance's target.
    pub(crate) target: Client,
    pub(crate) next_attempt: Cell<u64>,
    pub(crate) histograms: RefCell<Histograms>,
}

impl Calls {
    pub(crate) async fn new(_cfg: &Config) -> Self {
        let target = Client::builder()
            .no_default_headers()
            .disable_redirects()
            .connector::<()>(Connector::new().limit(120))
            .build(ntex::SharedCfg::new("target"))
            .await
            .expect("a client without TLS always builds");
        Self {
            target,
            next_attempt: Cell::new(0),
            histograms: RefCell::new(Histograms::new(MAX_TENANTS)),
        }
    }
}

/// Starts the tasks of the call side.
pub(crate) fn start(_node: &Rc<Node>) {}
