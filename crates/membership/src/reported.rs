//! What is known of one generation of the local target.

use crate::generation::{self, target_id_of};
use crate::heartbeat::Heartbeat;
use crate::member::Time;

/// A generation of the target that reported itself.
#[derive(Clone, Debug)]
pub(crate) struct Generation {
    /// Its last heartbeat.
    pub(crate) heartbeat: Heartbeat,
    pub(crate) received_at: Time,
    /// Whether the target has answered a request of this process by stating that it is
    /// this generation and accepts calls.
    pub(crate) is_confirmed: bool,
    /// Whether the target has answered since as another generation.
    pub(crate) is_ruled_out: bool,
}

impl Generation {
    pub(crate) fn new(heartbeat: Heartbeat, now: Time) -> Self {
        Self {
            heartbeat,
            received_at: now,
            is_confirmed: false,
            is_ruled_out: false,
        }
    }

    pub(crate) fn is(&self, upstream: &str) -> bool {
        self.heartbeat.upstream == upstream
    }

    pub(crate) fn has_target_id(&self, id: &str) -> bool {
        target_id_of(&self.heartbeat.upstream) == id
    }

    /// Whether this generation is newer than the one that sent `heartbeat`: it started later,
    /// or it reports its start time while `heartbeat` has the same target id and does not.
    ///
    /// A heartbeat that was delayed by a partition arrives after its sender has crashed.
    /// If it were accepted, it would replace the generation that serves, and calls would
    /// wait for a target that is gone.
    pub(crate) fn supersedes(&self, heartbeat: &Heartbeat) -> bool {
        let is_same_target = self.has_target_id(target_id_of(&heartbeat.upstream));
        let lacks_start_time =
            is_same_target && self.heartbeat.born.is_some() && heartbeat.born.is_none();
        lacks_start_time || generation::started_before(heartbeat.born, self.heartbeat.born)
    }
}
