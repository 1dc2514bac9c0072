//! The body of an answer, which lets a caller check that it is complete and belongs to its request.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

/// Body of an answer.
///
/// The marker comes from the request, so that an answer to another request is detected. The
/// checksum covers all other fields, so that a truncated or changed answer is detected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// Marker of the request: its header `stoat-marker`, or else its body if that is a short text,
    /// or else its path.
    pub marker: SmolStr,
    /// Name of the target that ran the call.
    pub target: SmolStr,
    /// Number of the run in the target's process.
    pub run: u64,
    /// Padding of the size that the request asked for with `?bytes=n`.
    pub padding: String,
    /// Checksum of all other fields in hexadecimal.
    pub checksum: String,
}

/// Error of checking the body of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// The body is not a complete answer.
    Malformed(String),
    /// The checksum does not match the fields.
    Checksum,
    /// The answer belongs to another request.
    Marker {
        /// Marker in the answer.
        found: SmolStr,
    },
    /// The padding does not have the requested size.
    Length {
        /// Size of the padding in the answer, in bytes.
        found: usize,
    },
}

impl fmt::Display for AnswerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(why) => write!(f, "not a whole answer: {why}"),
            Self::Checksum => f.write_str("checksum does not fit"),
            Self::Marker { found } => write!(f, "answer to another request: {found}"),
            Self::Length { found } => write!(f, "padding of {found} bytes"),
        }
    }
}

impl std::error::Error for AnswerError {}

impl Answer {
    /// Creates the answer of `target` to a request, with `bytes` bytes of padding that differ
    /// between runs.
    #[must_use]
    pub fn new(marker: SmolStr, target: SmolStr, run: u64, bytes: usize) -> Self {
        let padding = padding(run, bytes);
        let checksum = checksum(&marker, &target, run, &padding);
        Self {
            marker,
            target,
            run,
            padding,
            checksum,
        }
    }

    /// Parses and checks the body of the answer to a request with `marker` that asked for `bytes`
    /// bytes of padding.
    ///
    /// # Errors
    ///
    /// An [`AnswerError`] if the body is not the complete answer to that request.
    pub fn check(body: &[u8], marker: &str, bytes: usize) -> Result<Self, AnswerError> {
        let answer: Self = serde_json::from_slice(body)
            .map_err(|error| AnswerError::Malformed(error.to_string()))?;
        let expected = checksum(&answer.marker, &answer.target, answer.run, &answer.padding);
        if answer.checksum != expected {
            return Err(AnswerError::Checksum);
        }
        if answer.marker != marker {
            return Err(AnswerError::Marker {
                found: answer.marker,
            });
        }
        if answer.padding.len() != bytes {
            return Err(AnswerError::Length {
                found: answer.padding.len(),
            });
        }
        Ok(answer)
    }
}

fn padding(run: u64, bytes: usize) -> String {
    let unit = format!("{run:x}.");
    let mut padding = unit.repeat(bytes / unit.len() + 1);
    padding.truncate(bytes);
    padding
}

fn checksum(marker: &str, target: &str, run: u64, padding: &str) -> String {
    let text = format!("{marker}\n{target}\n{run}\n{padding}");
    format!("{:016x}", xxh3_64(text.as_bytes()))
}
