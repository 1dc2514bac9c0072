//! Borrowing of tokens from the homes of a customer in the other zones.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use stoatstep_calls::QuotaShare;
use stoatstep_resource::CustomerName;
use tokio::sync::Notify;

use super::home::{homes_in_other_zones, with_bucket, with_held};
use super::{ANSWER_TIMEOUT, to_f64};
use crate::node::Node;
use crate::wire::{Ask, Reply};

/// Time between two attempts to borrow for one customer.
const BORROW_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a request to the home of another zone for a call that waits: several round trips
/// between zones. A zone that is cut off must not hold up the call for longer.
const LEND_TIMEOUT: Duration = Duration::from_millis(30);

/// Period for which a home borrows in advance.
const BORROW_PERIOD: Duration = Duration::from_millis(500);

/// Where tokens can come from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Supply {
    /// Rate at which the zones that answered get tokens.
    pub(super) per_second: f64,
    /// Whether all zones were asked and answered, so that a refusal is beyond the whole quota.
    pub(super) is_whole_fleet: bool,
}

impl Supply {
    pub(super) fn of_zone(share: QuotaShare) -> Self {
        Self {
            per_second: share.per_second,
            is_whole_fleet: false,
        }
    }
}

/// When a grant that is short of tokens may ask the other zones.
pub(super) enum BorrowTurn {
    /// Now.
    Own,
    /// After the grant that is asking them for the same customer; its end is notified.
    After(Rc<Notify>),
}

/// `None` if the other zones had no tokens when last asked, and can't have any yet.
pub(super) fn borrow_turn(node: &Node, customer: &CustomerName) -> Option<BorrowTurn> {
    let now = node.clock.now();
    with_bucket(node, customer, |it| match &it.borrowing {
        Some(other) => Some(BorrowTurn::After(Rc::clone(other))),
        None => (now >= it.next_request).then_some(BorrowTurn::Own),
    })
}

/// Guard of a request to the other zones. Dropping it lets the next grant ask.
struct BorrowingGuard<'a> {
    node: &'a Node,
    customer: &'a CustomerName,
    ended: Rc<Notify>,
}

impl<'a> BorrowingGuard<'a> {
    fn new(node: &'a Node, customer: &'a CustomerName) -> Self {
        let ended = Rc::new(Notify::new());
        let held = Rc::clone(&ended);
        with_bucket(node, customer, |it| it.borrowing = Some(held));
        Self {
            node,
            customer,
            ended,
        }
    }
}

impl Drop for BorrowingGuard<'_> {
    fn drop(&mut self) {
        with_held(self.node, self.customer, |it| it.borrowing = None);
        self.ended.notify_waiters();
    }
}

/// Asks each zone for an equal part of what is missing, and then one after the other for the rest.
/// Equal parts leave room in all buckets; full ones lose what they are refilled with.
pub(super) async fn borrow_missing(
    node: &Rc<Node>,
    customer: &CustomerName,
    wanted: u32,
    share: QuotaShare,
) -> Supply {
    let _guard = BorrowingGuard::new(node, customer);
    let lenders = homes_in_other_zones(node, customer);
    let missing = || with_bucket(node, customer, |it| it.bucket.missing(wanted));
    let part = missing() / to_f64(lenders.len().max(1));
    let parts = lenders
        .iter()
        .map(|addr| borrow_from(node, customer, *addr, part));
    let answered = join_all(parts).await;
    let reached = answered.iter().filter(|it| **it).count();
    let reachable = lenders.iter().zip(&answered).filter(|(_, it)| **it);
    for (addr, _) in reachable {
        let rest = missing();
        if rest <= 0.0 {
            break;
        }
        borrow_from(node, customer, *addr, rest).await;
    }
    Supply {
        per_second: share.per_second * to_f64(reached + 1),
        is_whole_fleet: reached == lenders.len(),
    }
}

/// Borrows tokens from the home in another zone. Returns whether it answered.
async fn borrow_from(
    node: &Rc<Node>,
    customer: &CustomerName,
    addr: SocketAddr,
    wanted: f64,
) -> bool {
    let ask = Ask::Borrow(customer.clone(), wanted, own_rate(node, customer));
    match node.links.ask_within(addr, ask, LEND_TIMEOUT).await {
        Ok(Reply::Lent(Some((tokens, rate)))) => {
            add_borrowed(node, customer, addr, (tokens.min(wanted), rate));
            true
        }
        Ok(_) | Err(_) => false,
    }
}

/// Adds lent tokens, unless this daemon has ceased to be the customer's home meanwhile: the next
/// home grants its share already.
fn add_borrowed(
    node: &Node,
    customer: &CustomerName,
    lender: SocketAddr,
    (tokens, rate): (f64, f64),
) {
    let now = node.clock.now();
    with_held(node, customer, |it| {
        it.bucket.add_borrowed(tokens, now);
        it.usage.record_other(lender.ip(), rate, now);
    });
}

/// Calls per second of the customer that this daemon granted as its home.
fn own_rate(node: &Node, customer: &CustomerName) -> f64 {
    let now = node.clock.now();
    with_bucket(node, customer, |it| it.usage.own_rate(now))
}

/// Asks the customer's homes in the other zones for unused tokens before they are needed, so that
/// calls don't wait for them. Shares of less than a token are only borrowed when they are needed:
/// the bucket has no room for more.
pub(super) fn borrow_ahead(node: &Rc<Node>, customer: &CustomerName, share: QuotaShare) {
    let now = node.clock.now();
    let wanted = share.per_second * BORROW_PERIOD.as_secs_f64();
    let is_due = with_bucket(node, customer, |it| {
        let is_due = wanted >= 1.0 && now >= it.next_borrow;
        if is_due {
            it.next_borrow = now + BORROW_INTERVAL;
        }
        is_due
    });
    if !is_due {
        return;
    }
    for addr in homes_in_other_zones(node, customer) {
        let (node, customer) = (Rc::clone(node), customer.clone());
        ntex::rt::spawn(async move {
            let rate = own_rate(&node, &customer);
            let ask = Ask::Borrow(customer.clone(), wanted, rate);
            let lent = node.links.ask_within(addr, ask, ANSWER_TIMEOUT).await;
            if let Ok(Reply::Lent(Some((tokens, rate)))) = lent {
                add_borrowed(&node, &customer, addr, (tokens.min(wanted), rate));
            }
        });
    }
}
