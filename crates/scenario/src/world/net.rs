//! The ways between instances: latency, cuts, late and silent connections.

use std::cell::{Cell, RefCell};

use stoatstep_membership::Time;

use super::exec::{OUTSIDE, Sender, first, oneshot};
use super::{Index, World, ZoneIndex};
use crate::daemon::Node;
use std::rc::Rc;

/// One way within a zone, and between zones.
const NEAR: Time = Time::from_micros(200);
const FAR: Time = Time::from_millis(1);

/// Which connection a message takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// Control messages.
    Control,
    /// A version on its way down the tree.
    Push,
    /// The shared connection that attempts go over.
    Shared,
    /// A fresh connection.
    Fresh,
}

/// What happens to shared connections from one instance to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkFault {
    /// Requests arrive this much later.
    Late(Time),
    /// Requests arrive, and their answers never come back.
    Silent,
}

/// Why no answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lost {
    /// Nobody listens there: nothing was sent.
    NotSent,
    /// The connection broke, or the time is over.
    NoAnswer,
}

#[derive(Clone, Copy)]
struct Link {
    from: Index,
    to: Index,
    fault: LinkFault,
    until: Time,
}

/// The faults that are set.
#[derive(Default)]
pub(crate) struct Net {
    cuts: RefCell<Vec<(ZoneIndex, ZoneIndex, Time)>>,
    links: RefCell<Vec<Link>>,
    lost_pushes_until: Cell<Time>,
    damaged_pushes_until: Cell<Time>,
}

impl Net {
    pub(crate) fn cut(&self, a: ZoneIndex, b: ZoneIndex, until: Time) {
        self.cuts.borrow_mut().push((a, b, until));
    }

    pub(crate) fn set_link(&self, from: Index, to: Index, fault: LinkFault, until: Time) {
        let link = Link {
            from,
            to,
            fault,
            until,
        };
        self.links.borrow_mut().push(link);
    }

    pub(crate) fn lose_pushes(&self, until: Time) {
        self.lost_pushes_until.set(until);
    }

    pub(crate) fn damage_pushes(&self, until: Time) {
        self.damaged_pushes_until.set(until);
    }

    pub(crate) fn damages_pushes(&self, now: Time) -> bool {
        now < self.damaged_pushes_until.get()
    }

    fn is_cut(&self, a: ZoneIndex, b: ZoneIndex, now: Time) -> bool {
        let cuts = self.cuts.borrow();
        let mut pairs = cuts.iter().filter(|(_, _, until)| now < *until);
        pairs.any(|(x, y, _)| (*x, *y) == (a, b) || (*x, *y) == (b, a))
    }

    fn link(&self, from: Index, to: Index, way: Way, now: Time) -> Option<LinkFault> {
        if way != Way::Shared {
            return None;
        }
        let links = self.links.borrow();
        let mut active = links.iter().filter(|it| now < it.until);
        let link = active.find(|it| it.from == from && it.to == to);
        link.map(|it| it.fault)
    }

    fn loses(&self, way: Way, now: Time) -> bool {
        way == Way::Push && now < self.lost_pushes_until.get()
    }
}

/// Has the instance `to` carry out `handle` and brings back what it returns.
pub(crate) async fn ask<R: 'static>(
    from: &Rc<Node>,
    to: Index,
    way: Way,
    bound: Time,
    handle: impl AsyncFnOnce(Rc<Node>) -> R + 'static,
) -> Result<R, Lost> {
    let world = Rc::clone(&from.world);
    let (tx, rx) = oneshot();
    let sender = from.index;
    let under_way = Rc::clone(&world);
    // The message belongs to nobody: it arrives even if its sender dies.
    world.exec.spawn(OUTSIDE, async move {
        deliver(under_way, sender, to, way, tx, handle).await;
    });
    match first(rx, world.exec.sleep(bound)).await {
        Ok(Some(answer)) => answer,
        Ok(None) | Err(()) => Err(Lost::NoAnswer),
    }
}

async fn deliver<R: 'static>(
    world: Rc<World>,
    from: Index,
    to: Index,
    way: Way,
    tx: Sender<Result<R, Lost>>,
    handle: impl AsyncFnOnce(Rc<Node>) -> R + 'static,
) {
    let (zone, other) = (world.zone_of(from), world.zone_of(to));
    let latency = if zone == other { NEAR } else { FAR };
    let fault = world.net.link(from, to, way, world.exec.now());
    let late = match fault {
        Some(LinkFault::Late(by)) => by,
        Some(LinkFault::Silent) | None => Time::ZERO,
    };
    world.exec.sleep(latency + late).await;
    let now = world.exec.now();
    if world.net.is_cut(zone, other, now) || world.net.loses(way, now) {
        return silence(tx).await;
    }
    let Some(node) = world.node(to) else {
        return tx.send(Err(Lost::NotSent));
    };
    let life = node.life;
    let answering = Rc::clone(&world);
    world.exec.spawn(life, async move {
        let answer = handle(node).await;
        let back = Rc::clone(&answering);
        answering.exec.spawn(OUTSIDE, async move {
            back.exec.sleep(latency).await;
            let is_cut = back.net.is_cut(zone, other, back.exec.now());
            if is_cut || fault == Some(LinkFault::Silent) {
                return silence(tx).await;
            }
            tx.send(Ok(answer));
        });
    });
}

/// Keeps the connection open and says nothing, so that only the asker's own
/// bound ends the wait.
async fn silence<T>(tx: Sender<T>) {
    let _open = tx;
    std::future::pending::<()>().await;
}
