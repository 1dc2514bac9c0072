//! Encodes messages as frames: small messages as one frame, large ones as several chunks,
//! with frames of other messages in between, and large bodies as chunks of their own.
//!
//! An answer of half a megabyte in a single frame would delay every other answer on its
//! link, and the replies to pings by which the peer knows that the link works.

use std::collections::VecDeque;
use std::rc::Rc;

use bytes::{BufMut, Bytes, BytesMut};
use stoatstep_body::Body;
use stoatstep_calls::{MessageNumber, Time};

use super::answer::{AnswerLabel, Sending};
use super::uplink::SharedUplink;
use crate::drain::InFlight;
use crate::wire::AskId;

/// First byte of a frame that holds a complete message.
pub(super) const FRAME_WHOLE: u8 = 0;
/// First byte of a frame that holds a chunk of a message, but not the last one.
pub(super) const FRAME_CHUNK: u8 = 1;
/// First byte of a frame that holds the last chunk of a message.
pub(super) const FRAME_LAST_CHUNK: u8 = 2;
/// First byte of a frame which says that the rest of a message is not sent any more.
pub(super) const FRAME_ABORTED: u8 = 3;

/// First byte of a frame that holds the length of a body.
pub(super) const FRAME_BODY: u8 = 4;
/// First byte of a frame that holds a chunk of a body.
pub(super) const FRAME_BODY_CHUNK: u8 = 5;

/// Length of the header of a chunk: the kind of frame and the request's id.
pub(super) const CHUNK_HEADER: usize = 1 + size_of::<u64>();

/// An entry in the queue of a link's writer.
#[derive(Debug)]
pub(super) enum Outgoing {
    /// A message of this request: the request or its reply, which counts as in flight until it is
    /// written.
    Message(AskId, Encoded, Option<InFlight>),
    /// The result of an attempt. A late one is sent after those that are in time.
    Answer(AskId, Encoded, AnswerLabel, InFlight),
    /// A message that is sent before large answers and does not wait for room on the uplink.
    /// Used for configurations, which have to be in force within seconds.
    Urgent(AskId, Encoded),
    /// Nothing: the answers that are queued are due by then.
    AnswersDue(Time),
    /// Nobody waits for the message of this request any more.
    Abort(AskId),
}

/// A message that is ready to be sent.
#[derive(Clone, Debug)]
pub(super) struct Encoded {
    pub(super) message: Bytes,
    /// Its body, if that is sent apart from it.
    pub(super) body: Option<Body>,
}

impl Encoded {
    pub(super) fn len(&self) -> usize {
        self.message.len() + self.body.as_ref().map_or(0, Body::len)
    }
}

/// A message that is sent in chunks.
struct Large {
    id: AskId,
    body: VecDeque<Bytes>,
    rest: Bytes,
    /// Holds the memory of the body until it is sent.
    _body: Option<Body>,
    is_urgent: bool,
    number: MessageNumber,
    /// Set for the results of attempts.
    sending: Option<Sending>,
    in_flight: Option<InFlight>,
}

impl Large {
    /// Takes the next chunk of at most `size` bytes, and returns it with its kind of frame.
    fn next_chunk(&mut self, size: usize) -> (u8, Bytes) {
        if let Some(segment) = self.body.front_mut() {
            let chunk = segment.split_to(size.min(segment.len()));
            if segment.is_empty() {
                self.body.pop_front();
            }
            return (FRAME_BODY_CHUNK, chunk);
        }
        let chunk = self.rest.split_to(size.min(self.rest.len()));
        let kind = if self.rest.is_empty() {
            FRAME_LAST_CHUNK
        } else {
            FRAME_CHUNK
        };
        (kind, chunk)
    }
}

/// A frame that need not wait for room on the uplink.
struct Small {
    frame: Bytes,
    in_flight: Option<InFlight>,
}

impl Small {
    fn new(frame: Bytes, in_flight: Option<InFlight>) -> Self {
        Self { frame, in_flight }
    }
}

/// The frames and large messages that wait to be sent on one link.
pub(super) struct SendQueue {
    uplink: Rc<SharedUplink>,
    small: VecDeque<Small>,
    large: Vec<Large>,
    /// Of the messages that were handed to the connection, and may be in its buffer.
    unflushed: Vec<InFlight>,
}

impl SendQueue {
    pub(super) fn new(uplink: Rc<SharedUplink>) -> Self {
        Self {
            uplink,
            small: VecDeque::new(),
            large: Vec::new(),
            unflushed: Vec::new(),
        }
    }

    pub(super) fn push(&mut self, outgoing: Outgoing) {
        match outgoing {
            Outgoing::Message(id, message, in_flight) => {
                self.push_message(id, message, None, in_flight);
            }
            Outgoing::Answer(id, message, label, in_flight) => {
                self.push_message(id, message, Some(label), Some(in_flight));
            }
            Outgoing::Urgent(id, message) => self.push_urgent(id, message),
            Outgoing::AnswersDue(due) => self.due_by(due),
            Outgoing::Abort(id) => self.abort(id),
        }
    }

    fn push_message(
        &mut self,
        id: AskId,
        message: Encoded,
        label: Option<AnswerLabel>,
        in_flight: Option<InFlight>,
    ) {
        if !self.is_large(&message) {
            let frame = frame(FRAME_WHOLE, None, &message.message);
            self.small.push_back(Small::new(frame, in_flight));
            return;
        }
        let (number, sending) = self.uplink.queue(message.len(), label);
        let mut body = VecDeque::new();
        if let Some(whole) = &message.body {
            let len = (whole.len() as u64).to_be_bytes();
            let announced = frame(FRAME_BODY, Some(id), &len);
            self.small.push_back(Small::new(announced, None));
            body.extend(whole.segments().iter().cloned());
        }
        self.large.push(Large {
            id,
            body,
            rest: message.message,
            _body: message.body,
            is_urgent: false,
            number,
            sending,
            in_flight,
        });
    }

    fn push_urgent(&mut self, id: AskId, message: Encoded) {
        let is_urgent = self.is_large(&message);
        self.push_message(id, message, None, None);
        if let Some(large) = self.large.last_mut() {
            large.is_urgent |= is_urgent;
        }
    }

    fn is_large(&self, message: &Encoded) -> bool {
        message.body.is_some()
            || message.len() > self.uplink.read(stoatstep_calls::Uplink::chunk_bytes)
    }

    /// Has the answers that are queued sent by `due` if that is possible.
    fn due_by(&self, due: Time) {
        for large in self.large.iter().filter(|it| it.in_flight.is_some()) {
            self.uplink.due_by(large.number, due);
        }
    }

    /// Drops the rest of a large message, which would only delay others: nobody waits for it.
    fn abort(&mut self, id: AskId) {
        let Some(at) = self.large.iter().position(|it| it.id == id) else {
            return;
        };
        let large = self.large.swap_remove(at);
        self.uplink.record_dropped(large.number);
        let aborted = frame(FRAME_ABORTED, Some(id), &[]);
        self.small.push_back(Small::new(aborted, None));
        if let Some(sending) = large.sending {
            sending.cancel();
        }
    }

    pub(super) fn has_large(&self) -> bool {
        !self.large.is_empty()
    }

    /// Waits until the next chunk may be sent, and returns its message.
    pub(super) async fn wait_turn(&self) -> MessageNumber {
        if let Some(urgent) = self.large.iter().find(|it| it.is_urgent) {
            return urgent.number;
        }
        let numbers = self.large.iter().map(|it| it.number);
        self.uplink.wait_turn(numbers.collect()).await
    }

    /// The next frame that need not wait for room on the uplink.
    pub(super) fn next_small(&mut self) -> Option<Bytes> {
        let Small { frame, in_flight } = self.small.pop_front()?;
        self.unflushed.extend(in_flight);
        self.uplink.record_sent(frame.len());
        Some(frame)
    }

    /// The next chunk of a large message.
    pub(super) fn next_chunk(&mut self, message: MessageNumber) -> Option<Bytes> {
        let size = self.uplink.read(stoatstep_calls::Uplink::chunk_bytes);
        let at = self.large.iter().position(|it| it.number == message)?;
        let large = &mut self.large[at];
        let (kind, chunk) = large.next_chunk(size);
        let is_last = kind == FRAME_LAST_CHUNK;
        let frame = frame(kind, Some(large.id), &chunk);
        if let Some(sending) = &mut large.sending {
            sending.record_chunk(chunk.len());
        }
        if is_last {
            self.unflushed.extend(self.large.swap_remove(at).in_flight);
        }
        self.uplink.record_chunk(message, chunk.len(), frame.len());
        Some(frame)
    }

    /// All frames so far were written.
    pub(super) fn record_flushed(&mut self) {
        self.unflushed.clear();
    }
}

impl Drop for SendQueue {
    fn drop(&mut self) {
        for large in &self.large {
            self.uplink.record_dropped(large.number);
        }
    }
}

pub(super) fn frame(kind: u8, id: Option<AskId>, bytes: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(CHUNK_HEADER + bytes.len());
    frame.put_u8(kind);
    if let Some(id) = id {
        frame.put_u64(id);
    }
    frame.put_slice(bytes);
    frame.freeze()
}
