//! The executor: runs attempts of entries on the target beside this daemon.
//!
//! Only this daemon talks to that target. So at most one run of an attempt, no
//! call after the target's drain, and no more calls than it has slots are
//! decided here, against what entries believe.

mod answers;
mod confirm;
mod ended;
mod heard;
mod judged;
mod run;
mod slot;
mod target;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use slog::Logger;
use stoatstep_calls::{
    Answers, Arrival, AttemptId, Deadline, Incarnation, Ledger, LedgerConfig, Occupancy, Queue,
    Reason, RecentAnswers, Refusal, Settled, Ticket, Uplink,
};
use stoatstep_membership::{Announced, LocalTarget};
use stoatstep_resource::{RouteName, ServiceName, UpstreamName};
use stoatstep_rollout::{Evidence, OrderId, Tally};
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::config::MeshConfig;
use crate::node::Node;
use crate::quarantine;
use crate::wire::{Attempt, CallParts, End, Ran, WireSettled};
pub(crate) use confirm::ask_target;
use heard::learn;
pub(crate) use heard::{hear, leave, target_left};
use target::Target;

/// Slots of the target until it has said how many it has.
const SLOTS_UNKNOWN: u32 = 1;

/// Pause asked for where the queue itself had to give up a call.
const QUEUE_RETRY: Duration = Duration::from_millis(50);

/// Pause after which another executor has heard of a drain.
const DRAINING_RETRY: Duration = Duration::from_millis(50);

/// Pause after which an entry has heard of a roll-out's step.
const HELD_RETRY: Duration = Duration::from_millis(50);

/// Time in which an entry whose link broke comes back for its attempts. After
/// it the runs that may be repeated are cancelled: nobody waits for them.
const ORPHANED_FOR: Duration = Duration::from_millis(300);

/// Bytes of answers kept for entries whose links broke: ten seconds of answers
/// of 2 KB at 50 calls a second. They are asked for within a second or never.
const KEPT_ANSWER_BYTES: usize = 1 << 20;

/// The executor's tables and its way to the target.
pub(crate) struct Executor {
    tables: RefCell<Tables>,
    target: Target,
    /// The target is being asked whether it takes calls.
    is_asking: Cell<bool>,
}

struct Tables {
    ledger: Ledger,
    queue: Queue,
    waiting: HashMap<AttemptId, oneshot::Sender<Result<(), Refusal>>>,
    runs: BTreeMap<AttemptId, Run>,
    upstream: LocalTarget,
    /// What the answers of each route that runs here are like.
    answers: HashMap<RouteName, Answers>,
    /// How runs ended since the newest order for a roll-out of the service.
    tally: Tally,
    /// The last life of the target that was seen to end.
    ended: Option<UpstreamName>,
    /// What the target answered lately.
    recent: RecentAnswers,
}

/// A run that goes on.
struct Run {
    cancel: Option<oneshot::Sender<()>>,
    call: Rc<CallParts>,
    /// The life of the target that it was handed to; none while it waits for a slot.
    at: Option<UpstreamName>,
    /// Wakes those that wait for its end.
    waiters: Vec<oneshot::Sender<()>>,
}

impl Executor {
    pub(crate) fn new(cfg: &MeshConfig, clock: Clock, log: Logger) -> Self {
        let incarnation: Incarnation = rand::rng().random();
        let bounds = LedgerConfig {
            answer_bytes: KEPT_ANSWER_BYTES,
            ..LedgerConfig::default()
        };
        let tables = Tables {
            ledger: Ledger::new(incarnation, bounds),
            queue: Queue::new(SLOTS_UNKNOWN),
            waiting: HashMap::new(),
            runs: BTreeMap::new(),
            upstream: LocalTarget::new(cfg.heartbeat),
            answers: HashMap::new(),
            tally: Tally::default(),
            ended: None,
            recent: RecentAnswers::default(),
        };
        Self {
            tables: RefCell::new(tables),
            target: Target::new(cfg.addresses.target, &cfg.dialect, clock, log),
            is_asking: Cell::new(false),
        }
    }

    /// A ticket for attempts of this daemon's own entry.
    pub(crate) fn ticket(&self, now: stoatstep_calls::Time) -> Ticket {
        self.tables.borrow().ledger.ticket(now)
    }

    /// The service of the target, if one was ever heard of.
    pub(crate) fn service(&self) -> Option<ServiceName> {
        self.tables.borrow().upstream.service().cloned()
    }

    /// How occupied the target is.
    pub(crate) fn occupancy(&self) -> Occupancy {
        self.tables.borrow().queue.occupancy()
    }

    /// Whether calls go to the target.
    pub(crate) fn takes_calls(&self, now: stoatstep_calls::Time) -> bool {
        self.tables.borrow().upstream.admits(now).is_some()
    }

    /// The present life of the target, if one was ever heard of.
    pub(crate) fn upstream(&self) -> Option<UpstreamName> {
        self.tables.borrow().upstream.life().cloned()
    }

    /// An order for a roll-out of this service was heard of.
    pub(crate) fn begin_tally(&self, service: &str, order: OrderId) {
        let mut tables = self.tables.borrow_mut();
        if tables.upstream.service().is_some_and(|it| it == service) {
            tables.tally.reset_for(order);
        }
    }

    /// How the target's runs ended since the order.
    pub(crate) fn evidence(
        &self,
        service: &str,
        order: OrderId,
        now: stoatstep_calls::Time,
    ) -> Evidence {
        self.begin_tally(service, order);
        let tables = self.tables.borrow();
        let occupancy = tables.queue.occupancy();
        tables
            .tally
            .evidence(occupancy.running + occupancy.queued, now)
    }

    /// What peers are told about the target.
    pub(crate) fn announced(&self, now: stoatstep_calls::Time) -> Option<Announced> {
        self.tables.borrow().upstream.announced(now)
    }
}

/// How occupied the target and the instance's link are, for entries.
pub(crate) fn occupancy(node: &Node) -> Occupancy {
    Occupancy {
        link_backlog: node.uplink.read(Uplink::backlog),
        link_bytes_per_s: node.uplink.read(Uplink::bytes_per_s),
        ..node.executor.occupancy()
    }
}

/// How an attempt came, and its answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// From this daemon's own entry; its answer does not leave the instance.
    Local,
    /// Over a link.
    Link,
}

/// Runs one attempt. Also the way of an entry to its own target.
pub(crate) async fn execute(node: &Rc<Node>, attempt: Attempt) -> Ran {
    ended(node, begin(node, attempt, Way::Local)).await
}

/// An attempt that was taken, or what it ended with at once.
pub(crate) type Begun = Result<oneshot::Receiver<Ran>, Box<Ran>>;

/// Takes an attempt. From here on it can be cancelled, though nothing of it may
/// have been done yet: word that its caller left can be the very next message.
pub(crate) fn begin(node: &Rc<Node>, attempt: Attempt, way: Way) -> Begun {
    match arrive(node, &attempt, way) {
        Ok(()) => {
            if way == Way::Link {
                answers::expect(node, &attempt);
            }
            Ok(run::start(node, attempt))
        }
        Err(end) => Err(Box::new(run::refused(node, end))),
    }
}

/// What an attempt ends with.
pub(crate) async fn ended(node: &Node, begun: Begun) -> Ran {
    match begun {
        Ok(ended) => ended.await.unwrap_or_else(|_| run::refused(node, lost())),
        Err(ran) => *ran,
    }
}

fn arrive(node: &Node, attempt: &Attempt, way: Way) -> Result<(), End> {
    let now = node.clock.now();
    if let Some(refusal) = quarantine::refusal(node, &attempt.call) {
        return Err(End::Refused(refusal));
    }
    let mut tables = node.executor.tables.borrow_mut();
    let present = tables.upstream.admits(now);
    let is_meant = present
        .is_some_and(|it| it.upstream == attempt.upstream && it.service == attempt.call.service);
    let expires = Deadline::after(attempt.left, now).expires();
    if !is_meant || !node.departure.get().takes(expires, now) {
        let refusal = Refusal::retry(Reason::Draining, DRAINING_RETRY);
        return Err(End::Refused(refusal));
    }
    if let Some(present) = present
        && !node
            .rollouts
            .admits(&present.service, &present.software, &present.upstream, now)
    {
        let refusal = Refusal::retry(Reason::Held, HELD_RETRY);
        return Err(End::Refused(refusal));
    }
    if way == Way::Link {
        answers::fits_link(node, &tables, attempt)?;
    }
    match tables.ledger.arrive(attempt.id, attempt.ticket, now) {
        Arrival::New => Ok(()),
        Arrival::Refused(refusal) => Err(End::Refused(refusal)),
        Arrival::Seen(Settled::Done(answer)) => Err(End::Answered(answer)),
        Arrival::Seen(_) => Err(lost()),
    }
}

fn lost() -> End {
    End::Refused(Refusal::permanent(Reason::LostAnswer))
}

/// Nobody waits for the attempt any more. What has not started never will; a run
/// that may not be repeated goes on, since breaking it off half-way helps nobody.
pub(crate) fn cancel(node: &Node, attempt: AttemptId) {
    let mut tables = node.executor.tables.borrow_mut();
    let is_waiting = tables.waiting.contains_key(&attempt);
    let run = tables.runs.get_mut(&attempt);
    let run = run.filter(|it| it.call.idempotent || is_waiting);
    if let Some(cancel) = run.and_then(|it| it.cancel.take()) {
        let _ = cancel.send(());
    }
}

/// The link over which these attempts came is gone. Their entry may come back
/// over another one within a moment.
pub(crate) fn orphaned(node: &Rc<Node>, attempts: Vec<AttemptId>) {
    if attempts.is_empty() {
        return;
    }
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        tokio::time::sleep(ORPHANED_FOR).await;
        for attempt in attempts {
            let tables = node.executor.tables.borrow();
            let run = tables.runs.get(&attempt);
            let is_wanted = run.is_some_and(|it| !it.waiters.is_empty());
            drop(tables);
            if !is_wanted {
                cancel(&node, attempt);
            }
        }
    });
}

/// Settles an attempt whose link was lost: what has not started never will, and
/// the answer to what runs is waited for.
pub(crate) async fn settle(node: &Rc<Node>, attempt: AttemptId, ticket: Ticket) -> WireSettled {
    let settled = revoke(node, attempt, ticket);
    if settled != Settled::Running {
        return settled.into();
    }
    let (tx, rx) = oneshot::channel();
    if !wake_at_end(node, attempt, tx) {
        return WireSettled::Unknown;
    }
    let _ = rx.await;
    let now = node.clock.now();
    let tables = node.executor.tables.borrow();
    tables.ledger.peek(attempt, ticket, now).into()
}

/// Has `waiter` told when the attempt's run ends; `false` where none goes on.
fn wake_at_end(node: &Node, attempt: AttemptId, waiter: oneshot::Sender<()>) -> bool {
    let mut tables = node.executor.tables.borrow_mut();
    let run = tables.runs.get_mut(&attempt);
    run.map(|run| run.waiters.push(waiter)).is_some()
}

fn revoke(node: &Node, attempt: AttemptId, ticket: Ticket) -> Settled {
    let now = node.clock.now();
    let mut tables = node.executor.tables.borrow_mut();
    let settled = tables.ledger.revoke(attempt, ticket, now);
    drop(tables);
    if settled == Settled::NotRun {
        // It may wait in the queue, where it would only take a place.
        cancel(node, attempt);
    }
    settled
}

/// What the executor does from time to time.
pub(crate) fn tick(node: &Rc<Node>) {
    let now = node.clock.now();
    node.executor.tables.borrow_mut().ledger.tick(now);
    node.executor.target.sweep();
    ask_target(node);
    slot::pump(node);
}

/// After a suspension the queue holds calls whose callers gave up meanwhile.
pub(crate) fn woke(node: &Node) {
    slot::flush(node, Reason::Woke);
}
