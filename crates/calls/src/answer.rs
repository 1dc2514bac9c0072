//! A target's complete answer, as the executor keeps it.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use stoatstep_body::Body;

/// Lowest status that means that the target failed.
const MIN_FAILURE_STATUS: u16 = 500;

/// One header of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Header {
    /// Name of the header in lower case.
    pub name: SmolStr,
    /// Value of the header, which may contain any bytes that HTTP allows.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// A complete answer. It is built only after the last byte of the body was received;
/// no type of this crate holds a partial answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers of the answer, without hop-by-hop headers.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Body,
}

/// Returns whether a status is that of a final answer. Those outside of the classes of HTTP are
/// invalid, and an interim answer or another protocol is something that no daemon asks for.
#[must_use]
pub fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}

impl Answer {
    /// Returns whether the status means that the target failed.
    #[must_use]
    pub fn is_failure(&self) -> bool {
        self.status >= MIN_FAILURE_STATUS
    }

    /// Returns approximately how many bytes of memory the answer takes.
    #[must_use]
    pub fn memory_size(&self) -> usize {
        let header = |it: &Header| it.name.len() + it.value.len() + size_of::<Header>();
        size_of::<Self>() + self.body.len() + self.headers.iter().map(header).sum::<usize>()
    }
}

/// Returns whether a header, given in lower case, is hop-by-hop and must not be
/// forwarded. This includes `content-length`, because each hop writes its own.
#[must_use]
pub fn is_hop_by_hop(name: &str) -> bool {
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
