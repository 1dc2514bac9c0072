//! Encoding of requests and answers between client and platform.
//!
//! Requests and answers are `MessagePack` maps with field names, so that a field can be added
//! without breaking the other side. Their types are separate from those that the code works with.
//! Decoding checks the lengths of keys and the number of items in a request, so that any decoded
//! message can be held in memory.

mod table;

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use self::table::{WireCommit, WireCommitAnswer, WireRead, WireReadAnswer};
use crate::request::{CommitAnswer, CommitRequest, ReadAnswer, ReadRequest};

/// Largest body of a table request or its answer, in bytes.
pub const MAX_BODY: usize = 8 * 1024 * 1024;
/// Largest object, in bytes.
pub const MAX_OBJECT: usize = 32 * 1024 * 1024;
/// Largest key of a row or name of an object, in bytes.
pub const MAX_KEY: usize = 512;
/// Largest number of keys and ranges in one read.
pub const MAX_READ_ITEMS: usize = 256;
/// Largest number of conditions and writes in one transaction.
pub const MAX_COMMIT_ITEMS: usize = 2_048;

/// Names of the headers between client and platform.
pub mod header {
    /// Availability zone of the caller.
    pub const ZONE: &str = "stoatstep-zone";
    /// Milliseconds after which a refused request may be retried.
    pub const RETRY_AFTER_MS: &str = "stoatstep-retry-after-ms";
}

/// Error of decoding a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The bytes are not a message of the expected type.
    Malformed(SmolStr),
    /// A key is empty or too long.
    BadKey(SmolStr),
    /// The request has too many items.
    TooMany {
        /// Number of items in the request.
        found: usize,
        /// Largest allowed number of items.
        allowed: usize,
    },
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(reason) => write!(f, "malformed message: {reason}"),
            Self::BadKey(key) => {
                write!(f, "key has {} bytes, 1 to {MAX_KEY} are allowed", key.len())
            }
            Self::TooMany { found, allowed } => {
                write!(f, "{found} items in one request, {allowed} are allowed")
            }
        }
    }
}

impl std::error::Error for WireError {}

fn encode<W: Serialize>(wire: &W) -> Vec<u8> {
    rmp_serde::to_vec_named(wire).expect("plain data always encodes")
}

fn decode<W: DeserializeOwned>(bytes: &[u8]) -> Result<W, WireError> {
    rmp_serde::from_slice(bytes).map_err(|e| WireError::Malformed(e.to_string().into()))
}

/// Encodes a read request.
#[must_use]
pub fn encode_read(req: ReadRequest) -> Vec<u8> {
    encode(&WireRead::from(req))
}

/// Decodes a read request.
///
/// # Errors
///
/// A [`WireError`] if the bytes are not a valid message.
pub fn decode_read(bytes: &[u8]) -> Result<ReadRequest, WireError> {
    decode::<WireRead>(bytes)?.try_into()
}

/// Encodes the answer to a read.
#[must_use]
pub fn encode_read_answer(answer: ReadAnswer) -> Vec<u8> {
    encode(&WireReadAnswer::from(answer))
}

/// Decodes the answer to a read.
///
/// # Errors
///
/// A [`WireError`] if the bytes are not a valid message.
pub fn decode_read_answer(bytes: &[u8]) -> Result<ReadAnswer, WireError> {
    decode::<WireReadAnswer>(bytes)?.try_into()
}

/// Encodes a transaction.
#[must_use]
pub fn encode_commit(req: CommitRequest) -> Vec<u8> {
    encode(&WireCommit::from(req))
}

/// Decodes a transaction.
///
/// # Errors
///
/// A [`WireError`] if the bytes are not a valid message.
pub fn decode_commit(bytes: &[u8]) -> Result<CommitRequest, WireError> {
    decode::<WireCommit>(bytes)?.try_into()
}

/// Encodes the answer to a transaction.
#[must_use]
pub fn encode_commit_answer(answer: CommitAnswer) -> Vec<u8> {
    encode(&WireCommitAnswer::from(answer))
}

/// Decodes the answer to a transaction.
///
/// # Errors
///
/// A [`WireError`] if the bytes are not a valid message.
pub fn decode_commit_answer(bytes: &[u8]) -> Result<CommitAnswer, WireError> {
    decode::<WireCommitAnswer>(bytes)?.try_into()
}

/// Encodes a list of object names.
#[must_use]
pub fn encode_names(names: &[SmolStr]) -> Vec<u8> {
    encode(&names)
}

/// Decodes a list of object names.
///
/// # Errors
///
/// A [`WireError`] if the bytes are not a valid message.
pub fn decode_names(bytes: &[u8]) -> Result<Vec<SmolStr>, WireError> {
    decode(bytes)
}
