//! The end of a link that answers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use stoatstep_calls::AttemptId;
use stoatstep_telemetry::fields;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio_util::codec::{FramedRead, FramedWrite};

use super::pieces::{Assembly, Outgoing};
use super::{Reader, codec, decode, encode, write};
use crate::executor::{self, Way};
use crate::fleet;
use crate::node::Node;
use crate::quarantine;
use crate::quota;
use crate::rollout::{self, Source};
use crate::wire::{Ask, AskId, Attempt, GrantWire, Reply, ToClient, ToServer};

/// Pause after a failed accept, most often for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts links until the process ends.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                ntex::rt::spawn(connection(Rc::clone(&node), stream));
            }
            Err(err) => {
                slog::warn!(node.log, "link not accepted"; fields::ERROR => %err);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// One link, and the attempts that came over it and have not ended.
struct Connection {
    node: Rc<Node>,
    queue: UnboundedSender<Outgoing>,
    running: RefCell<HashMap<AskId, AttemptId>>,
}

impl Connection {
    fn reply(&self, id: AskId, reply: Reply) {
        // It fails only where the link is closed; whoever asked will settle.
        let is_urgent = matches!(reply, Reply::Newer(..));
        let message = encode(&ToClient(id, reply));
        let _ = self.queue.send(if is_urgent {
            Outgoing::Urgent(id, message)
        } else {
            Outgoing::Message(id, message)
        });
    }
}

async fn connection(node: Rc<Node>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (queue, rx) = mpsc::unbounded_channel();
    let connection = Rc::new(Connection {
        node: Rc::clone(&node),
        queue,
        running: RefCell::default(),
    });
    let (reader, writer) = stream.into_split();
    tokio::select! {
        () = write(FramedWrite::new(writer, codec()), rx, Rc::clone(&node.uplink)) => {}
        () = read(&connection, FramedRead::new(reader, codec())) => {}
    }
    let running = std::mem::take(&mut *connection.running.borrow_mut());
    executor::orphaned(&node, running.into_values().collect());
}

async fn read(connection: &Rc<Connection>, mut reader: Reader) {
    let mut assembly = Assembly::default();
    while let Some(Ok(frame)) = reader.next().await {
        let message = match assembly.take(frame) {
            Ok(Some(message)) => message,
            Ok(None) => continue,
            Err(_) => return,
        };
        match decode::<ToServer>(&message) {
            Some(ToServer::Ask(id, ask)) => take(connection, id, ask),
            Some(ToServer::Cancel(id)) => cancel(connection, id),
            None => return,
        }
    }
}

fn take(connection: &Rc<Connection>, id: AskId, ask: Ask) {
    let node = Rc::clone(&connection.node);
    match ask {
        Ask::Run(attempt) => run(connection, id, attempt),
        Ask::Settle(attempt, ticket) => later(connection, id, async move {
            Reply::Settled(executor::settle(&node, attempt, ticket).await)
        }),
        Ask::Gossip(message, news) => later(connection, id, async move {
            fleet::gossip::apply_piggyback(&node, news);
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
        Ask::Holds(peer, mark) => {
            fleet::gossip::peer_announced(&node, peer, mark);
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
        Ask::Tokens(customer, wanted) => {
            let grant = quota::grant(&node, &customer, wanted);
            connection.reply(id, Reply::Tokens(grant.map(GrantWire::from)));
        }
        Ask::Borrow(customer, wanted) => {
            let grant = quota::lend(&node, &customer, wanted);
            connection.reply(id, Reply::Tokens(grant.map(GrantWire::from)));
        }
        Ask::Ping => connection.reply(id, Reply::Pong),
    }
}

/// Sends a reply when it is there; messages behind the question go on meanwhile.
fn later(connection: &Rc<Connection>, id: AskId, reply: impl Future<Output = Reply> + 'static) {
    let connection = Rc::clone(connection);
    ntex::rt::spawn(async move {
        let reply = reply.await;
        connection.reply(id, reply);
    });
}

/// Takes an attempt before the next message is read, which may cancel it.
fn run(connection: &Rc<Connection>, id: AskId, attempt: Attempt) {
    connection.running.borrow_mut().insert(id, attempt.id);
    let begun = executor::begin(&connection.node, attempt, Way::Link);
    let connection = Rc::clone(connection);
    ntex::rt::spawn(async move {
        let ran = executor::ended(&connection.node, begun).await;
        connection.running.borrow_mut().remove(&id);
        connection.reply(id, Reply::Ran(ran));
    });
}

fn cancel(connection: &Connection, id: AskId) {
    let attempt = connection.running.borrow_mut().remove(&id);
    if let Some(attempt) = attempt {
        executor::cancel(&connection.node, attempt);
    }
    // Its answer may be on its way out.
    let _ = connection.queue.send(Outgoing::Withdraw(id));
}
