//! How the memory and the descriptors of a process are divided. Every share is bounded, and all of
//! them together are what the process may use; `docs/design/crowds.md` has the sum.

use stoatstep_body::Memory;
use stoatstep_http::{BodyMemory, ConnectionLimits};

/// Largest request body, and largest answer.
const MAX_BODY: usize = 64 << 20;

/// Largest answer that is handed to a connection as a whole. It leaves the memory of answers then.
pub(crate) const MAX_WHOLE_ANSWER: usize = 16 << 10;

/// Least memory for bodies, which a process that is given less uses all the same.
const MIN_BODIES: usize = 8 << 20;

/// What a connection of a caller takes beside what is counted.
const CALLER_CONNECTION: usize = 16 << 10;

/// What a link of another daemon takes beside what is counted.
const LINK: usize = 32 << 10;

/// Connections for reports of the target, for readiness checks and for metrics.
const CONTROL_CONNECTIONS: usize = 16;
const READINESS_CONNECTIONS: usize = 16;
const METRICS_CONNECTIONS: usize = 8;

/// Memory of a process, by use.
#[derive(Clone, Debug)]
pub(crate) struct MemoryShares {
    /// Bodies of requests, from callers and from other daemons.
    pub(crate) requests: BodyMemory,
    /// Bodies of answers, from the target and from other daemons.
    pub(crate) answers: BodyMemory,
    /// Incomplete messages of other daemons that are no bodies.
    pub(crate) messages: Memory,
    connections: usize,
}

/// Connections of a process, by use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SocketShares {
    pub(crate) callers: usize,
    pub(crate) links: usize,
    pub(crate) control: usize,
    pub(crate) readiness: usize,
    pub(crate) metrics: usize,
}

impl MemoryShares {
    /// Divides `total` bytes. Requests and answers share five eighths, of which each may take a
    /// larger part while the other needs less; small bodies, messages and connections have their
    /// own shares. What is left, about a seventh, is for the process itself.
    pub(crate) fn of(total: usize) -> Self {
        let part = |thousandths: usize| total / 1000 * thousandths;
        let bodies = Memory::new(part(625).max(MIN_BODIES));
        let requests = bodies.share(part(450).max(MIN_BODIES / 2));
        let answers = bodies.share(part(400).max(MIN_BODIES / 2));
        Self {
            requests: BodyMemory::new(Memory::new(part(25)), requests, MAX_BODY),
            answers: BodyMemory::new(Memory::new(part(25)), answers, MAX_BODY),
            messages: Memory::new(part(50)),
            connections: part(125),
        }
    }

    /// Limits on the connections of callers.
    pub(crate) fn caller_connections(&self, sockets: SocketShares) -> ConnectionLimits {
        let share = self.connections / 2;
        let count = (share / CALLER_CONNECTION).min(sockets.callers);
        ConnectionLimits::new(count)
            .unread(share)
            .transfers(self.requests.transfers().clone())
    }

    /// Limit on the links that other daemons open.
    pub(crate) fn links(&self, sockets: SocketShares) -> usize {
        (self.connections / LINK).min(sockets.links)
    }
}

impl SocketShares {
    /// Divides `total` sockets. What is left, about a quarter, is for connections that the daemon
    /// opens: to other daemons, to the store and to the target.
    pub(crate) fn of(total: usize) -> Self {
        Self {
            callers: total * 2 / 5,
            links: total / 4,
            control: CONTROL_CONNECTIONS.min(total / 32),
            readiness: READINESS_CONNECTIONS.min(total / 32),
            metrics: METRICS_CONNECTIONS.min(total / 64),
        }
    }
}
