//! The executor: runs the attempts of entries on the target beside this daemon.
//!
//! No other daemon sends calls to that target. The executor therefore enforces, whatever
//! the entries assume, that an attempt runs at most once, that no call is sent after the
//! target's drain, and that no more calls run than the target has slots.

mod answer_by;
mod answer_stats;
mod confirm;
mod disbelief;
mod heartbeat;
mod mismatch;
mod process_exit;
mod rollout_tally;
mod run;
mod settle;
mod slot;
mod statements;
mod target;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use slog::Logger;
use stoatstep_calls::{
    AnswerStats, Arrival, AttemptId, AttemptStatus, Band, Deadline, Incarnation, Ledger,
    LedgerConfig, Occupancy, Queue, Reason, RecentAnswers, Refusal, TargetStatement, Ticket, Time,
    Uplink,
};
use stoatstep_http::BodyMemory;
use stoatstep_membership::{AnnouncedTarget, LocalTarget};
use stoatstep_resource::{RouteName, ServiceName, UpstreamName};
use stoatstep_rollout::{Evidence, OrderId, Tally};
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::config::MeshConfig;
use crate::drain::InFlight;
use crate::node::Node;
use crate::quarantine;
use crate::wire::{Attempt, CallParts, End, Ran};
pub(crate) use answer_by::{Origin, require_all_answers_by, require_answers_by};
pub(crate) use answer_stats::band_of;
pub(crate) use confirm::confirm_target;
pub(crate) use disbelief::report_undecodable;
use heartbeat::update_target;
pub(crate) use heartbeat::{deregister_target, handle_heartbeat, mark_leaving};
pub(crate) use settle::{link_lost, settle};
use target::Target;

/// Slots of the target until its first heartbeat states their number.
const SLOTS_UNKNOWN: u32 = 1;

/// Retry delay for a call that left the queue without a decision or too late to be run.
const QUEUE_RETRY: Duration = Duration::from_millis(50);

/// Retry delay for a call that the target does not accept any more. By then other daemons
/// have learned of its drain.
const DRAINING_RETRY: Duration = Duration::from_millis(50);

/// Retry delay for a call held back by a roll-out. By then its entry has most likely learned
/// of the roll-out's step.
const HELD_RETRY: Duration = Duration::from_millis(50);

/// Bytes of answers kept for entries whose links broke: ten seconds of answers of 2 KB at
/// 50 calls a second. An entry asks for an answer within a second or never.
const KEPT_ANSWER_BYTES: usize = 1 << 20;

/// The executor's state and its HTTP client for the target.
pub(crate) struct Executor {
    tables: RefCell<Tables>,
    target: Target,
    /// Whether a health request to the target is in progress.
    is_confirming: Cell<bool>,
    /// Whether a task waits until the target's limit lets the next call start.
    is_start_scheduled: Cell<bool>,
}

struct Tables {
    /// Which attempts have run, so that none runs twice.
    ledger: Ledger,
    queue: Queue,
    /// Wakes the attempts that wait in the queue, with the queue's decision.
    waiting: HashMap<AttemptId, oneshot::Sender<Result<(), Refusal>>>,
    runs: BTreeMap<AttemptId, Run>,
    /// What the target's heartbeats and answers say about it.
    local_target: LocalTarget,
    /// Sizes and run times of the answers of each route that runs here.
    answers: HashMap<RouteName, AnswerStats>,
    /// How runs ended since the newest roll-out order of the target's service.
    tally: Tally,
    /// The last generation of the target whose process was seen to end.
    ended: Option<UpstreamName>,
    /// Requests that the target answered recently.
    recent: RecentAnswers,
    /// The generation that had the address before it was given to another service.
    former: Option<UpstreamName>,
    /// What the last answer of the target stated about it, and its generation.
    stated: Option<(UpstreamName, TargetStatement)>,
}

/// An attempt that waits for a slot or runs.
struct Run {
    cancel: Option<oneshot::Sender<()>>,
    call: Rc<CallParts>,
    /// When its answer has to be at its entry.
    answer_by: Time,
    /// The generation of the target to which it was sent; none while it waits for a slot.
    upstream: Option<UpstreamName>,
    /// Wakes the tasks that wait for its end.
    waiters: Vec<oneshot::Sender<()>>,
}

impl Executor {
    pub(crate) fn new(cfg: &MeshConfig, answers: BodyMemory, clock: Clock, log: Logger) -> Self {
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
            local_target: LocalTarget::new(cfg.heartbeat),
            answers: HashMap::new(),
            tally: Tally::default(),
            ended: None,
            recent: RecentAnswers::default(),
            former: None,
            stated: None,
        };
        Self {
            tables: RefCell::new(tables),
            target: Target::new(cfg, answers, clock, log),
            is_confirming: Cell::new(false),
            is_start_scheduled: Cell::new(false),
        }
    }

    /// A ticket for attempts of this daemon's entry.
    pub(crate) fn ticket(&self, now: stoatstep_calls::Time) -> Ticket {
        self.tables.borrow().ledger.ticket(now)
    }

    /// The service of the target, if the target has confirmed itself, is live and is not a former one.
    pub(crate) fn service(&self, now: stoatstep_calls::Time) -> Option<ServiceName> {
        let tables = self.tables.borrow();
        if tables.former.is_some() && tables.former.as_ref() == tables.local_target.generation() {
            return None;
        }
        tables.local_target.confirmed_service(now).cloned()
    }

    /// Another service has the address of the target: the present generation is a former one, unless
    /// it states this service already.
    pub(crate) fn address_given_to(&self, service: &str) {
        let mut tables = self.tables.borrow_mut();
        let target = &tables.local_target;
        let is_other = target.service().is_some_and(|it| it != service);
        let former = target.generation().filter(|_| is_other).cloned();
        tables.former = former;
    }

    /// The occupancy of the target.
    pub(crate) fn occupancy(&self, now: stoatstep_calls::Time) -> Occupancy {
        self.tables.borrow().queue.occupancy(now)
    }

    /// Whether the target accepts calls now.
    pub(crate) fn accepts_calls(&self, now: stoatstep_calls::Time) -> bool {
        self.tables
            .borrow()
            .local_target
            .accepting_heartbeat(now)
            .is_some()
    }

    /// The present generation of the target, if it ever sent a heartbeat.
    pub(crate) fn upstream(&self) -> Option<UpstreamName> {
        self.tables.borrow().local_target.generation().cloned()
    }

    /// Starts counting runs for a roll-out order, if the target belongs to its service.
    pub(crate) fn begin_tally(&self, service: &str, order: OrderId) {
        let mut tables = self.tables.borrow_mut();
        if tables
            .local_target
            .service()
            .is_some_and(|it| it == service)
        {
            tables.tally.reset_for(order);
        }
    }

    /// How the target's runs ended since the roll-out order.
    pub(crate) fn evidence(&self, service: &str, order: OrderId, now: Time) -> Evidence {
        self.begin_tally(service, order);
        let tables = self.tables.borrow();
        let occupancy = tables.queue.occupancy(now);
        tables
            .tally
            .evidence(occupancy.running + occupancy.queued, now)
    }

    /// What peers are told about the target, if anything.
    pub(crate) fn announced(&self, now: Time) -> Option<AnnouncedTarget> {
        self.tables.borrow().local_target.announced(now)
    }
}

/// Occupancy of the target and of the instance's uplink, as entries need it for placement.
pub(crate) fn occupancy(node: &Node) -> Occupancy {
    Occupancy {
        link_backlog: node.uplink.read(|it| it.backlog(Band::InTime)),
        link_bytes_per_s: node.uplink.read(Uplink::bytes_per_s),
        ..node.executor.occupancy(node.clock.now())
    }
}

/// Runs one attempt of this daemon's entry to its end.
pub(crate) async fn execute(node: &Rc<Node>, attempt: Attempt) -> Ran {
    wait(node, accept(node, attempt, Origin::Local)).await.0
}

/// An attempt that was accepted, or the result of one that was not: a refusal, or the answer
/// if it has run before.
pub(crate) type Accepted = Result<oneshot::Receiver<(Ran, InFlight)>, Box<Ran>>;

/// Accepts an attempt. When this returns it can be cancelled, even though it has not run
/// yet: the next message on its link may be the cancellation.
pub(crate) fn accept(node: &Rc<Node>, attempt: Attempt, origin: Origin) -> Accepted {
    let expires = Deadline::after(attempt.left, node.clock.now()).expires();
    let answer_by = origin.answer_by(node, expires);
    match admit(node, &attempt, origin, answer_by) {
        Ok(()) => {
            if origin != Origin::Local {
                answer_stats::expect_answer(node, &attempt);
            }
            Ok(run::start(node, attempt, answer_by))
        }
        Err(end) => Err(Box::new(run::refused(node, end))),
    }
}

/// Waits for the result of an attempt, which counts as in flight until it is passed on.
pub(crate) async fn wait(node: &Rc<Node>, accepted: Accepted) -> (Ran, InFlight) {
    let ran = match accepted {
        Ok(running) => match running.await {
            Ok(ended) => return ended,
            Err(_) => run::refused(node, lost_answer()),
        },
        Err(ran) => *ran,
    };
    (ran, InFlight::enter(node))
}

/// Checks whether the attempt may run here, and records it in the ledger.
fn admit(node: &Node, attempt: &Attempt, origin: Origin, answer_by: Time) -> Result<(), End> {
    let now = node.clock.now();
    if let Some(refusal) = quarantine::refusal(node, &attempt.call) {
        return Err(End::Refused(refusal));
    }
    let mut tables = node.executor.tables.borrow_mut();
    let present = tables.local_target.accepting_heartbeat(now);
    let is_right_target = present
        .is_some_and(|it| it.upstream == attempt.upstream && it.service == attempt.call.service);
    let expires = Deadline::after(attempt.left, now).expires();
    if !is_right_target || !node.departure.get().accepts(expires, now) {
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
    if let Some(limit) = attempt.limit {
        tables.queue.limiter_mut().adopt(limit, now);
    }
    if origin != Origin::Local {
        answer_stats::check_uplink(node, &tables, attempt, origin, answer_by)?;
    }
    match tables.ledger.arrive(attempt.id, attempt.ticket, now) {
        Arrival::New => Ok(()),
        Arrival::Refused(refusal) => Err(End::Refused(refusal)),
        Arrival::Seen(AttemptStatus::Done(answer)) => Err(End::Answered(answer)),
        Arrival::Seen(_) => Err(lost_answer()),
    }
}

/// The result of an attempt for whose body there is no memory. It was not read, and never runs.
pub(crate) fn no_memory(node: &Node) -> Ran {
    let refusal = Refusal::retry(Reason::MemoryFull, QUEUE_RETRY);
    run::refused(node, End::Refused(refusal))
}

fn lost_answer() -> End {
    End::Refused(Refusal::permanent(Reason::LostAnswer))
}

/// Cancels an attempt for which nobody waits any more. If it has not started, it never
/// will. A run that is not idempotent continues, since stopping it half-way helps nobody.
pub(crate) fn cancel(node: &Node, attempt: AttemptId) {
    let mut tables = node.executor.tables.borrow_mut();
    let is_waiting = tables.waiting.contains_key(&attempt);
    let run = tables.runs.get_mut(&attempt);
    let run = run.filter(|it| it.call.idempotent || is_waiting);
    if let Some(cancel) = run.and_then(|it| it.cancel.take()) {
        let _ = cancel.send(());
    }
}

/// Performs the executor's periodic work.
pub(crate) fn tick(node: &Rc<Node>) {
    let now = node.clock.now();
    node.executor.tables.borrow_mut().ledger.tick(now);
    node.executor.target.close_expired();
    confirm_target(node);
    slot::dispatch_waiting(node);
}

/// Empties the queue after a suspension of the instance: the callers of the waiting calls
/// have given up meanwhile.
pub(crate) fn resumed(node: &Node) {
    slot::flush(node, Reason::Woke);
}
