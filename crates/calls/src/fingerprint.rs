//! Names of requests by what they ask for.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Hash over what a request asks for: two requests with one fingerprint ask for the same,
/// whatever their ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Over method, path with query, and body.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        Self::over([method.as_bytes(), path.as_bytes(), body])
    }

    /// Over these parts in this order. Where one ends counts as well.
    #[must_use]
    pub fn over<const N: usize>(parts: [&[u8]; N]) -> Self {
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
