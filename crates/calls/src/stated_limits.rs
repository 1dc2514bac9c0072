//! The limits of targets that an entry has been told.

use std::collections::HashMap;
use std::hash::Hash;

use crate::statement::RateLimit;
use crate::target_limiter::KnownLimit;

/// The limits of targets as their executors reported them to one entry, which sends them along
/// with its attempts: an executor that was restarted since [adopts](crate::TargetLimiter::adopt)
/// them. `K` identifies the target or its executor.
#[derive(Clone, Debug)]
pub struct StatedLimits<K> {
    limits: HashMap<K, RateLimit>,
}

impl<K> Default for StatedLimits<K> {
    fn default() -> Self {
        Self {
            limits: HashMap::new(),
        }
    }
}

impl<K: Eq + Hash> StatedLimits<K> {
    /// The limit to send along.
    #[must_use]
    pub fn get(&self, target: &K) -> Option<RateLimit> {
        self.limits.get(target).copied()
    }

    /// Records what an executor reports. One that has just started knows nothing and changes
    /// nothing.
    pub fn record(&mut self, target: K, known: KnownLimit) {
        match known {
            KnownLimit::Unknown => {}
            KnownLimit::Unlimited => {
                self.limits.remove(&target);
            }
            KnownLimit::Limited(limit) => {
                self.limits.insert(target, limit);
            }
        }
    }

    /// Removes the targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        self.limits.retain(|target, _| keep(target));
    }
}
