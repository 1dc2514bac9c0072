//! Inputs and results of [`Admission`](super::Admission).

use serde::{Deserialize, Serialize};
use stoatstep_resource::CustomerName;

use crate::class::Class;
use crate::ids::{AttemptId, Time};
use crate::refusal::Refusal;
use crate::target_limiter::LimitReport;

/// Limits of an [`Admission`](super::Admission).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AdmissionConfig {
    /// Calls that the target can run at a time.
    pub slots: u32,
    /// Calls that can wait at a time.
    pub queue: usize,
}

impl AdmissionConfig {
    /// Limits for an upstream with `slots`, and a queue of four times as many places.
    #[must_use]
    pub fn for_slots(slots: u32) -> Self {
        const QUEUE_PER_SLOT: usize = 4;
        let queue = slots as usize * QUEUE_PER_SLOT;
        Self { slots, queue }
    }
}

/// An attempt that requests a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AdmissionRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The tenant that the call belongs to.
    pub tenant: CustomerName,
    /// The call's class.
    pub class: Class,
    /// The tenant's share relative to the others'.
    pub weight: u32,
    /// Calls that the tenant may run at this executor at a time; `None` for no limit.
    pub concurrency: Option<u32>,
    /// Deadline: when its caller stops waiting.
    pub expires: Time,
}

/// Decision about an attempt that requests a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AdmissionDecision {
    /// It has a slot, until [`Admission::release`](super::Admission::release) frees it.
    Run,
    /// It waits until [`Admission::next`](super::Admission::next) returns it.
    Wait,
    /// It does not run at this executor.
    Refused(Refusal),
}

/// Decision about an attempt that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Dispatch {
    /// It got a slot.
    Run(AttemptId),
    /// It was removed from the queue without having run.
    Refused(AttemptId, Refusal),
}

/// Load that an executor which admits calls by class ([`Admission`](super::Admission))
/// reports to the entries in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Load {
    /// Calls that have a slot.
    pub running: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Calls that the target can run at a time.
    pub slots: u32,
    /// The limit that the target states, and when one more call may start by it.
    pub limit: LimitReport,
}
