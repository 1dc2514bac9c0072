//! The configuration: from the host, and from peers where the host is away.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use stoatstep_distribution::Mark;
use stoatstep_membership::Input;
use stoatstep_resource::State;
use stoatstep_resource::wire::SnapshotWire;
use tokio::time::timeout;

use super::gossip;
use crate::host::{Cursor, Host, HostError, Update};
use crate::in_force::InForce;
use crate::node::Node;
use crate::wire::{Ask, Reply};

/// Longest wait for a change. The host's answer to an idle wait costs a call,
/// and a lost connection is found sooner by its keep-alive and by peers.
const WAIT: Duration = Duration::from_secs(20);

/// Time for an answer beyond the wait.
const ANSWER_BOUND: Duration = Duration::from_secs(2);

/// Pause after a change. Changes in quick succession are then fetched a few at a
/// time, and still come into force well within two seconds.
const GAP: Duration = Duration::from_millis(500);

/// First pause after a failure; it doubles up to the longest one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Head start of the host's own answer over a pull from a peer.
const PULL_AFTER: Duration = Duration::from_millis(400);

/// Time for a whole state from a peer.
const PULL_BOUND: Duration = Duration::from_secs(2);

/// Follows the host's configuration until the process ends.
pub(crate) async fn run<H: Host>(node: Rc<Node>, host: Rc<H>) {
    let mut cursor = None;
    let mut pause = FIRST_PAUSE;
    loop {
        let asked = tokio::select! {
            asked = ask(&*host, cursor) => asked,
            // Changes were missed, and the connection may be gone.
            () = node.fleet.woke.notified() => Err(HostError::HistoryLost),
        };
        match asked {
            Ok(update) => {
                cursor = Some(update.cursor);
                pause = FIRST_PAUSE;
                if let Some(state) = update.state {
                    offer(&node, state, "host");
                    tokio::time::sleep(GAP).await;
                }
            }
            Err(HostError::HistoryLost) => cursor = None,
            Err(err) => {
                slog::warn!(node.log, "configuration not read"; "error" => %err);
                if matches!(err, HostError::Malformed(_)) {
                    cursor = None;
                }
                let share = rand::rng().random_range(0.5..1.5);
                tokio::time::sleep(pause.mul_f64(share)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

async fn ask<H: Host>(host: &H, cursor: Option<Cursor>) -> Result<Update, HostError> {
    let asked = match cursor {
        None => timeout(ANSWER_BOUND, host.configuration()).await,
        Some(cursor) => timeout(WAIT + ANSWER_BOUND, host.changed(cursor, WAIT)).await,
    };
    asked.unwrap_or_else(|_| Err(HostError::Unavailable("no answer in time".into())))
}

/// Puts a state in force if it is newer than the one that is, and whole. Going
/// back would show callers a route that was removed.
fn offer(node: &Rc<Node>, state: State, source: &'static str) {
    let held = node.fleet.in_force().map_or(0, |it| it.version());
    let version = state.version();
    if version <= held {
        return;
    }
    if let Err(err) = state.check_references() {
        slog::error!(node.log, "configuration refused";
            "version" => version, "held" => held, "source" => source, "error" => %err);
        return;
    }
    let in_force = InForce::new(state);
    let mark = in_force.mark;
    *node.fleet.in_force.borrow_mut() = Some(Rc::new(in_force));
    slog::info!(node.log, "configuration in force";
        "version" => version, "before" => held, "source" => source);
    gossip::input(node, Input::Holds(mark));
}

/// The configuration for a peer that holds an older one.
pub(crate) fn newer_than(node: &Node, theirs: Mark) -> Option<SnapshotWire> {
    let held = node.fleet.in_force()?;
    (held.version() > theirs.version).then(|| SnapshotWire::from(&*held.state))
}

/// A peer said what it holds. Where it is newer, the host has most likely told
/// this daemon as well; if it can't, the peer is asked.
pub(crate) fn peer_holds(node: &Rc<Node>, addr: SocketAddr, theirs: Mark) {
    if theirs.version <= held(node).version || node.fleet.is_pulling.replace(true) {
        return;
    }
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        if node.fleet.in_force().is_some() {
            tokio::time::sleep(PULL_AFTER).await;
        }
        if theirs.version > held(&node).version {
            pull(&node, addr).await;
        }
        node.fleet.is_pulling.set(false);
    });
}

fn held(node: &Node) -> Mark {
    node.fleet.in_force().map(|it| it.mark).unwrap_or_default()
}

async fn pull(node: &Rc<Node>, addr: SocketAddr) {
    let ask = Ask::Newer(held(node));
    let reply = node.links.ask_within(addr, ask, PULL_BOUND).await;
    let Ok(Reply::Newer(Some(snapshot))) = reply else {
        return;
    };
    match State::try_from(snapshot) {
        Ok(state) => offer(node, state, "peer"),
        Err(err) => slog::error!(node.log, "a peer's configuration is broken"; "error" => %err),
    }
}
