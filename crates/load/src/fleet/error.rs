//! Why a fleet could not be started or asked.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use smol_str::SmolStr;

/// Why a fleet could not be started or asked.
#[derive(Clone, Debug)]
pub enum FleetError {
    /// A process or file could not be had.
    Io(String),
    /// Another process gave no usable answer.
    Answer {
        /// Where it listens.
        from: SocketAddr,
        /// What was asked.
        path: SmolStr,
        /// What came instead.
        why: String,
    },
    /// Something did not come about in time.
    Timeout(String),
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(why) => f.write_str(why),
            Self::Answer { from, path, why } => write!(f, "{from}{path}: {why}"),
            Self::Timeout(what) => write!(f, "not in time: {what}"),
        }
    }
}

impl std::error::Error for FleetError {}

impl From<io::Error> for FleetError {
    fn from(error: io::Error) -> Self {
        Self::Io(error.to_string())
    }
}
