//! The entry: takes a caller's request, has it run, and brings back the whole
//! answer or says truly why there is none.

mod attempt;
mod call;
mod carry;
mod divided;
mod probes;
mod quota;
mod respond;
mod throttle;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use ntex::http::{Request, Response};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use stoatstep_calls::{
    AnswerStats, Candidate, Outcome, Placement, Refusal, RetryBudget, Throttle, Ticket, Time,
};
use stoatstep_http::drop_body;
use stoatstep_resource::{RouteName, ServiceName};
use stoatstep_telemetry::fields;

use crate::config::MeshConfig;
use crate::drain::InFlight;
use crate::journal::{CallEnded, Times};
use crate::node::Node;
use crate::quarantine;
use crate::wire::End;
use call::Call;
use carry::Carried;

/// Routes of which more is remembered than the configuration says; a daemon's callers
/// use a few dozen.
const MAX_ROUTES: usize = 1024;

pub(crate) struct Entry {
    tables: RefCell<Tables>,
}

struct Tables {
    placement: Placement,
    budgets: BTreeMap<ServiceName, RetryBudget>,
    /// What the answers of each route in use are like.
    answers: HashMap<RouteName, AnswerStats>,
    /// How the calls of each route in use ended lately.
    throttles: HashMap<RouteName, Throttle>,
    /// The newest ticket of each executor.
    tickets: HashMap<SocketAddr, Ticket>,
    rng: Xoshiro256PlusPlus,
}

impl Entry {
    pub(crate) fn new(cfg: &MeshConfig) -> Self {
        let tables = Tables {
            placement: Placement::new(cfg.zone.clone()),
            budgets: BTreeMap::new(),
            answers: HashMap::new(),
            throttles: HashMap::new(),
            tickets: HashMap::new(),
            rng: Xoshiro256PlusPlus::from_rng(&mut rand::rng()),
        };
        Self {
            tables: RefCell::new(tables),
        }
    }

    /// Replaces the candidates of all services.
    pub(crate) fn set_candidates(
        &self,
        services: &HashMap<ServiceName, Vec<Candidate>>,
        now: Time,
    ) {
        let placement = &mut self.tables.borrow_mut().placement;
        placement.retain_services(|name| services.contains_key(name));
        for (service, candidates) in services {
            placement.set_candidates(service, candidates, now);
        }
    }
}

/// Answers one caller. Where the caller leaves, the future is dropped, and what
/// runs for it is cancelled.
pub(crate) async fn handle(node: &Rc<Node>, mut req: Request) -> Response {
    let _in_flight = InFlight::enter(node);
    let begun = node.clock.now();
    let call = match Call::read(node, &mut req).await {
        Ok(call) => call,
        Err(refusal) => {
            refused(node, &req, &refusal);
            drop_body(req.take_payload()).await;
            return respond::refused(&refusal, node.is_leaving());
        }
    };
    let carried = if throttle::admits(node, &call) {
        let mut awaited = Awaited::new(node, &call, begun);
        let carried = charged(node, &call).await;
        awaited.has_ended = true;
        throttle::note(node, &call, &carried.end);
        carried
    } else {
        throttle::refused(node, &call)
    };
    ended(node, &call, &carried, begun);
    respond::ended(&carried.end, node.is_leaving())
}

/// Carries a call that its customer's quota has room for.
async fn charged(node: &Rc<Node>, call: &Call) -> Carried {
    let charge = match quota::admit(node, call).await {
        Ok(charge) => charge,
        Err(refusal) => return Carried::refused(refusal),
    };
    let carried = carry::carry(node, call).await;
    if let End::Refused(refusal) = &carried.end
        && refusal.outcome() == Outcome::NotRun
    {
        charge.give_back(node);
    }
    carried
}

/// A call that is let through and whose caller waits. Dropped before the call has
/// ended, it says that the caller left.
struct Awaited<'a> {
    node: &'a Node,
    call: &'a Call,
    begun: Time,
    has_ended: bool,
}

impl<'a> Awaited<'a> {
    fn new(node: &'a Node, call: &'a Call, begun: Time) -> Self {
        Self {
            node,
            call,
            begun,
            has_ended: false,
        }
    }
}

impl Drop for Awaited<'_> {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        throttle::left(self.node, self.call);
        let now = self.node.clock.now();
        let waited = now.saturating_sub(self.begun);
        self.node.journal.caller_left(&self.call.parts, waited, now);
    }
}

fn ended(node: &Rc<Node>, call: &Call, carried: &Carried, begun: Time) {
    let now = node.clock.now();
    if carried.end.is_success() {
        quarantine::answered(node, &call.parts);
    }
    let ended = CallEnded {
        call: &call.parts,
        end: &carried.end,
        version: call.version,
        given: call.deadline.left(begun),
        objective: call.objective.saturating_sub(begun),
        times: Times {
            total: now.saturating_sub(begun),
            ..carried.times
        },
        attempts: carried.attempts,
        placed: carried.placed.clone(),
    };
    node.journal.call_ended(&ended, now);
    note_answer(node, call, carried);
}

/// Failures are left out: they are short whatever the route. So are calls with more than
/// one attempt, whose times at targets are added up.
fn note_answer(node: &Node, call: &Call, carried: &Carried) {
    let End::Answered(answer) = &carried.end else {
        return;
    };
    if answer.is_failure() || carried.attempts > 1 {
        return;
    }
    let answers = &mut node.entry.tables.borrow_mut().answers;
    let route = &call.parts.route;
    if answers.len() < MAX_ROUTES || answers.contains_key(route) {
        let seen = answers.entry(route.clone()).or_default();
        seen.record(answer.body.len(), carried.times.target);
    }
}

/// A request that did not become a call.
fn refused(node: &Node, req: &Request, refusal: &Refusal) {
    node.journal.count(&format!("calls.{}", refusal.reason));
    let kind = refusal.reason.as_str();
    let Some(left_out) = node.journal.admits(kind, node.clock.now()) else {
        return;
    };
    let id = req.headers().get(node.cfg.dialect.request_id.as_str());
    let id = id.and_then(|it| it.to_str().ok()).unwrap_or_default();
    let version = node.fleet.in_force().map_or(0, |it| it.version());
    slog::info!(node.log, "request refused";
        fields::REQUEST => id, fields::VERSION => version, fields::REASON => kind, fields::PATH => req.path(), fields::LEFT_OUT => left_out);
}
