//! The home's part: grants tokens to the entries of its own zone.
//!
//! Every daemon takes the same member of its zone for a customer's home, by a hash over
//! the members that it knows. Where two differ for a moment, both grant from buckets of
//! which the newer one began empty.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::{Bucket, Grant, Share, Time};
use stoatstep_distribution::{rendezvous_choice, seed_of};
use stoatstep_membership::{Member, MemberKey};
use stoatstep_resource::{CustomerName, Quota, ZoneName};
use stoatstep_telemetry::fields;

use super::{ask, count};
use crate::fleet::role;
use crate::node::Node;
use crate::wire::Ask;

/// Time for which members that died still count for the share of those that are left: they
/// may be on the other side of a cut, and use theirs.
const DEAD_COUNT_FOR: Duration = Duration::from_secs(30);

/// Time between two tries to borrow for one customer.
const BORROW_PAUSE: Duration = Duration::from_millis(250);

/// Time for which a home borrows ahead.
const BORROW_AHEAD: Duration = Duration::from_millis(500);

/// Where a customer's home is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Place {
    /// This daemon.
    Here,
    /// The daemon at this address.
    At(SocketAddr),
}

/// What this daemon holds as a home.
#[derive(Default)]
pub(super) struct Homes {
    held: RefCell<HashMap<CustomerName, Held>>,
    /// Members of the own zone that can be homes, by key.
    ring: RefCell<Vec<MemberKey>>,
    /// Since when it has been these.
    since: Cell<Time>,
}

/// The quota of one customer.
struct Held {
    bucket: Bucket,
    /// When it is next worth asking other zones.
    borrows_from: Time,
}

impl Homes {
    /// Members of the own zone.
    pub(super) fn members(&self) -> usize {
        self.ring.borrow().len()
    }

    fn home_of(&self, customer: &str) -> Option<MemberKey> {
        let ring = self.ring.borrow();
        rendezvous_choice(seed_of(customer), ring.iter().copied())
    }
}

fn can_be_home(member: &Member) -> bool {
    member.takes_calls()
}

/// Takes in a change of the members. What this daemon is no longer the home of it forgets:
/// if it becomes so again, another one has granted meanwhile.
pub(crate) fn members_changed(node: &Node) {
    let homes = &node.quotas.homes;
    let membership = node.fleet.membership();
    let me = membership.me();
    let zone = membership.table().in_zone(&node.cfg.zone);
    let zone = zone.filter(|(_, it)| can_be_home(&it.member));
    let ring: Vec<_> = zone.map(|(key, _)| key).collect();
    if *homes.ring.borrow() == ring {
        return;
    }
    homes.ring.replace(ring);
    homes.since.set(node.clock.now());
    let mut held = homes.held.borrow_mut();
    held.retain(|customer, _| homes.home_of(customer) == Some(me));
}

/// Where the home of this customer is; nothing for as long as this daemon has not met its
/// zone.
pub(super) fn place_of(node: &Node, customer: &str) -> Option<Place> {
    if role::is_meeting_zone(node) {
        return None;
    }
    let home = node.quotas.homes.home_of(customer)?;
    let membership = node.fleet.membership();
    if home == membership.me() {
        return Some(Place::Here);
    }
    let entry = membership.table().get(home)?;
    Some(Place::At(entry.member.peer))
}

/// Grants tokens; nothing where this daemon is not the customer's home.
pub(crate) fn grant(node: &Rc<Node>, customer: &CustomerName, wanted: u32) -> Option<Grant> {
    let (share, quota) = own_share(node, customer)?;
    let Some(quota) = quota else {
        // There is no limit any more; the entry will know in a moment.
        return Some(Grant {
            tokens: wanted,
            retry_after: None,
        });
    };
    let now = node.clock.now();
    let (granted, is_low) = with_held(node, customer, |it| {
        let granted = it.bucket.grant(wanted, share, now);
        (granted, it.bucket.is_low(share))
    });
    if granted.retry_after.is_some() {
        note_short(node, customer, (wanted, granted), quota);
    }
    if is_low {
        borrow(node, customer, share);
    }
    Some(granted)
}

/// Grants tokens to the home of another zone.
pub(crate) fn lend(node: &Node, customer: &CustomerName, wanted: u32) -> Option<Grant> {
    let (share, quota) = own_share(node, customer)?;
    quota?;
    let now = node.clock.now();
    let tokens = with_held(node, customer, |it| it.bucket.lend(wanted, share, now));
    Some(Grant {
        tokens,
        retry_after: None,
    })
}

/// What this daemon may grant as the customer's home, and the whole quota.
fn own_share(node: &Node, customer: &str) -> Option<(Share, Option<Quota>)> {
    if place_of(node, customer) != Some(Place::Here) {
        return None;
    }
    let in_force = node.fleet.in_force()?;
    let quota = in_force.keys.customer(customer)?.quota;
    let whole = Quota {
        per_minute: 0,
        burst: 0,
    };
    let share = Share::new(quota.unwrap_or(whole), share_of_zone(node));
    Some((share, quota))
}

/// Part of each quota that the members of this zone may use which this daemon sees. Those
/// on the other side of a cut are dead to it, and have the rest.
pub(super) fn share_of_zone(node: &Node) -> f64 {
    let now = node.clock.now();
    let membership = node.fleet.membership();
    let since = now.saturating_sub(DEAD_COUNT_FOR);
    let dead = membership.table().died_since(&node.cfg.zone, since);
    let alive = node.quotas.homes.members();
    let seen = count(alive) / count((alive + dead).max(1));
    seen / count(node.cfg.zones)
}

fn with_held<T>(node: &Node, customer: &CustomerName, act: impl FnOnce(&mut Held) -> T) -> T {
    let homes = &node.quotas.homes;
    let mut held = homes.held.borrow_mut();
    let held = held.entry(customer.clone()).or_insert_with(|| Held {
        bucket: Bucket::empty(homes.since.get()),
        borrows_from: Time::ZERO,
    });
    act(held)
}

fn note_short(node: &Node, customer: &str, (wanted, granted): (u32, Grant), quota: Quota) {
    node.journal.count("quota.short");
    if let Some(left_out) = node.journal.admits("quota", node.clock.now()) {
        slog::info!(node.log, "quota used up"; fields::CUSTOMER => customer,
            fields::WANTED => wanted, fields::GRANTED => granted.tokens,
            fields::PER_MINUTE => quota.per_minute, fields::LEFT_OUT => left_out);
    }
}

/// Asks the homes of the other zones for what they do not use.
fn borrow(node: &Rc<Node>, customer: &CustomerName, share: Share) {
    let now = node.clock.now();
    let is_due = with_held(node, customer, |it| {
        let is_due = now >= it.borrows_from;
        if is_due {
            it.borrows_from = now + BORROW_PAUSE;
        }
        is_due
    });
    if !is_due {
        return;
    }
    let ahead = share.per_second * BORROW_AHEAD.as_secs_f64();
    let wanted = Share::whole(ahead).max(1);
    for addr in homes_elsewhere(node, customer) {
        let (node, customer) = (Rc::clone(node), customer.clone());
        ntex::rt::spawn(async move {
            let ask_for = Ask::Borrow(customer.clone(), wanted);
            let Some(lent) = ask(&node, addr, ask_for).await else {
                return;
            };
            let now = node.clock.now();
            let mut held = node.quotas.homes.held.borrow_mut();
            if let Some(held) = held.get_mut(&customer) {
                held.bucket.borrowed(lent.tokens, now);
            }
        });
    }
}

/// The customer's homes in the other zones, as this daemon sees them.
fn homes_elsewhere(node: &Node, customer: &str) -> Vec<SocketAddr> {
    let membership = node.fleet.membership();
    let mut zones: BTreeMap<&ZoneName, Vec<MemberKey>> = BTreeMap::new();
    for (key, entry) in membership.table().present() {
        if can_be_home(&entry.member) && entry.member.zone != node.cfg.zone {
            zones.entry(&entry.member.zone).or_default().push(key);
        }
    }
    let seed = seed_of(customer);
    let homes = zones
        .into_values()
        .filter_map(|zone| rendezvous_choice(seed, zone));
    let entries = homes.filter_map(|key| membership.table().get(key));
    entries.map(|it| it.member.peer).collect()
}
