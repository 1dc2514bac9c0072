//! The home of a customer, which grants tokens to the entries of its zone.
//!
//! All daemons of a zone choose the same member as a customer's home, by a hash over the members
//! that they know. While two daemons disagree, both members grant tokens, and the bucket of the
//! newer home starts empty.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::{QuotaShare, Time, TokenBucket, TokenGrant};
use stoatstep_distribution::{rendezvous_choice, seed_of};
use stoatstep_membership::{Member, MemberKey};
use stoatstep_resource::{CustomerName, Quota, ZoneName};
use stoatstep_telemetry::fields;

use super::{ask, to_f64};
use crate::fleet::role;
use crate::node::Node;
use crate::wire::Ask;

/// Time for which dead members still count when the share of the remaining ones is computed: they
/// may be on the other side of a network partition and use their part.
const DEAD_MEMBER_WINDOW: Duration = Duration::from_secs(30);

/// Time between two attempts to borrow for one customer.
const BORROW_INTERVAL: Duration = Duration::from_millis(250);

/// Period for which a home borrows in advance.
const BORROW_PERIOD: Duration = Duration::from_millis(500);

/// Location of a customer's home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Location {
    /// This daemon.
    Here,
    /// The daemon at this address.
    At(SocketAddr),
}

/// State of this daemon as a home.
#[derive(Default)]
pub(super) struct Homes {
    buckets: RefCell<HashMap<CustomerName, CustomerBucket>>,
    /// Members of the own zone that can be homes, by key.
    candidates: RefCell<Vec<MemberKey>>,
    /// When the members last changed.
    changed_at: Cell<Time>,
}

/// Quota state of one customer.
struct CustomerBucket {
    bucket: TokenBucket,
    /// Earliest time of the next request to the other zones.
    next_borrow: Time,
}

impl Homes {
    /// Number of members of the own zone that can be homes.
    pub(super) fn members(&self) -> usize {
        self.candidates.borrow().len()
    }

    fn home_of(&self, customer: &str) -> Option<MemberKey> {
        let candidates = self.candidates.borrow();
        rendezvous_choice(seed_of(customer), candidates.iter().copied())
    }
}

fn can_be_home(member: &Member) -> bool {
    member.takes_calls()
}

/// Handles a change of the members. The state of customers that now have another home is dropped:
/// if this daemon becomes their home again, the other one will have granted tokens meanwhile.
pub(crate) fn members_changed(node: &Node) {
    let homes = &node.quotas.homes;
    let membership = node.fleet.membership();
    let me = membership.me();
    let zone = membership.table().in_zone(&node.cfg.zone);
    let zone = zone.filter(|(_, it)| can_be_home(&it.member));
    let candidates: Vec<_> = zone.map(|(key, _)| key).collect();
    if *homes.candidates.borrow() == candidates {
        return;
    }
    homes.candidates.replace(candidates);
    homes.changed_at.set(node.clock.now());
    let mut buckets = homes.buckets.borrow_mut();
    buckets.retain(|customer, _| homes.home_of(customer) == Some(me));
}

/// Location of the customer's home; `None` until this daemon has met its zone.
pub(super) fn location_of(node: &Node, customer: &str) -> Option<Location> {
    if role::is_discovering_zone(node) {
        return None;
    }
    let home = node.quotas.homes.home_of(customer)?;
    let membership = node.fleet.membership();
    if home == membership.me() {
        return Some(Location::Here);
    }
    let entry = membership.table().get(home)?;
    Some(Location::At(entry.member.peer))
}

/// Grants tokens; `None` if this daemon is not the customer's home.
pub(crate) fn grant(node: &Rc<Node>, customer: &CustomerName, wanted: u32) -> Option<TokenGrant> {
    let (share, quota) = own_share(node, customer)?;
    let Some(quota) = quota else {
        // The limit was removed, and the entry will learn of it shortly.
        return Some(TokenGrant {
            tokens: wanted,
            retry_after: None,
        });
    };
    let now = node.clock.now();
    let (granted, is_low) = with_bucket(node, customer, |it| {
        let granted = it.bucket.grant(wanted, share, now);
        (granted, it.bucket.is_low(share))
    });
    if granted.retry_after.is_some() {
        log_shortage(node, customer, (wanted, granted), quota);
    }
    if is_low {
        borrow(node, customer, share);
    }
    Some(granted)
}

/// Grants tokens to the home of another zone.
pub(crate) fn lend(node: &Node, customer: &CustomerName, wanted: u32) -> Option<TokenGrant> {
    let (share, quota) = own_share(node, customer)?;
    quota?;
    let now = node.clock.now();
    let tokens = with_bucket(node, customer, |it| it.bucket.lend(wanted, share, now));
    Some(TokenGrant {
        tokens,
        retry_after: None,
    })
}

/// The share that this daemon may grant as the customer's home, and the whole quota.
fn own_share(node: &Node, customer: &str) -> Option<(QuotaShare, Option<Quota>)> {
    if location_of(node, customer) != Some(Location::Here) {
        return None;
    }
    let in_force = node.fleet.in_force()?;
    let quota = in_force.keys.customer(customer)?.quota;
    let no_quota = Quota {
        per_minute: 0,
        burst: 0,
    };
    let share = QuotaShare::new(quota.unwrap_or(no_quota), share_of_zone(node));
    Some((share, quota))
}

/// Fraction of every quota that the visible members of this zone may use. Members on the other side
/// of a network partition count as dead here, and use the rest.
pub(super) fn share_of_zone(node: &Node) -> f64 {
    let now = node.clock.now();
    let membership = node.fleet.membership();
    let since = now.saturating_sub(DEAD_MEMBER_WINDOW);
    let dead = membership.table().died_since(&node.cfg.zone, since);
    let alive = node.quotas.homes.members();
    let visible = to_f64(alive) / to_f64((alive + dead).max(1));
    visible / to_f64(node.cfg.zones)
}

fn with_bucket<T>(
    node: &Node,
    customer: &CustomerName,
    act: impl FnOnce(&mut CustomerBucket) -> T,
) -> T {
    let homes = &node.quotas.homes;
    let mut buckets = homes.buckets.borrow_mut();
    let bucket = buckets
        .entry(customer.clone())
        .or_insert_with(|| CustomerBucket {
            bucket: TokenBucket::empty(homes.changed_at.get()),
            next_borrow: Time::ZERO,
        });
    act(bucket)
}

fn log_shortage(node: &Node, customer: &str, (wanted, granted): (u32, TokenGrant), quota: Quota) {
    node.journal.count("quota.short");
    if let Some(left_out) = node.journal.admits("quota", node.clock.now()) {
        slog::info!(node.log, "quota used up"; fields::CUSTOMER => customer,
            fields::WANTED => wanted, fields::GRANTED => granted.tokens,
            fields::PER_MINUTE => quota.per_minute, fields::LEFT_OUT => left_out);
    }
}

/// Asks the customer's homes in the other zones for unused tokens.
fn borrow(node: &Rc<Node>, customer: &CustomerName, share: QuotaShare) {
    let now = node.clock.now();
    let is_due = with_bucket(node, customer, |it| {
        let is_due = now >= it.next_borrow;
        if is_due {
            it.next_borrow = now + BORROW_INTERVAL;
        }
        is_due
    });
    if !is_due {
        return;
    }
    let tokens_ahead = share.per_second * BORROW_PERIOD.as_secs_f64();
    let wanted = QuotaShare::whole_tokens(tokens_ahead).max(1);
    for addr in homes_in_other_zones(node, customer) {
        let (node, customer) = (Rc::clone(node), customer.clone());
        ntex::rt::spawn(async move {
            let ask_for = Ask::Borrow(customer.clone(), wanted);
            let Some(lent) = ask(&node, addr, ask_for).await else {
                return;
            };
            let now = node.clock.now();
            let mut buckets = node.quotas.homes.buckets.borrow_mut();
            if let Some(held) = buckets.get_mut(&customer) {
                held.bucket.add_borrowed(lent.tokens, now);
            }
        });
    }
}

/// The customer's homes in the other zones, as far as this daemon knows.
fn homes_in_other_zones(node: &Node, customer: &str) -> Vec<SocketAddr> {
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
