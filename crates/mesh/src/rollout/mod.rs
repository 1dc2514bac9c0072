//! Roll-outs, as one daemon takes part in them. What is decided is in
//! `stoatstep-rollout`.

mod evidence;
mod judge;
mod newcomers;
mod settle;
mod spread;
mod view;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::Time;
use stoatstep_resource::ServiceName;
use stoatstep_rollout::{
    Canaries, Change, Order, Progress, ProgressTable, RolloutRouting, RouteMix, Side, Step,
};
use stoatstep_telemetry::fields;

use crate::clock::unix_time;
use crate::host::{RolloutNews, RolloutStatus};
use crate::node::Node;
use crate::wire::CallParts;

pub(crate) use evidence::of_target as evidence;
pub(crate) use judge::run;
pub(crate) use newcomers::Newcomers;
use view::View;

/// Time without word of the other targets from which the daemon beside one that is tried
/// holds it back. A daemon that is cut off does not hear that the version is bad, and its
/// entries neither.
const LONELY_AFTER: Duration = Duration::from_secs(2);

/// What a daemon knows of roll-outs, and what follows for calls.
#[derive(Default)]
pub(crate) struct Rollouts {
    book: RefCell<ProgressTable>,
    lanes: RefCell<HashMap<ServiceName, RolloutRouting>>,
    /// Calls by route of the services that are under a roll-out.
    mixes: RefCell<HashMap<ServiceName, RouteMix>>,
    /// When a judge last had word of other targets of its service.
    in_touch: Cell<Option<Time>>,
    /// A question to the host goes on.
    is_settling: Cell<bool>,
}

impl Rollouts {
    /// What peers are told in the regular exchanges.
    pub(crate) fn news(&self, now: Time) -> Vec<Progress> {
        self.book.borrow().gossip(now)
    }

    /// What a peer is told that has just started.
    pub(crate) fn all(&self) -> Vec<Progress> {
        self.book.borrow().all()
    }

    /// The side of a call, where its service is under a roll-out, with how the service's
    /// calls are divided.
    pub(crate) fn divide(&self, call: &CallParts, draw: u32) -> Option<(RolloutRouting, Side)> {
        let lane = self.lanes.borrow().get(&call.service)?.clone();
        let weight = match lane.step {
            Step::Trial => {
                let mut mixes = self.mixes.borrow_mut();
                let mix = mixes.entry(call.service.clone()).or_default();
                mix.record_call(&call.route)
            }
            _ => 1.0,
        };
        let draw = f64::from(draw) / f64::from(u32::MAX);
        let side = lane.side(draw, weight, unix_time());
        Some((lane, side))
    }

    /// Whether the daemon's own target may run a call.
    pub(crate) fn admits(&self, service: &str, software: &str, upstream: &str, now: Time) -> bool {
        let lanes = self.lanes.borrow();
        let Some(lane) = lanes.get(service) else {
            return true;
        };
        let is_on_trial = software == lane.target && matches!(lane.step, Step::Trial | Step::Load);
        let is_lonely = self
            .in_touch
            .get()
            .is_some_and(|at| now.saturating_sub(at) > LONELY_AFTER);
        lane.admits(software, upstream) && !(is_on_trial && is_lonely)
    }

    /// Whether an order for the service is known.
    pub(crate) fn is_ordered(&self, service: &str) -> bool {
        self.book.borrow().get(service).is_some()
    }

    /// Whether a roll-out of the service goes on, so that answers of its targets count.
    pub(crate) fn is_judged(&self, service: &str) -> bool {
        let lanes = self.lanes.borrow();
        let lane = lanes.get(service);
        lane.is_some_and(|it| matches!(it.step, Step::Trial | Step::Load | Step::All))
    }
}

/// Who said how far a roll-out has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// The host, or its answer to this daemon.
    Host,
    /// This daemon itself.
    Own,
    /// A peer.
    Peer,
}

/// Takes in what the host says of orders. `age` is the longest time for which an order
/// that came without a status may have been waiting.
pub(crate) fn hear_host(node: &Rc<Node>, news: Vec<RolloutNews>, age: Duration) {
    for news in news {
        match news {
            RolloutNews::Ordered { order, status } => {
                hear(node, &progress_of(order, status, age), Source::Host);
            }
            RolloutNews::Withdrawn(service) => withdrawn(node, &service),
        }
    }
}

/// A status that is of an earlier order says nothing of this one.
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

fn withdrawn(node: &Rc<Node>, service: &str) {
    let known = node.rollouts.book.borrow().get(service).cloned();
    if let Some(known) = known.filter(|it| !it.step.is_final()) {
        slog::info!(node.log, "roll-out withdrawn"; fields::SERVICE => service,
            fields::ORDER => known.order.id, fields::STEP => known.step.as_str());
        hear(node, &known.with_step(Step::Halted), Source::Own);
    }
}

/// Takes in how far a roll-out has come, and passes on what is news.
pub(crate) fn hear(node: &Rc<Node>, progress: &Progress, source: Source) {
    let now = node.clock.now();
    let change = node.rollouts.book.borrow_mut().apply(progress.clone(), now);
    let Change::Updated { from } = change else {
        return;
    };
    let order = &progress.order;
    slog::info!(node.log, "roll-out moved";
        fields::SERVICE => %order.service, fields::ORDER => order.id, fields::SOFTWARE => %order.target,
        fields::STEP => progress.step.as_str(), fields::BEFORE_STEP => from.map_or("", Step::as_str),
        fields::SOURCE => ?source,
        fields::LEFT_MS => progress.due.saturating_sub(unix_time()).as_millis());
    node.journal
        .count(&format!("rollouts.{}", progress.step.as_str()));
    node.executor.begin_tally(&order.service, order.id);
    rebuild(node);
    spread::pass_on(node, progress, source);
}

/// Brings the lanes up to date with the book and with membership.
pub(crate) fn rebuild(node: &Node) {
    let now = node.clock.now();
    let book = node.rollouts.book.borrow();
    let mut lanes = HashMap::new();
    for progress in book.all() {
        let service = &progress.order.service;
        let Some((step, target)) = book.effective_step(service, now) else {
            continue;
        };
        let view = View::of(node, service, target);
        let names = view.new.iter().map(|it| it.upstream.clone());
        let lane = RolloutRouting {
            target: target.clone(),
            step,
            canaries: Canaries::choose(progress.order.id, names, view.old.len()),
            old: view.old_known,
            due: progress.due,
        };
        lanes.insert(service.clone(), lane);
    }
    drop(book);
    let mut mixes = node.rollouts.mixes.borrow_mut();
    mixes.retain(|service, _| lanes.get(service).is_some_and(|it| it.step == Step::Trial));
    *node.rollouts.lanes.borrow_mut() = lanes;
}
