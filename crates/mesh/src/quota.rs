//! Enforcement of customers' quotas: an entry asks for tokens, and the home of a customer, a daemon
//! chosen in each zone, grants them. The decisions are made by [`TokenCache`] and [`TokenBucket`].

mod borrow;
mod home;

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::{
    QuotaShare, Time, TokenBucket, TokenCache, TokenDecision, TokenGrant, UsageLevel,
};
use stoatstep_resource::CustomerName;
use tokio::sync::oneshot;

use crate::fleet::role;
use crate::node::Node;
use crate::wire::{Ask, Reply};
use home::{Homes, Location};
pub(crate) use home::{grant, lend, members_changed};

/// Timeout of a request to the home: some round trips within a zone.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Age at which what a customer was served expires at an entry.
const MAX_USAGE_AGE: Duration = Duration::from_secs(3);

/// Fraction of its even share of the zone's quota that an entry may use while the home does not
/// answer. If the home is alive but out of reach, it grants the whole share to others.
const RESERVE_FRACTION: f64 = 0.25;

/// Smallest capacity of an entry's reserve: with less than one token, nothing could be granted
/// from it.
const MIN_RESERVE: f64 = 1.0;

/// Result of waiting for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenOutcome {
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
    queues: RefCell<HashMap<CustomerName, CustomerQueue>>,
    homes: Homes,
}

/// The calls of one customer at this entry that wait for tokens, and the tokens in stock.
struct CustomerQueue {
    purse: TokenCache,
    waiting: VecDeque<oneshot::Sender<TokenOutcome>>,
    is_request_open: bool,
    /// Tokens that may be used while the home does not answer.
    reserve: TokenBucket,
    /// What the customer was served lately, as the home stated it, and when.
    usage: (UsageLevel, Time),
}

impl CustomerQueue {
    fn new(now: Time) -> Self {
        Self {
            purse: TokenCache::default(),
            waiting: VecDeque::new(),
            is_request_open: false,
            reserve: TokenBucket::empty(now),
            usage: (0, now),
        }
    }

    /// Hands tokens to waiting calls in order of arrival, and keeps the rest.
    fn distribute(&mut self, mut tokens: u32, now: Time) {
        while tokens > 0
            && let Some(call) = self.waiting.pop_front()
        {
            // A call that no longer waits needs no token.
            if call.send(TokenOutcome::Granted).is_ok() {
                tokens -= 1;
            }
        }
        self.purse.add(tokens, now);
    }

    fn finish_all(&mut self, outcome: TokenOutcome) {
        for call in self.waiting.drain(..) {
            let _ = call.send(outcome);
        }
    }
}

impl Quotas {
    /// Takes a token for a call of this customer.
    pub(crate) fn take(&self, customer: &CustomerName, now: Time) -> TokenDecision {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(customer.clone());
        queue
            .or_insert_with(|| CustomerQueue::new(now))
            .purse
            .take(now)
    }

    /// Queues a call for a token, and returns whether the home is already being asked.
    fn enqueue(
        &self,
        customer: &CustomerName,
        call: oneshot::Sender<TokenOutcome>,
        now: Time,
    ) -> bool {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(customer.clone());
        let queue = queue.or_insert_with(|| CustomerQueue::new(now));
        queue.waiting.push_back(call);
        std::mem::replace(&mut queue.is_request_open, true)
    }

    /// What the customer was served lately. A home that has not answered for a while may be cut
    /// off, and the customer counts as one that was not served.
    pub(crate) fn usage(&self, customer: &CustomerName, now: Time) -> UsageLevel {
        let queues = self.queues.borrow();
        let (level, at) = queues.get(customer).map_or((0, now), |it| it.usage);
        if now.saturating_sub(at) < MAX_USAGE_AGE {
            level
        } else {
            0
        }
    }

    /// Returns a token that a call did not use.
    pub(crate) fn give_back(&self, customer: &CustomerName, now: Time) {
        if let Some(queue) = self.queues.borrow_mut().get_mut(customer) {
            queue.distribute(1, now);
        }
    }
}

/// Waits for a token from the customer's home.
pub(crate) async fn wait(node: &Rc<Node>, customer: &CustomerName) -> TokenOutcome {
    let (tx, rx) = oneshot::channel();
    let is_request_open = node.quotas.enqueue(customer, tx, node.clock.now());
    if !is_request_open {
        ntex::rt::spawn(request_tokens(Rc::clone(node), customer.clone()));
    }
    rx.await.unwrap_or(TokenOutcome::Unknown)
}

/// Asks the home for tokens while calls wait, with one request at a time: calls that arrive during
/// a request are covered by the next one.
async fn request_tokens(node: Rc<Node>, customer: CustomerName) {
    while let Some(wanted) = next_request(&node, &customer) {
        let granted = match home::location_of(&node, &customer) {
            Some(Location::Here) => grant(&node, &customer, wanted).await,
            Some(Location::At(addr)) => {
                ask(&node, addr, Ask::Tokens(customer.clone(), wanted)).await
            }
            None => None,
        };
        apply_grant(&node, &customer, granted);
    }
}

/// Number of tokens to ask for; `None` if no call waits any more.
fn next_request(node: &Node, customer: &str) -> Option<u32> {
    let mut queues = node.quotas.queues.borrow_mut();
    let queue = queues.get_mut(customer)?;
    queue.waiting.retain(|it| !it.is_closed());
    let waiting = u32::try_from(queue.waiting.len()).unwrap_or(u32::MAX);
    queue.is_request_open = waiting > 0;
    queue
        .is_request_open
        .then(|| queue.purse.tokens_to_request(waiting))
}

async fn ask(node: &Node, addr: SocketAddr, ask: Ask) -> Option<TokenGrant> {
    match node.links.ask_within(addr, ask, ANSWER_TIMEOUT).await {
        Ok(Reply::Tokens(granted)) => granted.map(TokenGrant::from),
        Ok(_) | Err(_) => None,
    }
}

fn apply_grant(node: &Node, customer: &str, granted: Option<TokenGrant>) {
    let now = node.clock.now();
    let reserve = granted
        .is_none()
        .then(|| reserve_share(node, customer))
        .flatten();
    let mut queues = node.quotas.queues.borrow_mut();
    let Some(queue) = queues.get_mut(customer) else {
        return;
    };
    let Some(granted) = granted else {
        node.journal.count("quota.unanswered");
        let waiting = u32::try_from(queue.waiting.len()).unwrap_or(u32::MAX);
        let granted = reserve.map(|share| queue.reserve.grant(waiting, share, now));
        queue.distribute(granted.map_or(0, |it| it.tokens), now);
        queue.finish_all(TokenOutcome::Unknown);
        return;
    };
    queue.usage = (granted.usage, now);
    queue.distribute(granted.tokens, now);
    if let Some(pause) = granted.retry_after {
        queue.purse.refused(pause, now);
        queue.finish_all(TokenOutcome::Refused(pause));
    }
}

/// The share of the quota that this entry may use while the home does not answer; `None` if it does
/// not know among how many entries the quota is divided.
fn reserve_share(node: &Node, customer: &str) -> Option<QuotaShare> {
    if !role::has_met_fleet(node) {
        return None;
    }
    let in_force = node.fleet.in_force()?;
    let quota = in_force.keys.customer(customer)?.quota?;
    let entries = node.quotas.homes.members().max(1);
    let of = home::share_of_zone(node) * RESERVE_FRACTION / to_f64(entries);
    // The room that a zone's bucket has at least would add up over the entries.
    Some(QuotaShare {
        burst: (f64::from(quota.burst) * of).max(MIN_RESERVE),
        ..QuotaShare::new(quota, of)
    })
}

/// Removes customers that have not called for a while.
pub(crate) fn tick(node: &Node) {
    let now = node.clock.now();
    let mut queues = node.quotas.queues.borrow_mut();
    queues.retain(|_, it| it.is_request_open || !it.purse.is_idle(now));
}

fn to_f64(of: usize) -> f64 {
    u32::try_from(of).map_or(f64::MAX, f64::from)
}
