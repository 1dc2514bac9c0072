//! The home of a customer, which grants tokens to the entries of its zone.
//!
//! All daemons of a zone choose the same member as a customer's home, by a hash over the members
//! that they know. While two daemons disagree, both members grant tokens, and the bucket of the
//! newer home starts empty.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::{CustomerUsage, QuotaShare, Time, TokenBucket, TokenGrant, shortage_time};
use stoatstep_distribution::{rendezvous_choice, seed_of};
use stoatstep_membership::{Member, MemberKey};
use stoatstep_resource::{CustomerName, Quota, ZoneName};
use stoatstep_telemetry::fields;
use tokio::sync::Notify;

use super::borrow::{BorrowTurn, Supply, borrow_ahead, borrow_missing, borrow_turn};
use super::to_f64;
use crate::fleet::role;
use crate::node::Node;

/// Time for which dead members still count when the share of the remaining ones is computed: they
/// may be on the other side of a network partition and use their part.
const DEAD_MEMBER_WINDOW: Duration = Duration::from_secs(30);

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
pub(super) struct CustomerBucket {
    pub(super) bucket: TokenBucket,
    /// What the customer was served, here and at the homes of other zones, by their addresses.
    pub(super) usage: CustomerUsage<IpAddr>,
    /// Earliest time of the next request to the other zones in advance.
    pub(super) next_borrow: Time,
    /// Earliest time of the next request for a call that would be refused.
    pub(super) next_request: Time,
    /// Notified when the request to the other zones for such a call has ended; none if there is
    /// no such request.
    pub(super) borrowing: Option<Rc<Notify>>,
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
    if !role::has_met_fleet(node) || role::is_discovering_zone(node) {
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

/// Grants tokens; `None` if this daemon is not the customer's home. If it has too few, the homes
/// of the other zones are asked for the rest before a call is refused.
pub(crate) async fn grant(
    node: &Rc<Node>,
    customer: &CustomerName,
    wanted: u32,
) -> Option<TokenGrant> {
    let (share, quota) = own_share(node, customer)?;
    let Some(quota) = quota else {
        // The limit was removed, and the entry will learn of it shortly.
        return Some(TokenGrant {
            tokens: wanted,
            retry_after: None,
            usage: 0,
        });
    };
    let take = |wanted| {
        let now = node.clock.now();
        with_bucket(node, customer, |it| {
            it.bucket.take_available(wanted, share, now)
        })
    };
    let mut tokens = take(wanted);
    let mut supply = Supply::of_zone(share);
    while tokens < wanted
        && let Some(turn) = borrow_turn(node, customer)
    {
        match turn {
            BorrowTurn::Own => {
                supply = borrow_missing(node, customer, wanted - tokens, share).await;
                tokens += take(wanted - tokens);
                break;
            }
            BorrowTurn::After(other) => other.notified().await,
        }
        tokens += take(wanted - tokens);
    }
    let refused = wanted - tokens;
    let retry_after = (refused > 0).then(|| {
        log_shortage(node, customer, (wanted, tokens), quota, supply);
        refuse(node, customer, refused, supply)
    });
    if with_bucket(node, customer, |it| it.bucket.is_low(share)) {
        borrow_ahead(node, customer, share);
    }
    let now = node.clock.now();
    let usage = with_bucket(node, customer, |it| {
        it.usage.record(tokens, now);
        it.usage.level(now)
    });
    Some(TokenGrant {
        tokens,
        retry_after,
        usage,
    })
}

/// Records that tokens are short, and returns when the refused callers may retry.
fn refuse(node: &Node, customer: &CustomerName, refused: u32, supply: Supply) -> Duration {
    let now = node.clock.now();
    with_bucket(node, customer, |it| {
        it.next_request = now + shortage_time(it.bucket.missing(1), supply.per_second);
        it.bucket.reserve_retry(refused, supply.per_second, now)
    })
}

/// Lends tokens to the home of another zone; `None` if this daemon is not the customer's home.
/// Both sides learn what the other has granted.
pub(crate) fn lend(
    node: &Node,
    customer: &CustomerName,
    wanted: f64,
    (borrower, rate): (IpAddr, f64),
) -> Option<(f64, f64)> {
    let (share, quota) = own_share(node, customer)?;
    quota?;
    let now = node.clock.now();
    Some(with_bucket(node, customer, |it| {
        it.usage.record_other(borrower, rate, now);
        (it.bucket.lend(wanted, share, now), it.usage.own_rate(now))
    }))
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

pub(super) fn with_bucket<T>(
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
            usage: CustomerUsage::default(),
            next_borrow: Time::ZERO,
            next_request: Time::ZERO,
            borrowing: None,
        });
    act(bucket)
}

/// Applies `act` to the state of a customer of which this daemon is still the home.
pub(super) fn with_held(
    node: &Node,
    customer: &CustomerName,
    act: impl FnOnce(&mut CustomerBucket),
) {
    let mut buckets = node.quotas.homes.buckets.borrow_mut();
    if let Some(held) = buckets.get_mut(customer) {
        act(held);
    }
}

fn log_shortage(
    node: &Node,
    customer: &str,
    (wanted, granted): (u32, u32),
    quota: Quota,
    supply: Supply,
) {
    node.journal.count(if supply.is_whole_fleet {
        "quota.short"
    } else {
        "quota.short_in_zone"
    });
    if let Some(left_out) = node.journal.admits("quota", node.clock.now()) {
        slog::info!(node.log, "quota used up"; fields::CUSTOMER => customer,
            fields::WANTED => wanted, fields::GRANTED => granted,
            fields::PER_MINUTE => quota.per_minute,
            fields::WHOLE_FLEET => supply.is_whole_fleet, fields::LEFT_OUT => left_out);
    }
}

/// The customer's homes in the other zones, as far as this daemon knows.
pub(super) fn homes_in_other_zones(node: &Node, customer: &str) -> Vec<SocketAddr> {
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
