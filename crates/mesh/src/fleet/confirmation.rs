//! How this daemon knows that its configuration is recent enough to act on keys.
//!
//! Those that follow the host know from its answers; the others ask them from time to
//! time. What that bounds is in [`Confirmation`] and `docs/design/demands.md`.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use stoatstep_calls::Time;
use stoatstep_distribution::{Confirmation, HostClock};
use stoatstep_resource::Version;
use stoatstep_telemetry::fields;
use tokio::time::sleep;

use super::contact;
use super::gossip::{self, Addressed};
use crate::node::Node;
use crate::wire::{Ask, Confirmed as ConfirmedWire, Reply};

/// How often a daemon looks whether it has to ask.
const STEP: Duration = Duration::from_millis(250);

/// Age from which a daemon asks, and that of an answer with which it is content, as parts
/// of the bound: between them an answer of those that follow the host stays in use.
const ASKS_FROM: f64 = 0.25;
const CONTENT_WITH: f64 = 0.35;

/// Part of the bound that is used; the rest is a margin for the time between a look at the
/// clock and what follows from it.
const USED: f64 = 0.96;

/// Longest wait for a change, as a part of the bound.
const LONGEST_WAIT: f64 = 0.2;

/// Time for an answer of a peer.
const ANSWER_BOUND: Duration = Duration::from_millis(300);

/// Peers asked one after the other in one go.
const TRIES: usize = 3;

/// Time after the host came back from an older copy in which its answers confirm nothing:
/// the newest configuration may be among what it lost, and the operator writes it again.
const RETURN_SETTLES: Duration = Duration::from_secs(2);

/// What is known of the age of the configuration in force.
#[derive(Debug, Default)]
pub(super) struct Confirmed {
    confirmation: Confirmation,
    host_clock: HostClock,
    /// Version that the host holds.
    newest: Option<Version>,
    /// Answers of the host given before this time confirm nothing.
    not_before: Time,
    /// Whether the last look found it recent enough, for the log.
    was_recent: bool,
}

impl Confirmed {
    pub(super) fn host_returned(&mut self, now: Time) {
        self.host_clock.reset();
        self.not_before = now + RETURN_SETTLES;
    }
}

/// Takes in that the host answered; `read` is the version that it told, if any was written
/// since its answer before.
pub(super) fn host_answered(
    node: &Node,
    asked_at: Time,
    host_time: Option<Duration>,
    read: Option<Version>,
) {
    let held = node.fleet.in_force().map(|it| it.version());
    let mut confirmed = node.fleet.confirmed.borrow_mut();
    let given_at = confirmed
        .host_clock
        .given_at(asked_at, node.clock.now(), host_time);
    confirmed.newest = read.or(confirmed.newest);
    if confirmed.newest == held && held.is_some() && given_at >= confirmed.not_before {
        confirmed.confirmation.confirm(given_at);
    }
}

/// Longest time to wait for a change of the host, where that has to be bounded.
pub(super) fn longest_wait(node: &Node) -> Option<Duration> {
    bound(node).map(|it| it.mul_f64(LONGEST_WAIT))
}

/// Whether this daemon may act on keys.
pub(crate) fn is_recent(node: &Node) -> bool {
    let Some(bound) = bound(node) else {
        return true;
    };
    let now = node.clock.now();
    let mut confirmed = node.fleet.confirmed.borrow_mut();
    let is_recent = confirmed.confirmation.is_within(bound.mul_f64(USED), now);
    if is_recent != confirmed.was_recent {
        confirmed.was_recent = is_recent;
        let age = confirmed.confirmation.age(now);
        slog::warn!(node.log, "keys are acted on"; fields::STATE => is_recent,
            fields::AGE_MS => age.map(|it| it.as_millis()));
    }
    is_recent
}

/// The bound on the use of keys, where there are customers and there is one.
fn bound(node: &Node) -> Option<Duration> {
    let in_force = node.fleet.in_force()?;
    node.cfg.key_lifetime.filter(|_| !in_force.keys.is_empty())
}

/// What this daemon tells others.
pub(crate) fn own(node: &Node) -> Option<ConfirmedWire> {
    let in_force = node.fleet.in_force()?;
    let confirmed = node.fleet.confirmed.borrow();
    Some(ConfirmedWire {
        version: in_force.version(),
        age: confirmed.confirmation.age(node.clock.now())?,
    })
}

/// Asks others until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    let mut next = rand::rng().random_range(0..usize::from(u8::MAX));
    loop {
        if let Some(bound) = bound(&node) {
            let content = bound.mul_f64(CONTENT_WITH);
            let mut tries = 0;
            while is_older(&node, bound.mul_f64(ASKS_FROM)) && tries < TRIES {
                tries += 1;
                ask(&node, next).await;
                // Whoever knows no better is asked again only after the others.
                if is_older(&node, content) {
                    next += 1;
                } else {
                    break;
                }
            }
        }
        sleep(STEP).await;
    }
}

fn is_older(node: &Node, age: Duration) -> bool {
    let confirmed = node.fleet.confirmed.borrow();
    let own = confirmed.confirmation.age(node.clock.now());
    own.is_none_or(|own| own > age)
}

/// Those that follow the host: for the own zone first, then for the others.
fn followers(node: &Node) -> Vec<Addressed> {
    let me = node.fleet.membership.borrow().me();
    let all = contact::followers(node).chain(gossip::followers_elsewhere(node));
    all.filter(|(key, _)| *key != me).collect()
}

async fn ask(node: &Rc<Node>, which: usize) {
    let followers = followers(node);
    if followers.is_empty() {
        return;
    }
    let (_, addr) = followers[which % followers.len()];
    let asked_at = node.clock.now();
    let reply = node.links.ask_within(addr, Ask::Confirmed, ANSWER_BOUND);
    let Ok(Reply::Confirmed(Some(said))) = reply.await else {
        return;
    };
    let held = node.fleet.in_force().map_or(0, |it| it.version());
    if held >= said.version {
        let mut confirmed = node.fleet.confirmed.borrow_mut();
        confirmed.confirmation.confirm_by_peer(asked_at, said.age);
    }
}
