//! The call side of the daemon: entry (from a caller to an executor) and
//! executor (from an entry to this instance's target).
//!
//! The decisions come from `stoatstep-calls`; the code here moves bytes, reads
//! clocks and holds the tables. See `docs/design/calls.md` for how a call goes,
//! and `docs/design/at-most-once.md` for keys.

mod attempt;
mod clock;
pub(crate) mod drain;
pub(crate) mod entry;
pub(crate) mod executor;
mod handover;
mod headers;
mod homes;
mod in_flight;
mod keyed;
mod peers;
mod request;
mod respond;
mod run;
mod settle;
mod slot;
mod sync;
mod tables;
mod target;
mod tick;
mod timer;
mod wire;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use stoatstep_platform::TableRevision;
use stoatstep_telemetry::Histograms;

use crate::config::Config;
use crate::node::Node;
use clock::Clock;
use peers::Peers;
use tables::{EntryTables, ExecutorTables};
use target::TargetClient;
use timer::Alarms;

pub(crate) use executor::handle as handle_peer;

/// Tenants with histograms of their own; the others share one.
const MAX_TENANTS: usize = 64;

/// Tables and clients of the call side. Borrows of the cells never last over an
/// `await`, so that no two tasks meet in one.
pub(crate) struct Calls {
    clock: Clock,
    alarms: Alarms,
    target: RefCell<TargetClient>,
    peers: Peers,
    entry: RefCell<EntryTables>,
    executor: RefCell<ExecutorTables>,
    drain: RefCell<stoatstep_calls::Drain>,
    in_flight: Cell<u32>,
    /// Revision of the row that names this process as the home of its keys.
    home_row: Cell<Option<TableRevision>>,
    /// Whether keys that state their time may run here: nothing that an earlier
    /// process ran can be missing from the memory without this process knowing.
    has_home: Cell<bool>,
    /// Set once all calls are answered and the last steps of the stop began.
    leaving: Cell<bool>,
    pub(crate) histograms: RefCell<Histograms>,
}

impl Calls {
    pub(crate) async fn new(cfg: &Config) -> Self {
        let clock = Clock::start();
        Self {
            target: RefCell::new(TargetClient::connect(cfg.target_addr).await),
            peers: Peers::new(cfg.peer_token.clone()).await,
            entry: RefCell::new(EntryTables::new(cfg)),
            executor: RefCell::new(ExecutorTables::new(cfg, &clock)),
            drain: RefCell::new(stoatstep_calls::Drain::new(drain::BOUND)),
            in_flight: Cell::new(0),
            home_row: Cell::new(None),
            has_home: Cell::new(false),
            leaving: Cell::new(false),
            alarms: Alarms::default(),
            histograms: RefCell::new(Histograms::new(MAX_TENANTS)),
            clock,
        }
    }
}

/// Starts the tasks of the call side.
pub(crate) fn start(node: &Rc<Node>) {
    ntex::rt::spawn(tick::run(Rc::clone(node)));
    ntex::rt::spawn(handover::take(Rc::clone(node)));
}
