//! Puts messages and bodies together from the chunks in which they arrive.

use std::collections::HashMap;

use bytes::{Bytes, BytesMut};
use stoatstep_body::{Body, BodyBuilder, Lease, Memory};
use stoatstep_http::{BodyMemory, TransferGuard, Transfers};

use super::framing::{
    CHUNK_HEADER, FRAME_ABORTED, FRAME_BODY, FRAME_BODY_CHUNK, FRAME_CHUNK, FRAME_LAST_CHUNK,
    FRAME_WHOLE,
};
use crate::memory::MemoryShares;
use crate::wire::AskId;

/// Limit on the incomplete messages of one link, and on its incomplete bodies. A daemon has fewer
/// calls in flight at one peer.
const MAX_INCOMPLETE: usize = 1024;

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

/// A frame that does not follow the protocol, or a message for which there is no memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BadFrame;

/// Reassembles large messages and bodies from their chunks.
pub(super) struct Reassembler {
    messages: HashMap<AskId, IncompleteMessage>,
    bodies: HashMap<AskId, IncompleteBody>,
    message_memory: Memory,
    body_memory: BodyMemory,
    evicts: bool,
}

#[derive(Default)]
struct IncompleteMessage {
    bytes: BytesMut,
    lease: Option<Lease>,
}

/// A body of which a part is there; one for which there is no memory is dropped as it arrives.
struct IncompleteBody {
    len: usize,
    received: usize,
    kept: Option<KeptBody>,
}

struct KeptBody {
    builder: BodyBuilder,
    lease: Lease,
    /// Set for requests, which can be refused. Answers that are ready are never given up.
    transfer: Option<TransferGuard>,
}

impl KeptBody {
    fn is_evicted(&self) -> bool {
        self.transfer.as_ref().is_some_and(|it| it.is_evicted())
    }
}

impl IncompleteBody {
    fn push(&mut self, bytes: &[u8]) -> Result<(), BadFrame> {
        self.received += bytes.len();
        if self.received > self.len {
            return Err(BadFrame);
        }
        self.drop_evicted();
        if let Some(kept) = &mut self.kept {
            if let Some(transfer) = &kept.transfer {
                transfer.progressed();
            }
            kept.builder.push(bytes);
        }
        Ok(())
    }

    fn drop_evicted(&mut self) {
        self.kept = self.kept.take().filter(|it| !it.is_evicted());
    }
}

impl Reassembler {
    /// For the end of a link that receives requests. Their bodies are dropped if they stall while
    /// others need their memory.
    pub(super) fn of_requests(memory: &MemoryShares) -> Self {
        Self::new(memory.messages.clone(), memory.requests.clone(), true)
    }

    /// For the end of a link that receives answers.
    pub(super) fn of_answers(memory: &MemoryShares) -> Self {
        Self::new(memory.messages.clone(), memory.answers.clone(), false)
    }

    fn new(message_memory: Memory, body_memory: BodyMemory, evicts: bool) -> Self {
        Self {
            messages: HashMap::new(),
            bodies: HashMap::new(),
            message_memory,
            body_memory,
            evicts,
        }
    }

    /// Whether a body is incomplete.
    pub(super) fn has_bodies(&self) -> bool {
        !self.bodies.is_empty()
    }

    /// Returns the memory of bodies that were evicted.
    pub(super) fn drop_evicted(&mut self) {
        for body in self.bodies.values_mut() {
            body.drop_evicted();
        }
    }

    /// Processes a frame and returns what it added.
    ///
    /// # Errors
    ///
    /// Fails if no daemon of this build sends such a frame, or if incomplete messages take too much
    /// memory. The caller closes the link then.
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
            FRAME_CHUNK => {
                let len = self.append(id, &bytes)?;
                Ok(Received::Part(id, len + self.body_len(id)))
            }
            FRAME_LAST_CHUNK => {
                self.append(id, &bytes)?;
                let message = self.messages.remove(&id).unwrap_or_default();
                Ok(Received::Message(message.bytes.freeze()))
            }
            FRAME_BODY => {
                let len = (*bytes).try_into().map(u64::from_be_bytes);
                self.begin_body(id, len.map_err(|_| BadFrame)?)?;
                Ok(Received::Nothing)
            }
            FRAME_BODY_CHUNK => {
                self.bodies.get_mut(&id).ok_or(BadFrame)?.push(&bytes)?;
                Ok(Received::Part(id, self.body_len(id)))
            }
            FRAME_ABORTED => {
                self.messages.remove(&id);
                self.bodies.remove(&id);
                Ok(Received::Nothing)
            }
            _ => Err(BadFrame),
        }
    }

    /// Takes the body of this request out: `Ok(None)` if there was no memory for it.
    ///
    /// # Errors
    ///
    /// Fails if not all of it was sent.
    pub(super) fn take_body(&mut self, id: AskId) -> Result<Option<Body>, BadFrame> {
        let body = self.bodies.remove(&id).ok_or(BadFrame)?;
        if body.received != body.len {
            return Err(BadFrame);
        }
        let finish = |kept: KeptBody| kept.builder.finish(Some(kept.lease));
        Ok(body.kept.map(finish))
    }

    fn body_len(&self, id: AskId) -> usize {
        self.bodies.get(&id).map_or(0, |it| it.received)
    }

    fn begin_body(&mut self, id: AskId, len: u64) -> Result<(), BadFrame> {
        if self.bodies.len() >= MAX_INCOMPLETE {
            return Err(BadFrame);
        }
        let len = usize::try_from(len).map_err(|_| BadFrame)?;
        let lease = self.body_memory.try_lease(len);
        if lease.is_none() {
            // Makes room for the next one.
            self.body_memory.transfers().evict_stalled();
        }
        let transfers = self.evicts.then(|| self.body_memory.transfers());
        let kept = lease.map(|lease| KeptBody {
            builder: BodyBuilder::new(Some(len)),
            lease,
            transfer: transfers.map(Transfers::begin),
        });
        let body = IncompleteBody {
            len,
            received: 0,
            kept,
        };
        self.bodies.insert(id, body);
        Ok(())
    }

    /// Adds a chunk, and returns how much of its message is there.
    fn append(&mut self, id: AskId, bytes: &[u8]) -> Result<usize, BadFrame> {
        let is_known = self.messages.contains_key(&id);
        if !is_known && self.messages.len() >= MAX_INCOMPLETE {
            return Err(BadFrame);
        }
        let message = self.messages.entry(id).or_default();
        // The buffer doubles when it is full.
        let len = 2 * (message.bytes.len() + bytes.len());
        let fits = if let Some(lease) = &mut message.lease {
            lease.resize(len)
        } else {
            message.lease = self.message_memory.lease(len);
            message.lease.is_some()
        };
        if !fits {
            return Err(BadFrame);
        }
        message.bytes.extend_from_slice(bytes);
        Ok(message.bytes.len())
    }
}
