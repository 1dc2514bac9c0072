//! Periodic reads of the head of the platform's version log.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_distribution::PollOutcome;
use stoatstep_membership::{Input, MemberKey};
use stoatstep_versionlog::Head;

use super::warning::warn;
use super::{gossip, platform, pull};
use crate::node::Node;

/// Age above which an answer is ignored: somewhat more than the platform client waits
/// for one.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(4);

pub(super) fn tick(node: &Rc<Node>, zone: &[MemberKey]) {
    let control = &node.control;
    if !control.cold_start.borrow().is_done() {
        return;
    }
    let now = control.now();
    let (me, fleet, head_age) = {
        let membership = control.membership.borrow();
        let fleet = membership.table().present().count();
        (membership.me(), fleet, membership.head_age(now))
    };
    let mut poller = control.poller.borrow_mut();
    if poller.tick(now, me, zone, fleet, head_age) {
        ntex::rt::spawn(poll(Rc::clone(node)));
    }
}

async fn poll(node: Rc<Node>) {
    let asked = node.control.now();
    let head = platform::version_log(&node).head().await;
    let outcome = match &head {
        Ok(_) => PollOutcome::Read,
        Err(_) => PollOutcome::Failed,
    };
    node.control.poller.borrow_mut().record_outcome(outcome);
    match head {
        // The answer waited in the socket while the process was suspended, and is
        // outdated.
        Ok(_) if node.control.now() > asked + MAX_ANSWER_AGE => {}
        Ok(head) => {
            record_head(&node, &head);
            if head.version > node.control.replica.borrow().version() {
                pull::from_platform(&node, false).await;
            }
        }
        Err(err) => warn(&node, "head not read", &err),
    }
}

/// Records the newest version according to the platform.
pub(super) fn record_head(node: &Rc<Node>, head: &Head) {
    let mut replica = node.control.replica.borrow_mut();
    replica.record_head(head.version, head.digest);
    replica.resolve_fork(head.version, head.digest);
    drop(replica);
    let mut serving = node.control.serving.borrow_mut();
    serving.platform_answered(head.version);
    drop(serving);
    gossip::handle_input(node, Input::HeadRead);
}
