//! Distribution of the configuration to all daemons.
//!
//! The platform assigns versions; the daemons distribute them among themselves. A change is pushed
//! once to each daemon along a hash-chosen [`Tree`] ([`Spread`]). A daemon that missed a push sees
//! in the version and digest that peers exchange that it is behind, and pulls from one of them
//! ([`Repair`]). Two daemons in each zone poll the platform for its head ([`Poller`]), and a daemon
//! that starts asks the platform once and its peers for the rest ([`ColdStart`]). Every version
//! passes the checks of the [`Replica`], which never goes back to an older version and never
//! applies one in part.
//!
//! All of it is deterministic and does no input or output: time and randomness are passed in, and
//! typed requests are returned. See `docs/design/spreading.md`.

mod cold_start;
mod collect;
mod confirmation;
mod jitter;
mod poller;
mod poller_health;
mod quarantine;
mod repair;
mod replica;
mod roster_read_schedule;
mod serving;
mod spread;
mod tree;
mod wire;

pub use cold_start::{ColdStart, ColdStartAction, ColdStartInput};
pub use collect::{Holdings, Refusal, VersionInUse};
pub use confirmation::{Confirmation, StoreClock};
pub use poller::{PollOutcome, PollRole, Poller};
pub use poller_health::PollerHealth;
pub use quarantine::{QuarantinedVersion, RefusalReason};
pub use repair::{Pull, PullSource, Repair};
pub use replica::{OfferOutcome, Replica};
pub use roster_read_schedule::RosterReadSchedule;
pub use serving::Serving;
pub use spread::Spread;
pub use tree::{Tree, ZoneMembers, rendezvous_choice, rendezvous_weight, seed_of};
pub use wire::{CollectReply, CollectRequest, LogReply, LogRequest, LogTail, PushRequest};

/// Version and digest of the configuration that a daemon holds, as peers exchange them.
pub use stoatstep_membership::ConfigId;

use stoatstep_resource::{Digest, State};

/// Returns the version and shortened digest of a state.
#[must_use]
pub fn config_id_of(state: &State) -> ConfigId {
    ConfigId {
        version: state.version(),
        digest: short_digest(&state.digest()),
    }
}

/// Returns the part of a digest that peers exchange each second. Eight bytes are enough to tell two
/// states of one version apart; the whole digest is checked when a version is applied.
#[must_use]
pub fn short_digest(digest: &Digest) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.0[..8]);
    u64::from_le_bytes(bytes)
}
