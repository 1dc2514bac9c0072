//! Asking targets of the own zone how occupied they are, beside calls.
//!
//! The answers are for the calls that come next, so that no call waits for them.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::Among;
use stoatstep_resource::{ServiceName, UpstreamName};

use super::Tables;
use crate::fleet::TargetLocation;
use crate::mechanism::Mechanism;
use crate::node::Node;
use crate::wire::{Ask, Reply};

/// Targets asked beside each call. At 17 calls a second and entry some five words are fresh
/// at any time, which are compared for the next call.
const PROBES: usize = 3;

/// Time for an answer. One that comes later says nothing new.
const ANSWER_BOUND: Duration = Duration::from_millis(100);

/// Asks a few targets of the service.
pub(super) fn ask(node: &Rc<Node>, service: &ServiceName, among: Among<'_>) {
    if !node.cfg.is_enabled(Mechanism::LoadProbes) {
        return;
    }
    let now = node.clock.now();
    let mut tables = node.entry.tables.borrow_mut();
    let Tables { placement, rng, .. } = &mut *tables;
    let targets = placement.to_ask(service, among, PROBES, now, rng);
    drop(tables);
    for target in targets {
        let (node, service) = (Rc::clone(node), service.clone());
        ntex::rt::spawn(async move { ask_one(&node, &service, &target).await });
    }
}

async fn ask_one(node: &Rc<Node>, service: &ServiceName, target: &UpstreamName) {
    let occupancy = match node.fleet.target_location(target) {
        // Answers of the own target do not leave the instance.
        Some(TargetLocation::Local) => node.executor.occupancy(),
        Some(TargetLocation::Remote(addr)) => {
            let asked = node.links.ask_within(addr, Ask::Occupancy, ANSWER_BOUND);
            match asked.await {
                Ok(Reply::Occupancy(occupancy)) => occupancy,
                Ok(_) | Err(_) => return,
            }
        }
        None => return,
    };
    let now = node.clock.now();
    let placement = &mut node.entry.tables.borrow_mut().placement;
    placement.told(service, target, occupancy, now);
}
