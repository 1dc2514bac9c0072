//! The end of a link that receives requests and replies to them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use stoatstep_body::Body;
use stoatstep_calls::{AttemptId, Deadline, Ticket, Time};
use stoatstep_telemetry::fields;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::time::sleep;
use tokio_util::codec::{FramedRead, FramedWrite};

use super::answer::AnswerLabel;
use super::framing::{Encoded, Outgoing};
use super::open::{OpenLink, OpenLinks};
use super::reassembly::{Reassembler, Received};
use super::traffic::Cause;
use super::{Reader, codec, decode, encode_reply, write};
use crate::drain::InFlight;
use crate::executor::{self, Origin};
use crate::fleet;
use crate::node::Node;
use crate::quarantine;
use crate::quota;
use crate::rollout::{self, Source};
use crate::wire::{Ask, AskId, Attempt, CallParts, GrantWire, Reply, ToServer};
use crate::zones;

/// Delay after a failed accept, which is most often due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How often a link with an incomplete body is checked for its eviction.
const EVICTION_CHECK: Duration = Duration::from_millis(200);

/// Accepts links until the process ends.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener, max_links: usize) {
    let open = OpenLinks::default();
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if !open.make_room(max_links).await {
                    continue;
                }
                let link = open.add();
                ntex::rt::spawn(connection(Rc::clone(&node), stream, peer.ip(), link));
            }
            Err(err) => {
                slog::warn!(node.log, "link not accepted"; fields::ERROR => %err);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// A link that a peer has opened.
struct Connection {
    node: Rc<Node>,
    peer: IpAddr,
    queue: UnboundedSender<Outgoing>,
    /// Set once the peer stops: when the answers to its requests have to be there.
    answers_due: Cell<Option<Time>>,
    /// Attempts that came over this link and have not ended.
    running: RefCell<HashMap<AskId, AttemptId>>,
}

impl Connection {
    /// The time by which an attempt of the peer with the deadline `expires` has to be answered.
    fn answer_by(&self, expires: Time) -> Time {
        self.origin().answer_by(&self.node, expires)
    }

    /// Where the attempts of this link come from.
    fn origin(&self) -> Origin {
        Origin::Link {
            answers_due: self.answers_due.get(),
        }
    }

    fn reply(&self, id: AskId, reply: Reply) {
        let queue_as = match &reply {
            Reply::Newer(..) => Outgoing::Urgent,
            _ => |id, bytes| Outgoing::Message(id, bytes, None),
        };
        self.send(id, Cause::of_reply(&reply), reply, queue_as);
    }

    fn send(
        &self,
        id: AskId,
        cause: Cause,
        reply: Reply,
        queue_as: impl FnOnce(AskId, Encoded) -> Outgoing,
    ) {
        // This fails only if the link is closed. The peer then asks for the outcome of its
        // attempts over another link.
        let message = encode_reply(id, reply);
        self.node.traffic.record(cause, self.peer, message.len());
        let _ = self.queue.send(queue_as(id, message));
    }
}

async fn connection(node: Rc<Node>, stream: TcpStream, peer: IpAddr, open: OpenLink) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (queue, rx) = mpsc::unbounded_channel();
    let connection = Rc::new(Connection {
        node: Rc::clone(&node),
        peer,
        queue,
        answers_due: Cell::new(None),
        running: RefCell::default(),
    });
    let (reader, writer) = stream.into_split();
    tokio::select! {
        () = write(FramedWrite::new(writer, codec()), rx, Rc::clone(&node.uplink)) => {}
        () = read(&connection, FramedRead::new(reader, codec()), &open) => {}
        () = open.closed() => {}
    }
    let running = std::mem::take(&mut *connection.running.borrow_mut());
    executor::link_lost(&node, running.into_values().collect());
}

async fn read(connection: &Rc<Connection>, mut reader: Reader, open: &OpenLink) {
    let node = &connection.node;
    let mut reassembler = Reassembler::of_requests(&node.memory);
    loop {
        let frame = tokio::select! {
            biased;
            frame = reader.next() => frame,
            () = sleep(EVICTION_CHECK), if reassembler.has_bodies() => {
                reassembler.drop_evicted();
                continue;
            }
        };
        let Some(Ok(frame)) = frame else {
            return;
        };
        let message = match reassembler.process(frame) {
            Ok(Received::Message(message)) => message,
            Ok(Received::Part(..) | Received::Nothing) => continue,
            Err(_) => return,
        };
        let Some(message) = decode::<ToServer>(&message) else {
            return;
        };
        open.has_spoken();
        match message {
            ToServer::RunWithBody(id, attempt) => match reassembler.take_body(id) {
                Ok(body) => run_with_body(connection, id, attempt, body),
                Err(_) => return,
            },
            ToServer::Ask(id, ask) => handle(connection, id, ask),
            ToServer::Cancel(id) => cancel(connection, id),
            ToServer::Stops(left) => peer_stops(connection, left),
        }
    }
}

/// Accepts an attempt whose body came with its message, if there is memory for it.
fn run_inline(connection: &Rc<Connection>, id: AskId, attempt: Attempt) {
    let body = attempt.call.body.clone();
    let lease = connection.node.memory.requests.try_lease(body.len());
    let body = lease.map(|it| body.with_lease(it));
    run_with_body(connection, id, attempt, body);
}

/// Accepts an attempt with its body; without one, there was no memory for it.
fn run_with_body(connection: &Rc<Connection>, id: AskId, mut attempt: Attempt, body: Option<Body>) {
    let Some(body) = body else {
        connection.node.memory.requests.transfers().evict_stalled();
        let ran = executor::no_memory(&connection.node);
        connection.reply(id, Reply::Ran(ran));
        return;
    };
    let call = Rc::unwrap_or_clone(attempt.call);
    attempt.call = Rc::new(CallParts { body, ..call });
    run(connection, id, attempt);
}

fn handle(connection: &Rc<Connection>, id: AskId, ask: Ask) {
    let node = Rc::clone(&connection.node);
    match ask {
        Ask::Run(attempt) => run_inline(connection, id, attempt),
        Ask::Settle(attempt, ticket) => settle(connection, id, attempt, ticket),
        Ask::Gossip(message, piggyback) => reply_later(connection, id, async move {
            fleet::gossip::apply_piggyback(&node, piggyback);
            let reply = fleet::gossip::answer(&node, message).await;
            Reply::Gossip(reply, fleet::gossip::piggyback(&node))
        }),
        Ask::Newer(held) => {
            let newer = fleet::versions::newer_than(&node, held);
            let is_new = held.version == 0;
            let rollouts = if is_new {
                node.rollouts.all()
            } else {
                Vec::new()
            };
            connection.reply(id, Reply::Newer(newer, rollouts));
        }
        Ask::Rollout(progress) => {
            rollout::apply_progress(&node, &progress, Source::Peer);
            connection.reply(id, Reply::Pong);
        }
        Ask::Findings(findings) => {
            quarantine::apply_findings(&node, &findings, quarantine::Delivery::Direct);
            connection.reply(id, Reply::Pong);
        }
        Ask::Evidence(service, order) => {
            let evidence = rollout::evidence(&node, &service, order);
            connection.reply(id, Reply::Evidence(evidence));
        }
        Ask::Holds(peer, config_id) => {
            fleet::gossip::peer_announced(&node, peer, config_id);
            connection.reply(id, Reply::Pong);
        }
        Ask::Occupancy => {
            let occupancy = executor::occupancy(&node);
            connection.reply(id, Reply::Occupancy(occupancy));
        }
        Ask::Following => connection.reply(id, fleet::contact::answer(&node)),
        Ask::LostStore(peer) => {
            fleet::contact::peer_lost_store(&node, peer);
            connection.reply(id, Reply::Pong);
        }
        Ask::Confirmed => {
            let confirmed = fleet::confirmation::own(&node);
            connection.reply(id, Reply::Confirmed(confirmed));
        }
        Ask::Tokens(customer, wanted) => reply_later(connection, id, async move {
            let grant = quota::grant(&node, &customer, wanted).await;
            Reply::Tokens(grant.map(GrantWire::from))
        }),
        Ask::Borrow(customer, wanted, rate) => {
            let lent = quota::lend(&node, &customer, wanted, (connection.peer, rate));
            connection.reply(id, Reply::Lent(lent));
        }
        Ask::Load(member, report) => {
            let advice = zones::handle_report(&node, member, report);
            connection.reply(id, Reply::Advice(advice));
        }
        Ask::ZoneRoom(zone, room) => {
            let own = zones::handle_zone_room(&node, zone, room);
            connection.reply(id, Reply::ZoneRoom(own));
        }
        Ask::Ping => connection.reply(id, Reply::Pong),
    }
}

/// Sends a reply once it is available, without delaying the link's next messages.
fn reply_later(
    connection: &Rc<Connection>,
    id: AskId,
    reply: impl Future<Output = Reply> + 'static,
) {
    let connection = Rc::clone(connection);
    ntex::rt::spawn(async move {
        let reply = reply.await;
        connection.reply(id, reply);
    });
}

/// Accepts an attempt. This happens before the next message is read, since that may cancel
/// the attempt.
fn run(connection: &Rc<Connection>, id: AskId, attempt: Attempt) {
    connection.running.borrow_mut().insert(id, attempt.id);
    let cause = Cause::Answer(attempt.call.route.clone());
    let expires = Deadline::after(attempt.left, connection.node.clock.now()).expires();
    let mut label = AnswerLabel::new(&attempt, executor::band_of(&attempt), expires);
    let accepted = executor::accept(&connection.node, attempt, connection.origin());
    let connection = Rc::clone(connection);
    ntex::rt::spawn(async move {
        let (ran, in_flight) = executor::wait(&connection.node, accepted).await;
        connection.running.borrow_mut().remove(&id);
        label.due = connection.answer_by(expires);
        let queue_as = |id, bytes| Outgoing::Answer(id, bytes, label, in_flight);
        connection.send(id, cause, Reply::Ran(ran), queue_as);
    });
}

/// Sends the outcome of an attempt whose link was lost, which may be its answer.
fn settle(connection: &Rc<Connection>, id: AskId, attempt: AttemptId, ticket: Ticket) {
    let connection = Rc::clone(connection);
    ntex::rt::spawn(async move {
        let in_flight = InFlight::enter(&connection.node);
        let settled = executor::settle(&connection.node, attempt, ticket).await;
        let queue_as = |id, bytes| Outgoing::Message(id, bytes, Some(in_flight));
        connection.send(id, Cause::Settling, Reply::Settled(settled), queue_as);
    });
}

/// Has the peer's attempts answered within this time, or refused as not run.
fn peer_stops(connection: &Connection, left: Duration) {
    let node = &connection.node;
    let due = node.clock.now() + left;
    connection.answers_due.set(Some(due));
    let running = connection.running.borrow();
    executor::require_answers_by(node, running.values().copied(), due);
    let _ = connection.queue.send(Outgoing::AnswersDue(due));
}

fn cancel(connection: &Connection, id: AskId) {
    let attempt = connection.running.borrow_mut().remove(&id);
    if let Some(attempt) = attempt {
        executor::cancel(&connection.node, attempt);
    }
    // Chunks of its reply may not have been sent yet.
    let _ = connection.queue.send(Outgoing::Abort(id));
}
