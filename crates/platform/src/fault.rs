//! Faults that can be injected into a stand-in for the platform.

use std::time::Duration;

use smol_str::SmolStr;

/// Part of the platform that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// The table.
    Table,
    /// The object store.
    Objects,
    /// The table and the object store.
    All,
}

impl Service {
    fn covers(self, other: Self) -> bool {
        self == Self::All || other == Self::All || self == other
    }
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Every request is refused without being executed.
    Down,
    /// Every request is delayed before it is executed.
    Slow,
    /// Requests are executed, and the connection is closed without an answer.
    LoseAnswers,
    /// Requests are held until the fault ends and then executed, as by a process that was
    /// suspended: a write takes effect long after its caller has timed out.
    Pause,
}

/// A fault with the time at which it ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Part of the platform that the fault affects.
    pub service: Service,
    /// Availability zone whose callers are affected; all callers if absent.
    pub zone: Option<SmolStr>,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Delay of a request under [`FaultKind::Slow`], or the time from the execution of a request
    /// until its connection is closed under [`FaultKind::LoseAnswers`].
    pub delay: Duration,
    /// End of the fault, as a time since the start of the stand-in.
    pub until: Duration,
}

/// Combined effect of the active faults on one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultEffect {
    /// Whether to refuse the request without executing it.
    pub refuse: bool,
    /// Time to wait before the request is executed.
    pub delay: Duration,
    /// If present, time to wait after the request was executed before its connection is closed
    /// without an answer.
    pub lose_answer: Option<Duration>,
}

/// The set of injected faults.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    faults: Vec<Fault>,
}

impl Faults {
    /// Adds a fault.
    pub fn add(&mut self, fault: Fault) {
        self.faults.push(fault);
    }

    /// Removes all faults.
    pub fn clear(&mut self) {
        self.faults.clear();
    }

    /// Removes the faults that have ended at `now` and returns the others.
    pub fn active(&mut self, now: Duration) -> &[Fault] {
        self.faults.retain(|fault| fault.until > now);
        &self.faults
    }

    /// Returns the combined effect of all active faults on a request that arrives at `now`. The
    /// longest delay before its execution applies.
    pub fn effect(&mut self, now: Duration, service: Service, zone: &str) -> FaultEffect {
        let mut effect = FaultEffect::default();
        for fault in self.active(now) {
            let elsewhere = fault.zone.as_ref().is_some_and(|it| it != zone);
            if elsewhere || !fault.service.covers(service) {
                continue;
            }
            match fault.kind {
                FaultKind::Down => effect.refuse = true,
                FaultKind::Slow => effect.delay = effect.delay.max(fault.delay),
                FaultKind::Pause => {
                    let left = fault.until.saturating_sub(now);
                    effect.delay = effect.delay.max(left);
                }
                FaultKind::LoseAnswers => effect.lose_answer = Some(fault.delay),
            }
        }
        effect
    }
}
