//! What leads from one state to any later one.

use std::sync::Arc;

use crate::delta::ApplyError;
use crate::digest::Digest;
use crate::ids::Version;
use crate::key::Key;
use crate::state::{Held, State};

/// The resources in which a later state differs. Other than a
/// [`Delta`](crate::Delta) it may skip versions, so that whoever missed some
/// fetches one short message and not each of them, or a whole state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The version that it leads to.
    pub version: Version,
    /// Resources that are new or replaced.
    pub puts: Vec<Held>,
    /// Resources that are gone.
    pub deletes: Vec<Key>,
    /// Digest of the whole later state.
    pub digest: Digest,
}

impl State {
    /// What leads from this state to `later`.
    #[must_use]
    pub fn difference(&self, later: &Self) -> Difference {
        let is_new = |(key, held): &(&Key, &Held)| self.get(key) != Some(*held);
        let puts = later.iter().filter(is_new);
        let is_gone = |(key, _): &(&Key, &Held)| later.get(key).is_none();
        let deletes = self.iter().filter(is_gone);
        Difference {
            version: later.version(),
            puts: puts.map(|(_, held)| held.clone()).collect(),
            deletes: deletes.map(|(key, _)| key.clone()).collect(),
            digest: later.digest(),
        }
    }

    /// The state that `difference` leads to, or why it does not lead on from this
    /// one.
    ///
    /// # Errors
    ///
    /// Whatever [`ApplyError`] names; `self` is unchanged then.
    pub fn advanced(&self, difference: &Difference) -> Result<Self, ApplyError> {
        if difference.version <= self.version() {
            return Err(ApplyError::OutOfOrder {
                held: self.version(),
                offered: difference.version,
            });
        }
        let next = self.with(difference.version, &difference.puts, &difference.deletes);
        next.checked(difference.digest)
    }

    /// This state, sharing what it has in common with `earlier`. Several states in
    /// a row then take little more memory than one.
    #[must_use]
    pub fn sharing(self, earlier: &Self) -> Self {
        let version = self.version();
        let shared = self.iter().map(|(key, held)| {
            let known = earlier.get(key);
            let same = known.filter(|it| it.resource == held.resource);
            Held {
                revision: held.revision,
                resource: Arc::clone(&same.unwrap_or(held).resource),
            }
        });
        Self::of(version, shared.collect())
    }
}
