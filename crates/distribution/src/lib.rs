//! How configuration reaches every daemon and stays there.
//!
//! The platform orders versions; everything after that is done by the daemons
//! themselves. A change goes down a hash-chosen [`Tree`] once to each daemon
//! ([`Spread`]); what a lost push or a cut left behind shows in the marks that
//! peers exchange and is pulled from one of them ([`Repair`]). Two daemons a
//! zone ask the platform for its head ([`Poller`]), and a daemon that starts
//! asks the platform once and its peers for the rest ([`ColdStart`]). What
//! arrives goes through one gate, the [`Replica`], which never goes back and
//! never takes a version in part.
//!
//! All of it is pure: time and randomness come in, typed requests go out. See
//! `docs/design/spreading.md`.

mod cold_start;
mod collect;
mod confirmation;
mod contact;
mod jitter;
mod poller;
mod quarantine;
mod repair;
mod replica;
mod roster_looks;
mod serving;
mod spread;
mod tree;
mod wire;

pub use cold_start::{ColdStart, Standing, Step};
pub use collect::{Hold, Holdings, Refusal};
pub use confirmation::{Confirmation, StoreClock};
pub use contact::Contact;
pub use poller::{PollOutcome, PollRole, Poller};
pub use quarantine::{Quarantined, Reason};
pub use repair::{Pull, Repair, Source};
pub use replica::{Offer, Replica};
pub use roster_looks::RosterLooks;
pub use serving::Serving;
pub use spread::Spread;
pub use tree::{Tree, View, first_of, rendezvous, seed_of};
pub use wire::{CollectReply, CollectRequest, LogReply, LogRequest, LogTail, PushRequest};

/// Which version a daemon holds, as peers tell each other.
pub use stoatstep_membership::ConfigId;

use stoatstep_resource::{Digest, State};

/// The mark of a state.
#[must_use]
pub fn mark_of(state: &State) -> ConfigId {
    ConfigId {
        version: state.version(),
        digest: short_digest(&state.digest()),
    }
}

/// The part of a digest that peers exchange each second. Eight bytes tell two
/// states of one version apart; the whole digest is checked on apply.
#[must_use]
pub fn short_digest(digest: &Digest) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.0[..8]);
    u64::from_le_bytes(bytes)
}
