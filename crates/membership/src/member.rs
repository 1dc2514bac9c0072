//! Members of the fleet and their states.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

/// Time since this process started, on a monotonic clock.
pub type Time = Duration;

/// Version of an instance's state, raised by each restart of its daemon and by each
/// refutation. An update about an older incarnation does not apply to the present one.
pub type Incarnation = u64;

/// Hash of an instance's id. Messages identify members by it, since ids are text
/// of any length and a message without updates should be tens of bytes. Two of 610
/// ids collide with a probability of about 1e-14.
pub type MemberKey = u64;

/// Returns the key of the instance with this id.
#[must_use]
pub fn member_key(instance: &str) -> MemberKey {
    xxh3_64(instance.as_bytes())
}

/// Returns the incarnation with which a process starts: the wall clock in
/// milliseconds, or one above `known`, the highest known incarnation of this
/// instance, if the clock went back. Either way, updates about the instance's
/// former process are older.
#[must_use]
pub fn starting_incarnation(unix_time: Duration, known: Option<Incarnation>) -> Incarnation {
    let by_clock = u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX / 2);
    known.map_or(by_clock, |known| by_clock.max(known + 1))
}

/// State of a member. The order of the variants is the precedence among updates
/// about the same incarnation: a later variant overrides an earlier one, and only
/// a higher incarnation, which only the member itself may choose, overrides it in
/// turn. Merging is thus commutative, associative and idempotent, so all tables
/// converge regardless of the order in which updates arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Answers probes, as far as is known.
    Alive,
    /// Missed a direct probe and the indirect ones; may still refute.
    Suspect,
    /// Announced that it is stopping. Only [`MemberState::Dead`] may follow in this
    /// incarnation.
    Leaving,
    /// Gone, or cut off from its own zone for longer than the suspect timeout.
    Dead,
}

/// Self-description of a target, where targets announce themselves to their local
/// daemon instead of being listed as resources.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AnnouncedTarget {
    /// Id of this generation of the target; a restarted target has another one.
    pub upstream: SmolStr,
    /// Service that the target runs.
    pub service: SmolStr,
    /// Number of calls that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is about to stop, so that it must get no new calls.
    pub draining: bool,
    /// Version of the target's software, as free text; empty if the target did not
    /// report one.
    #[serde(default)]
    pub software: SmolStr,
}

/// A member of the fleet: one instance with its daemon and target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Id of the instance.
    pub instance: SmolStr,
    /// Region that the instance runs in.
    pub region: SmolStr,
    /// Availability zone that the instance runs in.
    pub zone: SmolStr,
    /// Upstream resource that the instance's target serves.
    pub upstream: SmolStr,
    /// Address on which the daemon serves callers.
    pub caller: SocketAddr,
    /// Address on which the daemon serves its peers.
    pub peer: SocketAddr,
    /// Address on which the daemon serves operators.
    pub operator: SocketAddr,
    /// Incarnation with which the process started. The addresses belong to it.
    pub birth: Incarnation,
    /// Current incarnation: `birth`, raised by each refutation.
    pub incarnation: Incarnation,
    /// State within the current incarnation.
    pub state: MemberState,
    /// Self-description of the instance's target; absent where upstreams are
    /// configured, or before the target's first heartbeat.
    pub announced: Option<AnnouncedTarget>,
}

impl Member {
    /// Returns the key that identifies this member in tables and messages.
    #[must_use]
    pub fn key(&self) -> MemberKey {
        member_key(&self.instance)
    }

    /// Whether this member takes part in the fleet, which is so in every state but
    /// [`MemberState::Dead`].
    #[must_use]
    pub fn is_present(&self) -> bool {
        self.state != MemberState::Dead
    }

    /// Whether new calls may be sent to this member's target.
    #[must_use]
    pub fn takes_calls(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}
