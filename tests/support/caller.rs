//! A caller that behaves, and the target's own reports.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

/// An answer as its caller read it.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    /// 0 without an answer.
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    /// Time until its end.
    pub(crate) took: Duration,
}

/// Sends a request without a body and reads its answer. The caller waits for `timeout`.
pub(crate) fn ask(addr: SocketAddr, id: &str, path: &str, timeout: Duration) -> Answer {
    let begun = Instant::now();
    let mut stream = TcpStream::connect(addr).expect("the daemon listens");
    let head = head("GET", id, path, timeout, "");
    let _ = stream.write_all(head.as_bytes());
    read_answer(stream, timeout * 2, begun)
}

/// The head of a request that is the last one on its connection.
pub(crate) fn head(method: &str, id: &str, path: &str, timeout: Duration, framing: &str) -> String {
    let millis = timeout.as_millis();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {id}\r\n\
         X-Timeout-Ms: {millis}\r\nConnection: close\r\n{framing}\r\n"
    )
}

/// Reads what comes until the end of the connection, for at most `timeout` without a byte.
pub(crate) fn read_answer(mut stream: TcpStream, timeout: Duration, begun: Instant) -> Answer {
    stream.set_read_timeout(Some(timeout)).expect("a timeout");
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let head_len = bytes.windows(4).position(|it| it == b"\r\n\r\n");
    let body = head_len.map_or_else(Vec::new, |it| bytes.split_off(it + 4));
    let head = String::from_utf8_lossy(&bytes).into_owned();
    let status = head.split(' ').nth(1).and_then(|it| it.parse().ok());
    Answer {
        status: status.unwrap_or(0),
        head,
        body,
        took: begun.elapsed(),
    }
}

/// Has the target at `target` report itself until its calls are accepted.
pub(crate) fn until_served(
    control: SocketAddr,
    callers: SocketAddr,
    target: SocketAddr,
    path: &str,
) {
    for number in 0..100 {
        report(control, target, number);
        let id = format!("first-{number}");
        if ask(callers, &id, path, Duration::from_secs(2)).status == 200 {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("the target is not used");
}

/// Number of requests that the target serves at a time: more than any test sends.
const SLOTS: u32 = 500;

/// Sends a heartbeat of the target.
pub(crate) fn report(control: SocketAddr, target: SocketAddr, sequence: u64) {
    let beat = json!({
        "address": target,
        "info": {"service": "floatdesk", "version": "v1", "zone": "a", "slots": SLOTS},
        "status": {"state": "ready", "sequence": sequence, "cold_remaining_s": 0},
    });
    let body = beat.to_string();
    let Ok(mut stream) = TcpStream::connect(control) else {
        return;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let _ = write!(
        stream,
        "PUT /v1/instances/i-n0 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let _ = stream.read_to_end(&mut Vec::new());
}
