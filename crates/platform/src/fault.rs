//! Faults that a stand-in for the platform can be told to have.

use std::time::Duration;

use smol_str::SmolStr;

/// The part of the platform that has a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// Only the table.
    Table,
    /// Only the object store.
    Objects,
    /// Both.
    All,
}

impl Service {
    fn covers(self, other: Self) -> bool {
        self == Self::All || other == Self::All || self == other
    }
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Every request is refused without being carried out.
    Down,
    /// Every request waits before it is carried out.
    Slow,
    /// Requests are carried out, and the connection ends without an answer.
    LoseAnswers,
    /// Requests are held until the fault ends and are carried out then, as by
    /// a process that was frozen: a write lands long after its caller gave up.
    Pause,
}

/// One fault, bounded in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The part that has it.
    pub service: Service,
    /// The availability zone whose callers see it; everyone where absent.
    pub zone: Option<SmolStr>,
    /// What goes wrong.
    pub kind: FaultKind,
    /// How long a request waits under [`FaultKind::Slow`], and how long an
    /// answer is withheld before the connection ends under
    /// [`FaultKind::LoseAnswers`].
    pub delay: Duration,
    /// When it ends, as time since start.
    pub until: Duration,
}

/// What becomes of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Refuse it without carrying it out.
    pub refuse: bool,
    /// Wait this long before carrying it out.
    pub delay: Duration,
    /// Carry it out, wait this long, and end the connection with no answer.
    pub lose_answer: Option<Duration>,
}

/// The faults that are set.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    faults: Vec<Fault>,
}

impl Faults {
    /// Adds a fault to those that are set.
    pub fn add(&mut self, fault: Fault) {
        self.faults.push(fault);
    }

    /// Ends every fault.
    pub fn clear(&mut self) {
        self.faults.clear();
    }

    /// Those not over at `now`; the others are forgotten.
    pub fn active(&mut self, now: Duration) -> &[Fault] {
        self.faults.retain(|fault| fault.until > now);
        &self.faults
    }

    /// What becomes of a request that arrives at `now`. Of several faults,
    /// each has its effect; the longest delay counts.
    pub fn verdict(&mut self, now: Duration, service: Service, zone: &str) -> Verdict {
        let mut verdict = Verdict::default();
        for fault in self.active(now) {
            let elsewhere = fault.zone.as_ref().is_some_and(|it| it != zone);
            if elsewhere || !fault.service.covers(service) {
                continue;
            }
            match fault.kind {
                FaultKind::Down => verdict.refuse = true,
                FaultKind::Slow => verdict.delay = verdict.delay.max(fault.delay),
                FaultKind::Pause => {
                    let left = fault.until.saturating_sub(now);
                    verdict.delay = verdict.delay.max(left);
                }
                FaultKind::LoseAnswers => verdict.lose_answer = Some(fault.delay),
            }
        }
        verdict
    }
}
