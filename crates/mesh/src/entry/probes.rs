//! Load probes: asks executors of the same zone for their occupancy when a call is placed.
//!
//! The replies serve the calls that follow, so no call waits for them.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::TargetFilter;
use stoatstep_resource::{ServiceName, UpstreamName};

use super::Tables;
use crate::fleet::TargetLocation;
use crate::mechanism::Mechanism;
use crate::node::Node;
use crate::wire::{Ask, Reply};

/// Targets probed for each attempt. At 17 calls a second per entry, some five replies are
/// fresh at any time and are compared for the next call.
const PROBES_PER_ATTEMPT: usize = 3;

/// Time limit for a reply. A later one is out of date.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// Sends probes to a few targets of the service without waiting for their replies.
pub(super) fn send(node: &Rc<Node>, service: &ServiceName, among: TargetFilter<'_>) {
    if !node.cfg.is_enabled(Mechanism::LoadProbes) {
        return;
    }
    let now = node.clock.now();
    let mut tables = node.entry.tables.borrow_mut();
    let Tables { placement, rng, .. } = &mut *tables;
    let targets = placement.select_probes(service, among, PROBES_PER_ATTEMPT, now, rng);
    drop(tables);
    for target in targets {
        let (node, service) = (Rc::clone(node), service.clone());
        ntex::rt::spawn(async move { probe(&node, &service, &target).await });
    }
}

async fn probe(node: &Rc<Node>, service: &ServiceName, target: &UpstreamName) {
    let occupancy = match node.fleet.target_location(target) {
        // Answers of the local target are not sent over the uplink, so its load is left out.
        Some(TargetLocation::Local) => node.executor.occupancy(node.clock.now()),
        Some(TargetLocation::Remote(addr)) => {
            let asked = node.links.ask_within(addr, Ask::Occupancy, REPLY_TIMEOUT);
            match asked.await {
                Ok(Reply::Occupancy(occupancy)) => occupancy,
                Ok(_) | Err(_) => return,
            }
        }
        None => return,
    };
    let now = node.clock.now();
    let placement = &mut node.entry.tables.borrow_mut().placement;
    placement.record_occupancy(service, target, occupancy, now);
}
