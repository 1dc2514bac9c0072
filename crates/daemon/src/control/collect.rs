//! Where each version holds, asked for down the trees.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_distribution::{CollectReply, CollectRequest, Hold, Holdings};
use stoatstep_membership::MemberKey;

use super::client::{Message, ask};
use super::peer::COLLECT;
use super::traffic::Class;
use crate::node::Node;

/// Seed of the trees for this purpose. They stay the same from one status to
/// the next, while those of changes move.
const SEED: u64 = 0x7374_6174;

/// Time for the roots. Each level has a share less, so that a silent daemon far
/// down does not make those above it miss their own bound.
const ROOT_BOUND: Duration = Duration::from_millis(2400);

/// What a level takes off the bound.
const LEVEL_SHARE: Duration = Duration::from_millis(500);

/// Shortest bound, for the lowest level.
const LEAST_BOUND: Duration = Duration::from_millis(400);

/// Members asked directly because no tree reached them.
const MAX_STRAYS: usize = 32;

/// What the whole fleet holds, as far as it answers.
pub(super) async fn fleet(node: &Rc<Node>) -> Holdings {
    let view = node.control.view();
    let roots: Vec<MemberKey> = {
        let spread = node.control.spread.borrow();
        let trees = view.values().map(|members| spread.tree(SEED, members));
        trees.flat_map(|tree| tree.roots().to_vec()).collect()
    };
    let me = node.control.me();
    let mut targets = roots;
    targets.extend(children(node, me));
    let mut all = own(node);
    all.merge(gather(node, targets, true, ROOT_BOUND).await);
    let below: Vec<_> = all
        .silent
        .iter()
        .flat_map(|key| children(node, *key))
        .filter(|key| !all.silent.contains(key))
        .collect();
    all.merge(gather(node, below, true, ROOT_BOUND / 2).await);
    let missing = strays(node, &all);
    all.merge(gather(node, missing, false, LEAST_BOUND).await);
    all
}

/// Answers for this daemon and, if asked to, for those below it.
pub(super) async fn answer(node: &Rc<Node>, message: CollectRequest) -> CollectReply {
    let mut holdings = own(node);
    if message.below {
        let bound = Duration::from_millis(message.bound_ms.into()).min(ROOT_BOUND);
        let me = node.control.me();
        let below = children(node, me);
        let bound = bound.saturating_sub(LEVEL_SHARE);
        holdings.merge(gather(node, below, true, bound).await);
    }
    CollectReply { holdings }
}

/// What this daemon holds and refused.
fn own(node: &Node) -> Holdings {
    let control = &node.control;
    let me = control.me();
    let since = control.replica.borrow().since();
    let hold = Hold {
        member: me,
        since_unix_ms: control.unix_ms(since),
    };
    let version = control.in_force().state.version();
    let mut holdings = Holdings::of_one(version, hold);
    for row in control.quarantine() {
        holdings.record_refusal(row.version, row.reason.to_string(), me);
    }
    holdings
}

/// Asks all of these at the same time, and those below one that is known not to
/// answer in its place, so that a frozen daemon does not hold up the others.
async fn gather(
    node: &Rc<Node>,
    targets: Vec<MemberKey>,
    below: bool,
    bound: Duration,
) -> Holdings {
    let me = node.control.me();
    let mut all = Holdings::default();
    let mut tasks = Vec::new();
    let mut due = targets;
    while let Some(target) = due.pop() {
        if target == me {
            continue;
        }
        if below && is_unreached(node, target) {
            all.record_silent(target);
            due.extend(children(node, target));
            continue;
        }
        let task = one(Rc::clone(node), target, below, bound);
        tasks.push(ntex::rt::spawn(task));
    }
    for task in tasks {
        if let Ok(holdings) = task.await {
            all.merge(holdings);
        }
    }
    all
}

fn is_unreached(node: &Node, key: MemberKey) -> bool {
    let membership = node.control.membership.borrow();
    membership.table().get(key).is_some_and(|it| it.unreached)
}

async fn one(node: Rc<Node>, target: MemberKey, below: bool, bound: Duration) -> Holdings {
    let bound = bound.max(LEAST_BOUND);
    let bound_ms = u16::try_from(bound.as_millis()).unwrap_or(u16::MAX);
    let request = CollectRequest { below, bound_ms };
    let message = Message::new(COLLECT, Class::Configuration, &request);
    let Some(addr) = node.control.peer_addr(target) else {
        return Holdings::default();
    };
    let answer: Result<CollectReply, _> = ask(&node, addr, &message, bound).await;
    answer.map_or_else(
        |_| {
            let mut holdings = Holdings::default();
            holdings.record_silent(target);
            holdings
        },
        |reply| reply.holdings,
    )
}

fn children(node: &Node, parent: MemberKey) -> Vec<MemberKey> {
    let view = node.control.view();
    let spread = node.control.spread.borrow();
    let zone = view.values().find(|members| members.contains(&parent));
    zone.map_or_else(Vec::new, |members| {
        spread.tree(SEED, members).children(parent).to_vec()
    })
}

/// Members that nobody reported on: their parent was silent, or views differ.
fn strays(node: &Node, all: &Holdings) -> Vec<MemberKey> {
    let heard: std::collections::BTreeSet<_> = all.reporting_members().collect();
    let membership = node.control.membership.borrow();
    let present = membership.table().present().map(|(key, _)| key);
    present
        .filter(|key| !heard.contains(key) && !all.silent.contains(key))
        .take(MAX_STRAYS)
        .collect()
}
