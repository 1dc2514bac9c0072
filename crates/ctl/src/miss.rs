//! Requests that got no usable answer.

use std::fmt;
use std::net::SocketAddr;
use std::time::Instant;

use ntex::client::error::{ClientError, ConnectError};

/// Why one daemon gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Miss {
    /// The request never left, so it had no effect.
    NotConnected(String),
    /// The request may have had its effect before the answer was lost.
    NoAnswer(String),
    /// The daemon says that it cannot do it now.
    Busy(String),
}

impl Miss {
    /// Sorts errors by whether the request can have left. The library reports a
    /// connection that ended before the answer came as `Disconnected(None)`,
    /// beside the failures to connect. Taken for one of those, a change that
    /// took effect would be reported as one that never left.
    pub(crate) fn of(error: &ClientError) -> Self {
        match error {
            ClientError::Connect(ConnectError::Disconnected(None)) => {
                Self::NoAnswer("the connection ended before the answer".to_owned())
            }
            // The library's own text leaves out what the system said.
            ClientError::Connect(ConnectError::Disconnected(Some(error))) => {
                Self::NotConnected(error.to_string())
            }
            ClientError::Connect(error) => Self::NotConnected(error.to_string()),
            _ => Self::NoAnswer(error.to_string()),
        }
    }
}

impl fmt::Display for Miss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotConnected(why) => write!(f, "not reached: {why}"),
            Self::NoAnswer(why) => write!(f, "no answer: {why}"),
            Self::Busy(why) => write!(f, "cannot do it now: {why}"),
        }
    }
}

/// No daemon gave a usable answer in time.
#[derive(Debug)]
pub(crate) struct Unreachable {
    /// The last miss of each daemon, in the order in which they were given.
    pub(crate) misses: Vec<(SocketAddr, Miss)>,
    /// Whether a request may have had its effect at one of them.
    pub(crate) unsettled: bool,
}

impl fmt::Display for Unreachable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no daemon answered in time")?;
        for (daemon, miss) in &self.misses {
            write!(f, "; {daemon}: {miss}")?;
        }
        Ok(())
    }
}

/// The misses of one request so far.
#[derive(Default)]
pub(crate) struct Misses {
    last: Vec<(SocketAddr, Miss)>,
    /// When the first request left that may have had its effect.
    pub(crate) unsettled: Option<Instant>,
}

impl Misses {
    pub(crate) fn add(&mut self, daemon: SocketAddr, miss: Miss, sent: Instant) {
        if !matches!(miss, Miss::NotConnected(_)) {
            self.unsettled.get_or_insert(sent);
        }
        match self.last.iter_mut().find(|(known, _)| *known == daemon) {
            Some((_, last)) => *last = miss,
            None => self.last.push((daemon, miss)),
        }
    }

    pub(crate) fn into_error(self) -> Unreachable {
        Unreachable {
            misses: self.last,
            unsettled: self.unsettled.is_some(),
        }
    }
}
