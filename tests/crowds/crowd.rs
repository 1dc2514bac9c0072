//! Callers that don't behave.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use crate::support::caller::head;

/// How long a caller of a crowd would wait for its answer.
const DEADLINE: Duration = Duration::from_mins(1);

/// Time after which a caller whose bytes are not read sends no more.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause of a slow sender after each part.
const PAUSE: Duration = Duration::from_millis(50);

/// Size of the parts of a body that is sent piece by piece.
const PIECE: usize = 16 << 10;

/// How a body is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Framing {
    /// With its length, in one go.
    Stated,
    /// With its length, in parts.
    Pieces,
    /// In chunks of so many bytes.
    Chunks(usize),
}

/// What each caller of a crowd does.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Misbehaviour {
    /// It sends a body of this size but for its end, and waits.
    StopsShort(Framing, usize),
    /// It sends a whole body of this size.
    SendsWhole(Framing, usize),
    /// It sends a whole body of this size in a hundred parts, with a pause after each.
    SendsSlowly(usize),
    /// It announces a body of this size, and sends another amount of it.
    Announces { size: u64, sent: usize },
    /// It sends a head of this size but for its end, and waits.
    HeadWithoutEnd(usize),
    /// It announces a frame between daemons of this size, and sends all but its last byte.
    FrameWithoutEnd(usize),
    /// It sends nothing.
    Silent,
    /// It begins a body and sends nothing more.
    StopsAtOnce,
    /// It asks for a large answer and reads none of it.
    DoesNotRead,
    /// It asks for an answer that takes long, and sends so many bytes of requests after it.
    Pipelines(usize),
}

impl Misbehaviour {
    /// Sends as caller `number`; bodies go to `path`.
    fn send(self, number: usize, path: &str, stream: &mut TcpStream) -> std::io::Result<()> {
        let id = format!("crowd-{number}");
        let head = |path: &str, framing: &str| head("POST", &id, path, DEADLINE, framing);
        match self {
            Self::StopsShort(framing, size) => {
                stream.write_all(head(path, &framing.field(size as u64)).as_bytes())?;
                framing.send(stream, size, false)
            }
            Self::SendsWhole(framing, size) => {
                stream.write_all(head(path, &framing.field(size as u64)).as_bytes())?;
                framing.send(stream, size, true)
            }
            Self::SendsSlowly(size) => {
                stream.write_all(head(path, &Framing::Stated.field(size as u64)).as_bytes())?;
                for number in 0..100 {
                    let len = size / 100 + usize::from(number < size % 100);
                    stream.write_all(&vec![b'x'; len])?;
                    thread::sleep(PAUSE);
                }
                Ok(())
            }
            Self::Announces { size, sent } => {
                let field = Framing::Stated.field(size);
                stream.write_all(head("/plain/1", &field).as_bytes())?;
                send_parts(stream, sent, PIECE)
            }
            Self::HeadWithoutEnd(size) => {
                let head = head("/plain/1", "");
                stream.write_all(&head.as_bytes()[..head.len() - 2])?;
                let line = format!("X-Filler: {}\r\n", "x".repeat(1000));
                stream.write_all(line.repeat(size / line.len()).as_bytes())
            }
            Self::FrameWithoutEnd(size) => {
                let len = u32::try_from(size).expect("a size of a frame");
                stream.write_all(&len.to_be_bytes())?;
                send_parts(stream, size - 1, PIECE)
            }
            Self::Silent => Ok(()),
            Self::StopsAtOnce => {
                stream.write_all(head("/plain/1", &Framing::Stated.field(1000)).as_bytes())?;
                stream.write_all(b"begin")
            }
            Self::DoesNotRead => stream.write_all(head("/large/1", "").as_bytes()),
            Self::Pipelines(size) => {
                let kept = |path| head(path, "").replace("Connection: close\r\n", "");
                stream.write_all(kept("/slow/1").as_bytes())?;
                let more = kept("/plain/1");
                stream.write_all(more.repeat(size / more.len()).as_bytes())
            }
        }
    }
}

impl Framing {
    fn field(self, size: u64) -> String {
        match self {
            Self::Stated | Self::Pieces => format!("Content-Length: {size}\r\n"),
            Self::Chunks(_) => "Transfer-Encoding: chunked\r\n".into(),
        }
    }

    /// Sends a body of this size; without its end, one byte or the last chunk is missing.
    fn send(self, stream: &mut TcpStream, size: usize, with_end: bool) -> std::io::Result<()> {
        let missing = usize::from(!with_end);
        match self {
            Self::Stated => stream.write_all(&vec![b'x'; size - missing]),
            Self::Pieces => send_parts(stream, size - missing, PIECE),
            Self::Chunks(len) => {
                let chunk = format!("{len:x}\r\n{}\r\n", "x".repeat(len));
                let many = PIECE.div_ceil(chunk.len());
                let chunks = chunk.repeat(many);
                for _ in 0..size / len / many {
                    stream.write_all(chunks.as_bytes())?;
                }
                stream.write_all(chunk.repeat(size / len % many).as_bytes())?;
                stream.write_all(if with_end { b"0\r\n\r\n" } else { b"" })
            }
        }
    }
}

fn send_parts(stream: &mut TcpStream, mut left: usize, part: usize) -> std::io::Result<()> {
    let bytes = vec![b'x'; part];
    while left > 0 {
        let len = left.min(part);
        stream.write_all(&bytes[..len])?;
        left -= len;
    }
    Ok(())
}

/// Connections of callers that have sent what they send, and keep them open.
pub(crate) struct Crowd(Vec<TcpStream>);

impl Crowd {
    /// Has so many callers send at once. Returns when none of them sends any more.
    pub(crate) fn gather(addr: SocketAddr, callers: usize, what: Misbehaviour) -> Self {
        Self::gather_at(addr, "/plain/1", callers, what)
    }

    /// The same with bodies for another path.
    pub(crate) fn gather_at(
        addr: SocketAddr,
        path: &'static str,
        callers: usize,
        what: Misbehaviour,
    ) -> Self {
        let caller = |number| {
            let thread = thread::Builder::new().stack_size(256 << 10);
            let sending = thread.spawn(move || {
                let mut stream = TcpStream::connect_timeout(&addr, WRITE_TIMEOUT).ok()?;
                let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
                // It may be refused in the middle, which is allowed.
                let _ = what.send(number, path, &mut stream);
                Some(stream)
            });
            sending.expect("a thread")
        };
        let sending: Vec<_> = (0..callers).map(caller).collect();
        let sent = sending.into_iter().map(|it| it.join().expect("no panic"));
        Self(sent.flatten().collect())
    }

    /// The statuses that the callers got, 0 for none within `timeout`.
    pub(crate) fn statuses(&mut self, timeout: Duration) -> Vec<u16> {
        let status = |stream: &mut TcpStream| {
            let mut begin = [0; 12];
            let _ = stream.set_read_timeout(Some(timeout));
            let read = stream.read_exact(&mut begin);
            let text = String::from_utf8_lossy(&begin).into_owned();
            let status = text.split(' ').nth(1).and_then(|it| it.parse().ok());
            status.filter(|_| read.is_ok()).unwrap_or(0)
        };
        self.0.iter_mut().map(status).collect()
    }
}
