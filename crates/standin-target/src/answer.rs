//! The body of an answer, from which a caller can tell that it is whole and
//! its own.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

/// An answer's body.
///
/// The marker comes from the request, so that a mixed-up answer is seen; the
/// checksum covers every other field, so that a shortened one is seen too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// What the request carried in `stoat-marker`, or else its path.
    pub marker: SmolStr,
    /// Name of the target that ran the call.
    pub target: SmolStr,
    /// Number of the run within the target's process.
    pub run: u64,
    /// As many bytes as the request asked for with `?bytes=n`.
    pub padding: String,
    /// Checksum over all other fields, in hexadecimal.
    pub checksum: String,
}

/// Why a body is not the answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// The body is not a whole answer.
    Malformed(String),
    /// The checksum does not fit the fields.
    Checksum,
    /// The answer belongs to another request.
    Marker {
        /// The marker in the answer.
        found: SmolStr,
    },
    /// The padding is shorter or longer than asked for.
    Length {
        /// Bytes of padding in the answer.
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
    /// The answer of `target` to a request, with `bytes` bytes of padding that
    /// differ from run to run.
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

    /// Reads a body that should answer the request with `marker` that asked
    /// for `bytes` bytes of padding.
    ///
    /// # Errors
    ///
    /// Whatever [`AnswerError`] names: the caller did not get its own whole
    /// answer.
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
