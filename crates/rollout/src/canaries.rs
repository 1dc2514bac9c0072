//! Choice of the targets of the new side that are tried first.

use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::order::OrderId;

/// Maximum number of canaries. More than one is needed to tell a bad version from a bad target: if
/// a sixth of all targets are slow, all of three canaries are in one of 200 roll-outs, and all of
/// five in one of 8,000.
const MAX_CANARIES: usize = 5;

/// Maximum part of the service's calls that the canaries may take at full load. It limits the
/// number of canaries of a service with few targets.
const MAX_CANARY_LOAD: f64 = 0.16;

/// The targets of the new side that are tried first. Every daemon that knows the same members
/// chooses the same ones, so no message about them is needed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Canaries {
    names: Vec<SmolStr>,
    /// The part of the service's calls at which the canaries are as occupied as the old side.
    load: f64,
}

impl Canaries {
    /// Chooses the canaries among the targets of the new side; `old` is the size of the old side.
    #[must_use]
    pub fn choose(order: OrderId, new: impl IntoIterator<Item = SmolStr>, old: usize) -> Self {
        let count = Self::count(old);
        let mut names = Self::ranked(order, new);
        names.truncate(count);
        Self {
            load: load(names.len(), old),
            names,
        }
    }

    /// Returns the number of canaries for an old side with `old` targets.
    #[must_use]
    pub fn count(old: usize) -> usize {
        let fits = |count: &usize| old > 0 && load(*count, old) <= MAX_CANARY_LOAD;
        (1..=MAX_CANARIES).take_while(fits).count().max(1)
    }

    /// Sorts targets by the order in which they become canaries.
    #[must_use]
    pub fn ranked(order: OrderId, targets: impl IntoIterator<Item = SmolStr>) -> Vec<SmolStr> {
        let mut names: Vec<SmolStr> = targets.into_iter().collect();
        Self::rank(order, &mut names, SmolStr::as_str);
        names
    }

    /// Sorts targets by a hash of the order's id and their names.
    pub fn rank<T>(order: OrderId, targets: &mut [T], name: impl Fn(&T) -> &str) {
        targets.sort_by_cached_key(|it| xxh3_64_with_seed(name(it).as_bytes(), order));
    }

    /// Returns the names of the canaries, in rank order.
    #[must_use]
    pub fn names(&self) -> &[SmolStr] {
        &self.names
    }

    /// Returns whether this target is a canary.
    #[must_use]
    pub fn contains(&self, upstream: &str) -> bool {
        self.names.iter().any(|it| it == upstream)
    }

    /// Returns the part of the service's calls at which the canaries are as occupied as the old
    /// side.
    #[must_use]
    pub fn load(&self) -> f64 {
        self.load
    }
}

/// The part of the calls that `count` of `old` targets take when all are equally occupied. Without a
/// target of the old side there is no such part.
fn load(count: usize, old: usize) -> f64 {
    if old == 0 {
        return 0.0;
    }
    let of = |number: usize| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
    of(count) / of(old)
}
