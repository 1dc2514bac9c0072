//! Reads the bodies of requests, and discards those that are not needed.

use std::future::poll_fn;
use std::mem;
use std::pin::{Pin, pin};
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use ntex::http::error::PayloadError;
use ntex::http::{Payload, Request};
use ntex::util;
use stoatstep_body::{Body, BodyBuilder, Lease};
use tokio::time::{Instant, timeout, timeout_at};

use crate::body_memory::{BodyMemory, NoMemory};
use crate::connections::Connection;
use crate::transfers::TransferGuard;

/// Time without a byte after which a sender is given up.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// What a body takes beside its bytes while more of it is awaited: the connection's buffers.
const BUFFERS: usize = 32 << 10;

/// What the same takes if the body comes in tiny parts, which the HTTP library queues.
const BUFFERS_OF_TINY_PARTS: usize = 192 << 10;

/// Number of parts after which their size is looked at, and the average size below which they are
/// tiny.
const MANY_PARTS: usize = 256;
const TINY_PART: usize = 64;

/// Why a body could not be read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body has more bytes than the limit.
    TooLarge,
    /// The connection ended or broke before the end of the body, or the body is malformed.
    CutShort,
    /// Other bodies have taken the memory for it.
    NoMemory,
    /// Its sender has stopped.
    Stalled,
}

impl From<NoMemory> for BodyError {
    fn from(NoMemory: NoMemory) -> Self {
        Self::NoMemory
    }
}

/// The length of a request's body that its headers state.
fn stated_length(req: &Request) -> Option<u64> {
    let text = req.headers().get("content-length")?.to_str().ok()?;
    text.parse().ok()
}

/// Reads the complete body of a request into memory that all bodies share. `ntex` checks the length
/// that the sender stated, so a truncated body is an error and never returned as a shorter one.
///
/// # Errors
///
/// A [`BodyError`]. The rest of the body is [discarded](discard) then, and also if the future is
/// dropped.
pub async fn read_request_body(req: &mut Request, memory: &BodyMemory) -> Result<Body, BodyError> {
    let stated = stated_length(req);
    let payload = req.take_payload();
    if matches!(payload, Payload::None) {
        return Ok(Body::default());
    }
    let connection = Connection::of(req);
    let _receiving = connection.as_ref().map(Connection::receive_body);
    let mut rest = Rest {
        payload,
        connection: connection.clone(),
    };
    let body = read_payload(&mut rest.payload, stated, memory).await?;
    rest.payload = Payload::None;
    Ok(body)
}

/// Guard of a body that is being received. Dropping it discards what has not arrived.
struct Rest {
    payload: Payload,
    connection: Option<Connection>,
}

impl Drop for Rest {
    fn drop(&mut self) {
        discard(mem::take(&mut self.payload), self.connection.take());
    }
}

/// Reads a complete body like [`read_request_body`].
///
/// # Errors
///
/// A [`BodyError`]; the payload may go on.
pub async fn read_payload(
    payload: &mut Payload,
    stated: Option<u64>,
    memory: &BodyMemory,
) -> Result<Body, BodyError> {
    let stated = match stated.map(usize::try_from) {
        Some(Ok(len)) if len <= memory.largest() => Some(len),
        Some(_) => return Err(BodyError::TooLarge),
        None => None,
    };
    let first = poll_twice(pin!(payload.recv())).await;
    if let Poll::Ready(Some(Ok(first))) = &first
        && stated == Some(first.len())
    {
        let lease = memory.lease(first.len()).await?;
        return Ok(Body::new(vec![Bytes::copy_from_slice(first)], Some(lease)));
    }
    let mut receiving = Receiving::begin(memory, stated).await?;
    match first {
        Poll::Ready(Some(part)) => receiving.push(&part.map_err(cut_short)?).await?,
        Poll::Ready(None) => return Ok(receiving.finish()),
        Poll::Pending => {}
    }
    loop {
        let part = tokio::select! {
            biased;
            () = receiving.transfer.evicted() => return Err(BodyError::Stalled),
            part = timeout(IDLE_TIMEOUT, payload.recv()) => part,
        };
        match part.map_err(|_| BodyError::Stalled)? {
            Some(part) => receiving.push(&part.map_err(cut_short)?).await?,
            None => return Ok(receiving.finish()),
        }
    }
}

/// Polls a future that waits for what a caller sends. The HTTP library passes on what it has received
/// with the head of a request after the first time.
pub async fn poll_twice<F: Future>(mut future: Pin<&mut F>) -> Poll<F::Output> {
    let mut is_first = true;
    poll_fn(|cx| match future.as_mut().poll(cx) {
        Poll::Pending if is_first => {
            is_first = false;
            cx.waker().wake_by_ref();
            Poll::Pending
        }
        polled => Poll::Ready(polled),
    })
    .await
}

fn cut_short(_: PayloadError) -> BodyError {
    BodyError::CutShort
}

/// A body of which a part is there.
struct Receiving<'a> {
    memory: &'a BodyMemory,
    builder: BodyBuilder,
    lease: Lease,
    transfer: TransferGuard,
    parts: usize,
    buffers: usize,
}

impl<'a> Receiving<'a> {
    async fn begin(memory: &'a BodyMemory, stated: Option<usize>) -> Result<Self, BodyError> {
        let builder = BodyBuilder::new(stated);
        let lease = memory.lease(stated.unwrap_or(0) + BUFFERS).await?;
        Ok(Self {
            memory,
            builder,
            lease,
            transfer: memory.transfers().begin(),
            parts: 0,
            buffers: BUFFERS,
        })
    }

    async fn push(&mut self, part: &util::Bytes) -> Result<(), BodyError> {
        let len = self.builder.len() + part.len();
        if len > self.memory.largest() {
            return Err(BodyError::TooLarge);
        }
        self.transfer.progressed();
        self.parts += 1;
        if self.parts == MANY_PARTS && len < MANY_PARTS * TINY_PART {
            self.buffers = BUFFERS_OF_TINY_PARTS;
        }
        let needed = self.builder.allocated_with(part.len()) + self.buffers;
        if needed > self.lease.bytes() {
            self.memory.grow(&mut self.lease, needed).await?;
        }
        self.builder.push(part);
        Ok(())
    }

    fn finish(mut self) -> Body {
        self.lease.resize(self.builder.allocated_with(0));
        self.builder.finish(Some(self.lease))
    }
}

/// Reads a complete body of at most `limit` bytes, for senders that are trusted not to send many at
/// once.
///
/// # Errors
///
/// A [`BodyError`] if the body is larger than the limit or truncated.
pub async fn read_body(mut payload: Payload, limit: usize) -> Result<util::Bytes, BodyError> {
    let mut single: Option<util::Bytes> = None;
    let mut buf = util::BytesMut::new();
    while let Some(chunk) = next_part(&mut payload).await? {
        let received = buf.len() + single.as_ref().map_or(0, util::Bytes::len);
        if received + chunk.len() > limit {
            discard(payload, None);
            return Err(BodyError::TooLarge);
        }
        // Most bodies arrive as a single chunk, which is returned without a copy.
        match single.take() {
            None if buf.is_empty() => single = Some(chunk),
            None => buf.extend_from_slice(&chunk),
            Some(first) => {
                buf.extend_from_slice(&first);
                buf.extend_from_slice(&chunk);
            }
        }
    }
    Ok(single.unwrap_or_else(|| buf.freeze()))
}

async fn next_part(payload: &mut Payload) -> Result<Option<util::Bytes>, BodyError> {
    let part = timeout(IDLE_TIMEOUT, payload.recv()).await;
    let part = part.map_err(|_| BodyError::Stalled)?;
    part.transpose().map_err(cut_short)
}

/// Largest number of bytes of an unwanted body that are read and discarded, and the longest time for
/// that. The connection of a sender that needs more is closed.
const MAX_DISCARDED: usize = 4 << 20;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without a byte after which the rest of an unwanted body is not awaited any more.
const DISCARD_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads and discards a body that is not needed, as far as its sender sends it soon. A connection
/// that is closed with unread bytes is reset, and a sender that is still writing would see that in
/// place of the answer: a refusal with the outcome "not run" would become an unknown outcome.
pub async fn drop_body(mut payload: Payload) {
    let end = Instant::now() + DISCARD_TIMEOUT;
    let mut left = MAX_DISCARDED;
    loop {
        let part = timeout(DISCARD_IDLE_TIMEOUT, payload.recv());
        let Ok(Ok(Some(Ok(part)))) = timeout_at(end, part).await else {
            return;
        };
        let Some(rest) = left.checked_sub(part.len()) else {
            return;
        };
        left = rest;
    }
}

/// [Drops](drop_body) a body in the background, so that the answer does not wait for it.
pub fn discard(payload: Payload, connection: Option<Connection>) {
    if matches!(payload, Payload::None) {
        return;
    }
    ntex::rt::spawn(async move {
        let _receiving = connection.as_ref().map(Connection::receive_body);
        drop_body(payload).await;
    });
}
