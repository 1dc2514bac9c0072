//! Links: one connection from each daemon to each other one that it talks to,
//! with many questions on it at a time.
//!
//! A connection for each call in flight, as HTTP/1.1 would need, costs a wake-up
//! and several system calls more for each call, and cancelling one call would
//! mean to close its connection. Frames and their encoding come from libraries;
//! large messages go in [`pieces`], at the pace of the instance's link.
//!
//! [`dial`] is the end that asks, [`serve`] the one that answers.

mod dial;
mod pieces;
mod serve;
mod uplink;

use std::rc::Rc;

use bytes::Bytes;
use futures_util::SinkExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use pieces::{Outbox, Outgoing};

pub(crate) use dial::{LinkError, Links};
pub(crate) use serve::serve;
pub(crate) use uplink::SharedUplink;

/// Largest message: a body of the largest size and its headers.
const MAX_FRAME: usize = (64 << 20) + (1 << 20);

type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
type Writer = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

fn codec() -> LengthDelimitedCodec {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME);
    builder.new_codec()
}

fn encode(message: &impl Serialize) -> Bytes {
    let bytes = rmp_serde::to_vec(message).expect("plain data always encodes");
    bytes.into()
}

fn decode<T: DeserializeOwned>(frame: &[u8]) -> Option<T> {
    rmp_serde::from_slice(frame).ok()
}

/// Writes messages until the link closes. Small ones that are queued go out in one
/// write, the pieces of large ones when the instance's link has room.
async fn write(
    mut writer: Writer,
    mut queue: UnboundedReceiver<Outgoing>,
    uplink: Rc<SharedUplink>,
) {
    let mut outbox = Outbox::new(uplink);
    loop {
        tokio::select! {
            biased;
            outgoing = queue.recv() => {
                let Some(outgoing) = outgoing else {
                    return;
                };
                outbox.push(outgoing);
                while let Ok(outgoing) = queue.try_recv() {
                    outbox.push(outgoing);
                }
            }
            () = outbox.turn(), if outbox.has_large() => {
                let Some(piece) = outbox.piece() else {
                    continue;
                };
                if writer.feed(piece).await.is_err() {
                    return;
                }
            }
        }
        while let Some(frame) = outbox.small() {
            if writer.feed(frame).await.is_err() {
                return;
            }
        }
        if SinkExt::<Bytes>::flush(&mut writer).await.is_err() {
            return;
        }
    }
}
