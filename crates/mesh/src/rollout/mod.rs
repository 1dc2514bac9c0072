//! A daemon's part in roll-outs. The decisions are made by `stoatstep-rollout`.

mod evaluation;
mod evidence;
mod new_versions;
mod propagation;
mod transition;
mod view;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::Time;
use stoatstep_resource::ServiceName;
use stoatstep_rollout::{
    Canaries, Change, OldSide, Order, OrderId, Progress, ProgressTable, RolloutRouting, RouteMix,
    Side, Step,
};
use stoatstep_telemetry::fields;

use crate::clock::unix_time;
use crate::fleet_store::{OrderChange, RolloutStatus};
use crate::node::Node;
use crate::wire::CallParts;

pub(crate) use evaluation::run;
pub(crate) use evidence::of_target as evidence;
pub(crate) use new_versions::NewVersions;
use view::View;

/// Time without contact to other targets after which the daemon beside a target on trial holds it
/// back. A daemon that is cut off does not learn that the version is bad, and neither do its
/// entries.
const ISOLATED_AFTER: Duration = Duration::from_secs(2);

/// Roll-out state of a daemon, and the resulting division of calls.
#[derive(Default)]
pub(crate) struct Rollouts {
    progress: RefCell<ProgressTable>,
    routings: RefCell<HashMap<ServiceName, RolloutRouting>>,
    /// Calls by route of the services that have a roll-out on trial.
    mixes: RefCell<HashMap<ServiceName, RouteMix>>,
    /// Orders for the version that their service had run before, by service.
    ran_before: RefCell<HashMap<ServiceName, OrderId>>,
    /// When an evaluation last reached other targets of the service.
    last_contact: Cell<Option<Time>>,
    /// Whether a status write at the store is in progress.
    is_writing_status: Cell<bool>,
}

impl Rollouts {
    /// Progress to send in the regular exchanges.
    pub(crate) fn updates(&self, now: Time) -> Vec<Progress> {
        self.progress.borrow().gossip(now)
    }

    /// Progress to send to a peer that has just started.
    pub(crate) fn all(&self) -> Vec<Progress> {
        self.progress.borrow().all()
    }

    /// The side that a call goes to if its service has a roll-out, together with the division of
    /// the service's calls.
    pub(crate) fn divide(&self, call: &CallParts, draw: u32) -> Option<(RolloutRouting, Side)> {
        let routing = self.routings.borrow().get(&call.service)?.clone();
        let weight = match routing.step {
            Step::Trial => {
                let mut mixes = self.mixes.borrow_mut();
                let mix = mixes.entry(call.service.clone()).or_default();
                mix.record_call(&call.route)
            }
            _ => 1.0,
        };
        let draw = f64::from(draw) / f64::from(u32::MAX);
        let side = routing.side(draw, weight, unix_time());
        Some((routing, side))
    }

    /// Whether the daemon's own target may run a call.
    pub(crate) fn admits(&self, service: &str, software: &str, upstream: &str, now: Time) -> bool {
        let routings = self.routings.borrow();
        let Some(routing) = routings.get(service) else {
            return true;
        };
        let is_on_trial =
            software == routing.target && matches!(routing.step, Step::Trial | Step::Load);
        let is_isolated = self
            .last_contact
            .get()
            .is_some_and(|at| now.saturating_sub(at) > ISOLATED_AFTER);
        routing.admits(software, upstream) && !(is_on_trial && is_isolated)
    }

    /// Whether an order for the service is known.
    pub(crate) fn has_order(&self, service: &str) -> bool {
        self.progress.borrow().get(service).is_some()
    }

    /// What is known of the old side of a roll-out.
    fn old_side(&self, order: &Order, view: &View) -> OldSide {
        if view.old_known > 0 {
            OldSide::Known
        } else if self.ran_before.borrow().get(&order.service) == Some(&order.id) {
            OldSide::Absent
        } else {
            OldSide::Unknown
        }
    }

    /// Whether the service has an active roll-out, so that answers of its targets are counted.
    pub(crate) fn is_active(&self, service: &str) -> bool {
        let routings = self.routings.borrow();
        let routing = routings.get(service);
        routing.is_some_and(|it| matches!(it.step, Step::Trial | Step::Load | Step::All))
    }
}

/// Where a report of roll-out progress came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// The store; logged as `Host`.
    Host,
    /// A decision of this daemon.
    Own,
    /// A peer.
    Peer,
}

/// Applies order changes of the store. `age` is the longest time for which an order without a
/// status may have been waiting.
pub(crate) fn apply_orders(node: &Rc<Node>, changes: Vec<OrderChange>, age: Duration) {
    for change in changes {
        match change {
            OrderChange::Ordered { order, status } => {
                apply_progress(node, &progress_of(order, status, age), Source::Host);
            }
            OrderChange::Withdrawn(service) => apply_withdrawal(node, &service),
        }
    }
}

/// Combines an order with its status. A status of an earlier order is ignored.
fn progress_of(order: Order, status: Option<RolloutStatus>, age: Duration) -> Progress {
    match status.filter(|it| it.order == order.id) {
        Some(status) => Progress {
            step: status.state.into(),
            due: status.due,
            order,
        },
        None => Progress::ordered(order, age, unix_time()),
    }
}

fn apply_withdrawal(node: &Rc<Node>, service: &str) {
    let known = node.rollouts.progress.borrow().get(service).cloned();
    if let Some(known) = known.filter(|it| !it.step.is_final()) {
        slog::info!(node.log, "roll-out withdrawn"; fields::SERVICE => service,
            fields::ORDER => known.order.id, fields::STEP => known.step.as_str());
        apply_progress(node, &known.with_step(Step::Halted), Source::Own);
    }
}

/// Applies a progress report, and forwards it if it is new.
pub(crate) fn apply_progress(node: &Rc<Node>, progress: &Progress, source: Source) {
    let now = node.clock.now();
    let change = node
        .rollouts
        .progress
        .borrow_mut()
        .apply(progress.clone(), now);
    let Change::Updated { from } = change else {
        return;
    };
    let order = &progress.order;
    if from.is_none() {
        record_order(node, order);
    }
    slog::info!(node.log, "roll-out moved";
        fields::SERVICE => %order.service, fields::ORDER => order.id, fields::SOFTWARE => %order.target,
        fields::STEP => progress.step.as_str(), fields::BEFORE_STEP => from.map_or("", Step::as_str),
        fields::SOURCE => ?source,
        fields::LEFT_MS => progress.due.saturating_sub(unix_time()).as_millis());
    node.journal
        .count(&format!("rollouts.{}", progress.step.as_str()));
    node.executor.begin_tally(&order.service, order.id);
    rebuild(node);
    propagation::propagate(node, progress, source);
}

/// Records whether the service ran the ordered version before this new order.
fn record_order(node: &Node, order: &Order) {
    let view = View::of(node, &order.service, &order.target);
    let known_for = node
        .fleet
        .version_known_for(&order.service, &order.target, node.clock.now());
    let mut ran_before = node.rollouts.ran_before.borrow_mut();
    match OldSide::of(view.old_known, known_for) {
        OldSide::Absent => ran_before.insert(order.service.clone(), order.id),
        OldSide::Known | OldSide::Unknown => ran_before.remove(&order.service),
    };
}

/// Recomputes the division of calls from the known orders and the membership.
pub(crate) fn rebuild(node: &Node) {
    let now = node.clock.now();
    let table = node.rollouts.progress.borrow();
    let mut routings = HashMap::new();
    for progress in table.all() {
        let service = &progress.order.service;
        let Some((step, target)) = table.effective_step(service, now) else {
            continue;
        };
        let view = View::of(node, service, target);
        let names = view.new.iter().map(|it| it.upstream.clone());
        let routing = RolloutRouting {
            target: target.clone(),
            step,
            canaries: Canaries::choose(progress.order.id, names, view.old.len()),
            old: node.rollouts.old_side(&progress.order, &view),
            due: progress.due,
        };
        routings.insert(service.clone(), routing);
    }
    drop(table);
    let mut mixes = node.rollouts.mixes.borrow_mut();
    mixes.retain(|service, _| {
        routings
            .get(service)
            .is_some_and(|it| it.step == Step::Trial)
    });
    *node.rollouts.routings.borrow_mut() = routings;
}
