//! Fingerprint of a whole state.

use std::fmt;

use serde::{Deserialize, Serialize};

/// First 16 bytes of a BLAKE3 hash over a state's resources and revisions.
/// Two daemons with the same version and the same digest hold the same bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    pub(crate) fn of(hasher: &blake3::Hasher) -> Self {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
