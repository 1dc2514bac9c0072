//! Links: connections between daemons. A daemon has one link to each peer to which it sends
//! requests, and multiplexes its requests on it.
//!
//! One connection per call in flight, as HTTP/1.1 needs, would cost a wake-up and several
//! system calls more per call, and cancelling a call would mean closing its connection.
//! Libraries provide the frames and the encoding of messages. Large messages are split by
//! [`framing`] into chunks, which are sent at the rate of the instance's uplink. A large body is sent
//! segment by segment before the message that it belongs to, and collected by [`reassembly`] into
//! memory that is leased for it.
//!
//! [`client`] is the end that sends requests, [`server`] the one that replies.

mod answer;
mod client;
mod framing;
mod open;
mod reassembly;
mod server;
mod traffic;
mod uplink;

use std::mem;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::SinkExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use stoatstep_calls::MAX_CHUNK_BYTES;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use framing::{CHUNK_HEADER, Encoded, Outgoing, SendQueue};

use crate::wire::{Ask, AskId, CallParts, Reply, ToClient, ToServer};

pub(crate) use client::{BytesReceived, CONNECT_TIMEOUT, LinkContext, LinkError, Links};
pub(crate) use server::serve;
pub(crate) use traffic::{Cause, LinkTraffic, Place};
pub(crate) use uplink::SharedUplink;

/// Largest frame: a chunk of a message, and its header. Any program can connect and announce one, so
/// what a link holds of an incomplete frame has to be small.
const MAX_FRAME: usize = MAX_CHUNK_BYTES + CHUNK_HEADER;

/// Bodies over this size are sent apart from their messages, and never copied as a whole.
const MAX_INLINE_BODY: usize = 64 << 10;

type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
type Writer = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

fn codec() -> LengthDelimitedCodec {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME);
    builder.new_codec()
}

fn encode(message: &impl Serialize) -> Encoded {
    let bytes = rmp_serde::to_vec(message).expect("plain data always encodes");
    Encoded {
        message: bytes.into(),
        body: None,
    }
}

/// Encodes a request, without its body if that is large.
fn encode_ask(id: AskId, ask: Ask) -> Encoded {
    match ask {
        Ask::Run(mut attempt) if attempt.call.body.len() > MAX_INLINE_BODY => {
            let mut call = CallParts::clone(&attempt.call);
            let body = mem::take(&mut call.body);
            attempt.call = Rc::new(call);
            Encoded {
                body: Some(body),
                ..encode(&ToServer::RunWithBody(id, attempt))
            }
        }
        ask => encode(&ToServer::Ask(id, ask)),
    }
}

/// Encodes a reply, without the body of its answer if that is large.
fn encode_reply(id: AskId, reply: Reply) -> Encoded {
    match reply {
        Reply::Ran(mut ran) if ran.end.body_len() > MAX_INLINE_BODY => {
            let body = ran.end.take_body();
            Encoded {
                body,
                ..encode(&ToClient(id, Reply::RanWithBody(ran)))
            }
        }
        reply => encode(&ToClient(id, reply)),
    }
}

fn decode<T: DeserializeOwned>(frame: &[u8]) -> Option<T> {
    rmp_serde::from_slice(frame).ok()
}

/// Writes messages until the link closes. Small messages that are queued are sent in one
/// write, chunks of large ones as the instance's uplink has room.
async fn write(
    mut writer: Writer,
    mut queue: UnboundedReceiver<Outgoing>,
    uplink: Rc<SharedUplink>,
) {
    let mut send_queue = SendQueue::new(uplink);
    loop {
        tokio::select! {
            biased;
            outgoing = queue.recv() => {
                let Some(outgoing) = outgoing else {
                    return;
                };
                send_queue.push(outgoing);
                while let Ok(outgoing) = queue.try_recv() {
                    send_queue.push(outgoing);
                }
            }
            message = send_queue.wait_turn(), if send_queue.has_large() => {
                let Some(chunk) = send_queue.next_chunk(message) else {
                    continue;
                };
                if writer.feed(chunk).await.is_err() {
                    return;
                }
            }
        }
        while let Some(frame) = send_queue.next_small() {
            if writer.feed(frame).await.is_err() {
                return;
            }
        }
        if SinkExt::<Bytes>::flush(&mut writer).await.is_err() {
            return;
        }
        send_queue.record_flushed();
    }
}
