//! Crowds at the ports of one daemon that runs beside its target.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use crate::crowd::{Crowd, Framing, Misbehaviour};
use crate::limits::{Limited, Limits, SMALL, USUAL, alone};

const MIB: usize = 1 << 20;

/// How long a crowd that has sent everything stays.
const STAY: Duration = Duration::from_secs(1);

/// A crowd at the callers' port stays within the limits, and an ordinary caller is served meanwhile
/// and afterwards.
fn check(test: u8, limits: Limits, callers: usize, what: Misbehaviour) {
    check_at(Limited::callers, test, limits, callers, what);
}

/// The same at another port.
fn check_at(
    port: impl Fn(&Limited) -> SocketAddr,
    test: u8,
    limits: Limits,
    callers: usize,
    what: Misbehaviour,
) {
    let _alone = alone();
    let daemon = Limited::start(test, limits);
    let crowd = Crowd::gather(port(&daemon), callers, what);
    thread::sleep(STAY);
    daemon.serves("beside");
    drop(crowd);
    daemon.serves("afterwards");
    daemon.ends_within_limits();
}

/// Guards against bodies of legal size that stop short of their end and fill the memory.
#[test]
fn bodies_that_stop_short() {
    check(
        1,
        SMALL,
        100,
        Misbehaviour::StopsShort(Framing::Stated, MIB),
    );
}

/// Guards against the same, sent in parts.
#[test]
fn bodies_in_pieces_that_stop_short() {
    check(
        2,
        SMALL,
        100,
        Misbehaviour::StopsShort(Framing::Pieces, MIB),
    );
}

/// Guards against bodies of unknown length without an end.
#[test]
fn bodies_in_large_chunks_that_stop_short() {
    let what = Misbehaviour::StopsShort(Framing::Chunks(64 << 10), MIB);
    check(3, SMALL, 100, what);
}

/// Guards against chunks that take far more memory than their bytes.
#[test]
fn bodies_in_tiny_chunks_that_stop_short() {
    let what = Misbehaviour::StopsShort(Framing::Chunks(1), 60_000);
    check(4, SMALL, 200, what);
}

/// Guards against whole bodies that arrive at once.
#[test]
fn whole_bodies_at_once() {
    check(
        5,
        SMALL,
        100,
        Misbehaviour::SendsWhole(Framing::Stated, MIB),
    );
}

/// Guards against whole bodies of unknown length that arrive at once.
#[test]
fn whole_bodies_in_chunks_at_once() {
    let what = Misbehaviour::SendsWhole(Framing::Chunks(64 << 10), MIB);
    check(6, SMALL, 100, what);
}

/// Guards against bodies that are announced far larger than allowed.
#[test]
fn bodies_announced_over_the_limit() {
    let what = Misbehaviour::Announces {
        size: 10_000_000_000,
        sent: 16 * MIB,
    };
    check(7, SMALL, 8, what);
}

/// Guards against bodies that go on beyond the limit without having announced it.
#[test]
fn bodies_sent_over_the_limit() {
    let what = Misbehaviour::StopsShort(Framing::Chunks(64 << 10), 16 * MIB);
    check(8, SMALL, 8, what);
}

/// Guards against a few bodies of the largest legal size that stop short of their end.
#[test]
fn largest_bodies_that_stop_short() {
    check(
        9,
        SMALL,
        12,
        Misbehaviour::StopsShort(Framing::Stated, 8 * MIB),
    );
}

/// Guards against heads without an end.
#[test]
fn heads_without_an_end() {
    check(10, SMALL, 800, Misbehaviour::HeadWithoutEnd(60_000));
}

/// Guards against callers that ask for large answers and read nothing of them.
#[test]
fn answers_that_are_not_read() {
    check(11, SMALL, 12, Misbehaviour::DoesNotRead);
}

/// Guards against requests that pile up behind one that is being answered.
#[test]
fn requests_behind_one_that_takes_long() {
    check(12, SMALL, 400, Misbehaviour::Pipelines(2 * MIB));
}

const FEW_DESCRIPTORS: Limits = Limits {
    max_fds: 512,
    ..SMALL
};

/// Guards against connections that take every descriptor and send nothing.
#[test]
fn connections_that_send_nothing() {
    check(13, FEW_DESCRIPTORS, 400, Misbehaviour::Silent);
}

/// Guards against connections that take every descriptor with bodies that stop.
#[test]
fn connections_whose_bodies_stop() {
    check(14, FEW_DESCRIPTORS, 400, Misbehaviour::StopsAtOnce);
}

/// Guards against connections at the port of the target's reports that take every descriptor.
#[test]
fn connections_at_the_control_port() {
    let port = Limited::control;
    check_at(port, 15, FEW_DESCRIPTORS, 400, Misbehaviour::Silent);
}

/// Guards against connections at the port for daemons that take every descriptor.
#[test]
fn connections_at_the_peers_port() {
    let port = Limited::peers;
    check_at(port, 24, FEW_DESCRIPTORS, 400, Misbehaviour::Silent);
}

/// Guards against messages of other programs at the port for daemons that never end.
#[test]
fn messages_between_daemons_without_an_end() {
    let _alone = alone();
    let daemon = Limited::start(16, SMALL);
    let peers = daemon.peers();
    let send = |_| {
        let mut stream = TcpStream::connect(peers).expect("the daemon listens");
        let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
        let part = 64 << 10;
        for id in 0..16u64 {
            // Length, kind of frame (a chunk that is not the last one), and id of the request.
            let len = u32::try_from(1 + 8 + part).expect("a small frame");
            let mut frame = [&len.to_be_bytes()[..], &[1], &id.to_be_bytes()].concat();
            frame.resize(frame.len() + part, b'x');
            for _ in 0..16 {
                if stream.write_all(&frame).is_err() {
                    return stream;
                }
            }
        }
        stream
    };
    let links: Vec<_> = (0..8).map(send).collect();
    thread::sleep(STAY);
    daemon.serves("beside");
    drop(links);
    daemon.serves("afterwards");
    daemon.ends_within_limits();
}

/// Guards against frames of other programs at the port for daemons that stop short of their end.
#[test]
fn frames_between_daemons_that_stop_short() {
    check_at(
        Limited::peers,
        25,
        SMALL,
        100,
        Misbehaviour::FrameWithoutEnd(MIB),
    );
}

/// Guards against a stop that waits for bodies that never end.
#[test]
fn a_stop_beside_bodies_that_stop_short() {
    let _alone = alone();
    let daemon = Limited::start(17, SMALL);
    let what = Misbehaviour::StopsShort(Framing::Stated, MIB);
    let crowd = Crowd::gather(daemon.callers(), 20, what);
    daemon.serves("beside");
    daemon.ends_within_limits();
    drop(crowd);
}

/// A single request inside the limits is served in calm.
#[test]
fn one_body_of_the_largest_size_is_served() {
    for (test, framing) in [(18, Framing::Stated), (19, Framing::Chunks(64 << 10))] {
        let _alone = alone();
        let daemon = Limited::start(test, USUAL);
        let what = Misbehaviour::SendsWhole(framing, 64 * MIB);
        let mut crowd = Crowd::gather(daemon.callers(), 1, what);
        assert_eq!(crowd.statuses(Duration::from_mins(1)), [200]);
        daemon.serves("afterwards");
        daemon.ends_within_limits();
    }
}

/// Guards against a few bodies of the largest legal size that fill the memory together.
#[test]
fn four_bodies_of_the_largest_size() {
    check(
        20,
        USUAL,
        4,
        Misbehaviour::SendsWhole(Framing::Stated, 64 * MIB),
    );
}

/// Guards against a refusal that its sender does not see, because the connection was reset while it
/// was still sending.
#[test]
fn whole_bodies_are_answered_or_refused_as_not_run() {
    let _alone = alone();
    let daemon = Limited::start(21, SMALL);
    let what = Misbehaviour::SendsWhole(Framing::Pieces, MIB);
    let mut crowd = Crowd::gather(daemon.callers(), 100, what);
    let statuses = crowd.statuses(Duration::from_secs(30));
    assert_eq!(statuses.len(), 100);
    let is_answer = |it: &u16| matches!(it, 200 | 503);
    assert!(statuses.iter().all(is_answer), "{statuses:?}");
    daemon.serves("afterwards");
    daemon.ends_within_limits();
}

/// Guards against the same for a body that is larger than allowed.
#[test]
fn a_body_announced_over_the_limit_is_refused_while_it_is_sent() {
    let _alone = alone();
    let daemon = Limited::start(22, SMALL);
    let what = Misbehaviour::Announces {
        size: 10_000_000_000,
        sent: 3 * MIB,
    };
    let mut crowd = Crowd::gather(daemon.callers(), 5, what);
    assert_eq!(crowd.statuses(Duration::from_secs(30)), [413; 5]);
    daemon.ends_within_limits();
}

/// Guards against a sender that is cut off because it is slow, while others need memory.
#[test]
fn a_slow_sender_is_served_beside_a_crowd() {
    let _alone = alone();
    let daemon = Limited::start(23, SMALL);
    let callers = daemon.callers();
    let slow = thread::spawn(move || Crowd::gather(callers, 1, Misbehaviour::SendsSlowly(MIB)));
    thread::sleep(STAY);
    let what = Misbehaviour::StopsShort(Framing::Stated, MIB);
    let crowd = Crowd::gather(callers, 100, what);
    thread::sleep(2 * STAY);
    let again = Crowd::gather(callers, 100, what);
    let mut slow = slow.join().expect("no panic");
    assert_eq!(slow.statuses(Duration::from_secs(30)), [200]);
    drop((crowd, again));
    daemon.ends_within_limits();
}
