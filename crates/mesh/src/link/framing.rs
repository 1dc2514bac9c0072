//! Encodes messages as frames: small messages as one frame, large ones as several chunks,
//! with frames of other messages in between.
//!
//! An answer of half a megabyte in a single frame would delay every other answer on its
//! link, and the replies to pings by which the peer knows that the link works.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use bytes::{BufMut, Bytes, BytesMut};
use stoatstep_calls::{MessageNumber, Time};

use super::MAX_FRAME;
use super::answer::{AnswerLabel, Sending};
use super::uplink::SharedUplink;
use crate::drain::InFlight;
use crate::wire::AskId;

/// First byte of a frame that holds a complete message.
const FRAME_WHOLE: u8 = 0;
/// First byte of a frame that holds a chunk of a message, but not the last one.
const FRAME_CHUNK: u8 = 1;
/// First byte of a frame that holds the last chunk of a message.
const FRAME_LAST_CHUNK: u8 = 2;
/// First byte of a frame which says that the rest of a message is not sent any more.
const FRAME_ABORTED: u8 = 3;

/// Length of the header of a chunk: the kind of frame and the request's id.
const CHUNK_HEADER: usize = 1 + size_of::<u64>();

/// Limit on the incomplete messages of one link. A daemon has fewer calls in flight at one
/// peer.
const MAX_INCOMPLETE: usize = 1024;

/// An entry in the queue of a link's writer.
#[derive(Debug)]
pub(super) enum Outgoing {
    /// A message of this request: the request or its reply, which counts as in flight until it is
    /// written.
    Message(AskId, Bytes, Option<InFlight>),
    /// The result of an attempt. A late one is sent after those that are in time.
    Answer(AskId, Bytes, AnswerLabel, InFlight),
    /// A message that is sent before large answers and does not wait for room on the uplink.
    /// Used for configurations, which have to be in force within seconds.
    Urgent(AskId, Bytes),
    /// Nothing: the answers that are queued are due by then.
    AnswersDue(Time),
    /// Nobody waits for the message of this request any more.
    Abort(AskId),
}

/// A message that is sent in chunks.
struct Large {
    id: AskId,
    rest: Bytes,
    is_urgent: bool,
    number: MessageNumber,
    /// Set for the results of attempts.
    sending: Option<Sending>,
    in_flight: Option<InFlight>,
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
            Outgoing::Message(id, bytes, in_flight) => {
                self.push_message(id, bytes, None, in_flight);
            }
            Outgoing::Answer(id, bytes, label, in_flight) => {
                self.push_message(id, bytes, Some(label), Some(in_flight));
            }
            Outgoing::Urgent(id, bytes) => self.push_urgent(id, bytes),
            Outgoing::AnswersDue(due) => self.due_by(due),
            Outgoing::Abort(id) => self.abort(id),
        }
    }

    fn push_message(
        &mut self,
        id: AskId,
        rest: Bytes,
        label: Option<AnswerLabel>,
        in_flight: Option<InFlight>,
    ) {
        if !self.is_large(&rest) {
            let frame = frame(FRAME_WHOLE, None, &rest);
            self.small.push_back(Small::new(frame, in_flight));
            return;
        }
        let (number, sending) = self.uplink.queue(rest.len(), label);
        self.large.push(Large {
            id,
            rest,
            is_urgent: false,
            number,
            sending,
            in_flight,
        });
    }

    fn push_urgent(&mut self, id: AskId, bytes: Bytes) {
        let is_urgent = self.is_large(&bytes);
        self.push_message(id, bytes, None, None);
        if let Some(large) = self.large.last_mut() {
            large.is_urgent |= is_urgent;
        }
    }

    fn is_large(&self, bytes: &Bytes) -> bool {
        bytes.len() > self.uplink.read(stoatstep_calls::Uplink::chunk_bytes)
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
        let chunk = large.rest.split_to(size.min(large.rest.len()));
        let is_last = large.rest.is_empty();
        let kind = if is_last {
            FRAME_LAST_CHUNK
        } else {
            FRAME_CHUNK
        };
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

fn frame(kind: u8, id: Option<AskId>, bytes: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(CHUNK_HEADER + bytes.len());
    frame.put_u8(kind);
    if let Some(id) = id {
        frame.put_u64(id);
    }
    frame.put_slice(bytes);
    frame.freeze()
}

/// What a frame added to the messages of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Received {
    /// The last part of a message, which is complete now.
    Message(Bytes),
    /// Another part of the message of this request, of which so many bytes are there.
    Part(AskId, usize),
    /// Nothing: the rest of a message is not sent any more.
    Nothing,
}

/// A frame that does not follow the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BadFrame;

/// Reassembles large messages from their chunks.
#[derive(Default)]
pub(super) struct Reassembler {
    incomplete: HashMap<AskId, BytesMut>,
}

impl Reassembler {
    /// Processes a frame and returns what it added.
    ///
    /// # Errors
    ///
    /// Fails if no daemon of this build sends such a frame. The caller closes the link then.
    pub(super) fn process(&mut self, frame: BytesMut) -> Result<Received, BadFrame> {
        let mut frame = frame.freeze();
        let kind = *frame.first().ok_or(BadFrame)?;
        if kind == FRAME_WHOLE {
            return Ok(Received::Message(frame.split_off(1)));
        }
        let head = frame.get(1..CHUNK_HEADER).and_then(|it| it.try_into().ok());
        let id = AskId::from_be_bytes(head.ok_or(BadFrame)?);
        let bytes = frame.split_off(CHUNK_HEADER);
        match kind {
            FRAME_CHUNK => self.append(id, &bytes).map(|len| Received::Part(id, len)),
            FRAME_LAST_CHUNK => {
                self.append(id, &bytes)?;
                let message = self.incomplete.remove(&id).unwrap_or_default();
                Ok(Received::Message(message.freeze()))
            }
            FRAME_ABORTED => {
                self.incomplete.remove(&id);
                Ok(Received::Nothing)
            }
            _ => Err(BadFrame),
        }
    }

    /// Adds a chunk, and returns how much of its message is there.
    fn append(&mut self, id: AskId, bytes: &[u8]) -> Result<usize, BadFrame> {
        let is_known = self.incomplete.contains_key(&id);
        if !is_known && self.incomplete.len() >= MAX_INCOMPLETE {
            return Err(BadFrame);
        }
        let message = self.incomplete.entry(id).or_default();
        if message.len() + bytes.len() > MAX_FRAME {
            return Err(BadFrame);
        }
        message.extend_from_slice(bytes);
        Ok(message.len())
    }
}
