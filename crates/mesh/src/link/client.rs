//! The end of a link that sends requests.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use slog::Logger;
use stoatstep_calls::{Reason, Refusal, Time};
use stoatstep_telemetry::fields;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{Notify, oneshot};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::codec::{FramedRead, FramedWrite};

use super::framing::{Encoded, Outgoing};
use super::reassembly::{BadFrame, Reassembler, Received};
use super::traffic::{Cause, LinkTraffic};
use super::uplink::SharedUplink;
use super::{Reader, codec, decode, encode, encode_ask, write};
use crate::clock::Clock;
use crate::memory::{MAX_WHOLE_ANSWER, MemoryShares};
use crate::wire::{Ask, AskId, End, Ran, Reply, ToClient, ToServer};

/// Time limit for connecting. Between zones of a region connecting takes a few
/// milliseconds. After the limit, a call can still be sent to another daemon.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after a failed attempt to connect in which no other is made. Without it, each call
/// for an unreachable daemon would wait for the time limit again.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);

/// Interval at which a link with pending requests is checked for silence, and the silence
/// after which a ping is sent. A busy link is never silent for that long.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Silence after which a link is closed. A connection can stop delivering data without an
/// error, which only a timeout detects. It is longer than a daemon ever takes to answer a
/// ping on a busy instance.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Silence of a link with pending requests, a ping among them, after which nothing more is sent
/// on it. A request that is sent while the peer is cut off may have run, as far as this daemon
/// can tell; one that was not sent can still be answered elsewhere.
const SUSPECT_SILENCE: Duration = CHECK_INTERVAL.saturating_mul(2);

/// Why a request got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkError {
    /// The request never left this process: the peer cannot have acted on it.
    NotSent,
    /// The request may have reached the peer.
    Lost,
}

/// What all links of a daemon share.
#[derive(Clone)]
pub(crate) struct LinkContext {
    pub(crate) uplink: Rc<SharedUplink>,
    pub(crate) traffic: Rc<LinkTraffic>,
    pub(crate) memory: MemoryShares,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
}

/// The links to all peers, by address. A link is opened with the first request to its peer.
pub(crate) struct Links {
    cx: LinkContext,
    table: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    /// Set once this daemon stops: when the answers to its requests have to be here.
    answers_due: Rc<Cell<Option<Time>>>,
}

impl Links {
    pub(crate) fn new(cx: LinkContext) -> Self {
        Self {
            cx,
            table: RefCell::default(),
            answers_due: Rc::default(),
        }
    }

    /// Tells all peers, on present and future links, that this daemon stops and when the answers
    /// to its requests have to be here.
    pub(crate) fn announce_stop(&self, answers_due: Time) {
        self.answers_due.set(Some(answers_due));
        for link in self.table.borrow().values() {
            link.send_stop(answers_due, self.cx.clock.now());
        }
    }

    /// Sends a request to the daemon at `addr` and waits for the reply. Dropping the future
    /// cancels the request.
    pub(crate) async fn ask(&self, addr: SocketAddr, ask: Ask) -> Result<Reply, LinkError> {
        self.ask_and_count(addr, ask, BytesReceived::default())
            .await
    }

    async fn ask_and_count(
        &self,
        addr: SocketAddr,
        ask: Ask,
        received: BytesReceived,
    ) -> Result<Reply, LinkError> {
        let link = self.link(addr);
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter { tx, received };
        let id = link.register(waiter, self.cx.clock.now())?;
        let guard = PendingGuard { link: &link, id };
        let cause = Cause::of_ask(&ask);
        let message = encode_ask(id, ask);
        self.cx.traffic.record(cause, addr.ip(), message.len());
        link.queue(id, message);
        let reply = rx.await.unwrap_or(Err(LinkError::Lost));
        guard.disarm();
        reply
    }

    /// Sends a request like [`Links::ask`], unless the link to `addr` has been silent for a while
    /// although a reply is due. Counts the bytes of the reply that arrive before it is complete.
    pub(crate) async fn ask_unless_silent(
        &self,
        addr: SocketAddr,
        ask: Ask,
        received: BytesReceived,
    ) -> Result<Reply, LinkError> {
        let link = self.table.borrow().get(&addr).cloned();
        if link.is_some_and(|it| it.is_silent(self.cx.clock.now())) {
            return Err(LinkError::NotSent);
        }
        self.ask_and_count(addr, ask, received).await
    }

    /// Sends a request like [`Links::ask`], and waits at most `bound` for the reply.
    pub(crate) async fn ask_within(
        &self,
        addr: SocketAddr,
        ask: Ask,
        bound: Duration,
    ) -> Result<Reply, LinkError> {
        let reply = timeout(bound, self.ask(addr, ask)).await;
        reply.unwrap_or(Err(LinkError::Lost))
    }

    /// Closes all links. Called after a suspension of the instance, during which the peers
    /// may have closed them.
    pub(crate) fn close_all(&self) {
        let links: Vec<_> = self.table.borrow_mut().drain().collect();
        for (_, link) in links {
            link.close_requested.notify_one();
        }
    }

    /// The link to `addr`, which is opened if there is no usable one.
    fn link(&self, addr: SocketAddr) -> Rc<Link> {
        let now = self.cx.clock.now();
        let mut links = self.table.borrow_mut();
        if let Some(link) = links.get(&addr)
            && link.is_usable(now)
        {
            return Rc::clone(link);
        }
        let (tx, rx) = mpsc::unbounded_channel();
        let link = Rc::new(Link::new(tx));
        links.insert(addr, Rc::clone(&link));
        let context = TaskContext {
            addr,
            cx: self.cx.clone(),
            answers_due: Rc::clone(&self.answers_due),
        };
        ntex::rt::spawn(run(Rc::clone(&link), rx, context));
        link
    }
}

/// Connection state of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Connecting,
    Up,
    /// Connecting failed; it is not tried again before this time.
    Down(Time),
    Closed,
}

/// How much of a reply is there, shared with whoever waits for it.
pub(crate) type BytesReceived = Rc<Cell<usize>>;

/// Waits for the reply to a request.
struct Waiter {
    tx: oneshot::Sender<Result<Reply, LinkError>>,
    received: BytesReceived,
}

struct Link {
    queue: UnboundedSender<Outgoing>,
    /// Requests without a reply yet.
    pending: RefCell<HashMap<AskId, Waiter>>,
    next: Cell<AskId>,
    stage: Cell<Stage>,
    /// When something was last received, or a request was sent while none was pending.
    last_received: Cell<Time>,
    /// Wakes the reader when a request is sent while none is pending.
    became_busy: Notify,
    /// Has the link closed.
    close_requested: Notify,
}

impl Link {
    fn new(queue: UnboundedSender<Outgoing>) -> Self {
        Self {
            queue,
            pending: RefCell::default(),
            next: Cell::new(0),
            stage: Cell::new(Stage::Connecting),
            last_received: Cell::default(),
            became_busy: Notify::new(),
            close_requested: Notify::new(),
        }
    }

    fn is_usable(&self, now: Time) -> bool {
        match self.stage.get() {
            Stage::Connecting | Stage::Up => true,
            // Every request fails as not sent at once.
            Stage::Down(until) => now < until,
            Stage::Closed => false,
        }
    }

    fn is_silent(&self, now: Time) -> bool {
        let silence = now.saturating_sub(self.last_received.get());
        let is_due = !self.pending.borrow().is_empty();
        self.stage.get() == Stage::Up && is_due && silence >= SUSPECT_SILENCE
    }

    fn register(&self, waiter: Waiter, now: Time) -> Result<AskId, LinkError> {
        if matches!(self.stage.get(), Stage::Down(_) | Stage::Closed) {
            return Err(LinkError::NotSent);
        }
        let id = self.next.get();
        self.next.set(id + 1);
        let mut pending = self.pending.borrow_mut();
        if pending.is_empty() {
            self.last_received.set(now);
            self.became_busy.notify_one();
        }
        pending.insert(id, waiter);
        Ok(id)
    }

    fn send(&self, id: AskId, message: &ToServer) {
        self.queue(id, encode(message));
    }

    fn queue(&self, id: AskId, message: Encoded) {
        // This fails only if the link is closed, and then every pending request has failed.
        let _ = self.queue.send(Outgoing::Message(id, message, None));
    }

    /// Tells the peer by when this daemon, which stops, needs the answers to its requests. A link
    /// that is still connecting does so once it is up, since the time passes meanwhile.
    fn send_stop(&self, answers_due: Time, now: Time) {
        if self.stage.get() == Stage::Up {
            let left = answers_due.saturating_sub(now);
            self.send(AskId::MAX, &ToServer::Stops(left));
        }
    }

    fn close(&self, stage: Stage, err: LinkError) {
        self.stage.set(stage);
        let pending = std::mem::take(&mut *self.pending.borrow_mut());
        for (_, waiter) in pending {
            let _ = waiter.tx.send(Err(err));
        }
    }

    fn record_part(&self, id: AskId, len: usize) {
        if let Some(waiter) = self.pending.borrow().get(&id) {
            waiter.received.set(len);
        }
    }

    fn deliver(&self, id: AskId, reply: Reply) {
        let waiter = self.pending.borrow_mut().remove(&id);
        if let Some(waiter) = waiter {
            let _ = waiter.tx.send(Ok(reply));
        }
    }
}

/// Guard of a pending request. Dropping it cancels the request at the peer.
struct PendingGuard<'a> {
    link: &'a Link,
    id: AskId,
}

impl PendingGuard<'_> {
    fn disarm(self) {
        std::mem::forget(self);
    }
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.link.pending.borrow_mut().remove(&self.id);
        // Chunks of a large request may not have been sent yet.
        let _ = self.link.queue.send(Outgoing::Abort(self.id));
        self.link.send(self.id, &ToServer::Cancel(self.id));
    }
}

/// What a link's task needs besides the link.
struct TaskContext {
    addr: SocketAddr,
    cx: LinkContext,
    answers_due: Rc<Cell<Option<Time>>>,
}

async fn run(link: Rc<Link>, queue: UnboundedReceiver<Outgoing>, context: TaskContext) {
    let TaskContext {
        addr,
        cx,
        answers_due,
    } = context;
    let clock = cx.clock;
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let Ok(Ok(stream)) = connected else {
        link.close(
            Stage::Down(clock.now() + RECONNECT_DELAY),
            LinkError::NotSent,
        );
        return;
    };
    // Without this, a short message waits for the acknowledgement of the previous one.
    if stream.set_nodelay(true).is_err() {
        link.close(Stage::Closed, LinkError::NotSent);
        return;
    }
    link.stage.set(Stage::Up);
    link.last_received.set(clock.now());
    if let Some(due) = answers_due.get() {
        link.send_stop(due, clock.now());
    }
    let (reader, writer) = stream.into_split();
    let reader = FramedRead::new(reader, codec());
    let writer = FramedWrite::new(writer, codec());
    tokio::select! {
        () = write(writer, queue, Rc::clone(&cx.uplink)) => {}
        () = read(&link, reader, &cx) => {}
        () = link.close_requested.notified() => {}
    }
    let pending = link.pending.borrow().len();
    if pending > 0 {
        let silent = clock.now().saturating_sub(link.last_received.get());
        slog::warn!(cx.log, "link lost";
            fields::PEER => %addr, fields::OPEN => pending, fields::SILENT_MS => silent.as_millis());
    }
    link.close(Stage::Closed, LinkError::Lost);
}

/// Delivers replies until the connection ends or is silent for too long.
async fn read(link: &Link, mut reader: Reader, cx: &LinkContext) {
    let clock = cx.clock;
    let mut reassembler = Reassembler::of_answers(&cx.memory);
    let mut check = interval(CHECK_INTERVAL);
    check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let is_busy = !link.pending.borrow().is_empty();
        tokio::select! {
            frame = reader.next() => {
                let Some(Ok(frame)) = frame else {
                    return;
                };
                link.last_received.set(clock.now());
                let message = match reassembler.process(frame) {
                    Ok(Received::Message(message)) => message,
                    Ok(Received::Part(id, len)) => {
                        link.record_part(id, len);
                        continue;
                    }
                    Ok(Received::Nothing) => continue,
                    Err(_) => return,
                };
                let Some(ToClient(id, reply)) = decode(&message) else {
                    return;
                };
                let Ok(reply) = with_body(id, reply, &mut reassembler, cx) else {
                    return;
                };
                link.deliver(id, reply);
            }
            () = link.became_busy.notified(), if !is_busy => {}
            _ = check.tick(), if is_busy => {
                let silent = clock.now().saturating_sub(link.last_received.get());
                if silent >= SILENCE_TIMEOUT {
                    return;
                }
                if silent >= CHECK_INTERVAL {
                    link.send(AskId::MAX, &ToServer::Ask(AskId::MAX, Ask::Ping));
                }
            }
        }
    }
}

/// Adds the body that was sent before a reply, and accounts for one that came with it. An answer for
/// whose body there is no memory is lost: the call has run.
fn with_body(
    id: AskId,
    reply: Reply,
    reassembler: &mut Reassembler,
    cx: &LinkContext,
) -> Result<Reply, BadFrame> {
    let ran = match reply {
        Reply::RanWithBody(ran) => ran,
        Reply::Ran(mut ran) => {
            account_for_body(&mut ran.end, cx);
            return Ok(Reply::Ran(ran));
        }
        reply => return Ok(reply),
    };
    let End::Answered(mut answer) = ran.end else {
        return Err(BadFrame);
    };
    let end = if let Some(body) = reassembler.take_body(id)? {
        Arc::make_mut(&mut answer).body = body;
        End::Answered(answer)
    } else {
        slog::warn!(cx.log, "no memory for an answer"; fields::BYTES => cx.memory.answers.used());
        End::Refused(Refusal::permanent(Reason::LostAnswer))
    };
    Ok(Reply::Ran(Ran { end, ..ran }))
}

/// Leases memory for the body of an answer that its caller may read slowly. It is small, so it is kept
/// also without.
fn account_for_body(end: &mut End, cx: &LinkContext) {
    let len = end.body_len();
    if len <= MAX_WHOLE_ANSWER {
        return;
    }
    let answers = &cx.memory.answers;
    let Some(lease) = answers.try_lease(len) else {
        answers.transfers().evict_stalled();
        return;
    };
    if let End::Answered(answer) = end {
        let body = &mut Arc::make_mut(answer).body;
        *body = mem::take(body).with_lease(lease);
    }
}
