//! Versions of the configuration: puts them in force and exchanges them with peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use stoatstep_distribution::ConfigId;
use stoatstep_membership::{Input, MemberKey};
use stoatstep_resource::State;
use stoatstep_telemetry::fields;

use super::compression::{self, CompressedUpdate};
use super::{gossip, role};
use crate::executor;
use crate::in_force::InForce;
use crate::link::LinkError;
use crate::node::Node;
use crate::wire::{Ask, Newer, Reply};

/// Delay before a pull from a peer in another zone, which lets the store's answer or a peer of the
/// own zone come first: traffic between zones is expensive.
const REMOTE_PULL_DELAY: Duration = Duration::from_millis(800);

/// Earlier configurations kept for peers that are slightly behind. It exceeds the number of
/// versions that can appear between two pulls of a peer.
const MAX_EARLIER_STATES: usize = 8;

/// Timeout of a pull from a peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Where a configuration came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// The store; logged as `Host`.
    Host,
    Peer,
}

/// Puts a state in force if it is newer than the current one and its references are valid, and
/// returns whether it did. Older states are rejected: callers would see a route that was removed.
pub(super) fn apply_if_newer(node: &Rc<Node>, state: State, source: Source) -> bool {
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
    let config_id = activate(node, state);
    slog::info!(node.log, "configuration in force";
        fields::VERSION => version, fields::BEFORE => held, fields::SOURCE => ?source);
    gossip::input(node, Input::ConfigChanged(config_id));
    announce(node, source);
    // The first configuration contains the path at which the target is probed.
    executor::confirm_target(node);
    true
}

/// Announces a new version. A follower also announces one that it received from a peer, since the
/// store may have rejected the follower itself.
fn announce(node: &Rc<Node>, source: Source) {
    match source {
        Source::Host => {
            gossip::notify_zone(node);
            gossip::notify_other_zones(node);
        }
        Source::Peer if role::receives_for_zone(node) => gossip::notify_zone(node),
        Source::Peer => {}
    }
}

/// Puts a state in force and keeps the previous one for peers that still hold it.
fn activate(node: &Node, state: State) -> ConfigId {
    let before = node.fleet.in_force();
    let state = match &before {
        Some(before) => state.share_resources_with(&before.state),
        None => state,
    };
    let had_customers = before
        .as_ref()
        .is_some_and(|it| it.had_customers || it.keys.are_checked());
    let in_force = InForce::new(state, had_customers);
    let config_id = in_force.config_id;
    *node.fleet.in_force.borrow_mut() = Some(Rc::new(in_force));
    if let Some(before) = before {
        let mut earlier_states = node.fleet.earlier_states.borrow_mut();
        earlier_states.push_back((before.config_id, Arc::clone(&before.state)));
        if earlier_states.len() > MAX_EARLIER_STATES {
            earlier_states.pop_front();
        }
    }
    config_id
}

/// The update for a peer that holds an older configuration.
pub(crate) fn newer_than(node: &Node, theirs: ConfigId) -> Newer {
    let Some(held) = node.fleet.in_force() else {
        return Newer::Nothing;
    };
    if held.version() <= theirs.version {
        return Newer::Nothing;
    }
    if let Some(bytes) = cached_update(node, theirs, held.config_id) {
        return Newer::Packed(bytes);
    }
    let newer = compression::compress(update_from(node, theirs, &held));
    if let Newer::Packed(bytes) = &newer {
        let update = CompressedUpdate {
            from: theirs,
            to: held.config_id,
            bytes: bytes.clone(),
        };
        node.fleet.compressed_update.replace(Some(update));
    }
    newer
}

/// The cached update, if it was compressed for the same pair of configurations.
fn cached_update(node: &Node, from: ConfigId, to: ConfigId) -> Option<Bytes> {
    let update = node.fleet.compressed_update.borrow();
    let update = update.as_ref();
    let update = update.filter(|it| it.from == from && it.to == to);
    update.map(|it| it.bytes.clone())
}

fn update_from(node: &Node, theirs: ConfigId, held: &InForce) -> Newer {
    let earlier_states = node.fleet.earlier_states.borrow();
    match earlier_states
        .iter()
        .find(|(config_id, _)| *config_id == theirs)
    {
        Some((_, state)) => Newer::Difference((&state.difference(&held.state)).into()),
        None => Newer::Whole((&*held.state).into()),
    }
}

/// Handles a peer's announcement of the configuration that it holds. If it is newer, it is pulled
/// from the peer: at once within the own zone, and otherwise only if no other source delivers it
/// within `REMOTE_PULL_DELAY`.
pub(crate) fn pull_if_newer(node: &Rc<Node>, peer: MemberKey, addr: SocketAddr, theirs: ConfigId) {
    if theirs.version <= held(node).version || node.fleet.is_pulling.get() {
        return;
    }
    let is_near = node.fleet.is_in_own_zone(peer);
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        if !is_near && node.fleet.in_force().is_some() {
            tokio::time::sleep(REMOTE_PULL_DELAY).await;
        }
        if theirs.version > held(&node).version && !node.fleet.is_pulling.replace(true) {
            pull(&node, addr).await;
            node.fleet.is_pulling.set(false);
        }
    });
}

fn held(node: &Node) -> ConfigId {
    node.fleet
        .in_force()
        .map(|it| it.config_id)
        .unwrap_or_default()
}

async fn pull(node: &Rc<Node>, addr: SocketAddr) {
    let asked_with = held(node);
    let ask = Ask::Newer(asked_with);
    let reply = node.links.ask_within(addr, ask, PULL_TIMEOUT).await;
    let (newer, rollouts) = match reply {
        Ok(Reply::Newer(newer, rollouts)) => (newer, rollouts),
        other => {
            log_failed_pull(node, addr, other.err());
            return;
        }
    };
    gossip::apply_rollouts(node, rollouts);
    // The store or another peer was faster. A difference from the earlier state no longer applies,
    // and the next exchange tells whether the peer has a still newer one.
    if held(node) != asked_with {
        return;
    }
    match decode(node, newer) {
        Ok(Some(state)) => {
            apply_if_newer(node, state, Source::Peer);
        }
        Ok(None) => {}
        Err(err) => {
            slog::error!(node.log, "a peer's configuration is broken"; fields::ERROR => err);
        }
    }
}

fn log_failed_pull(node: &Node, addr: SocketAddr, err: Option<LinkError>) {
    node.journal.count("configuration.pulls_failed");
    if let Some(left_out) = node.journal.admits("pull", node.clock.now()) {
        slog::warn!(node.log, "configuration not pulled"; fields::PEER => %addr,
            fields::HELD => held(node).version, fields::ERROR => ?err,
            fields::LEFT_OUT => left_out);
    }
}

fn decode(node: &Node, newer: Newer) -> Result<Option<State>, String> {
    let newer = match newer {
        Newer::Packed(bytes) => compression::decompress(&bytes).map_err(|err| err.to_string())?,
        plain => plain,
    };
    let state = match newer {
        Newer::Nothing => return Ok(None),
        Newer::Packed(_) => return Err("configuration is compressed twice".into()),
        Newer::Whole(snapshot) => State::try_from(snapshot).map_err(|err| err.to_string())?,
        Newer::Difference(difference) => {
            let Some(held) = node.fleet.in_force() else {
                return Ok(None);
            };
            let advanced = held.state.apply_difference(&difference.into());
            advanced.map_err(|err| err.to_string())?
        }
    };
    Ok(Some(state))
}
