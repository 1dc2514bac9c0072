//! Bytes of control traffic, counted by class.

use std::cell::Cell;
use std::net::SocketAddr;

use stoatstep_resource::wire::TrafficStatus;
use stoatstep_telemetry::Metrics;

/// What a control message is about. Membership and configuration are counted
/// apart, since they grow with different things: one with the fleet and time,
/// the other with changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Class {
    /// Who is in the fleet.
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

/// Bytes that a status line and the headers of an answer take.
pub(super) const ANSWER_HEAD: usize =
    "HTTP/1.1 200 OK\r\ncontent-length: 100\r\ndate: Wed, 02 Dec 2026 18:00:00 GMT\r\n\r\n".len();

/// Bytes that the request line and headers of a request take.
pub(super) fn request_head(path: &str, addr: SocketAddr, token: &str, body: usize) -> usize {
    const FIXED: usize = "POST  HTTP/1.1\r\nhost: \r\nstoatstep-peer: \r\n\
        content-length: \r\ndate: Wed, 02 Dec 2026 18:00:00 GMT\r\n\r\n"
        .len();
    let addr = addr.to_string().len();
    FIXED + path.len() + addr + token.len() + body.to_string().len()
}

#[derive(Debug, Default)]
struct Sum {
    sent: Cell<u64>,
    received: Cell<u64>,
}

/// Sums over the life of the process, of heads and bodies as they go over the
/// sockets. Attempts of calls are not among them.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    membership: Sum,
    configuration: Sum,
}

impl Traffic {
    pub(super) fn sent(&self, metrics: &Metrics, class: Class, bytes: usize) {
        add(&self.sum(class).sent, bytes);
        emit(metrics, class, "sent", bytes);
    }

    pub(super) fn received(&self, metrics: &Metrics, class: Class, bytes: usize) {
        add(&self.sum(class).received, bytes);
        emit(metrics, class, "received", bytes);
    }

    /// Sums since the start, for operators.
    pub(crate) fn status(&self) -> Vec<TrafficStatus> {
        let classes = [Class::Membership, Class::Configuration];
        let row = |class: Class| TrafficStatus {
            class: class.as_str().into(),
            sent_bytes: self.sum(class).sent.get(),
            received_bytes: self.sum(class).received.get(),
        };
        classes.map(row).to_vec()
    }

    fn sum(&self, class: Class) -> &Sum {
        match class {
            Class::Membership => &self.membership,
            Class::Configuration => &self.configuration,
        }
    }
}

fn add(sum: &Cell<u64>, bytes: usize) {
    sum.set(sum.get() + bytes as u64);
}

fn emit(metrics: &Metrics, class: Class, direction: &str, bytes: usize) {
    let name = format!("control.{}.{direction}_bytes", class.as_str());
    metrics.count(&name, i64::try_from(bytes).unwrap_or(i64::MAX));
}
