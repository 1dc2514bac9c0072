//! Messages as frames: small ones whole, large ones in pieces between them.
//!
//! One answer of half a megabyte as a single frame holds up every other answer on its
//! link, and the sign of life by which the other end knows that the link works.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use bytes::{BufMut, Bytes, BytesMut};

use super::MAX_FRAME;
use super::uplink::{Order, SharedUplink};
use crate::wire::AskId;

/// First byte of a frame.
const WHOLE: u8 = 0;
const PIECE: u8 = 1;
const LAST_PIECE: u8 = 2;
const WITHDRAWN: u8 = 3;

/// Bytes of a frame before those of the message: its kind, and for pieces the number of
/// the message.
const PIECE_HEAD: usize = 1 + size_of::<u64>();

/// Large messages of one link that may be incomplete at a time. A daemon has fewer calls
/// under way at one other.
const MAX_INCOMPLETE: usize = 1024;

/// What a link is asked to send.
#[derive(Clone, Debug)]
pub(super) enum Outgoing {
    /// A message about this question.
    Message(AskId, Bytes),
    /// The same, for a message that goes before large answers and does not wait for the
    /// link: a configuration has to be in force within seconds.
    Urgent(AskId, Bytes),
    /// Nobody waits for the message about this question any more.
    Withdraw(AskId),
}

struct Large {
    id: AskId,
    rest: Bytes,
    is_urgent: bool,
    order: Order,
}

/// What waits to be sent on one link.
pub(super) struct Outbox {
    uplink: Rc<SharedUplink>,
    small: VecDeque<Bytes>,
    /// The one whose turn is next in front.
    large: VecDeque<Large>,
}

impl Outbox {
    pub(super) fn new(uplink: Rc<SharedUplink>) -> Self {
        Self {
            uplink,
            small: VecDeque::new(),
            large: VecDeque::new(),
        }
    }

    pub(super) fn push(&mut self, outgoing: Outgoing) {
        match outgoing {
            Outgoing::Message(id, bytes) => self.message(id, bytes, false),
            Outgoing::Urgent(id, bytes) => self.message(id, bytes, true),
            Outgoing::Withdraw(id) => self.withdraw(id),
        }
    }

    fn message(&mut self, id: AskId, bytes: Bytes, is_urgent: bool) {
        let piece = self.uplink.read(stoatstep_calls::Uplink::chunk_bytes);
        if bytes.len() <= piece {
            self.small.push_back(frame(WHOLE, None, &bytes));
            return;
        }
        self.uplink.waits(bytes.len());
        let large = Large {
            id,
            order: self.uplink.order(bytes.len()),
            rest: bytes,
            is_urgent,
        };
        let place = |it: &Large| (!it.is_urgent, it.order);
        let ahead = self.large.iter().take_while(|it| place(it) < place(&large));
        let at = ahead.count();
        self.large.insert(at, large);
    }

    /// The bytes of an answer whose caller has gone would only delay others.
    fn withdraw(&mut self, id: AskId) {
        let Some(at) = self.large.iter().position(|it| it.id == id) else {
            return;
        };
        if let Some(large) = self.large.remove(at) {
            self.uplink.waits_no_more(large.rest.len());
            self.small.push_back(frame(WITHDRAWN, Some(id), &[]));
        }
    }

    pub(super) fn has_large(&self) -> bool {
        !self.large.is_empty()
    }

    /// Waits until the next piece may go.
    pub(super) async fn turn(&self) {
        match self.large.front() {
            Some(large) if !large.is_urgent => self.uplink.turn(large.order).await,
            Some(_) | None => {}
        }
    }

    /// The next frame that need not wait for the link.
    pub(super) fn small(&mut self) -> Option<Bytes> {
        let frame = self.small.pop_front()?;
        self.uplink.sent(frame.len());
        Some(frame)
    }

    /// The next piece of a large message. Messages go one after the other: in turns, all
    /// of them would be late together.
    pub(super) fn piece(&mut self) -> Option<Bytes> {
        let size = self.uplink.read(stoatstep_calls::Uplink::chunk_bytes);
        let large = self.large.front_mut()?;
        let piece = large.rest.split_to(size.min(large.rest.len()));
        let is_last = large.rest.is_empty();
        let kind = if is_last { LAST_PIECE } else { PIECE };
        let frame = frame(kind, Some(large.id), &piece);
        if is_last {
            self.large.pop_front();
        }
        self.uplink.waits_no_more(piece.len());
        self.uplink.sent(frame.len());
        Some(frame)
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        for large in &self.large {
            self.uplink.waits_no_more(large.rest.len());
        }
    }
}

fn frame(kind: u8, id: Option<AskId>, bytes: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(PIECE_HEAD + bytes.len());
    frame.put_u8(kind);
    if let Some(id) = id {
        frame.put_u64(id);
    }
    frame.put_slice(bytes);
    frame.freeze()
}

/// Why a link's frames make no sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BadFrame;

/// Puts the pieces of large messages together again.
#[derive(Default)]
pub(super) struct Assembly {
    incomplete: HashMap<AskId, BytesMut>,
}

impl Assembly {
    /// Takes in a frame; gives the message that it completes.
    ///
    /// # Errors
    ///
    /// Where no daemon of this build sends such a frame. The link is given up then.
    pub(super) fn take(&mut self, frame: BytesMut) -> Result<Option<Bytes>, BadFrame> {
        let mut frame = frame.freeze();
        let kind = *frame.first().ok_or(BadFrame)?;
        if kind == WHOLE {
            return Ok(Some(frame.split_off(1)));
        }
        let head = frame.get(1..PIECE_HEAD).and_then(|it| it.try_into().ok());
        let id = AskId::from_be_bytes(head.ok_or(BadFrame)?);
        let bytes = frame.split_off(PIECE_HEAD);
        match kind {
            PIECE => self.append(id, &bytes).map(|()| None),
            LAST_PIECE => {
                self.append(id, &bytes)?;
                Ok(self.incomplete.remove(&id).map(BytesMut::freeze))
            }
            WITHDRAWN => {
                self.incomplete.remove(&id);
                Ok(None)
            }
            _ => Err(BadFrame),
        }
    }

    fn append(&mut self, id: AskId, bytes: &[u8]) -> Result<(), BadFrame> {
        let is_known = self.incomplete.contains_key(&id);
        if !is_known && self.incomplete.len() >= MAX_INCOMPLETE {
            return Err(BadFrame);
        }
        let message = self.incomplete.entry(id).or_default();
        if message.len() + bytes.len() > MAX_FRAME {
            return Err(BadFrame);
        }
        message.extend_from_slice(bytes);
        Ok(())
    }
}
