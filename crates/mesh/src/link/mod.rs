//! Links: one connection from each daemon to each other one that it talks to,
//! with many questions on it at a time.
//!
//! A connection for each call in flight, as HTTP/1.1 would need, costs a wake-up
//! and several system calls more for each call, and cancelling one call would
//! mean to close its connection. Frames and their encoding come from libraries.
//!
//! [`dial`] is the end that asks, [`serve`] the one that answers.

mod dial;
mod serve;

use bytes::Bytes;
use futures_util::SinkExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

pub(crate) use dial::{LinkError, Links};
pub(crate) use serve::serve;

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

/// Writes frames until the link closes. What is queued goes out in one write.
async fn write(mut writer: Writer, mut queue: UnboundedReceiver<Bytes>) {
    while let Some(frame) = queue.recv().await {
        let mut next = Some(frame);
        while let Some(frame) = next {
            if writer.feed(frame).await.is_err() {
                return;
            }
            next = queue.try_recv().ok();
        }
        if SinkExt::<Bytes>::flush(&mut writer).await.is_err() {
            return;
        }
    }
}
