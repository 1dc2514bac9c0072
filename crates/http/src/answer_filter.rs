//! Drops answers to other requests from what a server sends on a connection.

use std::mem;

use bytes::{Buf, BytesMut};
use httparse::{EMPTY_HEADER, Header, Response, Status};
use smol_str::SmolStr;

/// Limit on the headers of an answer. An answer with more is passed on.
const MAX_HEADERS: usize = 100;

/// Limit on the bytes of the head of an answer. A longer one is passed on.
const MAX_HEAD: usize = 64 << 10;

/// Limit on the characters of an id that are kept for a report.
const MAX_ID: usize = 64;

/// Limit on the answers that are dropped for one request. Later ones are passed on, which ends the
/// wait for an answer that a faulty server may never send.
const MAX_DROPPED: usize = 64;

/// Limit on the body of an answer that is dropped, in bytes. One with a longer body is passed on: its
/// end may never come, and it is known already that it belongs to another request.
const MAX_DROPPED_BODY: u64 = 1 << 20;

/// Limit on the interim answers to one request. They are dropped, since clients have no use for them.
const MAX_INTERIM: usize = 64;

/// Which answer a connection waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExpectedAnswer {
    /// The answer to the request with this id. It states this id or none.
    ToRequest(SmolStr),
    /// The answer to a request without an id, which states none.
    WithoutId,
}

impl ExpectedAnswer {
    fn excludes(&self, stated: &[u8]) -> bool {
        match self {
            Self::ToRequest(id) => stated != id.as_bytes(),
            Self::WithoutId => !stated.is_empty(),
        }
    }
}

/// Finds the answer to the request under way among the answers on one HTTP/1.1 connection.
///
/// A server may repeat an answer late, where the answer to a later request is expected, which
/// follows it. HTTP clients take the first answer for that to the request, so this filter stands
/// between the connection and the client: it drops each answer that states the id of another
/// request and whose end is known from its length, and passes everything else on. Answers are
/// passed on unchanged, and so is whatever follows the answer to the request.
#[derive(Debug)]
pub struct AnswerFilter {
    id_header: SmolStr,
    expected: ExpectedAnswer,
    state: State,
    /// Bytes that were received and not passed on.
    held: BytesMut,
    dropped: Vec<SmolStr>,
    /// Number of interim answers since the last request was sent.
    interim: usize,
    /// Whether an answer may have no body whatever length it states, so that no end is known.
    has_bodiless: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// All bytes are passed on.
    Pass,
    /// The head of an answer is expected.
    Head,
    /// So many bytes of the body of an answer to another request are still to be dropped.
    Body(u64),
    /// There were too many interim answers: the server may never send a final one.
    Failed,
}

/// What is known of an answer from the bytes of its head.
enum Head {
    Incomplete,
    /// It is passed on.
    Passed,
    /// It announces another one to the same request.
    Interim {
        head_len: usize,
    },
    /// It belongs to another request.
    Foreign {
        head_len: usize,
        body_len: u64,
        stated: SmolStr,
    },
}

impl AnswerFilter {
    /// Creates the filter of a new connection whose answers state the ids of requests in this
    /// header.
    #[must_use]
    pub fn new(id_header: impl Into<SmolStr>) -> Self {
        Self {
            id_header: id_header.into(),
            expected: ExpectedAnswer::WithoutId,
            state: State::Pass,
            held: BytesMut::new(),
            dropped: Vec::new(),
            interim: 0,
            has_bodiless: false,
        }
    }

    /// Waits for the answer to a request that is about to be sent. `is_head` says that its method
    /// is HEAD: a copy of its answer states a length and has no body, so from then on no final answer
    /// on the connection is dropped.
    pub fn expect(&mut self, expected: ExpectedAnswer, is_head: bool) {
        self.expected = expected;
        self.dropped.clear();
        self.interim = 0;
        self.has_bodiless |= is_head;
        self.state = State::Head;
        self.advance();
    }

    /// Takes bytes from the connection. Returns whether the caller passes them on itself, which
    /// saves a copy; if not, the filter holds or drops them.
    pub fn receive(&mut self, bytes: &[u8]) -> bool {
        if self.held.is_empty() && self.passes(bytes) {
            return true;
        }
        self.held.extend_from_slice(bytes);
        self.advance();
        false
    }

    /// Ends the input: an incomplete head is passed on as it is.
    pub fn end(&mut self) {
        self.state = State::Pass;
    }

    /// Whether the connection has to be given up.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.state == State::Failed
    }

    /// Takes held bytes that are to be passed on before any others, at most `limit` of them.
    pub fn take_ready(&mut self, limit: usize) -> Option<BytesMut> {
        let is_ready = self.state == State::Pass && !self.held.is_empty();
        is_ready.then(|| {
            let ready = self.held.split_to(limit.min(self.held.len()));
            self.release_memory();
            ready
        })
    }

    /// Whether an answer was dropped since the last request was sent.
    #[must_use]
    pub fn has_dropped(&self) -> bool {
        !self.dropped.is_empty()
    }

    /// The shortened ids of the answers that were dropped since the last request was sent.
    pub fn take_dropped(&mut self) -> Vec<SmolStr> {
        mem::take(&mut self.dropped)
    }

    /// Whether these bytes, of which none before them is held, are passed on.
    fn passes(&mut self, bytes: &[u8]) -> bool {
        if self.state == State::Head && matches!(self.head(bytes), Head::Passed) {
            self.state = State::Pass;
        }
        self.state == State::Pass
    }

    /// Drops what is known not to be passed on.
    fn advance(&mut self) {
        loop {
            match self.state {
                State::Pass | State::Failed => return,
                State::Body(0) => self.state = State::Head,
                State::Body(left) => {
                    let held = self.held.len();
                    let len = usize::try_from(left).map_or(held, |it| it.min(held));
                    if len == 0 {
                        return;
                    }
                    self.held.advance(len);
                    self.release_memory();
                    self.state = State::Body(left - len as u64);
                }
                State::Head => match self.head(&self.held) {
                    Head::Incomplete => return,
                    Head::Passed => self.state = State::Pass,
                    Head::Interim { .. } if self.interim == MAX_INTERIM => {
                        self.state = State::Failed;
                    }
                    Head::Interim { head_len } => {
                        self.held.advance(head_len);
                        self.interim += 1;
                    }
                    Head::Foreign {
                        head_len,
                        body_len,
                        stated,
                    } => {
                        self.held.advance(head_len);
                        self.dropped.push(stated);
                        self.state = State::Body(body_len);
                    }
                },
            }
        }
    }

    /// Gives the memory back that a large answer took.
    fn release_memory(&mut self) {
        if self.held.is_empty() {
            self.held = BytesMut::new();
        }
    }

    fn head(&self, bytes: &[u8]) -> Head {
        let mut headers = [EMPTY_HEADER; MAX_HEADERS];
        let mut answer = Response::new(&mut headers);
        let head_len = match answer.parse(bytes) {
            Ok(Status::Complete(len)) => len,
            Ok(Status::Partial) if bytes.len() < MAX_HEAD => return Head::Incomplete,
            Ok(Status::Partial) | Err(_) => return Head::Passed,
        };
        if matches!(answer.code, Some(100 | 102..200)) {
            return Head::Interim { head_len };
        }
        if self.has_bodiless || self.dropped.len() >= MAX_DROPPED {
            return Head::Passed;
        }
        let foreign_id = only(answer.headers, &self.id_header);
        let foreign_id = foreign_id.filter(|it| self.expected.excludes(it));
        let body_len = answer.code.and_then(|it| body_len(it, answer.headers));
        let body_len = body_len.filter(|it| *it <= MAX_DROPPED_BODY);
        match foreign_id.zip(body_len) {
            Some((stated, body_len)) => Head::Foreign {
                head_len,
                body_len,
                stated: String::from_utf8_lossy(stated)
                    .chars()
                    .take(MAX_ID)
                    .collect(),
            },
            None => Head::Passed,
        }
    }
}

/// The length of an answer's body, if it alone says where the answer ends.
fn body_len(status: u16, headers: &[Header<'_>]) -> Option<u64> {
    let may_have_no_body = matches!(status, 100..200 | 204 | 304);
    let is_encoded = headers
        .iter()
        .any(|it| it.name.eq_ignore_ascii_case("transfer-encoding"));
    if may_have_no_body || is_encoded {
        return None;
    }
    let text = only(headers, "content-length")?;
    let is_number = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    let text = str::from_utf8(text).ok().filter(|_| is_number);
    text.and_then(|it| it.parse().ok())
}

/// The value of a header that occurs once.
fn only<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a [u8]> {
    let mut named = headers
        .iter()
        .filter(|it| it.name.eq_ignore_ascii_case(name));
    let first = named.next()?;
    named.next().is_none().then_some(first.value)
}
