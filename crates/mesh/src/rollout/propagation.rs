//! Distribution of roll-out progress.

use std::rc::Rc;

use stoatstep_rollout::Progress;

use super::Source;
use super::view::View;
use crate::fleet::gossip;
use crate::node::Node;
use crate::wire::Ask;

/// Sends progress to the daemons that need it soon. The others receive it in the regular exchanges.
///
/// A step that halts the new side has to reach its daemons within a second, since each one that
/// does not know of it keeps running at the previous step. The daemon that decided therefore
/// notifies them directly, in addition to the messages through the followers of each zone, any of
/// which may be gone.
pub(super) fn propagate(node: &Rc<Node>, progress: &Progress, source: Source) {
    let message = Ask::Rollout(progress.clone());
    match source {
        Source::Host | Source::Own => gossip::notify_fleet(node, &message),
        Source::Peer => gossip::relay(node, &message),
    }
    if source == Source::Own {
        let view = View::of(node, &progress.order.service, &progress.order.target);
        let new = view.new.into_iter().map(|it| (it.key, it.addr));
        gossip::notify(node, new.collect(), &message);
    }
}
