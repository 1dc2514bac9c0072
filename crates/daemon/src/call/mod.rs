//! Call path of the daemon. The entry forwards a caller's request to an executor, which runs it
//! on the target of its own instance.
//!
//! The decisions are made in `stoatstep-calls`; this module does the I/O, reads the clocks and
//! holds the tables. See `docs/design/calls.md` for the path of a call and
//! `docs/design/at-most-once.md` for idempotency keys.

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
mod statements;
mod sync;
mod tables;
mod target;
mod tick;
mod timer;
mod wire;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use ntex::channel::condition::Condition;
use stoatstep_body::Memory;
use stoatstep_http::{BodyMemory, PendingWrites};
use stoatstep_platform::TableRevision;
use stoatstep_telemetry::Histograms;

use crate::config::Config;
use crate::node::Node;
use clock::Clock;
use in_flight::InFlightTable;
use peers::Peers;
use tables::{EntryTables, ExecutorTables};
use target::TargetClient;
use timer::Timers;

pub(crate) use executor::handle as handle_peer;

/// Largest number of tenants with histograms of their own; all others share one.
const MAX_TENANTS: usize = 64;

/// Memory for the bodies of calls: for small ones, and for all others.
const SMALL_BODIES: usize = 4 << 20;
const LARGE_BODIES: usize = 24 << 20;

/// Tables and clients of the call path. No borrow of a cell is held across an `await`, so two
/// tasks never borrow the same cell at once.
pub(crate) struct Calls {
    clock: Clock,
    timers: Timers,
    target: RefCell<TargetClient>,
    peers: Peers,
    entry: RefCell<EntryTables>,
    executor: RefCell<ExecutorTables>,
    drain: RefCell<stoatstep_calls::Drain>,
    in_flight: RefCell<InFlightTable>,
    /// Answers to callers and other daemons that are not written yet.
    pub(crate) pending_writes: PendingWrites,
    /// Revision of the row that names this process as the home of its keys.
    home_row: Cell<Option<TableRevision>>,
    /// Whether keys with a timestamp may run here. Set once the home row names this process and the
    /// predecessor's snapshot was processed, so that no key that an earlier process ran can be
    /// missing from the table without this process knowing.
    has_home: Cell<bool>,
    /// Ready once the calls in flight have to end, because the time of the drain is nearly over.
    cutoff: Condition,
    /// Set once the drain has ended and the keys are being handed over.
    leaving: Cell<bool>,
    /// Whether the target states that it leaves.
    target_leaves: Cell<bool>,
    /// Whether a health request to a target that leaves is in progress.
    is_checking_target: Cell<bool>,
    /// Memory for the bodies of calls, from callers and from other daemons.
    bodies: BodyMemory,
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
            drain: RefCell::new(stoatstep_calls::Drain::new(cfg.drain_timeout)),
            in_flight: RefCell::default(),
            pending_writes: PendingWrites::default(),
            home_row: Cell::new(None),
            has_home: Cell::new(false),
            cutoff: Condition::default(),
            leaving: Cell::new(false),
            target_leaves: Cell::new(false),
            is_checking_target: Cell::new(false),
            timers: Timers::default(),
            bodies: body_memory(),
            histograms: RefCell::new(Histograms::new(MAX_TENANTS)),
            clock,
        }
    }
}

/// A quarter of the memory that a daemon may take. Bodies are copied on their way to other daemons
/// and to the target, so they take up to three times what is leased for them.
fn body_memory() -> BodyMemory {
    let (small, large) = (Memory::new(SMALL_BODIES), Memory::new(LARGE_BODIES));
    BodyMemory::new(small, large, request::MAX_BODY)
}

/// Starts the background tasks of the call path.
pub(crate) fn start(node: &Rc<Node>) {
    ntex::rt::spawn(tick::run(Rc::clone(node)));
    ntex::rt::spawn(handover::acquire(Rc::clone(node)));
}
