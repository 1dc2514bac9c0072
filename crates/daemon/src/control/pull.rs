//! Pulling what pushes did not bring, and giving others what they lack.

use std::rc::Rc;
use std::time::Duration;

use stoatstep_distribution::{LogReply, LogRequest, LogTail, OfferOutcome, Pull, PullSource};
use stoatstep_membership::MemberKey;
use stoatstep_resource::Version;
use stoatstep_resource::wire::{DeltaWire, SnapshotWire};

use super::client::{Message, ask};
use super::peer::LOG;
use super::traffic::Class;
use super::warning::warn;
use super::{platform, poll, push};
use crate::node::Node;

/// Time for a log's tail or a whole state.
const BOUND: Duration = Duration::from_secs(3);

/// Deltas in one answer; beyond it the whole state is smaller in most cases.
const MAX_DELTAS: usize = 64;

/// Versions found at the platform at once that are pushed to the zone.
const MAX_PASSED_ON: usize = 8;

/// Whether a pull brought what it was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// Something came into force, or nothing newer was there.
    Good,
    /// No answer, or one that was refused.
    Failed,
}

/// Answers a daemon that lacks versions.
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

/// Does the pull that is due and tells the machine how it went.
pub(super) async fn repair(node: Rc<Node>, pull: Pull) {
    let outcome = match pull.source {
        PullSource::Peer(peer) => from_peer(&node, peer, pull.whole).await,
        PullSource::Platform => from_platform(&node, pull.whole).await,
    };
    node.metrics.count("control.pulls", 1);
    let mut repair = node.control.repair.borrow_mut();
    match outcome {
        Outcome::Good => repair.succeeded(),
        Outcome::Failed => repair.failed(node.control.now()),
    }
}

/// Pulls from one peer.
pub(super) async fn from_peer(node: &Rc<Node>, peer: MemberKey, whole: bool) -> Outcome {
    let Some(addr) = node.control.peer_addr(peer) else {
        return Outcome::Failed;
    };
    let held = node.control.replica.borrow().config_id();
    let message = Message::new(LOG, Class::Configuration, &LogRequest { held, whole });
    let answer: Result<LogReply, _> = ask(node, addr, &message, BOUND).await;
    let Ok(tail) = answer.map(LogTail::try_from) else {
        return Outcome::Failed;
    };
    match tail {
        Ok(tail) => take(node, tail),
        Err(err) => {
            slog::error!(node.log, "a peer's state is broken"; "error" => %err);
            Outcome::Failed
        }
    }
}

/// Reads what is newer from the platform, and passes single versions on to the
/// zone.
pub(super) async fn from_platform(node: &Rc<Node>, whole: bool) -> Outcome {
    let held = node.control.replica.borrow().version();
    match platform::read_after(node, held, whole).await {
        Ok(newer) => {
            poll::learn(node, &newer.head);
            let outcome = take(node, newer.tail);
            pass_on(node, held);
            outcome
        }
        Err(err) => {
            warn(node, "state not read from the platform", &err);
            Outcome::Failed
        }
    }
}

fn pass_on(node: &Rc<Node>, after: Version) {
    if after == 0 {
        return;
    }
    let deltas = node.control.deltas_after(after).unwrap_or_default();
    // After a long cut the whole zone is far behind, and all of it sees so in
    // exchanges. One pull each is then less than a push for each version.
    if deltas.len() <= MAX_PASSED_ON {
        push::found(node, &deltas);
    }
}

fn take(node: &Rc<Node>, tail: LogTail) -> Outcome {
    let outcome = node.control.offer(|replica, now| match tail {
        LogTail::Nothing(_) => OfferOutcome::AlreadyHeld,
        LogTail::Deltas(deltas) => replica.offer_deltas(now, deltas),
        LogTail::Snapshot(state) => replica.offer_state(now, state),
    });
    match outcome {
        OfferOutcome::Refused(row) => {
            slog::error!(node.log, "refused a version";
                "version" => row.version, "reason" => %row.reason);
            Outcome::Failed
        }
        _ => Outcome::Good,
    }
}
