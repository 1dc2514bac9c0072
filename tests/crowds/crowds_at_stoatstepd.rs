//! Crowds at the ports of `stoatstepd`.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use ntex::time::sleep;

use crate::crowd::{Crowd, Framing, Misbehaviour};
use crate::fleet::Fleet;
use crate::http::run;
use crate::limits::alone;
use crate::support::process::{peak_mb, sockets};

/// Memory that a daemon may take for its control, in megabytes.
const MEMORY_MB: u64 = 128;

/// Sockets that a daemon may have open.
const MAX_SOCKETS: usize = 4096;

/// Size of a body that callers may send.
const BODY: usize = 255 << 10;

#[derive(Clone, Copy, Debug)]
enum Port {
    Callers,
    Operators,
    Peers,
}

fn check(port: Port, callers: usize, what: Misbehaviour) {
    let _alone = alone();
    run(crowd_at(port, callers, what));
}

async fn crowd_at(port: Port, callers: usize, what: Misbehaviour) {
    let mut fleet = Fleet::builder().instances(1).start();
    fleet.ready(Duration::from_secs(10)).await;
    let version = fleet.apply(0, fleet.default_resources()).await;
    fleet
        .holds_everywhere(version, Duration::from_secs(10))
        .await;
    let instance = &fleet.instances[0];
    let addr = match port {
        Port::Callers => instance.caller_addr,
        Port::Operators => instance.operator_addr,
        Port::Peers => instance.peer_addr,
    };
    let crowd = gather(addr, callers, what).await;
    serves(&fleet, "beside").await;
    let open = sockets(instance.daemon.id());
    drop(crowd);
    serves(&fleet, "afterwards").await;
    let peak = peak_mb(instance.daemon.id());
    println!("peak {peak} MB, {open} sockets");
    assert!(peak < MEMORY_MB, "{peak} MB");
    assert!(open <= MAX_SOCKETS, "{open} sockets");
}

/// Gathers a crowd beside this runtime.
async fn gather(addr: SocketAddr, callers: usize, what: Misbehaviour) -> Crowd {
    let gathering = thread::spawn(move || Crowd::gather_at(addr, "/floatdesk", callers, what));
    while !gathering.is_finished() {
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_secs(1)).await;
    gathering.join().expect("no panic")
}

/// An ordinary call is answered; its caller tries again when it is refused.
async fn serves(fleet: &Fleet, when: &str) {
    let mut last = None;
    for _ in 0..50 {
        let answer = fleet.call(0, "/floatdesk").await;
        if answer.as_ref().is_ok_and(|it| it.status == 200) {
            return;
        }
        last = Some(answer.map(|it| it.status));
        sleep(Duration::from_millis(100)).await;
    }
    panic!("not served {when}: {last:?}");
}

/// Guards against bodies of callers that stop short of their end and fill the memory.
#[test]
fn calls_that_stop_short() {
    let what = Misbehaviour::StopsShort(Framing::Stated, BODY);
    check(Port::Callers, 800, what);
}

/// Guards against bodies of callers in tiny chunks.
#[test]
fn calls_in_tiny_chunks_that_stop_short() {
    let what = Misbehaviour::StopsShort(Framing::Chunks(1), 60_000);
    check(Port::Callers, 400, what);
}

/// Guards against whole bodies of callers that arrive at once.
#[test]
fn whole_calls_at_once() {
    let what = Misbehaviour::SendsWhole(Framing::Stated, BODY);
    check(Port::Callers, 800, what);
}

/// Guards against bodies at the operators' port from senders without a token.
#[test]
fn bodies_at_the_operators_port() {
    let what = Misbehaviour::StopsShort(Framing::Stated, BODY);
    check(Port::Operators, 800, what);
}

/// Guards against bodies at the daemons' port from senders without a token.
#[test]
fn bodies_at_the_peers_port() {
    let what = Misbehaviour::StopsShort(Framing::Stated, BODY);
    check(Port::Peers, 800, what);
}
