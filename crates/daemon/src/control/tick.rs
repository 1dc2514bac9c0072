//! The periodic work of the control plane, done four times a second.

use std::rc::Rc;

use ntex::time::{Millis, sleep};
use stoatstep_membership::{Input, MemberKey};

use super::{cold_start, gossip, poll, pull};
use crate::node::Node;

const INTERVAL: Millis = Millis(250);

pub(super) async fn run(node: Rc<Node>) {
    loop {
        tick(&node);
        sleep(INTERVAL).await;
    }
}

fn tick(node: &Rc<Node>) {
    announce_leave_once(node);
    gossip::handle_input(node, Input::Tick);
    let zone = members_of_zone(node);
    cold_start::tick(node, &zone);
    poll::tick(node, &zone);
    start_due_pull(node);
    node.control.end_resume_wait();
    // How many peers must have answered depends on the number of members, which may
    // have changed.
    node.control.put_in_force();
}

fn announce_leave_once(node: &Rc<Node>) {
    let control = &node.control;
    if node.draining.get() && !control.has_announced_leave.replace(true) {
        gossip::handle_input(node, Input::Leave);
    }
}

fn members_of_zone(node: &Rc<Node>) -> Vec<MemberKey> {
    let membership = node.control.membership.borrow();
    let zone = membership.table().in_zone(&node.cfg.zone);
    zone.map(|(key, _)| key).collect()
}

fn start_due_pull(node: &Rc<Node>) {
    let control = &node.control;
    let (config_id, needs_state) = {
        let replica = control.replica.borrow();
        (replica.config_id(), replica.needs_state())
    };
    let due = control
        .repair
        .borrow_mut()
        .tick(control.now(), config_id, needs_state);
    if let Some(due) = due {
        ntex::rt::spawn(pull::repair(Rc::clone(node), due));
    }
}
