//! State of the stand-in and the admission of requests.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use stoatstep_platform::{Fault, Faults, Objects, RateLimit, Service, Table};

use crate::counts::{Access, Counts, CountsReport, Size};
use crate::server::Options;

/// Time after which to retry, as sent to callers while the service is down.
const RETRY_WHEN_DOWN: Duration = Duration::from_millis(500);

/// Properties of a request that its admission depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival<'a> {
    pub(crate) service: Service,
    pub(crate) zone: &'a str,
    pub(crate) access: Access,
    /// Number of operations that the request counts against the limit per second.
    pub(crate) cost: usize,
    pub(crate) bytes: usize,
}

/// Decision about an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    Refuse {
        retry_after: Duration,
    },
    Throttle {
        retry_after: Duration,
    },
    Run {
        delay: Duration,
        lose_answer: Option<Duration>,
    },
}

#[derive(Debug)]
struct Limits {
    reads: RateLimit,
    writes: RateLimit,
}

impl Limits {
    fn new(options: &Options) -> Self {
        Self {
            reads: RateLimit::new(options.reads_per_second),
            writes: RateLimit::new(options.writes_per_second),
        }
    }

    fn take(&mut self, now: Duration, access: Access, cost: usize) -> Result<(), Duration> {
        let cost = u32::try_from(cost.max(1)).unwrap_or(u32::MAX);
        match access {
            Access::Read => self.reads.take(now, cost),
            Access::Write => self.writes.take(now, cost),
        }
    }
}

/// State that requests read and change.
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) table: Table,
    pub(crate) objects: Objects,
    pub(crate) faults: Faults,
    table_limits: Limits,
    object_limits: Limits,
    counts: Counts,
}

/// The stand-in. Clones share its state.
#[derive(Clone, Debug)]
pub(crate) struct Standin {
    inner: Arc<Mutex<Inner>>,
    in_flight: Arc<AtomicUsize>,
    started: Instant,
}

/// Guard that counts a request as running until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<AtomicUsize>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Standin {
    pub(crate) fn new(options: &Options) -> Self {
        let inner = Inner {
            table: Table::default(),
            objects: Objects::default(),
            faults: Faults::default(),
            table_limits: Limits::new(options),
            object_limits: Limits::new(options),
            counts: Counts::default(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            in_flight: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Returns the time since the start of the program.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Counts a request as running until the returned guard is dropped.
    pub(crate) fn begin(&self) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(&self.in_flight))
    }

    /// Returns whether no request is running.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.load(Ordering::Relaxed) == 0
    }

    /// Locks the state. A poisoned lock is ignored, since no code panics halfway through a change
    /// while it holds the lock, and the state stays consistent.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn admit(&self, arrival: Arrival<'_>) -> Decision {
        self.lock().admit(self.now(), arrival)
    }

    pub(crate) fn answered(&self, zone: &str, bytes: usize) {
        self.lock().counts.answered(zone, bytes);
    }

    pub(crate) fn add_fault(&self, fault: Fault) {
        self.lock().faults.add(fault);
    }

    pub(crate) fn counts(&self) -> CountsReport {
        self.lock().counts.report(self.now())
    }
}

impl Inner {
    fn admit(&mut self, now: Duration, arrival: Arrival<'_>) -> Decision {
        let Arrival { zone, access, .. } = arrival;
        let size = Size {
            items: arrival.cost,
            bytes: arrival.bytes,
        };
        self.counts.arrived(now, zone, access, size);
        let effect = self.faults.effect(now, arrival.service, zone);
        if effect.refuse {
            self.counts.refused(zone);
            return Decision::Refuse {
                retry_after: RETRY_WHEN_DOWN,
            };
        }
        let limits = match arrival.service {
            Service::Objects => &mut self.object_limits,
            Service::Table | Service::All => &mut self.table_limits,
        };
        if let Err(retry_after) = limits.take(now, access, arrival.cost) {
            self.counts.throttled(zone);
            return Decision::Throttle { retry_after };
        }
        if effect.lose_answer.is_some() {
            self.counts.lost_answer(zone);
        }
        Decision::Run {
            delay: effect.delay,
            lose_answer: effect.lose_answer,
        }
    }
}
