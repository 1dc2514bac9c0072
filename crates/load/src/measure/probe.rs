//! Calls one after the other over one connection, timed as exactly as the
//! machine allows.

use std::hint::spin_loop;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::load::Histogram;

/// An answer must come within this.
const TIMEOUT: Duration = Duration::from_secs(5);

/// What ends the head of an answer.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A caller with one connection and one request that it repeats. It does no
/// more than a blocking write and read, so that its own share of the latency
/// stays small beside the one that is measured.
pub(crate) struct Probe {
    stream: TcpStream,
    request: Vec<u8>,
    answer: Vec<u8>,
}

impl Probe {
    pub(crate) fn connect(addr: SocketAddr, path: &str) -> io::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        let request = format!("GET {path} HTTP/1.1\r\nhost: {addr}\r\n\r\n");
        Ok(Self {
            stream,
            request: request.into_bytes(),
            answer: Vec::with_capacity(4096),
        })
    }

    /// Makes one call and says whether it was answered with success.
    pub(crate) fn call(&mut self) -> io::Result<bool> {
        self.stream.write_all(&self.request)?;
        self.answer.clear();
        let mut buf = [0; 4096];
        while !is_whole(&self.answer) {
            match self.stream.read(&mut buf)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                count => self.answer.extend_from_slice(&buf[..count]),
            }
        }
        Ok(self.answer.starts_with(b"HTTP/1.1 200"))
    }

    /// Makes a call at `due` and records how long after that it ended. Where
    /// latency is measured, a refusal is an error.
    pub(crate) fn call_at(&mut self, due: Instant, into: &mut Histogram) -> io::Result<()> {
        while Instant::now() < due {
            spin_loop();
        }
        if !self.call()? {
            let head = String::from_utf8_lossy(&self.answer).into_owned();
            return Err(io::Error::other(head));
        }
        into.record(due.elapsed());
        Ok(())
    }
}

fn is_whole(answer: &[u8]) -> bool {
    let end = answer
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END);
    let Some(end) = end else { return false };
    let head = String::from_utf8_lossy(&answer[..end]).to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok())
        .unwrap_or(0_usize);
    answer.len() >= end + HEAD_END.len() + length
}
