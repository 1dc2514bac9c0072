//! Collects evidence about targets from the daemons of a service.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use stoatstep_rollout::{Evidence, Order, OrderId};

use super::view::Peer;
use crate::node::Node;
use crate::wire::{Ask, Reply};

/// Timeout of a request. An evaluation waits for the slowest answer, and a bad version has to be
/// detected within a second or two.
const ANSWER_BOUND: Duration = Duration::from_millis(300);

/// This daemon's evidence about its own target since the order.
pub(crate) fn of_target(node: &Node, service: &str, order: OrderId) -> Evidence {
    node.executor.evidence(service, order, node.clock.now())
}

/// The evidence of these daemons; those that do not answer are left out.
pub(super) async fn ask(node: &Rc<Node>, order: &Order, peers: &[Peer]) -> Vec<Evidence> {
    let asked = peers.iter().map(|peer| ask_one(node, order, peer));
    join_all(asked).await.into_iter().flatten().collect()
}

async fn ask_one(node: &Rc<Node>, order: &Order, peer: &Peer) -> Option<Evidence> {
    if peer.upstream == node.executor.upstream()? {
        return Some(of_target(node, &order.service, order.id));
    }
    let ask = Ask::Evidence(order.service.clone(), order.id);
    match node.links.ask_within(peer.addr, ask, ANSWER_BOUND).await {
        Ok(Reply::Evidence(evidence)) => Some(evidence),
        Ok(_) | Err(_) => None,
    }
}
