//! Pulls versions that were not pushed to this daemon, and answers the pulls of
//! others.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_distribution::{LogReply, LogRequest, LogTail, OfferOutcome, Pull, PullSource};
use stoatstep_membership::MemberKey;
use stoatstep_resource::Version;
use stoatstep_resource::wire::{DeltaWire, SnapshotWire};

use super::client::{Message, send_request};
use super::peer::LOG;
use super::traffic::Class;
use super::warning::warn;
use super::{platform, poll, push};
use crate::node::Node;

/// Timeout of a pull from a peer, whether it returns deltas or a whole state.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of deltas in one answer; beyond it the whole state is smaller in
/// most cases.
const MAX_DELTAS: usize = 64;

/// Maximum number of versions from one read of the platform that are pushed to the
/// zone.
const MAX_PUSHED: usize = 8;

/// Whether a pull succeeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PullOutcome {
    /// A newer version was applied, or there was none.
    Succeeded,
    /// There was no answer, or its content was refused.
    Failed,
}

/// Answers a peer's pull with the versions that it lacks.
pub(super) async fn answer(node: &Rc<Node>, message: LogRequest) -> LogReply {
    let replica = node.control.replica.borrow();
    let mine = replica.config_id();
    if message.held.version >= mine.version {
        return LogReply::Nothing(mine);
    }
    let tail = replica.deltas_after(message.held.version);
    match tail.filter(|it| !message.whole && it.len() <= MAX_DELTAS) {
        Some(deltas) => {
            let deltas = deltas.iter().map(|it| DeltaWire::from(it.as_ref()));
            LogReply::Deltas(deltas.collect())
        }
        None => LogReply::Snapshot(SnapshotWire::from(replica.state().as_ref())),
    }
}

/// Performs a pull that is due and reports its outcome to the repair state machine.
pub(super) async fn repair(node: Rc<Node>, pull: Pull) {
    let outcome = match pull.source {
        PullSource::Peer(peer) => from_peer(&node, peer, pull.whole).await,
        PullSource::Platform => from_platform(&node, pull.whole).await,
    };
    node.metrics.count("control.pulls", 1);
    let mut repair = node.control.repair.borrow_mut();
    match outcome {
        PullOutcome::Succeeded => repair.succeeded(),
        PullOutcome::Failed => repair.failed(node.control.now()),
    }
}

/// Pulls newer versions from one peer.
pub(super) async fn from_peer(node: &Rc<Node>, peer: MemberKey, whole: bool) -> PullOutcome {
    let Some(addr) = node.control.peer_addr(peer) else {
        return PullOutcome::Failed;
    };
    let held = node.control.replica.borrow().config_id();
    let message = Message::new(LOG, Class::Configuration, &LogRequest { held, whole });
    let answer: Result<LogReply, _> = send_request(node, addr, &message, PULL_TIMEOUT).await;
    let Ok(tail) = answer.map(LogTail::try_from) else {
        return PullOutcome::Failed;
    };
    match tail {
        Ok(tail) => offer_tail(node, tail),
        Err(err) => {
            slog::error!(node.log, "a peer sent an invalid state"; "error" => %err);
            PullOutcome::Failed
        }
    }
}

/// Reads newer versions from the platform and, if there are only a few, pushes them
/// to the zone.
pub(super) async fn from_platform(node: &Rc<Node>, whole: bool) -> PullOutcome {
    let held = node.control.replica.borrow().version();
    match platform::read_after(node, held, whole).await {
        Ok(newer) => {
            poll::record_head(node, &newer.head);
            let outcome = offer_tail(node, newer.tail);
            push_to_zone(node, held);
            outcome
        }
        Err(err) => {
            warn(node, "state not read from the platform", &err);
            PullOutcome::Failed
        }
    }
}

fn push_to_zone(node: &Rc<Node>, after: Version) {
    if after == 0 {
        return;
    }
    let deltas = node.control.deltas_after(after).unwrap_or_default();
    // After a long loss of the connection the whole zone is far behind, and every
    // member notices it in gossip exchanges. One pull by each member then costs less
    // than a push of each version.
    if deltas.len() <= MAX_PUSHED {
        push::push_found(node, &deltas);
    }
}

fn offer_tail(node: &Rc<Node>, tail: LogTail) -> PullOutcome {
    let outcome = node.control.offer(|replica, now| match tail {
        LogTail::Nothing(_) => OfferOutcome::AlreadyHeld,
        LogTail::Deltas(deltas) => replica.offer_deltas(now, deltas),
        LogTail::Snapshot(state) => replica.offer_state(now, state),
    });
    match outcome {
        OfferOutcome::Refused(row) => {
            slog::error!(node.log, "refused a version";
                "version" => row.version, "reason" => %row.reason);
            PullOutcome::Failed
        }
        _ => PullOutcome::Succeeded,
    }
}
