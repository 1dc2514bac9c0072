//! What goes into an [`Admission`](super::Admission) and what comes out.

use serde::{Deserialize, Serialize};
use stoatstep_resource::CustomerName;

use crate::class::Class;
use crate::ids::{AttemptId, Time};
use crate::refusal::Refusal;

/// Bounds of an [`Admission`](super::Admission).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AdmissionConfig {
    /// Calls that the target runs at a time.
    pub slots: u32,
    /// Calls that wait at a time.
    pub queue: usize,
}

impl AdmissionConfig {
    /// Bounds for an upstream with `slots`: room for four rounds of waiting.
    #[must_use]
    pub fn for_slots(slots: u32) -> Self {
        const ROUNDS: usize = 4;
        let queue = slots as usize * ROUNDS;
        Self { slots, queue }
    }
}

/// An attempt that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ask {
    /// The attempt.
    pub attempt: AttemptId,
    /// Whose call it is.
    pub tenant: CustomerName,
    /// The call's class.
    pub class: Class,
    /// The tenant's share relative to the others'.
    pub weight: u32,
    /// Calls that the tenant may run here at a time.
    pub concurrency: Option<u32>,
    /// When its caller stops waiting.
    pub expires: Time,
}

/// What becomes of an attempt that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// It has a slot; [`Admission::release`](super::Admission::release) gives it back.
    Run,
    /// It waits; [`Admission::next`](super::Admission::next) will name it.
    Wait,
    /// It does not run here.
    Refused(Refusal),
}

/// What becomes of an attempt that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Dispatch {
    /// It has a slot now.
    Run(AttemptId),
    /// It leaves the queue without having run.
    Refused(AttemptId, Refusal),
}

/// Load of an executor, as its answers carry it to the entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Load {
    /// Calls that have a slot.
    pub running: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Slots.
    pub slots: u32,
}
