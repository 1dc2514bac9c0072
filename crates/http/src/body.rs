//! Reads request and response bodies.

use ntex::http::Payload;
use ntex::util::{Bytes, BytesMut};

/// Why a body could not be read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body has more bytes than the limit.
    TooLarge,
    /// The connection ended or broke before the end of the body.
    CutShort,
}

/// Reads a complete body of at most `limit` bytes. `ntex` checks the length that the sender stated,
/// so a truncated body is an error and never returned as a shorter one.
///
/// # Errors
///
/// A [`BodyError`] if the body is larger than the limit or truncated.
pub async fn read_body(mut payload: Payload, limit: usize) -> Result<Bytes, BodyError> {
    let mut single: Option<Bytes> = None;
    let mut buf = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|_| BodyError::CutShort)?;
        let received = buf.len() + single.as_ref().map_or(0, Bytes::len);
        if received + chunk.len() > limit {
            drop_body(payload).await;
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

/// Largest number of bytes of an unwanted body that are read and discarded. The connection of a
/// sender with a larger one is closed.
const MAX_DROPPED: usize = 4 * 1024 * 1024;

/// Reads and discards a body that is not needed. An answer that is sent before the whole body has
/// arrived closes the connection, and the sender sees a broken connection in place of the answer: a
/// refusal with the outcome "not run" would become an unknown outcome.
pub async fn drop_body(mut payload: Payload) {
    let mut left = MAX_DROPPED;
    while let Some(Ok(chunk)) = payload.recv().await {
        let Some(rest) = left.checked_sub(chunk.len()) else {
            return;
        };
        left = rest;
    }
}
