//! Quotas of customers, as one daemon takes part in holding them: as an entry that asks
//! for tokens, and as the home of some customers that grants them. What is decided is in
//! [`TokenCache`] and [`TokenBucket`].

mod home;

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stoatstep_calls::{QuotaShare, Time, TokenBucket, TokenCache, TokenDecision, TokenGrant};
use stoatstep_resource::CustomerName;
use tokio::sync::oneshot;

use crate::node::Node;
use crate::wire::{Ask, Reply};
use home::{Homes, Place};
pub(crate) use home::{grant, lend, members_changed};

/// Time for an answer of the home: some round trips within a zone.
const ANSWER_BOUND: Duration = Duration::from_millis(150);

/// Part of its even share of a zone that an entry may use while its home does not answer.
/// Where the home is there and only out of reach, it grants the whole share to others.
const RESERVE: f64 = 0.25;

/// What becomes of a call that waits for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It has one.
    Granted,
    /// The quota is used up; there is room after this time.
    Refused(Duration),
    /// The home did not answer.
    Unknown,
}

/// What this daemon knows of quotas.
#[derive(Default)]
pub(crate) struct Quotas {
    desks: RefCell<HashMap<CustomerName, Desk>>,
    homes: Homes,
}

/// Calls of one customer at this entry, and the tokens for them.
struct Desk {
    purse: TokenCache,
    waiting: VecDeque<oneshot::Sender<Verdict>>,
    is_asking: bool,
    /// What may be used while the home does not answer.
    reserve: TokenBucket,
}

impl Desk {
    fn new(now: Time) -> Self {
        Self {
            purse: TokenCache::default(),
            waiting: VecDeque::new(),
            is_asking: false,
            reserve: TokenBucket::empty(now),
        }
    }

    /// Hands tokens to calls that wait, the first first, and keeps the others.
    fn hand_out(&mut self, mut tokens: u32, now: Time) {
        while tokens > 0
            && let Some(call) = self.waiting.pop_front()
        {
            // Whoever left needs no token.
            if call.send(Verdict::Granted).is_ok() {
                tokens -= 1;
            }
        }
        self.purse.add(tokens, now);
    }

    fn end_all(&mut self, verdict: Verdict) {
        for call in self.waiting.drain(..) {
            let _ = call.send(verdict);
        }
    }
}

impl Quotas {
    /// Takes a token for a call of this customer.
    pub(crate) fn take(&self, customer: &CustomerName, now: Time) -> TokenDecision {
        let mut desks = self.desks.borrow_mut();
        let desk = desks.entry(customer.clone());
        desk.or_insert_with(|| Desk::new(now)).purse.take(now)
    }

    /// Has a call wait for a token, and says whether the home is being asked already.
    fn queue(&self, customer: &CustomerName, call: oneshot::Sender<Verdict>, now: Time) -> bool {
        let mut desks = self.desks.borrow_mut();
        let desk = desks.entry(customer.clone());
        let desk = desk.or_insert_with(|| Desk::new(now));
        desk.waiting.push_back(call);
        std::mem::replace(&mut desk.is_asking, true)
    }

    /// Takes back a token that a call did not use.
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

/// Asks the home for as long as calls wait, one question at a time: what comes while one is
/// open goes along with the next.
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

/// Tokens to ask for; nothing where no call waits any more.
fn next_question(node: &Node, customer: &str) -> Option<u32> {
    let mut desks = node.quotas.desks.borrow_mut();
    let desk = desks.get_mut(customer)?;
    desk.waiting.retain(|it| !it.is_closed());
    let waiting = u32::try_from(desk.waiting.len()).unwrap_or(u32::MAX);
    desk.is_asking = waiting > 0;
    desk.is_asking
        .then(|| desk.purse.tokens_to_request(waiting))
}

async fn ask(node: &Node, addr: SocketAddr, ask: Ask) -> Option<TokenGrant> {
    match node.links.ask_within(addr, ask, ANSWER_BOUND).await {
        Ok(Reply::Tokens(granted)) => granted.map(TokenGrant::from),
        Ok(_) | Err(_) => None,
    }
}

fn settle(node: &Node, customer: &str, granted: Option<TokenGrant>) {
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

/// What this entry may use on its own.
fn reserve(node: &Node, customer: &str) -> Option<QuotaShare> {
    let in_force = node.fleet.in_force()?;
    let quota = in_force.keys.customer(customer)?.quota?;
    let entries = node.quotas.homes.members().max(1);
    let of = home::share_of_zone(node) * RESERVE / count(entries);
    Some(QuotaShare::new(quota, of))
}

/// Forgets customers that have not called for a while.
pub(crate) fn tick(node: &Node) {
    let now = node.clock.now();
    let mut desks = node.quotas.desks.borrow_mut();
    desks.retain(|_, it| it.is_asking || !it.purse.is_idle(now));
}

fn count(of: usize) -> f64 {
    u32::try_from(of).map_or(f64::MAX, f64::from)
}
