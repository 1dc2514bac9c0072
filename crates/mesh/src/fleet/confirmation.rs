//! Tracks whether the configuration is recent enough to accept keys by it.
//!
//! Daemons that follow the store know that from its answers; the others ask them at intervals.
//! [`Confirmation`] and `docs/design/demands.md` describe the bound.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use stoatstep_calls::Time;
use stoatstep_distribution::{Confirmation, StoreClock};
use stoatstep_resource::Version;
use stoatstep_telemetry::fields;
use tokio::time::sleep;

use super::contact;
use super::gossip::{self, PeerAddress};
use crate::node::Node;
use crate::wire::{Ask, ConfirmedVersion, Reply};

/// How often a daemon checks whether it has to ask.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Age of the confirmation from which a daemon asks, and the age of an answer that it accepts, as
/// fractions of the bound. The gap between the two lets it use an answer of a follower for a while.
const ASK_AGE: f64 = 0.25;
const ACCEPTED_AGE: f64 = 0.35;

/// Fraction of the bound that is used. The rest is a margin for the time between a clock reading
/// and the action that follows from it.
const USED_FRACTION: f64 = 0.96;

/// Longest wait for a change, as a fraction of the bound.
const LONGEST_WAIT_FRACTION: f64 = 0.2;

/// Timeout of a request to a peer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Peers asked one after another in one round.
const PEERS_PER_ROUND: usize = 3;

/// Time after the store was restored from an older copy in which its answers confirm nothing. The
/// newest configuration may be among the writes that it lost, and the operator has to write it
/// again.
const SETTLE_TIME_AFTER_RESTORE: Duration = Duration::from_secs(2);

/// Age of the configuration in force, as far as it is known.
#[derive(Debug, Default)]
pub(super) struct ConfirmationState {
    confirmation: Confirmation,
    store_clock: StoreClock,
    /// Newest version known to be held by the store.
    newest: Option<Version>,
    /// Answers that the store gave before this time confirm nothing.
    valid_from: Time,
    /// Result of the last check, so that only changes are logged.
    was_recent: bool,
}

impl ConfirmationState {
    pub(super) fn store_restored(&mut self, now: Time) {
        self.store_clock.reset();
        self.valid_from = now + SETTLE_TIME_AFTER_RESTORE;
    }
}

/// Records an answer of the store. `read` is the version that it contained, if one was written
/// since the previous answer.
pub(super) fn store_answered(
    node: &Node,
    asked_at: Time,
    store_time: Option<Duration>,
    read: Option<Version>,
) {
    let held = node.fleet.in_force().map(|it| it.version());
    let mut state = node.fleet.confirmation_state.borrow_mut();
    let given_at = state
        .store_clock
        .given_at(asked_at, node.clock.now(), store_time);
    state.newest = read.or(state.newest);
    if state.newest == held && held.is_some() && given_at >= state.valid_from {
        state.confirmation.confirm(given_at);
    }
}

/// Longest time to wait for a change, if there is a bound on it.
pub(super) fn longest_wait(node: &Node) -> Option<Duration> {
    bound(node).map(|it| it.mul_f64(LONGEST_WAIT_FRACTION))
}

/// Whether the configuration is recent enough to accept or reject keys.
pub(crate) fn is_recent(node: &Node) -> bool {
    let Some(bound) = bound(node) else {
        return true;
    };
    let now = node.clock.now();
    let mut state = node.fleet.confirmation_state.borrow_mut();
    let is_recent = state
        .confirmation
        .is_within(bound.mul_f64(USED_FRACTION), now);
    if is_recent != state.was_recent {
        state.was_recent = is_recent;
        let age = state.confirmation.age(now);
        slog::warn!(node.log, "keys are acted on"; fields::STATE => is_recent,
            fields::AGE_MS => age.map(|it| it.as_millis()));
    }
    is_recent
}

/// The bound on the age of the configuration; `None` without customers or without a configured key
/// lifetime.
fn bound(node: &Node) -> Option<Duration> {
    let in_force = node.fleet.in_force()?;
    node.cfg
        .key_lifetime
        .filter(|_| in_force.keys.are_checked())
}

/// The confirmation that this daemon reports to peers.
pub(crate) fn own(node: &Node) -> Option<ConfirmedVersion> {
    let in_force = node.fleet.in_force()?;
    let state = node.fleet.confirmation_state.borrow();
    Some(ConfirmedVersion {
        version: in_force.version(),
        age: state.confirmation.age(node.clock.now())?,
    })
}

/// Keeps the confirmation recent by asking peers, until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    let mut next = rand::rng().random_range(0..usize::from(u8::MAX));
    loop {
        if let Some(bound) = bound(&node) {
            let accepted_age = bound.mul_f64(ACCEPTED_AGE);
            let mut tries = 0;
            while is_older(&node, bound.mul_f64(ASK_AGE)) && tries < PEERS_PER_ROUND {
                tries += 1;
                ask_follower(&node, next).await;
                // A peer whose confirmation is no more recent is asked again only after the others.
                if is_older(&node, accepted_age) {
                    next += 1;
                } else {
                    break;
                }
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
}

fn is_older(node: &Node, age: Duration) -> bool {
    let state = node.fleet.confirmation_state.borrow();
    let own = state.confirmation.age(node.clock.now());
    own.is_none_or(|own| own > age)
}

/// The other daemons that follow the store, those of the own zone first.
fn followers(node: &Node) -> Vec<PeerAddress> {
    let me = node.fleet.membership.borrow().me();
    let all = contact::followers(node).chain(gossip::followers_in_other_zones(node));
    all.filter(|(key, _)| *key != me).collect()
}

async fn ask_follower(node: &Rc<Node>, index: usize) {
    let followers = followers(node);
    if followers.is_empty() {
        return;
    }
    let (_, addr) = followers[index % followers.len()];
    let asked_at = node.clock.now();
    let reply = node.links.ask_within(addr, Ask::Confirmed, ANSWER_TIMEOUT);
    let Ok(Reply::Confirmed(Some(reported))) = reply.await else {
        return;
    };
    let held = node.fleet.in_force().map_or(0, |it| it.version());
    if held >= reported.version {
        let mut state = node.fleet.confirmation_state.borrow_mut();
        state.confirmation.confirm_by_peer(asked_at, reported.age);
    }
}
