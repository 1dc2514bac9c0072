//! Shared parts of a state that most steps don't change.

use std::hash::{BuildHasher, Hash, Hasher};
use std::ops::Deref;
use std::sync::Arc;

/// A shared value with a cached hash. A search hashes and compares every state that it visits, and
/// almost all parts of a state are the same as in the state before.
#[derive(Clone, Debug)]
pub(crate) struct Shared<T> {
    value: Arc<T>,
    hash: u64,
}

/// A hasher with a fixed seed, so that searches are repeatable.
type RepeatableHasher = std::hash::BuildHasherDefault<std::hash::DefaultHasher>;

impl<T: Hash> Shared<T> {
    pub(crate) fn new(value: T) -> Self {
        let hash = RepeatableHasher::default().hash_one(&value);
        let value = Arc::new(value);
        Self { value, hash }
    }
}

impl<T: Clone + Hash> Shared<T> {
    /// Returns the changed value and the result of `change`.
    pub(crate) fn changed<R>(&self, change: impl FnOnce(&mut T) -> R) -> (Self, R) {
        let mut value = T::clone(&self.value);
        let result = change(&mut value);
        (Self::new(value), result)
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T: Eq> PartialEq for Shared<T> {
    fn eq(&self, other: &Self) -> bool {
        let same = Arc::ptr_eq(&self.value, &other.value);
        same || self.hash == other.hash && self.value == other.value
    }
}

impl<T: Eq> Eq for Shared<T> {}

impl<T> Hash for Shared<T> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        hasher.write_u64(self.hash);
    }
}
