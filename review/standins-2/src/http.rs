//! Minimal HTTP/1.1 for the stand-ins: requests and responses with a length or in chunks.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub type Headers = Vec<(String, String)>;

pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut named = self
            .headers
            .iter()
            .filter(|(it, _)| it.eq_ignore_ascii_case(name));
        named.next().map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn bad(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// Reads the head and the body of a request or a response; `None` at the end of the connection.
pub fn read(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let start = line.trim_end().to_owned();
    let mut headers = Headers::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(bad("head cut short"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("header"))?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut message = Message {
        start,
        headers,
        body: Vec::new(),
    };
    let length = message
        .header("content-length")
        .and_then(|it| it.parse::<usize>().ok());
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|it| it.contains("chunked"));
    if is_chunked {
        message.body = read_chunks(from)?;
    } else if let Some(length) = length {
        message.body = vec![0; length];
        from.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(from: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| bad("chunk"))?;
        let mut chunk = vec![0; size + 2];
        from.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

pub fn respond(
    to: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    to.write_all(&bytes)
}

/// Sends one request on a new connection and waits for the answer.
pub fn call(addr: SocketAddr, head: &str, body: &[u8], wait: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    loop {
        let answer = read(&mut reader)?.ok_or_else(|| bad("closed without an answer"))?;
        if answer.status() != 100 {
            return Ok(answer);
        }
    }
}
