//! Enforcement of customers' quotas: an entry asks for tokens, and the home of a customer, a daemon
//! chosen in each zone, grants them. The decisions are made by [`Purse`] and [`Bucket`].

mod home;

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::{Bucket, Grant, Purse, Share, Taken, Time};
use stoatstep_resource::CustomerName;
use tokio::sync::oneshot;

use crate::node::Node;
use crate::wire::{Ask, Reply};
use home::{Homes, Place};
pub(crate) use home::{grant, lend, members_changed};

/// Timeout of a request to the home: some round trips within a zone.
const ANSWER_BOUND: Duration = Duration::from_millis(150);

/// Fraction of its even share of the zone's quota that an entry may use while the home does not
/// answer. If the home is alive but out of reach, it grants the whole share to others.
const RESERVE: f64 = 0.25;

/// Result of waiting for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The call has a token.
    Granted,
    /// The quota is used up, and tokens are available after this time.
    Refused(Duration),
    /// The home did not answer.
    Unknown,
}

/// Quota state of this daemon.
#[derive(Default)]
pub(crate) struct Quotas {
    desks: RefCell<HashMap<CustomerName, Desk>>,
    homes: Homes,
}

/// The calls of one customer at this entry that wait for tokens, and the tokens in stock.
struct Desk {
    purse: Purse,
    waiting: VecDeque<oneshot::Sender<Verdict>>,
    is_asking: bool,
    /// Tokens that may be used while the home does not answer.
    reserve: Bucket,
}

impl Desk {
    fn new(now: Time) -> Self {
        Self {
            purse: Purse::default(),
            waiting: VecDeque::new(),
            is_asking: false,
            reserve: Bucket::empty(now),
        }
    }

    /// Hands tokens to waiting calls in order of arrival, and keeps the rest.
    fn hand_out(&mut self, mut tokens: u32, now: Time) {
        while tokens > 0
            && let Some(call) = self.waiting.pop_front()
        {
            // A call that no longer waits needs no token.
            if call.send(Verdict::Granted).is_ok() {
                tokens -= 1;
            }
        }
        self.purse.keep(tokens, now);
    }

    fn end_all(&mut self, verdict: Verdict) {
        for call in self.waiting.drain(..) {
            let _ = call.send(verdict);
        }
    }
}

impl Quotas {
    /// Takes a token for a call of this customer.
    pub(crate) fn take(&self, customer: &CustomerName, now: Time) -> Taken {
        let mut desks = self.desks.borrow_mut();
        let desk = desks.entry(customer.clone());
        desk.or_insert_with(|| Desk::new(now)).purse.take(now)
    }

    /// Queues a call for a token, and returns whether the home is already being asked.
    fn queue(&self, customer: &CustomerName, call: oneshot::Sender<Verdict>, now: Time) -> bool {
        let mut desks = self.desks.borrow_mut();
        let desk = desks.entry(customer.clone());
        let desk = desk.or_insert_with(|| Desk::new(now));
        desk.waiting.push_back(call);
        std::mem::replace(&mut desk.is_asking, true)
    }

    /// Returns a token that a call did not use.
    pub(crate) fn give_back(&self, customer: &CustomerName, now: Time) {
        if let Some(desk) = self.desks.borrow_mut().get_mut(customer) {
            desk.hand_out(1, now);
        }
    }
}

/// Waits for a token from the customer's home.
pub(crate) async fn wait(node: &Rc<Node>, customer: &CustomerName) -> Verdict {
    let (tx, rx) = oneshot::channel();
    let is_asking = node.quotas.queue(customer, tx, node.clock.now());
    if !is_asking {
        ntex::rt::spawn(ask_home(Rc::clone(node), customer.clone()));
    }
    rx.await.unwrap_or(Verdict::Unknown)
}

/// Asks the home for tokens while calls wait, with one request at a time: calls that arrive during
/// a request are covered by the next one.
async fn ask_home(node: Rc<Node>, customer: CustomerName) {
    while let Some(wanted) = next_question(&node, &customer) {
        let granted = match home::place_of(&node, &customer) {
            Some(Place::Here) => grant(&node, &customer, wanted),
            Some(Place::At(addr)) => ask(&node, addr, Ask::Tokens(customer.clone(), wanted)).await,
            None => None,
        };
        settle(&node, &customer, granted);
    }
}

/// Number of tokens to ask for; `None` if no call waits any more.
fn next_question(node: &Node, customer: &str) -> Option<u32> {
    let mut desks = node.quotas.desks.borrow_mut();
    let desk = desks.get_mut(customer)?;
    desk.waiting.retain(|it| !it.is_closed());
    let waiting = u32::try_from(desk.waiting.len()).unwrap_or(u32::MAX);
    desk.is_asking = waiting > 0;
    desk.is_asking.then(|| desk.purse.wanted(waiting))
}

async fn ask(node: &Node, addr: SocketAddr, ask: Ask) -> Option<Grant> {
    match node.links.ask_within(addr, ask, ANSWER_BOUND).await {
        Ok(Reply::Tokens(granted)) => granted.map(Grant::from),
        Ok(_) | Err(_) => None,
    }
}

fn settle(node: &Node, customer: &str, granted: Option<Grant>) {
    let now = node.clock.now();
    let reserve = granted.is_none().then(|| reserve(node, customer)).flatten();
    let mut desks = node.quotas.desks.borrow_mut();
    let Some(desk) = desks.get_mut(customer) else {
        return;
    };
    let Some(granted) = granted else {
        node.journal.count("quota.unanswered");
        let waiting = u32::try_from(desk.waiting.len()).unwrap_or(u32::MAX);
        let granted = reserve.map(|share| desk.reserve.grant(waiting, share, now));
        desk.hand_out(granted.map_or(0, |it| it.tokens), now);
        desk.end_all(Verdict::Unknown);
        return;
    };
    desk.hand_out(granted.tokens, now);
    if let Some(pause) = granted.retry_after {
        desk.purse.refused(pause, now);
        desk.end_all(Verdict::Refused(pause));
    }
}

/// The share of the quota that this entry may use while the home does not answer.
fn reserve(node: &Node, customer: &str) -> Option<Share> {
    let in_force = node.fleet.in_force()?;
    let quota = in_force.keys.customer(customer)?.quota?;
    let entries = node.quotas.homes.members().max(1);
    let of = home::share_of_zone(node) * RESERVE / count(entries);
    Some(Share::new(quota, of))
}

/// Removes customers that have not called for a while.
pub(crate) fn tick(node: &Node) {
    let now = node.clock.now();
    let mut desks = node.quotas.desks.borrow_mut();
    desks.retain(|_, it| it.is_asking || !it.purse.is_idle(now));
}

fn count(of: usize) -> f64 {
    u32::try_from(of).map_or(f64::MAX, f64::from)
}
