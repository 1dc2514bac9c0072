//! Identification of requests by their content.

use std::fmt;

use serde::{Deserialize, Serialize};
use stoatstep_body::Body;
use xxhash_rust::xxh3::Xxh3;

/// Hash of the content of a request. Two requests with the same fingerprint ask for the same
/// thing, whatever their ids are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Computes the fingerprint from the method, the path with its query, and the body.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        Self::over([method.as_bytes(), path.as_bytes(), body])
    }

    /// Computes the fingerprint from `parts`. Their order and their boundaries are
    /// significant.
    #[must_use]
    pub fn over<const N: usize>(parts: [&[u8]; N]) -> Self {
        Self(hasher_of(&parts).digest128())
    }

    /// Computes the fingerprint from `parts` and, after them, a body. It is that of the same bytes in
    /// one part.
    #[must_use]
    pub fn over_body<const N: usize>(parts: [&[u8]; N], body: &Body) -> Self {
        let mut hasher = hasher_of(&parts);
        hasher.update(&body.len().to_le_bytes());
        for segment in body.segments() {
            hasher.update(segment);
        }
        Self(hasher.digest128())
    }
}

fn hasher_of(parts: &[&[u8]]) -> Xxh3 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
