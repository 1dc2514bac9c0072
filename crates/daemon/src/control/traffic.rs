//! Counts the bytes of control messages by class.

use std::cell::Cell;
use std::net::SocketAddr;

use stoatstep_resource::wire::TrafficStatus;
use stoatstep_telemetry::Metrics;

/// Subject of a control message. The two are counted separately, since traffic of the
/// membership grows with the size of the fleet and with time, and traffic of the
/// configuration with the number of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Class {
    /// Which instances are in the fleet.
    Membership,
    /// Which configuration is in force.
    Configuration,
}

impl Class {
    fn as_str(self) -> &'static str {
        match self {
            Self::Membership => "membership",
            Self::Configuration => "configuration",
        }
    }
}

/// Size in bytes of the status line and headers of an answer.
pub(super) const ANSWER_HEAD: usize =
    "HTTP/1.1 200 OK\r\ncontent-length: 100\r\ndate: Wed, 02 Dec 2026 18:00:00 GMT\r\n\r\n".len();

/// Returns the size in bytes of the request line and headers of a request.
pub(super) fn request_head(path: &str, addr: SocketAddr, token: &str, body: usize) -> usize {
    const FIXED: usize = "POST  HTTP/1.1\r\nhost: \r\nstoatstep-peer: \r\n\
        content-length: \r\ndate: Wed, 02 Dec 2026 18:00:00 GMT\r\n\r\n"
        .len();
    let addr = addr.to_string().len();
    FIXED + path.len() + addr + token.len() + body.to_string().len()
}

#[derive(Debug, Default)]
struct ByteCount {
    sent: Cell<u64>,
    received: Cell<u64>,
}

/// Bytes of control messages since the start of the process, including the HTTP headers.
/// Attempts of calls are not counted.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    membership: ByteCount,
    configuration: ByteCount,
}

impl Traffic {
    pub(super) fn sent(&self, metrics: &Metrics, class: Class, bytes: usize) {
        add(&self.byte_count(class).sent, bytes);
        emit(metrics, class, "sent", bytes);
    }

    pub(super) fn received(&self, metrics: &Metrics, class: Class, bytes: usize) {
        add(&self.byte_count(class).received, bytes);
        emit(metrics, class, "received", bytes);
    }

    /// Returns the sums since the start of the process, for operators.
    pub(crate) fn status(&self) -> Vec<TrafficStatus> {
        let classes = [Class::Membership, Class::Configuration];
        let row = |class: Class| TrafficStatus {
            class: class.as_str().into(),
            sent_bytes: self.byte_count(class).sent.get(),
            received_bytes: self.byte_count(class).received.get(),
        };
        classes.map(row).to_vec()
    }

    fn byte_count(&self, class: Class) -> &ByteCount {
        match class {
            Class::Membership => &self.membership,
            Class::Configuration => &self.configuration,
        }
    }
}

fn add(byte_count: &Cell<u64>, bytes: usize) {
    byte_count.set(byte_count.get() + bytes as u64);
}

fn emit(metrics: &Metrics, class: Class, direction: &str, bytes: usize) {
    let name = format!("control.{}.{direction}_bytes", class.as_str());
    metrics.count(&name, i64::try_from(bytes).unwrap_or(i64::MAX));
}
