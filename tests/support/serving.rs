//! A stand-in server, and the stand-in of a target.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// A request that was read completely.
pub(crate) struct Asked {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl Asked {
    pub(crate) fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.lines().filter_map(|it| it.split_once(": "));
    let mut named = fields.filter(|(it, _)| it.eq_ignore_ascii_case(name));
    named.next().map(|(_, value)| value)
}

/// Reads the head of a request or an answer; `None` at the end of the connection.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Asked> {
    let head = read_head(reader)?;
    let len = header(&head, "content-length").and_then(|it| it.parse().ok());
    let mut body = vec![0; len.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    let is_chunked = header(&head, "transfer-encoding").is_some();
    if is_chunked {
        body = read_chunks(reader)?;
    }
    Some(Asked { head, body })
}

fn read_chunks(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let len = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; len + 2];
        reader.read_exact(&mut chunk).ok()?;
        if len == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..len]);
    }
}

/// Serves each connection on a thread, until the process ends.
pub(crate) fn serve(
    addr: SocketAddr,
    answer: impl Fn(&Asked, &mut TcpStream) + Clone + Send + 'static,
) {
    let listener = TcpListener::bind(addr).expect("a free address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let mut out = stream.try_clone().expect("a socket");
                let mut reader = BufReader::new(stream);
                while let Some(asked) = read_request(&mut reader) {
                    answer(&asked, &mut out);
                }
            });
        }
    });
}

/// Bytes of a large answer that has an end.
pub(crate) const LARGE: usize = 20 << 20;

/// Serves the requests of a target of generation `i-n0`: those below `/large/` with [`LARGE`] bytes,
/// those that `special` answers, and all others with the length of their body.
pub(crate) fn serve_target(
    addr: SocketAddr,
    special: impl Fn(&Asked, &mut TcpStream) -> bool + Clone + Send + 'static,
) {
    serve(addr, move |asked, out| {
        let id = asked.header("x-attempt-id").unwrap_or_default();
        let signed = signed(id);
        if special(asked, out) {
            return;
        }
        if asked.path().starts_with("/large/") {
            let head = format!("HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: chunked\r\n\r\n");
            let chunk = [b"10000\r\n".as_slice(), &vec![b'x'; 0x10000], b"\r\n"].concat();
            let whole = [
                head.as_bytes(),
                &chunk.repeat(LARGE / 0x10000),
                b"0\r\n\r\n",
            ]
            .concat();
            let _ = out.write_all(&whole);
        } else {
            let own = "X-Instance-Id: i-n0\r\n";
            let body = format!("read {}", asked.body.len());
            let len = body.len();
            let text =
                format!("HTTP/1.1 200 OK\r\n{signed}{own}Content-Length: {len}\r\n\r\n{body}");
            let _ = out.write_all(text.as_bytes());
        }
    });
}

/// The headers by which an answer belongs to the request with this id.
pub(crate) fn signed(id: &str) -> String {
    format!("X-Attempt-Id: {id}\r\nX-Response-Seal: seal.{id}\r\n")
}
