//! The entry: accepts a caller's request, forwards it to the executor beside a target, and
//! returns either the target's complete answer or the reason why there is none.

mod attempt;
mod call;
mod choice;
mod forward;
mod late;
mod open;
mod probes;
mod quota;
mod respond;
mod throttle;
mod traffic_split;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::{Request, Response};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_calls::{
    AnswerStats, Candidate, Outcome, Placement, Refusal, RetryBudget, ReturningCalls, StatedLimits,
    StatedTimes, Throttle, Ticket, Time,
};
use stoatstep_http::{Connection, discard};
use stoatstep_resource::{RouteName, ServiceName, UpstreamName};
use stoatstep_telemetry::fields;

use crate::config::MeshConfig;
use crate::drain::InFlight;
use crate::journal::{CallEnded, Times};
use crate::node::Node;
use crate::quarantine;
use crate::wire::End;
pub(crate) use attempt::SETTLE_WINDOW;
use call::Call;
use forward::CompletedCall;
pub(crate) use open::log_cut_off;
use open::{OpenCalls, OpenGuard};

/// Limit on the routes for which statistics are kept. The callers of one daemon use a few
/// dozen.
const MAX_ROUTES: usize = 1024;

/// State of the entry that outlives single calls.
pub(crate) struct Entry {
    tables: RefCell<Tables>,
    open: OpenCalls,
}

struct Tables {
    placement: Placement,
    budgets: BTreeMap<ServiceName, RetryBudget>,
    /// Sizes and run times of the answers of each route in use.
    answers: HashMap<RouteName, AnswerStats>,
    /// Recent failures and successes of each route in use.
    throttles: HashMap<RouteName, Throttle>,
    /// The newest ticket that each executor issued.
    tickets: HashMap<SocketAddr, Ticket>,
    /// The limits that targets stated to their executors.
    limits: StatedLimits<UpstreamName>,
    /// Refused calls whose callers may come back.
    returning: ReturningCalls,
    /// What first tries of each route state.
    stated_times: HashMap<RouteName, StatedTimes>,
    rng: Xoshiro256PlusPlus,
}

impl Tables {
    /// The time that the caller of a call has already waited, by what it states, if it was not
    /// refused here before.
    fn time_spent(&mut self, route: &RouteName, stated: Duration) -> Duration {
        let times = &mut self.stated_times;
        if times.len() >= MAX_ROUTES && !times.contains_key(route) {
            return Duration::ZERO;
        }
        let times = times.entry(route.clone()).or_default();
        times.record(stated);
        times.spent(stated)
    }
}

impl Entry {
    pub(crate) fn new(cfg: &MeshConfig) -> Self {
        let tables = Tables {
            placement: Placement::new(cfg.zone.clone()),
            budgets: BTreeMap::new(),
            answers: HashMap::new(),
            throttles: HashMap::new(),
            tickets: HashMap::new(),
            limits: StatedLimits::default(),
            returning: ReturningCalls::default(),
            stated_times: HashMap::new(),
            rng: Xoshiro256PlusPlus::from_rng(&mut rand::rng()),
        };
        Self {
            tables: RefCell::new(tables),
            open: OpenCalls::default(),
        }
    }

    /// Statistics of the answers of a route.
    pub(crate) fn answer_stats(&self, route: &RouteName) -> Option<AnswerStats> {
        self.tables.borrow().answers.get(route).copied()
    }

    /// Replaces the candidates of all services.
    pub(crate) fn set_candidates(
        &self,
        services: &HashMap<ServiceName, Vec<Candidate>>,
        now: Time,
    ) {
        let mut tables = self.tables.borrow_mut();
        let Tables {
            placement, limits, ..
        } = &mut *tables;
        placement.retain_services(|name| services.contains_key(name));
        for (service, candidates) in services {
            placement.set_candidates(service, candidates, now);
        }
        let is_candidate = |name: &UpstreamName| {
            let mut candidates = services.values().flatten();
            candidates.any(|it| it.upstream == *name)
        };
        limits.retain(is_candidate);
    }
}

/// Handles one caller's request. If the caller disconnects, the future is dropped, which
/// cancels the call's attempt.
pub(crate) async fn handle(node: &Rc<Node>, mut req: Request) -> Response {
    let _in_flight = InFlight::enter(node);
    let started_at = node.clock.now();
    let call = match Call::read(node, &mut req).await {
        Ok(call) => call,
        Err(refusal) => {
            log_refused(node, &req, &refusal);
            discard(req.take_payload(), Connection::of(&req));
            return respond::refused(&refusal, node.is_leaving());
        }
    };
    let mut completed = if throttle::admits(node, &call) {
        let open = OpenGuard::new(node, &call, started_at);
        let completed = forward_until_exit(node, &call).await;
        open.end();
        throttle::record(node, &call, &completed.end);
        completed
    } else {
        throttle::refused(node, &call)
    };
    late::refused(node, &call, &mut completed);
    record_call(node, &call, &completed, started_at);
    respond::completed(node, &req, &completed.end)
}

/// Forwards the call. If this daemon exits before it has ended, it gets a final answer.
async fn forward_until_exit(node: &Rc<Node>, call: &Call) -> CompletedCall {
    if node.exit.is_given() {
        return CompletedCall::refused(open::cut_off(call));
    }
    tokio::select! {
        biased;
        // Checked first, so that an answer that is there is passed on.
        completed = forward_with_quota(node, call) => completed,
        () = node.exit.wait() => CompletedCall::refused(open::cut_off(call)),
    }
}

/// Charges the call to its customer's quota and forwards it if the quota allows. The
/// charge is refunded if the call did not run.
async fn forward_with_quota(node: &Rc<Node>, call: &Call) -> CompletedCall {
    let charge = match quota::charge(node, call).await {
        Ok(charge) => charge,
        Err(refusal) => return CompletedCall::refused(refusal),
    };
    let completed = forward::forward(node, call).await;
    if let End::Refused(refusal) = &completed.end
        && refusal.outcome() == Outcome::NotRun
    {
        charge.refund(node);
    }
    completed
}

/// Records a call that has ended in the log, the metrics and the route's statistics.
fn record_call(node: &Rc<Node>, call: &Call, completed: &CompletedCall, started_at: Time) {
    let now = node.clock.now();
    if completed.end.is_success() {
        quarantine::answered(node, &call.parts);
    }
    let ended = CallEnded {
        call: &call.parts,
        end: &completed.end,
        version: call.version,
        given: call.deadline.left(started_at),
        objective: call.objective.saturating_sub(started_at),
        times: Times {
            total: now.saturating_sub(started_at),
            ..completed.times
        },
        attempts: completed.attempts,
        placed: completed.placed.clone(),
    };
    node.journal.call_ended(&ended, now);
    record_answer(node, call, completed);
}

/// Updates the statistics of the route's answers. Failures are skipped because they are
/// short whatever the route, and calls with several attempts because their run times are
/// summed.
fn record_answer(node: &Node, call: &Call, completed: &CompletedCall) {
    let End::Answered(answer) = &completed.end else {
        return;
    };
    if answer.is_failure() || completed.attempts > 1 {
        return;
    }
    let answers = &mut node.entry.tables.borrow_mut().answers;
    let route = &call.parts.route;
    if answers.len() < MAX_ROUTES || answers.contains_key(route) {
        let seen = answers.entry(route.clone()).or_default();
        seen.record(answer.body.len(), completed.times.target);
    }
}

/// Logs a request that was refused before it was routed and read as a call.
fn log_refused(node: &Node, req: &Request, refusal: &Refusal) {
    node.journal.count(&format!("calls.{}", refusal.reason));
    let kind = refusal.reason.as_str();
    let Some(suppressed) = node.journal.admits(kind, node.clock.now()) else {
        return;
    };
    let id = req.headers().get(node.cfg.header_names.request_id.as_str());
    let id = id.and_then(|it| it.to_str().ok()).unwrap_or_default();
    let version = node.fleet.in_force().map_or(0, |it| it.version());
    slog::info!(node.log, "request refused";
        fields::REQUEST => id, fields::VERSION => version, fields::REASON => kind, fields::PATH => req.path(), fields::LEFT_OUT => suppressed);
}
