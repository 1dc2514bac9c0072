//! Versions of the configuration: the one in force, and how peers get it from each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use stoatstep_distribution::ConfigId;
use stoatstep_membership::{Input, MemberKey};
use stoatstep_resource::State;
use stoatstep_telemetry::fields;

use super::packed::{self, Packed};
use super::{gossip, role};
use crate::executor;
use crate::in_force::InForce;
use crate::link::LinkError;
use crate::node::Node;
use crate::wire::{Ask, Newer, Reply};

/// Head start of the host's own answer, and of peers in the own zone, over a pull
/// from a peer in another zone: bytes between zones are dear.
const PULL_AFTER: Duration = Duration::from_millis(800);

/// Former states kept for peers that are a little behind. More than the versions
/// that come in quick succession between two looks of a peer.
const FORMER: usize = 8;

/// Time for a state from a peer.
const PULL_BOUND: Duration = Duration::from_secs(2);

/// Who a configuration came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    Host,
    Peer,
}

/// Puts a state in force if it is newer than the one that is, and whole. Going
/// back would show callers a route that was removed. Returns whether it did.
pub(super) fn offer(node: &Rc<Node>, state: State, source: Source) -> bool {
    let held = held(node).version;
    let version = state.version();
    if version <= held {
        return false;
    }
    if let Err(err) = state.check_references() {
        slog::error!(node.log, "configuration refused";
            fields::VERSION => version, fields::HELD => held, fields::SOURCE => ?source, fields::ERROR => %err);
        return false;
    }
    let mark = replace(node, state);
    slog::info!(node.log, "configuration in force";
        fields::VERSION => version, fields::BEFORE => held, fields::SOURCE => ?source);
    gossip::input(node, Input::ConfigChanged(mark));
    tell(node, source);
    // The first configuration names the path at which targets are asked.
    executor::ask_target(node);
    true
}

/// Passes word of a new version on. One that follows the host for its zone does so too
/// where it had the version from a peer: the host may have turned it away.
fn tell(node: &Rc<Node>, source: Source) {
    match source {
        Source::Host => {
            gossip::tell_zone(node);
            gossip::tell_other_zones(node);
        }
        Source::Peer if role::hears_for_zone(node) => gossip::tell_zone(node),
        Source::Peer => {}
    }
}

/// Puts a state in force and keeps the one before for peers that still hold it.
fn replace(node: &Node, state: State) -> ConfigId {
    let before = node.fleet.in_force();
    let state = match &before {
        Some(before) => state.sharing(&before.state),
        None => state,
    };
    let in_force = InForce::new(state);
    let mark = in_force.mark;
    *node.fleet.in_force.borrow_mut() = Some(Rc::new(in_force));
    if let Some(before) = before {
        let mut former = node.fleet.former.borrow_mut();
        former.push_back((before.mark, Arc::clone(&before.state)));
        if former.len() > FORMER {
            former.pop_front();
        }
    }
    mark
}

/// The configuration for a peer that holds an older one.
pub(crate) fn newer_than(node: &Node, theirs: ConfigId) -> Newer {
    let Some(held) = node.fleet.in_force() else {
        return Newer::Nothing;
    };
    if held.version() <= theirs.version {
        return Newer::Nothing;
    }
    if let Some(bytes) = kept(node, theirs, held.mark) {
        return Newer::Packed(bytes);
    }
    let newer = packed::pack(leading_to(node, theirs, &held));
    if let Newer::Packed(bytes) = &newer {
        let packed = Packed {
            from: theirs,
            to: held.mark,
            bytes: bytes.clone(),
        };
        node.fleet.packed.replace(Some(packed));
    }
    newer
}

/// What was packed for another peer that asked for the same.
fn kept(node: &Node, from: ConfigId, to: ConfigId) -> Option<Bytes> {
    let packed = node.fleet.packed.borrow();
    let packed = packed.as_ref();
    let packed = packed.filter(|it| it.from == from && it.to == to);
    packed.map(|it| it.bytes.clone())
}

fn leading_to(node: &Node, theirs: ConfigId, held: &InForce) -> Newer {
    let former = node.fleet.former.borrow();
    match former.iter().find(|(mark, _)| *mark == theirs) {
        Some((_, state)) => Newer::Difference((&state.difference(&held.state)).into()),
        None => Newer::Whole((&*held.state).into()),
    }
}

/// A peer said what it holds. Where it is newer, the peer is asked: at once if it
/// is of the own zone, and otherwise only if nobody nearer has told in a while.
pub(crate) fn peer_holds(node: &Rc<Node>, peer: MemberKey, addr: SocketAddr, theirs: ConfigId) {
    if theirs.version <= held(node).version || node.fleet.is_pulling.get() {
        return;
    }
    let is_near = node.fleet.is_in_own_zone(peer);
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        if !is_near && node.fleet.in_force().is_some() {
            tokio::time::sleep(PULL_AFTER).await;
        }
        if theirs.version > held(&node).version && !node.fleet.is_pulling.replace(true) {
            pull(&node, addr).await;
            node.fleet.is_pulling.set(false);
        }
    });
}

fn held(node: &Node) -> ConfigId {
    node.fleet.in_force().map(|it| it.mark).unwrap_or_default()
}

async fn pull(node: &Rc<Node>, addr: SocketAddr) {
    let asked_with = held(node);
    let ask = Ask::Newer(asked_with);
    let reply = node.links.ask_within(addr, ask, PULL_BOUND).await;
    let (newer, rollouts) = match reply {
        Ok(Reply::Newer(newer, rollouts)) => (newer, rollouts),
        other => {
            note_failed_pull(node, addr, other.err());
            return;
        }
    };
    gossip::hear_rollouts(node, rollouts);
    // The host or another peer was faster. A difference from what was held before
    // says nothing now, and the next exchange tells whether the peer has still more.
    if held(node) != asked_with {
        return;
    }
    match decode(node, newer) {
        Ok(Some(state)) => {
            offer(node, state, Source::Peer);
        }
        Ok(None) => {}
        Err(err) => {
            slog::error!(node.log, "a peer's configuration is broken"; fields::ERROR => err);
        }
    }
}

fn note_failed_pull(node: &Node, addr: SocketAddr, err: Option<LinkError>) {
    node.journal.count("configuration.pulls_failed");
    if let Some(left_out) = node.journal.admits("pull", node.clock.now()) {
        slog::warn!(node.log, "configuration not pulled"; fields::PEER => %addr,
            fields::HELD => held(node).version, fields::ERROR => ?err,
            fields::LEFT_OUT => left_out);
    }
}

fn decode(node: &Node, newer: Newer) -> Result<Option<State>, String> {
    let newer = match newer {
        Newer::Packed(bytes) => packed::unpack(&bytes).map_err(|err| err.to_string())?,
        plain => plain,
    };
    let state = match newer {
        Newer::Nothing => return Ok(None),
        Newer::Packed(_) => return Err("packed twice".into()),
        Newer::Whole(snapshot) => State::try_from(snapshot).map_err(|err| err.to_string())?,
        Newer::Difference(difference) => {
            let Some(held) = node.fleet.in_force() else {
                return Ok(None);
            };
            let advanced = held.state.advanced(&difference.into());
            advanced.map_err(|err| err.to_string())?
        }
    };
    Ok(Some(state))
}
