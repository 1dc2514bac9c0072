//! A target's whole answer, as the executor keeps it.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Status from which an answer is a failure of its target.
const FAILURE: u16 = 500;

/// One header of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: SmolStr,
    /// Value, any bytes that HTTP allows.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// A whole answer. It is built only after the last byte of the body came in:
/// nothing in this crate can hold part of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers of the answer, without those of the connection.
    pub headers: Vec<Header>,
    /// The whole body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl Answer {
    /// Whether the target says that it failed.
    #[must_use]
    pub fn is_failure(&self) -> bool {
        self.status >= FAILURE
    }

    /// Bytes that keeping this answer takes, about.
    #[must_use]
    pub fn weight(&self) -> usize {
        let header = |it: &Header| it.name.len() + it.value.len() + size_of::<Header>();
        size_of::<Self>() + self.body.len() + self.headers.iter().map(header).sum::<usize>()
    }
}

/// Whether a header is about one connection only, and so never passes from one
/// hop to the next. The length of a body is among them: each hop writes its own.
#[must_use]
pub fn is_of_connection(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "content-length"
            | "expect"
            | "host"
            | "keep-alive"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
    )
}
