//! Whole bodies.

use ntex::http::Payload;
use ntex::util::{Bytes, BytesMut};

/// Why a body was not read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// More bytes than the limit.
    TooLarge,
    /// The connection ended or broke before the body did.
    CutShort,
}

/// Reads a whole body of at most `limit` bytes. The library checks the length
/// that the sender stated, so a body cut short is an error here and never a
/// shorter body.
///
/// # Errors
///
/// Whatever [`BodyError`] names.
pub async fn read_body(mut payload: Payload, limit: usize) -> Result<Bytes, BodyError> {
    let mut whole: Option<Bytes> = None;
    let mut buf = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|_| BodyError::CutShort)?;
        let held = buf.len() + whole.as_ref().map_or(0, Bytes::len);
        if held + chunk.len() > limit {
            drop_body(payload).await;
            return Err(BodyError::TooLarge);
        }
        // A body that came in one piece, as most do, is passed on uncopied.
        match whole.take() {
            None if buf.is_empty() => whole = Some(chunk),
            None => buf.extend_from_slice(&chunk),
            Some(first) => {
                buf.extend_from_slice(&first);
                buf.extend_from_slice(&chunk);
            }
        }
    }
    Ok(whole.unwrap_or_else(|| buf.freeze()))
}

/// Most bytes of a body that are read only to be dropped. Whoever sends more
/// than this has its connection closed.
const MAX_DROPPED: usize = 4 * 1024 * 1024;

/// Reads a body that nobody wants, without keeping it. An answer that is sent
/// while the body is still on its way closes the connection under it, and the
/// sender then sees a broken connection in place of the answer: a refusal as
/// "not run" would become an outcome that nobody knows.
pub async fn drop_body(mut payload: Payload) {
    let mut left = MAX_DROPPED;
    while let Some(Ok(chunk)) = payload.recv().await {
        let Some(rest) = left.checked_sub(chunk.len()) else {
            return;
        };
        left = rest;
    }
}
