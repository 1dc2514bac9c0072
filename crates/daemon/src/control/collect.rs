//! Collects over the trees which version is in force on each instance of the fleet.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_distribution::{CollectReply, CollectRequest, Holdings, VersionInUse};
use stoatstep_membership::MemberKey;

use super::client::{Message, send_request};
use super::peer::COLLECT;
use super::traffic::Class;
use crate::node::Node;

/// Seed of the trees used here. They stay the same for every status, whereas the
/// trees that distribute changes differ by version.
const TREE_SEED: u64 = 0x7374_6174;

/// Timeout of a request to a root. Each level below has a shorter one, so that a silent
/// daemon deep in the tree does not make those above it miss their own timeout.
const ROOT_TIMEOUT: Duration = Duration::from_millis(2400);

/// Difference between the timeouts of two adjacent levels.
const LEVEL_REDUCTION: Duration = Duration::from_millis(500);

/// Shortest timeout, for the lowest level.
const MIN_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of members asked directly because no tree reached them.
const MAX_UNREPORTED: usize = 32;

/// Collects the holdings of the whole fleet, as far as its members answer.
pub(super) async fn fleet(node: &Rc<Node>) -> Holdings {
    let zone_members = node.control.zone_members();
    let roots: Vec<MemberKey> = {
        let spread = node.control.spread.borrow();
        let trees = zone_members
            .values()
            .map(|members| spread.tree(TREE_SEED, members));
        trees.flat_map(|tree| tree.roots().to_vec()).collect()
    };
    let me = node.control.me();
    let mut targets = roots;
    targets.extend(children(node, me));
    let mut all = own_holdings(node);
    all.merge(gather(node, targets, true, ROOT_TIMEOUT).await);
    let below: Vec<_> = all
        .silent
        .iter()
        .flat_map(|key| children(node, *key))
        .filter(|key| !all.silent.contains(key))
        .collect();
    all.merge(gather(node, below, true, ROOT_TIMEOUT / 2).await);
    let missing = unreported(node, &all);
    all.merge(gather(node, missing, false, MIN_TIMEOUT).await);
    all
}

/// Answers for this daemon and, if requested, for those below it in the tree.
pub(super) async fn answer(node: &Rc<Node>, message: CollectRequest) -> CollectReply {
    let mut holdings = own_holdings(node);
    if message.below {
        let timeout = Duration::from_millis(message.bound_ms.into()).min(ROOT_TIMEOUT);
        let me = node.control.me();
        let below = children(node, me);
        let timeout = timeout.saturating_sub(LEVEL_REDUCTION);
        holdings.merge(gather(node, below, true, timeout).await);
    }
    CollectReply { holdings }
}

/// Returns the version in force on this daemon and the versions it refused.
fn own_holdings(node: &Node) -> Holdings {
    let control = &node.control;
    let me = control.me();
    let since = control.replica.borrow().since();
    let hold = VersionInUse {
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

/// Asks all targets concurrently. If a target is known not to answer, its children are
/// asked instead, so that a suspended daemon does not delay the others.
async fn gather(
    node: &Rc<Node>,
    targets: Vec<MemberKey>,
    below: bool,
    timeout: Duration,
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
        let task = collect_from(Rc::clone(node), target, below, timeout);
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

async fn collect_from(
    node: Rc<Node>,
    target: MemberKey,
    below: bool,
    timeout: Duration,
) -> Holdings {
    let timeout = timeout.max(MIN_TIMEOUT);
    let bound_ms = u16::try_from(timeout.as_millis()).unwrap_or(u16::MAX);
    let request = CollectRequest { below, bound_ms };
    let message = Message::new(COLLECT, Class::Configuration, &request);
    let Some(addr) = node.control.peer_addr(target) else {
        return Holdings::default();
    };
    let answer: Result<CollectReply, _> = send_request(&node, addr, &message, timeout).await;
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
    let zone_members = node.control.zone_members();
    let spread = node.control.spread.borrow();
    let zone = zone_members
        .values()
        .find(|members| members.contains(&parent));
    zone.map_or_else(Vec::new, |members| {
        spread.tree(TREE_SEED, members).children(parent).to_vec()
    })
}

/// Returns members that no answer covered, because their parent was silent or because
/// daemons see different sets of members.
fn unreported(node: &Node, all: &Holdings) -> Vec<MemberKey> {
    let reported: std::collections::BTreeSet<_> = all.reporting_members().collect();
    let membership = node.control.membership.borrow();
    let present = membership.table().present().map(|(key, _)| key);
    present
        .filter(|key| !reported.contains(key) && !all.silent.contains(key))
        .take(MAX_UNREPORTED)
        .collect()
}
