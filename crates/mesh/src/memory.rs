//! How the memory of a process is divided. Every share is bounded, and all of
//! them together are what the process may use; `docs/design/crowds.md` has the sum.

use stoatstep_body::Memory;
use stoatstep_http::BodyMemory;

/// Largest request body, and largest answer.
const MAX_BODY: usize = 64 << 20;

/// Least memory for bodies, which a process that is given less uses all the same.
const MIN_BODIES: usize = 8 << 20;

/// Memory of a process, by use.
#[derive(Clone, Debug)]
pub(crate) struct MemoryShares {
    /// Bodies of requests, from callers and from other daemons.
    pub(crate) requests: BodyMemory,
    /// Bodies of answers, from the target and from other daemons.
    pub(crate) answers: BodyMemory,
    /// Incomplete messages of other daemons that are no bodies.
    pub(crate) messages: Memory,
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
        }
    }
}
