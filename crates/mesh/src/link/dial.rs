//! The end of a link that asks.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use slog::Logger;
use stoatstep_calls::Time;
use stoatstep_telemetry::fields;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{Notify, oneshot};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::codec::{FramedRead, FramedWrite};

use super::pieces::{Assembly, Outgoing};
use super::uplink::SharedUplink;
use super::{Reader, codec, decode, encode, write};
use crate::clock::Clock;
use crate::wire::{Ask, AskId, Reply, ToClient, ToServer};

/// Time for a connection to come up. Between zones of a region it takes a few
/// milliseconds, and a call can still go elsewhere after it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after a failed connection in which no other one is tried. Without it
/// each call for a daemon that is gone would wait for a timeout of its own.
const DOWN_FOR: Duration = Duration::from_millis(250);

/// How often a link with open questions is looked at, and the silence after
/// which the other end is asked for a sign of life. A busy link is never silent
/// for that long.
const CHECK: Duration = Duration::from_millis(150);

/// Silence after which the link is given up. A connection can go silent for
/// good without an error, and nothing but a bound of our own shows it. Longer
/// than a daemon ever takes to answer a ping on a busy instance.
const SILENT: Duration = Duration::from_millis(600);

/// Why there is no answer to a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkError {
    /// It never left this process: the other daemon cannot have acted on it.
    NotSent,
    /// It may have arrived.
    Lost,
}

/// Links by address.
pub(crate) struct Links {
    clock: Clock,
    log: Logger,
    uplink: Rc<SharedUplink>,
    table: RefCell<HashMap<SocketAddr, Rc<Link>>>,
}

impl Links {
    pub(crate) fn new(uplink: Rc<SharedUplink>, clock: Clock, log: Logger) -> Self {
        Self {
            clock,
            log,
            uplink,
            table: RefCell::default(),
        }
    }

    /// Asks the daemon at `addr`. Dropping the future cancels the question.
    pub(crate) async fn ask(&self, addr: SocketAddr, ask: Ask) -> Result<Reply, LinkError> {
        let link = self.link(addr);
        let (tx, rx) = oneshot::channel();
        let id = link.register(tx, self.clock.now())?;
        let question = Question { link: &link, id };
        link.send(id, &ToServer::Ask(id, ask));
        let reply = rx.await.unwrap_or(Err(LinkError::Lost));
        question.answered();
        reply
    }

    /// The same, for at most `bound`.
    pub(crate) async fn ask_within(
        &self,
        addr: SocketAddr,
        ask: Ask,
        bound: Duration,
    ) -> Result<Reply, LinkError> {
        let reply = timeout(bound, self.ask(addr, ask)).await;
        reply.unwrap_or(Err(LinkError::Lost))
    }

    /// Closes links that have been silent through a suspension of the instance:
    /// their other ends may have given them up meanwhile.
    pub(crate) fn close_all(&self) {
        let links: Vec<_> = self.table.borrow_mut().drain().collect();
        for (_, link) in links {
            link.give_up.notify_one();
        }
    }

    fn link(&self, addr: SocketAddr) -> Rc<Link> {
        let now = self.clock.now();
        let mut links = self.table.borrow_mut();
        if let Some(link) = links.get(&addr)
            && link.is_usable(now)
        {
            return Rc::clone(link);
        }
        let (tx, rx) = mpsc::unbounded_channel();
        let link = Rc::new(Link::new(tx));
        links.insert(addr, Rc::clone(&link));
        let way = Way {
            addr,
            uplink: Rc::clone(&self.uplink),
            clock: self.clock,
            log: self.log.clone(),
        };
        ntex::rt::spawn(run(Rc::clone(&link), rx, way));
        link
    }
}

/// How far a link has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Connecting,
    Up,
    /// It never came up; no other one is tried before this time.
    Down(Time),
    Closed,
}

type Waiter = oneshot::Sender<Result<Reply, LinkError>>;

struct Link {
    queue: UnboundedSender<Outgoing>,
    open: RefCell<HashMap<AskId, Waiter>>,
    next: Cell<AskId>,
    stage: Cell<Stage>,
    /// When the other end was last heard of while questions were open.
    heard: Cell<Time>,
    /// Wakes the reader when a question is open again.
    busy: Notify,
    give_up: Notify,
}

impl Link {
    fn new(queue: UnboundedSender<Outgoing>) -> Self {
        Self {
            queue,
            open: RefCell::default(),
            next: Cell::new(0),
            stage: Cell::new(Stage::Connecting),
            heard: Cell::default(),
            busy: Notify::new(),
            give_up: Notify::new(),
        }
    }

    fn is_usable(&self, now: Time) -> bool {
        match self.stage.get() {
            Stage::Connecting | Stage::Up => true,
            // It answers every question with "not sent" at once.
            Stage::Down(until) => now < until,
            Stage::Closed => false,
        }
    }

    fn register(&self, waiter: Waiter, now: Time) -> Result<AskId, LinkError> {
        if matches!(self.stage.get(), Stage::Down(_) | Stage::Closed) {
            return Err(LinkError::NotSent);
        }
        let id = self.next.get();
        self.next.set(id + 1);
        let mut open = self.open.borrow_mut();
        if open.is_empty() {
            self.heard.set(now);
            self.busy.notify_one();
        }
        open.insert(id, waiter);
        Ok(id)
    }

    fn send(&self, id: AskId, message: &ToServer) {
        // It fails only where the link is closed, and then every open question
        // has been told so.
        let _ = self.queue.send(Outgoing::Message(id, encode(message)));
    }

    fn close(&self, stage: Stage, err: LinkError) {
        self.stage.set(stage);
        let open = std::mem::take(&mut *self.open.borrow_mut());
        for (_, waiter) in open {
            let _ = waiter.send(Err(err));
        }
    }

    fn deliver(&self, ToClient(id, reply): ToClient) {
        let waiter = self.open.borrow_mut().remove(&id);
        if let Some(waiter) = waiter {
            let _ = waiter.send(Ok(reply));
        }
    }
}

/// An open question. Dropping it tells the other end that nobody waits.
struct Question<'a> {
    link: &'a Link,
    id: AskId,
}

impl Question<'_> {
    fn answered(self) {
        std::mem::forget(self);
    }
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.link.open.borrow_mut().remove(&self.id);
        // A large question may still be on its way out.
        let _ = self.link.queue.send(Outgoing::Withdraw(self.id));
        self.link.send(self.id, &ToServer::Cancel(self.id));
    }
}

/// Where a link leads, and what it goes over.
struct Way {
    addr: SocketAddr,
    uplink: Rc<SharedUplink>,
    clock: Clock,
    log: Logger,
}

async fn run(link: Rc<Link>, queue: UnboundedReceiver<Outgoing>, way: Way) {
    let Way {
        addr,
        uplink,
        clock,
        log,
    } = way;
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let Ok(Ok(stream)) = connected else {
        link.close(Stage::Down(clock.now() + DOWN_FOR), LinkError::NotSent);
        return;
    };
    // Without it a short message waits for the ack of the one before.
    if stream.set_nodelay(true).is_err() {
        link.close(Stage::Closed, LinkError::NotSent);
        return;
    }
    link.stage.set(Stage::Up);
    link.heard.set(clock.now());
    let (reader, writer) = stream.into_split();
    let reader = FramedRead::new(reader, codec());
    let writer = FramedWrite::new(writer, codec());
    tokio::select! {
        () = write(writer, queue, uplink) => {}
        () = read(&link, reader, clock) => {}
        () = link.give_up.notified() => {}
    }
    let open = link.open.borrow().len();
    if open > 0 {
        let silent = clock.now().saturating_sub(link.heard.get());
        slog::warn!(log, "link lost";
            fields::PEER => %addr, fields::OPEN => open, fields::SILENT_MS => silent.as_millis());
    }
    link.close(Stage::Closed, LinkError::Lost);
}

/// Delivers answers until the link ends or is silent for too long.
async fn read(link: &Link, mut reader: Reader, clock: Clock) {
    let mut assembly = Assembly::default();
    let mut check = interval(CHECK);
    check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let is_busy = !link.open.borrow().is_empty();
        tokio::select! {
            frame = reader.next() => {
                let Some(Ok(frame)) = frame else {
                    return;
                };
                link.heard.set(clock.now());
                let message = match assembly.take(frame) {
                    Ok(Some(message)) => message,
                    Ok(None) => continue,
                    Err(_) => return,
                };
                let Some(message) = decode::<ToClient>(&message) else {
                    return;
                };
                link.deliver(message);
            }
            () = link.busy.notified(), if !is_busy => {}
            _ = check.tick(), if is_busy => {
                let silent = clock.now().saturating_sub(link.heard.get());
                if silent >= SILENT {
                    return;
                }
                if silent >= CHECK {
                    link.send(AskId::MAX, &ToServer::Ask(AskId::MAX, Ask::Ping));
                }
            }
        }
    }
}
